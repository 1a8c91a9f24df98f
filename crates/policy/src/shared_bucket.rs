//! The level of a token bucket that several gatekeepers share, estimated from a count that only adds up: no decision.
//!
//! All spend of every gatekeeper is added to the count of the epoch. What refills while the bucket is full overflows: it is written
//! off in the count as well, by whichever gatekeeper calls next. So the level is always a burst plus what refilled since the epoch
//! began, less the total, and a gatekeeper that has not called for long reads it exactly. The counter serves the calls for a name in
//! order, so an answer also tells the level just before the call: a write-off that was too large, because another gatekeeper had made
//! it already, shows in its own answer and is taken back.

use crate::count_total::{BucketView, CountTotal};
use crate::hash::mix;
use crate::ids::TenantId;
use crate::settings::Plan;
use crate::stored::StoredQuota;
use crate::time::{Micros, SECOND, Timestamp};

/// Microseconds for which the name of a count is used (the design's epoch). Totals are read as differences and buckets refill
/// smoothly, so a long epoch only means fewer changes of name. A name lives for two epochs, 60 s at most.
pub(crate) const EPOCH: Micros = 30_000_000;
/// Seconds; memory of rates of spend. Spikes last seconds, so a division by recent spend has to follow within about one.
const SPEND_MEMORY: f64 = 1.5;
/// Part of a burst from which a write-off that is due is worth a call: others would read a level that is too high.
const DUE_WRITE_OFF_PART: f64 = 0.25;
/// Part of a burst that is written off at most on an estimate. Until it is taken back others read a level that is too low and
/// reject. A write-off that is missing does no harm: the gatekeeper that calls next makes it.
const ESTIMATED_WRITE_OFF_PART: f64 = 0.5;
/// Part of a burst that a bucket may be in debt. Gatekeepers that start at once each write off all that refilled since the epoch
/// began, and until all but one have taken that back the total shows a debt of many bursts: a gatekeeper that read it then would reject
/// for as long as that takes to refill, and call no more. Spend beyond a bucket is real, and small.
const MAX_DEBT_PART: f64 = 0.25;
/// Shortest time in seconds over which a rate is learnt.
const MIN_RATE_SECONDS: f64 = 1e-3;

/// An answer of the counter to one call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterAnswer {
    pub(crate) total: CountTotal,
    /// Units that the call added.
    pub(crate) added: f64,
    /// Units that refilled since the epoch of the name began.
    pub(crate) refilled: f64,
    /// The counter was silent since the last answer.
    pub(crate) after_silence: bool,
    /// The change of a total, below 0, from which the counter has lost spend.
    pub(crate) lost_total_change: f64,
    /// Units in the local shares of all gatekeepers, if all are as full as this gatekeeper's.
    pub(crate) local_shares: f64,
}

/// A call that starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterCall {
    /// The name of the count.
    pub(crate) name: u64,
    /// Units that refilled since the epoch of the name began.
    pub(crate) refilled: f64,
    /// The last call was answered. Else this one may be added whenever the counter is reached again, without an answer, so that
    /// nothing is written off with it.
    pub(crate) last_call_answered: bool,
}

/// The estimate of one tenant's shared bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedBucket {
    /// Estimated units in the bucket.
    level: f64,
    /// The level at the last total that was read, and own spend since.
    synced_level: f64,
    spent_since_sync: f64,
    synced_at: Timestamp,
    /// Own spend that is not reported to the counter yet.
    unreported: f64,
    /// Units that overflowed the full bucket and are written off in the count, with the call in flight or the next one; negative:
    /// written off too much.
    written_off: f64,
    /// What the last total says about the bucket.
    view: BucketView,
    /// Units a second that other gatekeepers spend, and by which they raise the total.
    others_rate: f64,
    others_growth: f64,
    /// The total that was read last.
    last_total: Option<CountTotal>,
    /// Units that the call in flight adds to the count.
    call_in_flight: Option<f64>,
}

/// How a call to the counter ended without a total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailedCall {
    /// Nothing was added.
    NotAdded,
    /// It may have been added: reporting the units again could count them twice.
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
    pub(crate) fn others_rate(&self) -> f64 {
        self.others_rate
    }

    /// Whether a total has been read.
    pub(crate) fn is_synced(&self) -> bool {
        self.last_total.is_some()
    }

    pub(crate) fn synced_at(&self) -> Timestamp {
        self.synced_at
    }

    /// Seconds since a total was read.
    pub(crate) fn seconds_since_sync(&self, now: Timestamp) -> f64 {
        now.seconds_since(self.synced_at)
    }

    pub(crate) fn unreported(&self) -> f64 {
        self.unreported
    }

    pub(crate) fn is_call_in_flight(&self) -> bool {
        self.call_in_flight.is_some()
    }

    /// Adds what refilled over this many seconds. The others go on spending unseen, but in the long run no more than what refills.
    pub(crate) fn refill(&mut self, plan: &Plan, seconds: f64) {
        let others_rate = self.others_rate.min(plan.rate);
        self.level = (self.level + (plan.rate - others_rate) * seconds).min(plan.burst);
    }

    /// The highest level that a fresh total could show.
    pub(crate) fn max_level(&self, plan: &Plan, now: Timestamp) -> f64 {
        self.synced_level + plan.rate * self.seconds_since_sync(now) - self.spent_since_sync
    }

    /// Takes units, or gives them back if negative; they are to be reported to the counter.
    pub(crate) fn spend(&mut self, units: f64) {
        self.level -= units;
        self.spent_since_sync += units;
        self.unreported += units;
    }

    /// These units need not be reported by this gatekeeper.
    pub(crate) fn forgo_report(&mut self, units: f64) {
        self.unreported -= units;
    }

    /// Units to report to the others: spend, an excess of write-offs, and write-offs that are due if they are large.
    pub(crate) fn units_to_report(&self, plan: &Plan) -> f64 {
        let due = self.written_off - DUE_WRITE_OFF_PART * plan.burst;
        self.unreported.abs().max(-self.written_off).max(due)
    }

    /// Starts a call and returns the units that it adds: the unreported spend, and the estimated write-off.
    pub(crate) fn start_call(&mut self, plan: &Plan, call: CounterCall, now: Timestamp) -> f64 {
        let known = self.last_total.filter(|known| known.name == call.name);
        if known.is_none() || !call.last_call_answered {
            // It was due under the previous name, or is left to a gatekeeper whose call is answered.
            self.written_off = self.written_off.min(0.0) * f64::from(known.is_some());
        } else if self.written_off >= 0.0 {
            let growth = self.others_growth * (now - self.synced_at) as f64 / SECOND;
            let expected = known.map_or(call.refilled, |known| known.total + (self.written_off + growth));
            self.written_off += (call.refilled - expected).clamp(0.0, ESTIMATED_WRITE_OFF_PART * plan.burst);
        }
        // The wire carries single precision: the remainder stays unreported.
        self.written_off = f64::from(self.written_off as f32);
        let added = f64::from((self.unreported + self.written_off) as f32);
        self.unreported -= added - self.written_off;
        self.call_in_flight = Some(added);
        added
    }

    /// Ends the call in flight and returns the units that it was to add; `None` if there was none.
    pub(crate) fn take_call(&mut self) -> Option<f64> {
        self.call_in_flight.take()
    }

    /// A call that was to add these units has ended without a total.
    pub(crate) fn call_failed(&mut self, added: f64, failure: FailedCall) {
        match failure {
            FailedCall::NotAdded => self.unreported += added - self.written_off,
            FailedCall::PossiblyAdded => self.written_off = 0.0,
        }
    }

    /// The call added to a count that is no longer in use: its units are still to be reported.
    pub(crate) fn call_misdirected(&mut self, added: f64) {
        self.unreported += added - self.written_off;
        self.written_off = 0.0;
    }

    /// Updates the level from the answer to a call.
    pub(crate) fn apply_total(&mut self, plan: &Plan, answer: CounterAnswer, now: Timestamp) {
        let CounterAnswer { total: CountTotal { name, total }, added, refilled, .. } = answer;
        let unseen = self.seconds_since_sync(now);
        let before = self.last_total.filter(|known| known.name == name).map(|known| known.total);
        let others = total - added - before.unwrap_or(0.0);
        let reported = added - self.written_off;
        // The highest level by own knowledge: with the debt that was read, in which own reservations were reported.
        let own = self.synced_level + plan.rate * unseen - self.spent_since_sync;
        // Just before the call it held a burst at most; under a new name, the most it held under the last one.
        let is_exact = before.is_some() && self.view != BucketView::Fresh;
        let max_level =
            if is_exact { plan.burst } else { (own + reported + self.unreported).min(plan.burst) };
        let written_off = self.written_off.max(0.0);
        let level_before_call = plan.burst + refilled - (total - reported - written_off);
        self.written_off = (level_before_call - max_level).max(0.0) - written_off;
        let min_level = -MAX_DEBT_PART * plan.burst;
        let shown = plan.burst + refilled - total - self.written_off;
        let left = shown.max(min_level) - self.unreported;
        // A deeper debt is what others are still correcting: it tells nothing about their spend.
        if before.is_some() && shown >= min_level {
            self.learn_rates((own.min(plan.burst) - left).max(0.0), others.max(0.0), unseen);
        }
        let has_lost_spend = self.is_synced() && self.has_lost_spend(plan, answer, others);
        self.view = self.next_view(has_lost_spend, before.is_some());
        self.level = if has_lost_spend {
            // All local shares are assumed to be as full as this one, up to the highest possible level.
            answer.local_shares.min(own).min(plan.burst) - self.unreported
        } else if self.view == BucketView::Diverged {
            // After a loss the others repeat write-offs that all had made before. That is no spend, and no deeper debt.
            (own - others).max(min_level).min(left)
        } else {
            left
        };
        self.synced_level = self.level;
        self.spent_since_sync = 0.0;
        self.synced_at = now;
        self.last_total = Some(CountTotal { name, total });
    }

    /// Whether the counter has lost spend. One that did lost write-offs as well. Others that take back what they all wrote off at once
    /// leave a full bucket, never a level above that.
    fn has_lost_spend(&self, plan: &Plan, answer: CounterAnswer, others: f64) -> bool {
        let CounterAnswer { total: CountTotal { total, .. }, refilled, .. } = answer;
        let has_total_dropped = others < answer.lost_total_change
            && total < -others
            && refilled - total > DUE_WRITE_OFF_PART * plan.burst;
        answer.after_silence || has_total_dropped
    }

    fn next_view(&self, has_lost_spend: bool, is_known_name: bool) -> BucketView {
        match self.view {
            _ if has_lost_spend => BucketView::Diverged,
            _ if !is_known_name => BucketView::Fresh,
            BucketView::Diverged => BucketView::Diverged,
            BucketView::Fresh | BucketView::Exact => BucketView::Exact,
        }
    }

    /// Updates the rates at which the others spend and raise the total.
    fn learn_rates(&mut self, spent: f64, raised: f64, seconds: f64) {
        let seconds = seconds.max(MIN_RATE_SECONDS);
        let weight = 1.0 - (-seconds / SPEND_MEMORY).exp();
        self.others_rate += weight * (spent / seconds - self.others_rate);
        self.others_growth += weight * (raised / seconds - self.others_growth);
    }

    /// Some spend is not known: the bucket counts as empty until a total is read.
    pub(crate) fn assume_empty(&mut self) {
        self.last_total = None;
        self.level = self.level.min(0.0);
    }

    /// Another process reports the spend from now on.
    pub(crate) fn hand_over_report(&mut self) {
        self.unreported = 0.0;
    }

    pub(crate) fn store(&self, stored: &mut StoredQuota) {
        stored.level = self.level;
        stored.synced_level = self.synced_level;
        stored.spent_since_sync = self.spent_since_sync;
        stored.synced_at = self.synced_at;
        stored.unreported = self.unreported;
        stored.view = self.view;
        stored.others_rate = self.others_rate;
        stored.others_growth = self.others_growth;
        // A call in flight adds to the total that was read last, whichever process gets its answer.
        let added = self.call_in_flight.unwrap_or(0.0);
        stored.last_total = self.last_total.map(|known| CountTotal { total: known.total + added, ..known });
        stored.written_off = if self.is_call_in_flight() { 0.0 } else { self.written_off };
        stored.call_in_flight = None;
    }

    pub(crate) fn restore(stored: &StoredQuota) -> Self {
        Self {
            level: stored.level,
            synced_level: stored.synced_level,
            spent_since_sync: stored.spent_since_sync,
            synced_at: stored.synced_at,
            unreported: stored.unreported,
            written_off: stored.written_off,
            view: stored.view,
            others_rate: stored.others_rate,
            others_growth: stored.others_growth,
            last_total: stored.last_total,
            call_in_flight: stored.call_in_flight,
        }
    }
}

/// The name of a count, and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CountName {
    pub(crate) name: u64,
    /// Microseconds since its epoch began.
    pub(crate) age: Micros,
}

impl CountName {
    /// The name of a tenant's count, from tenant, rate and epoch alone, so that every gatekeeper finds the same. Each tenant has its own
    /// phase, so that not all names change at once. The rate is part of the name because the refill follows from it: under another rate the
    /// total would show a level that does not exist.
    pub(crate) fn of(tenant: TenantId, rate: f64, fleet_time: Timestamp) -> Self {
        let time = fleet_time.as_micros() + mix(tenant.0) % EPOCH;
        let name = mix(mix(tenant.0) ^ mix(rate.to_bits()) ^ (time / EPOCH));
        Self { name, age: time % EPOCH }
    }

    /// Units that refilled since the epoch began.
    pub(crate) fn refilled(self, rate: f64) -> f64 {
        refilled(rate, self.age)
    }
}

/// Units that refill at a rate in this many microseconds.
pub(crate) fn refilled(rate: f64, age: Micros) -> f64 {
    rate * age as f64 / SECOND
}

#[cfg(test)]
mod tests;
