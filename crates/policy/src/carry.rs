//! What one gateway hands to the one that takes its place, and what it keeps when its settings change: its memory as plain
//! data, no decision. The giver lets nothing in from then on, so each store and each right has one owner.

use super::{DUST, Gateway};
use crate::interface::{Event, ListKind, Micros, Settings, SettingsError};
use crate::state::{Backend, Counter, Customer, Fleet, Health, Kind};
use crate::trend::Trend;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The memory of a gateway.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Carried {
    now: Micros,
    born: Micros,
    customers: Vec<(u64, Customer)>,
    counter: Counter,
    backends: Vec<(u32, Micros, Backend)>,
    trend: Trend,
    kinds: Vec<Kind>,
    fleet: Fleet,
    copies: f64,
}

impl Carried {
    /// The same with numbers as the taker has them: `backends` by the giver's number, `plans` and `classes` in the giver's
    /// order. What has no number there is left out.
    #[must_use]
    pub fn renumbered(
        mut self,
        backends: &HashMap<u32, u32>,
        plans: &[Option<usize>],
        classes: &[Option<usize>],
    ) -> Self {
        self.customers.retain_mut(|(_, c)| {
            let plan = plans.get(c.plan).copied().flatten();
            c.plan = plan.unwrap_or_default();
            plan.is_some()
        });
        self.backends.retain_mut(|(id, ..)| {
            let number = backends.get(id).copied();
            *id = number.unwrap_or_default();
            number.is_some()
        });
        // With other classes, what was learnt of each class says nothing.
        if classes.iter().enumerate().any(|(at, class)| *class != Some(at)) {
            self.kinds.clear();
            self.backends.clear();
        }
        self
    }
}

impl Gateway {
    /// Gives all away: spend that the counter has not heard of goes along, and what waits for a total is taken as let in.
    pub fn hand_over(&mut self) -> Carried {
        self.turn_to(0);
        let held = |key| self.requests.values().filter(move |r| r.customer == key).map(|r| r.reserved);
        let customers = self.customers.iter().map(|(&key, c)| {
            let waiting: f64 = held(key).sum();
            // A call that is out adds to the total that was read last, whoever hears its answer.
            let known = c.known.map(|(name, total)| (name, total + c.call.unwrap_or(0.0)));
            let wrote = if c.call.is_some() { 0.0 } else { c.wrote };
            let (ceiling, waiting) = (c.ceiling - waiting, Vec::new());
            let c = Customer { known, wrote, ceiling, call: None, waiting, held: 0.0, open: 0, ..c.clone() };
            (key, c)
        });
        let carried = Carried {
            now: self.now,
            born: self.born,
            customers: customers.collect(),
            counter: self.counter.clone(),
            backends: self.backends.iter().map(|(&id, b)| (id, b.entry.started, b.clone())).collect(),
            trend: self.trend.clone(),
            kinds: self.kinds.clone(),
            fleet: self.fleet.clone(),
            copies: self.copies,
        };
        self.customers.values_mut().for_each(|c| c.pending = 0.0);
        self.dirty.clear();
        carried
    }

    /// Takes the place of the one that gave this away. Lists and holds are this gateway's own.
    pub fn take_over(&mut self, carried: Carried) {
        self.turn_to(0);
        let Carried { now, born, customers, counter, backends, trend, kinds, fleet, copies } = carried;
        self.now = self.now.max(now);
        self.born = born.min(self.now);
        for (key, mut c) in customers {
            if c.plan >= self.s.plans.len() || !c.set.is_finite() || c.set < 1.0 {
                continue;
            }
            for value in [
                &mut c.level,
                &mut c.own,
                &mut c.base,
                &mut c.ceiling,
                &mut c.pending,
                &mut c.spent,
                &mut c.wrote,
                &mut c.grows,
            ] {
                *value = if value.is_finite() { *value } else { 0.0 };
            }
            for time in [&mut c.at, &mut c.synced, &mut c.opened] {
                *time = (*time).min(self.now);
            }
            if c.pending.abs() > DUST {
                self.dirty.insert(key);
            }
            self.customers.insert(key, c);
        }
        self.counter = Counter { at: self.now, paced: counter.paced.min(self.now), ..counter };
        self.counter.answered = self.counter.answered.min(self.now);
        for (id, started, learnt) in backends {
            let same = |b: &&mut Backend| b.entry.started == started && learnt.health.len() == b.health.len();
            if let Some(b) = self.backends.get_mut(&id).filter(same) {
                let learned = learnt.learned.min(self.now);
                *b = Backend { entry: b.entry.clone(), out: b.out, learned, ..learnt };
            }
        }
        if kinds.len() == self.kinds.len() {
            (self.kinds, self.trend) = (kinds, trend);
        }
        self.fleet =
            Fleet { since: fleet.since.min(self.now), learned: fleet.learned.min(self.now), ..fleet };
        self.fleet.last_send = self.fleet.last_send.min(self.now);
        self.copies = if copies.is_finite() { copies } else { 0.0 };
        self.order_backends();
    }

    /// Goes on by other settings. Classes and plans keep their numbers: those that the new settings do not have stay as they
    /// were, for what is under way.
    ///
    /// # Errors
    ///
    /// Returns what [`Settings::validate`] finds; nothing has changed then.
    pub fn resettle(&mut self, mut settings: Settings) -> Result<(), SettingsError> {
        let unknown = self.s.plans.len() - 1;
        settings.classes.extend(self.s.classes.iter().skip(settings.classes.len()).cloned());
        settings.plans.extend(self.s.plans[..unknown].iter().skip(settings.plans.len()).cloned());
        let fresh = Self::new(settings, 0, self.now)?;
        let classes = fresh.s.classes.len();
        let to = fresh.s.plans.len() - 1;
        self.customers.values_mut().filter(|c| c.plan == unknown).for_each(|c| c.plan = to);
        self.requests.values_mut().filter(|r| r.plan == unknown).for_each(|r| r.plan = to);
        self.kinds.extend(fresh.kinds.into_iter().skip(self.kinds.len()));
        for b in self.backends.values_mut() {
            b.health.resize(classes, Health { answered: self.now, sick: None });
        }
        (self.s, self.top_worth) = (fresh.s, fresh.top_worth);
        self.order_backends();
        Ok(())
    }

    /// The order of the backends is made anew.
    fn order_backends(&mut self) {
        let event = Event::Backends { kind: ListKind::Changes, entries: Vec::new() };
        self.handle(self.now, event, &mut Vec::new());
    }

    /// The one that this was given to has let something in: the stores here go along, so that they can be taken back. The
    /// counter hears of it from that one.
    pub fn mirror(&mut self, now: Micros, customer: u64, plan: usize, set: f64, units: f64) {
        if plan + 1 >= self.s.plans.len() {
            return;
        }
        self.now = self.now.max(now);
        self.meet_customer(customer, plan, set);
        let largest = self.s.largest;
        self.customers.entry(customer).and_modify(|c| {
            c.spend(units);
            c.pending -= units;
            c.own = (c.own - units).max(-largest);
            c.ceiling -= units;
        });
    }

    /// Takes all back from one that ended unheard. Where not all that it let in is known (`whole`), every store starts from
    /// nothing.
    pub fn take_back(&mut self, whole: bool) {
        if whole {
            return;
        }
        for c in self.customers.values_mut() {
            (c.known, c.own, c.ceiling) = (None, c.own.min(0.0), c.ceiling.min(0.0));
            c.level = c.level.min(0.0);
        }
        self.born = self.now;
    }
}
