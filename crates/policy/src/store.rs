//! How full the store is that several gateways share, from a count that only adds up: an estimate, no decision.
//!
//! All that one of them spends it adds to the count of the epoch. What fills while the store is full no store can hold: it is
//! written off in the count as well, by whoever calls next. So the store is always a burst and what filled since the epoch
//! began, less the total, and a gateway that has not asked for long reads it exactly. The counter serves the calls for a name
//! in order, so an answer also tells what the store showed just before the call: a write-off that was too large, since
//! another gateway had made it already, is known by its own answer and taken back.

use crate::interface::{Micros, Plan};
use crate::state::{Customer, View};

const SECOND: f64 = 1e6;
/// s; memory of rates of spend. Spikes last seconds, so a split by recent spend has to turn in about one.
const SPEND_MEMORY: f64 = 1.5;
/// Part of a burst from which a write-off that is owed is news by itself: others would read a store that is too full.
const OWED_PART: f64 = 0.25;
/// Part of a burst that is written off at most on a guess. Until it is taken back others read a store that is too empty and
/// refuse; what is missing costs nobody anything, as the next to call writes it off.
const GUESSED_PART: f64 = 0.5;

/// Part of a burst that a store may owe. Gateways that start at once each write off all that filled since the epoch began, and
/// until all but one have taken that back the total shows a debt of many bursts: who read it then would refuse for as long as
/// that takes to fill, and ask no more. Spend beyond a store is real, and small.
const DEBT_PART: f64 = 0.25;

impl Customer {
    /// Takes units, or gives them back below 0, to be told to the counter.
    pub(crate) fn spend(&mut self, units: f64) {
        self.level -= units;
        self.spent += units;
        self.pending += units;
    }

    /// Units that the others should hear of: spend, what was written off too much, and what is still to be where that is much.
    pub(crate) fn news(&self, plan: &Plan) -> f64 {
        self.pending.abs().max(-self.wrote).max(self.wrote - OWED_PART * plan.burst)
    }

    /// What a call for this name is to add: the pending spend, and the write-off as well as it is known before the answer.
    /// `filled`: units that filled since the epoch began. `heard`: the last call was answered. Else the call may be added whenever
    /// the counter is reached again and never be heard of, so that nothing is written off with it: spend alone is worth that.
    pub(crate) fn tell(&mut self, burst: f64, name: u64, filled: f64, now: Micros, heard: bool) -> f64 {
        let known = self.known.filter(|k| k.0 == name);
        if known.is_none() || !heard {
            // It was owed to the name before, or is left to who is answered.
            self.wrote = self.wrote.min(0.0) * f64::from(known.is_some());
        } else if self.wrote >= 0.0 {
            let grown = self.wrote + self.grows * (now - self.synced) as f64 / SECOND;
            let seen = known.map_or(filled, |k| k.1 + grown);
            self.wrote += (filled - seen).clamp(0.0, GUESSED_PART * burst);
        }
        // The wire carries single precision: what that leaves over stays pending.
        self.wrote = f64::from(self.wrote as f32);
        let add = f64::from((self.pending + self.wrote) as f32);
        self.pending -= add - self.wrote;
        self.call = Some(add);
        add
    }

    /// Reads the total that a call got for what it `added`. `lost`: whether the counter was silent since the last one, and
    /// the change of a total, below 0, from which it has forgotten.
    pub(crate) fn hear(
        &mut self,
        plan: &Plan,
        (name, total): (u64, f64),
        added: f64,
        filled: f64,
        lost: (bool, f64),
        now: Micros,
    ) {
        let unseen = (now - self.synced) as f64 / SECOND;
        let before = self.known.filter(|k| k.0 == name).map(|k| k.1);
        let others = total - added - before.unwrap_or(0.0);
        let told = added - self.wrote;
        // What it holds at the most by own knowledge: with the debt that it was read with, in which own reserves were told.
        let own = self.base + plan.rate * unseen - self.spent;
        // Just before the call it held a burst at most; under a new name, what it held under the last one at most.
        let exact = before.is_some() && self.view != View::Fresh;
        let most = if exact { plan.burst } else { (own + told + self.pending).min(plan.burst) };
        let wrote = self.wrote.max(0.0);
        let showed = plan.burst + filled - (total - told - wrote);
        self.wrote = (showed - most).max(0.0) - wrote;
        let least = -DEBT_PART * plan.burst;
        let shown = plan.burst + filled - total - self.wrote;
        let left = shown.max(least) - self.pending;
        // A deeper debt is what others are putting right yet: it says nothing of their spend.
        if before.is_some() && shown >= least {
            self.learn_split((own.min(plan.burst) - left).max(0.0), others.max(0.0), unseen);
        }
        // One that forgot has not heard what was written off either. Others who take back what they all wrote off at once leave
        // a store that is full, not one above that.
        let forgot = others < lost.1 && total < -others && filled - total > OWED_PART * plan.burst;
        let lost = self.known.is_some() && (lost.0 || forgot);
        self.view = match before {
            _ if lost => View::Adrift,
            None => View::Fresh,
            Some(_) if self.view == View::Adrift => View::Adrift,
            Some(_) => View::Exact,
        };
        self.level = if lost {
            // All parts are thought as full as this one's, as far as there can be so much.
            (self.own * self.set).min(own).min(plan.burst) - self.pending
        } else if self.view == View::Adrift {
            // After a loss others write off once more what all had before: no spend, and no deeper debt than any other.
            (own - others).max(least).min(left)
        } else {
            left
        };
        (self.base, self.spent, self.synced) = (self.level, 0.0, now);
        self.known = Some((name, total));
    }

    /// What the others took from the store in this time, and by how much they raised the total.
    fn learn_split(&mut self, others: f64, raised: f64, unseen: f64) {
        let dt = unseen.max(1e-3);
        let weight = 1.0 - (-dt / SPEND_MEMORY).exp();
        self.others_rate += weight * (others / dt - self.others_rate);
        self.grows += weight * (raised / dt - self.grows);
    }
}
