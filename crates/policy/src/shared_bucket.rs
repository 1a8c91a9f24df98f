//! Estimates the level of a token bucket that several gatekeepers share, from a counter that only adds units
//! and returns the total. Makes no decisions.
//!
//! Every gatekeeper adds its spend to the tenant's count of the current epoch. Refill that arrives while the
//! bucket is full overflows and is lost. The gatekeeper that calls next adds the lost units to the count as
//! well. The level is therefore always the burst plus the refill since the epoch began, minus the *total*,
//! the sum of all units added to the count. A gatekeeper computes the exact level from the total however long
//! ago its last call was. The counter serves the calls for a name in order, so an answer also shows the level
//! just before the call. If a call added lost units that another gatekeeper had already added, the answer to
//! the call shows the excess, and the next call subtracts the excess from the count.

use crate::count_total::{CountTotal, LevelAccuracy};
use crate::hash::mix;
use crate::ids::TenantId;
use crate::settings::Plan;
use crate::stored::StoredQuota;
use crate::time::{Micros, SECOND, Timestamp};

/// Microseconds for which one name of a count is used. Totals are read as differences and buckets refill
/// continuously, so a longer epoch only means fewer changes of name. The counter keeps a name for two epochs,
/// 60 s at most.
pub(crate) const EPOCH_DURATION: Micros = 30_000_000;
/// Time constant of the estimated spend rates, in seconds. Traffic spikes last seconds, so the estimated
/// division of the refill between this gatekeeper and the others has to follow within about one second.
const SPEND_RATE_TIME_CONSTANT: f64 = 1.5;
/// Fraction of the burst above which overflowed units that are not yet added to the count justify a call of
/// their own: until they are added, other gatekeepers compute too high a level from the total.
const DUE_OVERFLOW_FRACTION: f64 = 0.25;
/// Largest number of units, as a fraction of the burst, that a call adds to the count because they are
/// estimated to have overflowed the bucket. Until units added in excess are subtracted again, other
/// gatekeepers compute too low a level and reject requests. Overflow that is not added does no harm: the
/// gatekeeper that calls next adds it.
const MAX_ESTIMATED_OVERFLOW_FRACTION: f64 = 0.5;
/// Largest debt of a bucket (a level below zero), as a fraction of the burst. Gatekeepers that start together
/// each add the whole refill since the epoch began to the count, as overflow. Until all but one of them have
/// subtracted these units again, the total shows a debt of many bursts. A gatekeeper that relied on such a
/// total would reject requests, without calling again, until the debt has refilled. Debt from real spend
/// beyond the bucket is small.
const MAX_DEBT_FRACTION: f64 = 0.25;
/// Shortest interval in seconds over which a rate is computed.
const MIN_RATE_SECONDS: f64 = 1e-3;

/// The counter's answer to one call, with what is needed to interpret it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterAnswer {
    pub(crate) total: CountTotal,
    /// Units that the call added to the count.
    pub(crate) added: f64,
    /// Units that arrived as refill since the epoch of the count began.
    pub(crate) refilled: f64,
    /// Whether the counter was silent at some time since the last total was read.
    pub(crate) was_counter_silent: bool,
    /// A negative number of units. If the change of the total, apart from this gatekeeper's own units, is
    /// below this number, the counter may have lost spend.
    pub(crate) total_drop_threshold: f64,
    /// Units in the local shares of all gatekeepers, assuming that each holds as much as this one.
    pub(crate) local_shares: f64,
}

/// Parameters of a call to the counter that is about to start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterCall {
    /// The name of the count, see [`CountName::of`].
    pub(crate) name: u64,
    /// Units that arrived as refill since the epoch of the count began.
    pub(crate) refilled: f64,
    /// Whether the last call was answered. If not, the counter may receive this call late and add its units
    /// although the answer is lost, so the call adds no overflowed units.
    pub(crate) last_call_answered: bool,
}

/// The estimate of one tenant's shared bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedBucket {
    /// Estimated units in the bucket.
    level: f64,
    /// The level computed from the last total that was read.
    synced_level: f64,
    /// Units that this gatekeeper spent since it read the last total.
    spent_since_sync: f64,
    synced_at: Timestamp,
    /// Spend of this gatekeeper that is not reported to the counter yet.
    unreported: f64,
    /// Units that overflowed the full bucket and that the call in flight or the next one adds to the count;
    /// negative if an earlier call added too many of them.
    overflow_to_report: f64,
    /// Whether the level can be computed exactly from the last total.
    level_accuracy: LevelAccuracy,
    /// Units a second that other gatekeepers spend.
    others_spend_rate: f64,
    /// Units a second by which other gatekeepers raise the total: their spend, and the overflow they add.
    others_total_growth_rate: f64,
    /// The total in the latest answer of the counter; `None` before the first answer.
    last_total: Option<CountTotal>,
    /// Units that the call in flight adds to the count.
    units_in_flight: Option<f64>,
}

/// How a call to the counter ended without a total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailedCall {
    /// The counter added nothing.
    NotAdded,
    /// The counter may have added the units: reporting them again could count them twice.
    PossiblyAdded,
}

impl SharedBucket {
    /// A bucket that is assumed to be full.
    pub(crate) fn full(plan: &Plan, now: Timestamp) -> Self {
        Self { level: plan.burst, synced_level: plan.burst, synced_at: now, ..Self::default() }
    }

    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Units a second that other gatekeepers spend.
    pub(crate) fn others_spend_rate(&self) -> f64 {
        self.others_spend_rate
    }

    /// Whether the counter has answered a call for this bucket with its total.
    pub(crate) fn is_synced(&self) -> bool {
        self.last_total.is_some()
    }

    pub(crate) fn synced_at(&self) -> Timestamp {
        self.synced_at
    }

    /// Seconds since the last total was read, or since the bucket was created if none was.
    pub(crate) fn seconds_since_sync(&self, now: Timestamp) -> f64 {
        now.seconds_since(self.synced_at)
    }

    pub(crate) fn unreported(&self) -> f64 {
        self.unreported
    }

    pub(crate) fn is_call_in_flight(&self) -> bool {
        self.units_in_flight.is_some()
    }

    /// Adds the refill of this many seconds, minus the estimated spend of other gatekeepers, which in the
    /// long run cannot exceed the refill.
    pub(crate) fn refill(&mut self, plan: &Plan, seconds: f64) {
        let others_spend_rate = self.others_spend_rate.min(plan.rate);
        self.level = (self.level + (plan.rate - others_spend_rate) * seconds).min(plan.burst);
    }

    /// The highest level that a current total could show: the level if no other gatekeeper has spent anything
    /// since the last total was read.
    pub(crate) fn max_level(&self, plan: &Plan, now: Timestamp) -> f64 {
        self.synced_level + plan.rate * self.seconds_since_sync(now) - self.spent_since_sync
    }

    /// Takes units from the bucket, or returns them if `units` is negative. The next report to the counter
    /// includes these units.
    pub(crate) fn spend(&mut self, units: f64) {
        self.level -= units;
        self.spent_since_sync += units;
        self.unreported += units;
    }

    /// Subtracts units from the unreported spend, because other gatekeepers need not learn of them.
    pub(crate) fn exclude_from_report(&mut self, units: f64) {
        self.unreported -= units;
    }

    /// Number of units that justify a call to the counter. It is the largest of three amounts: the unreported
    /// spend; the overflow that earlier calls added in excess; and the overflow that is not yet added, less
    /// [`DUE_OVERFLOW_FRACTION`] of the burst.
    pub(crate) fn units_to_report(&self, plan: &Plan) -> f64 {
        let due = self.overflow_to_report - DUE_OVERFLOW_FRACTION * plan.burst;
        self.unreported.abs().max(-self.overflow_to_report).max(due)
    }

    /// Starts a call to the counter and returns the units that the call adds to the count: the unreported
    /// spend, and the units estimated to have overflowed the bucket.
    pub(crate) fn start_call(&mut self, plan: &Plan, call: CounterCall, now: Timestamp) -> f64 {
        let known = self.last_total.filter(|known| known.name == call.name);
        if known.is_none() || !call.last_call_answered {
            // Overflowed units belong to the count of the previous name, or are left to a gatekeeper whose
            // calls are answered. Units added in excess to the count of this name are still subtracted.
            self.overflow_to_report = self.overflow_to_report.min(0.0) * f64::from(known.is_some());
        } else if self.overflow_to_report >= 0.0 {
            let growth = self.others_total_growth_rate * (now - self.synced_at) as f64 / SECOND;
            let expected =
                known.map_or(call.refilled, |known| known.total + (self.overflow_to_report + growth));
            self.overflow_to_report +=
                (call.refilled - expected).clamp(0.0, MAX_ESTIMATED_OVERFLOW_FRACTION * plan.burst);
        }
        // The wire format has single precision: the rounding remainder stays unreported.
        self.overflow_to_report = f64::from(self.overflow_to_report as f32);
        let added = f64::from((self.unreported + self.overflow_to_report) as f32);
        self.unreported -= added - self.overflow_to_report;
        self.units_in_flight = Some(added);
        added
    }

    /// Ends the call in flight and returns the units that it was sent to add; `None` if there was no call.
    pub(crate) fn take_call(&mut self) -> Option<f64> {
        self.units_in_flight.take()
    }

    /// Records that a call that was to add `added` units to the count ended without a total.
    pub(crate) fn call_failed(&mut self, added: f64, failure: FailedCall) {
        match failure {
            FailedCall::NotAdded => self.unreported += added - self.overflow_to_report,
            FailedCall::PossiblyAdded => self.overflow_to_report = 0.0,
        }
    }

    /// Records that a call added its units to a count that is no longer in use. The spend among these units
    /// must be reported again.
    pub(crate) fn call_misdirected(&mut self, added: f64) {
        self.unreported += added - self.overflow_to_report;
        self.overflow_to_report = 0.0;
    }

    /// Recomputes the level, the spend rates of other gatekeepers and the overflow from a counter's answer.
    pub(crate) fn apply_total(&mut self, plan: &Plan, answer: CounterAnswer, now: Timestamp) {
        let CounterAnswer { total: CountTotal { name, total }, added, refilled, .. } = answer;
        let seconds = self.seconds_since_sync(now);
        let previous_total = self.last_total.filter(|known| known.name == name).map(|known| known.total);
        let others_change = total - added - previous_total.unwrap_or(0.0);
        let reported_spend = added - self.overflow_to_report;
        // The highest level that this gatekeeper considers possible. If the last total showed a debt, the
        // debt is included, because this gatekeeper's own reservations were reported in that total.
        let known_max = self.synced_level + plan.rate * seconds - self.spent_since_sync;
        // Just before the call the bucket held at most a burst. While the name is new, the bucket held at
        // most the highest level that this gatekeeper considers possible.
        let is_exact = previous_total.is_some() && self.level_accuracy != LevelAccuracy::Fresh;
        let max_level = if is_exact {
            plan.burst
        } else {
            (known_max + reported_spend + self.unreported).min(plan.burst)
        };
        let overflow_to_report = self.overflow_to_report.max(0.0);
        let level_before_call = plan.burst + refilled - (total - reported_spend - overflow_to_report);
        self.overflow_to_report = (level_before_call - max_level).max(0.0) - overflow_to_report;
        let min_level = -MAX_DEBT_FRACTION * plan.burst;
        let shown_level = plan.burst + refilled - total - self.overflow_to_report;
        let available = shown_level.max(min_level) - self.unreported;
        // A level below `min_level` is due to overflowed units that several gatekeepers have added to the
        // count and not yet subtracted again. Such a level does not show what these gatekeepers spent.
        if previous_total.is_some() && shown_level >= min_level {
            self.update_spend_rates(
                (known_max.min(plan.burst) - available).max(0.0),
                others_change.max(0.0),
                seconds,
            );
        }
        let has_lost_spend = self.is_synced() && self.has_lost_spend(plan, answer, others_change);
        self.level_accuracy = self.next_level_accuracy(has_lost_spend, previous_total.is_some());
        self.level = if has_lost_spend {
            // All local shares are assumed to hold as much as this one, up to the highest possible level.
            answer.local_shares.min(known_max).min(plan.burst) - self.unreported
        } else if self.level_accuracy == LevelAccuracy::Diverged {
            // After the counter has lost units, other gatekeepers add overflow again that the count already
            // contained before. These units are neither spend nor a deeper debt.
            (known_max - others_change).max(min_level).min(available)
        } else {
            available
        };
        self.synced_level = self.level;
        self.spent_since_sync = 0.0;
        self.synced_at = now;
        self.last_total = Some(CountTotal { name, total });
    }

    /// Whether the counter has lost spend. A counter that loses spend also loses the overflowed units in the
    /// count, so the total then shows a level well above a full bucket. The total also drops when gatekeepers
    /// that all added the same overflow subtract it again, but then it shows a full bucket at most.
    fn has_lost_spend(&self, plan: &Plan, answer: CounterAnswer, others_change: f64) -> bool {
        let CounterAnswer { total: CountTotal { total, .. }, refilled, .. } = answer;
        let has_total_dropped = others_change < answer.total_drop_threshold
            && total < -others_change
            && refilled - total > DUE_OVERFLOW_FRACTION * plan.burst;
        answer.was_counter_silent || has_total_dropped
    }

    fn next_level_accuracy(&self, has_lost_spend: bool, is_known_name: bool) -> LevelAccuracy {
        match self.level_accuracy {
            _ if has_lost_spend => LevelAccuracy::Diverged,
            _ if !is_known_name => LevelAccuracy::Fresh,
            LevelAccuracy::Diverged => LevelAccuracy::Diverged,
            LevelAccuracy::Fresh | LevelAccuracy::Exact => LevelAccuracy::Exact,
        }
    }

    /// Updates the rates at which other gatekeepers spend (`spent` units in `seconds`) and raise the total.
    fn update_spend_rates(&mut self, spent: f64, total_growth: f64, seconds: f64) {
        let seconds = seconds.max(MIN_RATE_SECONDS);
        let weight = 1.0 - (-seconds / SPEND_RATE_TIME_CONSTANT).exp();
        self.others_spend_rate += weight * (spent / seconds - self.others_spend_rate);
        self.others_total_growth_rate += weight * (total_growth / seconds - self.others_total_growth_rate);
    }

    /// Treats the bucket as empty until a total is read, because some spend is unknown.
    pub(crate) fn assume_empty(&mut self) {
        self.last_total = None;
        self.level = self.level.min(0.0);
    }

    /// Drops the unreported spend, because the hot-restart successor reports it.
    pub(crate) fn drop_unreported(&mut self) {
        self.unreported = 0.0;
    }

    pub(crate) fn store(&self, stored: &mut StoredQuota) {
        stored.level = self.level;
        stored.synced_level = self.synced_level;
        stored.spent_since_sync = self.spent_since_sync;
        stored.synced_at = self.synced_at;
        stored.unreported = self.unreported;
        stored.level_accuracy = self.level_accuracy;
        stored.others_spend_rate = self.others_spend_rate;
        stored.others_total_growth_rate = self.others_total_growth_rate;
        // The counter adds the units of the call in flight to the total, whichever process receives the
        // answer.
        let added = self.units_in_flight.unwrap_or(0.0);
        stored.last_total = self.last_total.map(|known| CountTotal { total: known.total + added, ..known });
        stored.overflow_to_report = if self.is_call_in_flight() { 0.0 } else { self.overflow_to_report };
        stored.units_in_flight = None;
    }

    pub(crate) fn restore(stored: &StoredQuota) -> Self {
        Self {
            level: stored.level,
            synced_level: stored.synced_level,
            spent_since_sync: stored.spent_since_sync,
            synced_at: stored.synced_at,
            unreported: stored.unreported,
            overflow_to_report: stored.overflow_to_report,
            level_accuracy: stored.level_accuracy,
            others_spend_rate: stored.others_spend_rate,
            others_total_growth_rate: stored.others_total_growth_rate,
            last_total: stored.last_total,
            units_in_flight: stored.units_in_flight,
        }
    }
}

/// The name of a tenant's count in the shared counter, and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CountName {
    pub(crate) name: u64,
    /// Microseconds since the epoch in which the count has this name began.
    pub(crate) epoch_age: Micros,
}

impl CountName {
    /// Derives the name from tenant, rate and epoch alone, so that every gatekeeper uses the same one. Epochs
    /// begin at a different time for each tenant, so that not all names change at once. The rate is part of
    /// the name because the refill is computed from it: with another rate, the total would show a wrong
    /// level.
    pub(crate) fn of(tenant: TenantId, rate: f64, fleet_time: Timestamp) -> Self {
        let time = fleet_time.as_micros() + mix(tenant.0) % EPOCH_DURATION;
        let name = mix(mix(tenant.0) ^ mix(rate.to_bits()) ^ (time / EPOCH_DURATION));
        Self { name, epoch_age: time % EPOCH_DURATION }
    }

    /// Units that arrived as refill since the epoch of the count began.
    pub(crate) fn refilled(self, rate: f64) -> f64 {
        refilled(rate, self.epoch_age)
    }
}

/// Units that refill at a rate (in units a second) within `epoch_age` microseconds.
pub(crate) fn refilled(rate: f64, epoch_age: Micros) -> f64 {
    rate * epoch_age as f64 / SECOND
}

#[cfg(test)]
mod tests;
