//! The level of a token bucket that several gatekeepers share, estimated from a count that only adds up: no decision.
//!
//! All that any of them spends is added to the count of the epoch. What refills while the bucket is full overflows: it is
//! written off in the count as well, by whoever calls next. So the level is always a burst plus what refilled since the epoch
//! began, less the total, and a gatekeeper that has not called for long reads it exactly. The counter serves the calls for a
//! name in order, so an answer also tells the level just before the call: a write-off that was too large, because another
//! gatekeeper had made it already, is known by its own answer and taken back.

use crate::ids::TenantId;
use crate::settings::Plan;
use crate::state::{BucketView, CountTotal, TenantBucket, mix};
use crate::time::{Micros, Timestamp};

/// us; how long the name of a count is used (the design's epoch). Totals are read as differences and buckets refill smoothly, so
/// a long epoch only means fewer changes of name. A name lives for two, 60 s at most.
pub(crate) const EPOCH: Micros = 30_000_000;
/// Seconds; memory of rates of spend. Spikes last seconds, so a division by recent spend has to follow within about one.
const SPEND_MEMORY: f64 = 1.5;
/// Part of a burst from which a write-off that is due is worth a call: others would read a level that is too high.
const DUE_WRITE_OFF_PART: f64 = 0.25;
/// Part of a burst that is written off at most on an estimate. Until it is taken back others read a level that is too low and
/// reject; what is missing costs nobody anything, as the next to call writes it off.
const ESTIMATED_WRITE_OFF_PART: f64 = 0.5;
/// Part of a burst that a bucket may be in debt. Gatekeepers that start at once each write off all that refilled since the epoch
/// began, and until all but one have taken that back the total shows a debt of many bursts: who read it then would reject for
/// as long as that takes to refill, and call no more. Spend beyond a bucket is real, and small.
const MAX_DEBT_PART: f64 = 0.25;

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
}

impl TenantBucket {
    /// Takes units, or gives them back if negative; they are to be reported to the counter.
    pub(crate) fn spend(&mut self, units: f64) {
        self.level -= units;
        self.spent_since_sync += units;
        self.unreported += units;
    }

    /// Units that others should learn of: spend, what was written off too much, and write-offs that are due if that is much.
    pub(crate) fn units_to_report(&self, plan: &Plan) -> f64 {
        let due = self.written_off - DUE_WRITE_OFF_PART * plan.burst;
        self.unreported.abs().max(-self.written_off).max(due)
    }

    /// Starts a call for this name and returns what it adds: the unreported spend, and the write-off as well as it is known
    /// before the answer. `refilled`: units that refilled since the epoch began. `last_call_answered`: else this call may be
    /// added whenever the counter is reached again without an answer, so that nothing is written off with it.
    pub(crate) fn start_call(
        &mut self,
        burst: f64,
        name: u64,
        refilled: f64,
        now: Timestamp,
        last_call_answered: bool,
    ) -> f64 {
        let known = self.last_total.filter(|known| known.name == name);
        if known.is_none() || !last_call_answered {
            // It was due under the name before, or is left to whoever gets an answer.
            self.written_off = self.written_off.min(0.0) * f64::from(known.is_some());
        } else if self.written_off >= 0.0 {
            let growth = self.others_growth * now.seconds_since(self.synced_at);
            let expected = known.map_or(refilled, |known| known.total + (self.written_off + growth));
            self.written_off += (refilled - expected).clamp(0.0, ESTIMATED_WRITE_OFF_PART * burst);
        }
        // The wire carries single precision: the remainder stays unreported.
        self.written_off = f64::from(self.written_off as f32);
        let added = f64::from((self.unreported + self.written_off) as f32);
        self.unreported -= added - self.written_off;
        self.call_in_flight = Some(added);
        added
    }

    /// Updates the level from the answer to a call.
    pub(crate) fn apply_total(&mut self, plan: &Plan, answer: CounterAnswer, now: Timestamp) {
        let CounterAnswer { total: CountTotal { name, total }, added, refilled, .. } = answer;
        let unseen = now.seconds_since(self.synced_at);
        let before = self.last_total.filter(|known| known.name == name).map(|known| known.total);
        let others = total - added - before.unwrap_or(0.0);
        let reported = added - self.written_off;
        // The highest level by own knowledge: with the debt that was read, in which own reservations were reported.
        let own = self.synced_level + plan.rate * unseen - self.spent_since_sync;
        // Just before the call it held a burst at most; under a new name, the most it held under the last one.
        let exact = before.is_some() && self.view != BucketView::Fresh;
        let max_level = if exact { plan.burst } else { (own + reported + self.unreported).min(plan.burst) };
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
        // A counter that lost spend lost write-offs as well. Others that take back what they all wrote off at once leave a full
        // bucket, never a level above that.
        let lost_totals = others < answer.lost_total_change
            && total < -others
            && refilled - total > DUE_WRITE_OFF_PART * plan.burst;
        let lost = self.last_total.is_some() && (answer.after_silence || lost_totals);
        self.view = match before {
            _ if lost => BucketView::Diverged,
            None => BucketView::Fresh,
            Some(_) if self.view == BucketView::Diverged => BucketView::Diverged,
            Some(_) => BucketView::Exact,
        };
        self.level = if lost {
            // All shares are assumed to be as full as this one, as far as there can be so much.
            (self.local_share * self.gatekeepers).min(own).min(plan.burst) - self.unreported
        } else if self.view == BucketView::Diverged {
            // After a loss others write off once more what all had before: no spend, and no deeper debt than any other.
            (own - others).max(min_level).min(left)
        } else {
            left
        };
        self.synced_level = self.level;
        self.spent_since_sync = 0.0;
        self.synced_at = now;
        self.last_total = Some(CountTotal { name, total });
    }

    /// Learns what the others spent in this time, and by how much they raised the total.
    fn learn_rates(&mut self, spent: f64, raised: f64, seconds: f64) {
        let seconds = seconds.max(1e-3);
        let weight = 1.0 - (-seconds / SPEND_MEMORY).exp();
        self.others_rate += weight * (spent / seconds - self.others_rate);
        self.others_growth += weight * (raised / seconds - self.others_growth);
    }
}

/// The name of a tenant's count, from tenant, rate and epoch alone, so that every gatekeeper finds the same, and microseconds since
/// that epoch began. Each tenant has its own phase, so that not all names change at once. What has refilled follows from the
/// rate: under another one the total would show a debt, or room, that nobody has.
pub(crate) fn count_name(tenant: TenantId, rate: f64, now: Timestamp) -> (u64, Micros) {
    let time = now.as_micros() + mix(tenant.0) % EPOCH;
    (mix(mix(tenant.0) ^ mix(rate.to_bits()) ^ (time / EPOCH)), time % EPOCH)
}
