//! Every decision of a gateway. Its types, events and actions are in `src/interface.rs`.
//!
//! Read top-down: constants, state, events, admission and ceiling, bucket and counter, surcharge, choice of
//! backend, health, holds by hand, attempts, timers. No clock, thread, I/O or global: the same events give
//! the same actions.

use crate::interface::*;
use crate::state::{Attempt, Backend, Counter, Customer, Fleet, Health, Kind, Request, mix};
use crate::trend::Trend;
use std::collections::{BTreeMap, BTreeSet};

const SECOND: f64 = 1e6;
/// us; housekeeping period: flushes spend, looks for silence. Short against every aim, long against a tick.
const TICK: Micros = 20_000;
/// us; period of the work that walks all backends and customers: too dear for each tick of large fleets.
const FLEET_TICK: Micros = 200_000;
/// us; how long a counter name is used (the design's epoch). Totals are read as differences and the store
/// fills smoothly, so a long epoch only means fewer changes of name. A name lives for two, 60 s at most.
const EPOCH: Micros = 30_000_000;
/// Counter calls that must fail in a row before the counter counts as silent.
const SILENT_AFTER: u32 = 3;
/// us; between trial calls in silence of the counter: its return must not be met by a flood.
const TRIAL_EVERY: Micros = 250_000;
/// us; span between two counter calls, of one gateway at the least and of all together before its latency
/// has told what it bears; and how many a gateway may save up: what gets through in one wait, lest it floods.
const CALL_EVERY: f64 = 1_000.0;
const CALLS_AT_ONCE: (f64, f64) = (3.0, 8.0);
/// Part of the wait for a counter call within which its answer counts as quick.
const QUICK_PART: f64 = 0.4;
/// Part of what a store holds that a set of gateways may keep to itself together, and us for how long.
const TELL_PART: f64 = 0.5;
const TELL_AFTER: Micros = 500_000;
/// Units of doubt that count, in standard deviations of chance.
const DOUBT: f64 = 2.0;
/// Units too few to tell: totals come to seven digits.
const DUST: f64 = 1e-3;
/// Long-term p95 over short-term p95 below which the lowest class pays more (the design).
const RATIO_FLOOR: f64 = 0.3;
/// Mean latency in parts of the aim: below the first a backend may hold more, above the second less.
/// Latencies spread to three times their mean, so a mean of half the aim already answers many late.
const EARLY_PART: f64 = 0.3;
const LATE_PART: f64 = 0.45;
/// Attempts that all gateways together may have out at a backend when all is well, and when its answers are
/// late. Below the second a backend idles: what is late then is the work, not a queue.
const TRUST: f64 = 8.0;
const LEAST: f64 = 3.0;
/// Part of the aim that is thought the mean latency before any answer.
const START_PART: f64 = 0.2;
/// Gateways that share a backend where there are many, and the fewest backends that one keeps to: enough for
/// a lost zone and a release at once. Fewer connections are held, and the same few are known better.
const SHARERS: f64 = 12.0;
const FEWEST: usize = 8;
/// Share of all places that the cheapest work leaves to the dearest when places run short.
const RESERVE: f64 = 0.5;
/// Part of its aim that an attempt may be out with no answer from its backend since, before that is sick.
const SICK_PART: f64 = 0.6;
/// us; pause between trials of a sick backend by all gateways together, and the longest of one: troubles
/// last tens of seconds.
const SICK_PAUSE: Micros = 200_000;
const SICK_LONGEST: Micros = 20_000_000;
/// us; pause of a plan's class turned away, or the first where no connection was had, for each gateway.
const TURNED_AWAY: Micros = 10_000;
/// Part of the aim after which a second copy is worth its work, and such copies per request.
const COPY_PART: f64 = 0.4;
const COPY_SHARE: f64 = 0.1;
const COPY_MOST: f64 = 10.0;
/// Such copies that a second one costs beside an attempt that is still out. A failed attempt has to be made
/// again, and costs one; a slow one mostly answers yet, and its work goes on though it is called off.
const COPY_COST: f64 = 5.0;
/// Standard deviations of chance left free in what a cold backend is sent.
const COLD_CHANCE: f64 = 2.0;
/// Part of a cap on open attempts that all gateways together aim at: what goes out above the cap takes places
/// there too and earns nothing. With arrivals by chance, sends x P(below the cap) is largest near half of it.
const OPEN_PART: f64 = 0.55;
/// Latency over its class's mean up to which a backend counts as good, the worst that is noted, and the age
/// of the last news, in parts of its memory, from which a contact counts as a first one.
const GOOD: f64 = 1.5;
const WORST: f64 = 20.0;
const FIRST_AGE: f64 = 0.3;
/// s; memory of a backend's speed, and of latency over all backends.
const SLOW_MEMORY: f64 = 10.0;
const PART_MEMORY: f64 = 1.0;
/// s; memory of what was sent to a backend, where work goes by size.
const SENT_MEMORY: f64 = 1.0;
/// Part of a key's life left for the journey of a repeat.
const KEY_MARGIN: f64 = 0.15;

#[path = "carry.rs"]
mod carry;
#[path = "members.rs"]
mod members;
pub use carry::Carried;
pub use members::Members;

type Actions = Vec<Action>;

const TOKEN_TICK: u64 = 0;
const TOKEN_DEADLINE: u64 = 1 << 56;
const TOKEN_COPY: u64 = 2 << 56;

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Gateway {
    s: Settings,
    rng: fastrand::Rng,
    now: Micros,
    born: Micros,
    ticking: bool,
    customers: BTreeMap<u64, Customer>,
    dirty: BTreeSet<u64>,
    calls: BTreeMap<u64, u64>,
    counter: Counter,
    backends: BTreeMap<u32, Backend>,
    requests: BTreeMap<u32, Request>,
    trend: Trend,
    kinds: Vec<Kind>,
    top_worth: f64,
    copies: f64,
    next_ask: Micros,
    /// The fleet of the service in hand, whose number that is, and the fleets of all others in their places.
    fleet: Fleet,
    serving: u16,
    fleets: Vec<Fleet>,
    /// Backends that operators have taken out, on the list or not.
    held: BTreeSet<u32>,
}

impl Gateway {
    /// A gateway that knows nothing but its settings.
    ///
    /// # Errors
    ///
    /// Returns what [`Settings::validate`] finds.
    pub fn new(mut settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.validate()?;
        settings.largest = settings.largest.max(1.0);
        // The last plan stands for any unknown one: no quota is known for it.
        settings.plans.push(Plan::default());
        let mean = |aim: Micros| aim as f64 * START_PART;
        let kinds = settings.classes.iter().map(|c| Kind { mean: mean(c.aim), largest: 1.0 }).collect();
        let worth = settings.classes.iter().map(|c| c.worth).fold(0.0, f64::max);
        let price = settings.plans.iter().map(|p| p.price).fold(0.0, f64::max);
        let start = mean(settings.classes.iter().map(|c| c.aim).max().unwrap_or(1));
        let fleet =
            || Fleet { since: now, part: EARLY_PART, latency: start, hold: start, ..Fleet::default() };
        let services = settings.classes.iter().map(|c| c.service).max().unwrap_or(0);
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now,
            customers: BTreeMap::new(),
            dirty: BTreeSet::new(),
            calls: BTreeMap::new(),
            counter: Counter {
                pace: CALL_EVERY * f64::from(settings.gateways),
                rights: saved_calls(&settings) * fastrand::Rng::with_seed(seed).f64(),
                answered: now,
                at: now,
                ..Default::default()
            },
            born: now,
            backends: BTreeMap::new(),
            requests: BTreeMap::new(),
            trend: Trend::new(now),
            kinds,
            top_worth: worth * price,
            copies: COPY_MOST / 2.0,
            next_ask: now,
            fleet: fleet(),
            serving: 0,
            fleets: (0..=services).map(|_| fleet()).collect(),
            held: BTreeSet::new(),
            ticking: false,
            s: settings,
        })
    }

    /// Takes in one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.ticking {
            self.ticking = true;
            out.push(Action::Timer { after: TICK, token: TOKEN_TICK });
        }
        match event {
            Event::Backends { kind: ListKind::Failed, .. } => self.next_ask = self.now + SECOND as Micros,
            Event::Backends { kind, entries } => self.on_list(kind, entries),
            Event::Held { backend, held } => self.on_hold(backend, held),
            Event::Request { id, class, plan, customer, time_left, set_size, units, .. } => {
                let guess = if units.is_finite() && units > 0.0 { units } else { self.s.largest };
                let most = f64::from(self.s.gateways);
                let set = if set_size.is_finite() && set_size >= 1.0 { set_size.min(most) } else { most };
                let class = usize::from(class).min(self.s.classes.len() - 1);
                let plan = (plan as usize).min(self.s.plans.len() - 1);
                let deadline = self.now.saturating_add(time_left);
                let request = Request { class, plan, customer, deadline, guess, ..Request::default() };
                self.on_request(id, request, set, out);
            }
            Event::Started { id, .. } => drop(self.requests.entry(id).and_modify(|r| r.streaming = true)),
            Event::Ended { id, attempt, outcome, elapsed, units, settled, .. } => {
                if settled {
                    self.close(id);
                }
                if outcome == Outcome::Ok {
                    self.settle(id, units);
                }
                self.on_ended(id, attempt, outcome, elapsed, out);
            }
            Event::Left { id } => self.close(id),
            Event::Timer { token } => self.on_timer(token, out),
            Event::Counted { name, total, elapsed, outcome } => {
                self.judge_counter(elapsed, outcome, out);
                self.on_counted(name, total, outcome, out);
            }
            Event::Probed { .. } | Event::Message => {}
        }
    }

    /// Turns to the fleet that serves a class. Each service has its places, limits and news of its own; a
    /// customer's bucket and ceiling are one over all of them.
    fn turn_to(&mut self, service: u16) {
        if service != self.serving {
            std::mem::swap(&mut self.fleet, &mut self.fleets[usize::from(self.serving)]);
            std::mem::swap(&mut self.fleet, &mut self.fleets[usize::from(service)]);
            self.serving = service;
        }
    }

    // ---- Admission ----

    /// Decides at once where the bucket is sure. Where a fresh total could change the decision, as with many
    /// gateways it often could, the request waits for the one call that this customer has out.
    fn on_request(&mut self, id: u32, mut request: Request, set: f64, out: &mut Actions) {
        if self.requests.contains_key(&id) {
            return;
        }
        let key = request.customer;
        self.turn_to(self.s.classes[request.class].service);
        self.meet_customer(key, request.plan, set);
        // Under a ceiling a guessed request is held at its class's largest until settled.
        let held = self.s.settles && self.s.plans[request.plan].ceiling_rate > 0.0;
        let above = if held { self.kinds[request.class].largest - request.guess } else { 0.0 };
        request.hold = above.max(0.0);
        request.price = request.guess * self.surcharge_factor(request.class);
        let (spare, doubt) = self.spare(&self.customers[&key], &request);
        // What looks affordable is told as spent with the call, lest another gateway spends it meanwhile, but
        // not what has no place: its units would be given back with a second call.
        let room = self.spare_for(&request);
        request.reserved = if room && spare >= 0.0 { request.guess } else { 0.0 };
        let (after, units) =
            ((request.deadline - self.now).saturating_sub(2 * self.s.tick), request.reserved);
        self.requests.insert(id, request);
        self.customers.entry(key).and_modify(|c| c.spend(units));
        if room && doubt >= spare.abs() && self.call_counter(key, true, out) {
            self.customers.entry(key).and_modify(|c| c.waiting.push(id));
        } else if !self.decide(id, out) {
            return;
        }
        out.push(Action::Timer { after: after.max(1), token: TOKEN_DEADLINE | u64::from(id) });
    }

    /// Refuses what its bucket, its ceiling or the back end has no room for, and sends the rest.
    fn decide(&mut self, id: u32, out: &mut Actions) -> bool {
        let Some(mut r) = self.requests.remove(&id) else { return false };
        self.turn_to(self.s.classes[r.class].service);
        let (key, reserved) = (r.customer, std::mem::take(&mut r.reserved));
        self.customers.entry(key).and_modify(|c| c.spend(-reserved));
        let choice = match self.gate(&self.customers[&key], &r) {
            Some(why) => Err(why),
            None => self.choose(&r, false).ok_or(Refusal::NoBackend),
        };
        let backend = match choice {
            Ok(backend) => backend,
            Err(why) => {
                out.push(Action::Refuse { id, retry_after: self.advice(&r), why });
                self.tell_later(key, reserved, 0);
                return false;
            }
        };
        self.charge(&r);
        self.requests.insert(id, r);
        self.copies = (self.copies + COPY_SHARE).min(COPY_MOST);
        self.send(id, backend, out);
        if self.customers[&key].due <= self.now {
            self.call_counter(key, false, out);
        }
        true
    }

    /// When the customer's bucket and ceiling hold the price and a place is free, within what clients honour.
    fn advice(&self, r: &Request) -> Micros {
        let (c, f, plan) = (&self.customers[&r.customer], &self.fleet, &self.s.plans[r.plan]);
        let bucket = -self.spare(c, r).0 / plan.rate;
        let ceiling = (r.guess - c.ceiling) / plan.ceiling_rate;
        // A place: a repeat finds one at any gateway of the set, so only the lag of late answers is told.
        let lag = (f.part - EARLY_PART).max(0.0) * f.latency / SECOND;
        let place = if self.spare_for(r) { 0.0 } else { lag };
        let wait = [bucket, ceiling, place].into_iter().filter(|w| w.is_finite()).fold(0.0, f64::max);
        ((wait * SECOND) as Micros).max(self.s.tick).min(self.s.max_retry_after)
    }

    // ---- Bucket and counter ----

    /// Finds or opens a customer's bucket and brings it up to now.
    fn meet_customer(&mut self, key: u64, plan: usize, set: f64) {
        let (now, largest) = (self.now, self.s.largest);
        let plan_of = &self.s.plans[plan];
        let alive = (now - self.born) as f64 / SECOND;
        let c = self.customers.entry(key).or_insert_with(|| Customer {
            plan,
            // A new customer starts with its even part of a second's quota, but with one request at least.
            own: (plan_of.rate / set).max(largest),
            // What has filled since this gateway's start: a restart must not fill the ceiling's store anew.
            ceiling: (plan_of.ceiling_rate * alive).min(plan_of.ceiling_burst) / set,
            level: plan_of.burst,
            base: plan_of.burst,
            opened: now,
            at: now,
            synced: now,
            ..Customer::default()
        });
        c.set = set;
        let (plan, dt) = (&self.s.plans[c.plan], (now - c.at) as f64 / SECOND);
        c.at = now;
        c.ceiling = (c.ceiling + plan.ceiling_rate / set * dt).min(plan.ceiling_burst / set);
        c.surcharge = (c.surcharge - plan.rate / set * dt).max(0.0);
        // The others go on spending unseen, but in the long run no more than what fills.
        let others = c.others_rate.min(plan.rate);
        c.level = (c.level + (plan.rate - others) * dt).min(plan.burst);
        // Its own part: what it may spend whatever the others do.
        let share = 1.0 / set;
        c.own = (c.own + plan.rate * share * dt).min((plan.burst * share).max(largest));
    }

    /// Units that the bucket holds above the price, and how many they may be off: chance in what the others
    /// have spent since the last total. A fresh total could change a decision that is less sure than that.
    fn spare(&self, c: &Customer, r: &Request) -> (f64, f64) {
        let taken = c.taken(r);
        if !self.s.counter || self.counter.silent.is_some() {
            return (c.own - taken, -1.0);
        }
        if c.known.is_none() {
            return (c.own - taken, f64::INFINITY);
        }
        let (rate, unseen) = (self.s.plans[c.plan].rate, (self.now - c.synced) as f64 / SECOND);
        // No total can show more than this: where that is too little, none is asked for.
        let most = c.base + rate * unseen - c.spent - taken;
        if most < 0.0 {
            return (most, -1.0);
        }
        let others = c.others_rate.max(rate * (1.0 - 2.0 / c.set));
        (c.level - taken, DOUBT * (others * unseen * self.s.largest).sqrt())
    }

    /// What keeps a request out, if anything does. Where the shared bucket is in doubt the own part decides,
    /// lest all gateways spend the same last units. Each gateway owns the ceiling's rate and burst over the
    /// customer's set, debited by told units at first send and never refunded: all keep under it together
    /// whatever the counter or the others do.
    fn gate(&self, c: &Customer, r: &Request) -> Option<Refusal> {
        let plan = &self.s.plans[c.plan];
        let (spare, doubt) = self.spare(c, r);
        match spare.abs() < doubt {
            _ if plan.open > 0 && !self.open_allows(c, f64::from(plan.open)) => Some(Refusal::Open),
            true if plan.rate > 0.0 && c.own < c.taken(r) => Some(Refusal::OwnPart),
            false if plan.rate > 0.0 && spare < 0.0 => Some(Refusal::Quota),
            _ if plan.ceiling_rate > 0.0 && c.ceiling < r.guess => Some(Refusal::Ceiling),
            _ => (!self.spare_for(r)).then_some(Refusal::NoPlace),
        }
    }

    /// Whether a further attempt is likely below the cap on open ones. One for each gateway would be many
    /// times the cap, so the others' are thought from their rate and the mean time that one is out; with no
    /// total to tell their rate, each gateway has its even part, spaced out.
    fn open_allows(&self, c: &Customer, open: f64) -> bool {
        let (room, hold) = (OPEN_PART * open, self.fleet.hold / SECOND);
        if c.known.is_none() || self.counter.silent.is_some() {
            return c.open == 0 && (self.now - c.opened) as f64 / SECOND >= hold * c.set / room;
        }
        f64::from(c.open) + c.others_rate * hold / self.fleet.units.max(1.0) < room
    }

    /// Takes the units at admission. The surcharge empties this bucket only: the true spend is shared.
    fn charge(&mut self, r: &Request) {
        // Spent in silence: out of this gateway's own part, so it is nobody else's news.
        let silent = self.counter.silent.is_some();
        let Some(c) = self.customers.get_mut(&r.customer) else { return };
        self.fleet.units += 0.05 * (r.guess - self.fleet.units);
        c.opened = self.now;
        c.spend(r.guess);
        c.pending -= if silent { r.guess } else { 0.0 };
        c.own = (c.own - r.guess).max(-r.guess);
        c.ceiling -= r.guess;
        c.surcharge += r.price - r.guess;
        c.held += r.hold;
        // While much is left, others need not hear of each unit at once.
        let much = c.pending.abs() * c.set < TELL_PART * c.level;
        let after = if much { TELL_AFTER } else { 0 };
        self.tell_later(r.customer, r.guess, after);
    }

    /// The answer told the true units: debt or refund, and the hold ends.
    fn settle(&mut self, id: u32, units: f64) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.settled) else { return };
        r.settled = true;
        let (key, more) = (r.customer, units - r.guess);
        let Some(c) = self.customers.get_mut(&key) else { return };
        c.held = (c.held - r.hold).max(0.0);
        if self.s.settles && units.is_finite() && units > 0.0 {
            c.spend(more);
            c.own -= more;
            let kind = &mut self.kinds[r.class];
            kind.largest = kind.largest.max(units).min(self.s.largest);
            // Small news: it goes with the next spend, or in a while.
            self.tell_later(key, more, SECOND as Micros);
        }
    }

    fn tell_later(&mut self, key: u64, units: f64, after: Micros) {
        if let Some(c) = self.customers.get_mut(&key).filter(|_| units.abs() > DUST) {
            c.due = if self.dirty.insert(key) { self.now + after } else { c.due.min(self.now + after) };
        }
    }

    /// Adds pending spend to the customer's count and reads its total: one call out for a customer at a time,
    /// paced over all customers. Tells whether a call is out.
    fn call_counter(&mut self, key: u64, awaited: bool, out: &mut Actions) -> bool {
        let (now, k) = (self.now, &mut self.counter);
        let Some(c) = self.customers.get_mut(&key) else { return false };
        let plan = &self.s.plans[c.plan];
        let shared = self.s.counter && plan.rate > 0.0 && c.set > 1.0;
        if !shared || c.call.is_some() || !awaited && c.news(plan) < DUST {
            return c.call.is_some();
        }
        k.rights = (k.rights + (now - k.at) as f64 / k.pace).min(saved_calls(&self.s));
        k.at = now;
        if k.rights < if awaited { 1.0 } else { 2.0 } || k.silent.is_some() && now < k.next_trial {
            return false;
        }
        let trial = TRIAL_EVERY.max((CALL_EVERY * 10.0) as Micros * u64::from(self.s.gateways));
        k.next_trial = now + trial + self.rng.u64(0..trial);
        k.rights -= 1.0;
        let (name, age) = count_name(key, plan.rate, now);
        let heard = k.failures == 0;
        let add = c.tell(plan.burst, name, plan.rate * age as f64 / SECOND, now, heard);
        self.dirty.remove(&key);
        self.calls.insert(name, key);
        out.push(Action::Count { name, add, keep: 2 * EPOCH });
        true
    }

    fn on_counted(&mut self, name: u64, total: f64, outcome: Outcome, out: &mut Actions) {
        let (now, key) = (self.now, self.calls.remove(&name).unwrap_or_default());
        let Some((plan, set)) = self.customers.get(&key).map(|c| (c.plan, c.set)) else { return };
        self.meet_customer(key, plan, set);
        let Some(c) = self.customers.get_mut(&key) else { return };
        let Some(added) = c.call.take() else { return };
        match outcome {
            Outcome::Ok if total.is_finite() => {
                let plan = &self.s.plans[c.plan];
                let (current, age) = count_name(key, plan.rate, now);
                // The name may have changed while the call was out.
                let age = age + if name == current { 0 } else { EPOCH };
                let silent = c.synced < self.counter.returned;
                let forgot = -2.0 * self.s.largest - plan.burst;
                c.hear(plan, (name, total), added, plan.rate * age as f64 / SECOND, (silent, forgot), now);
            }
            // Nothing was added: it stays to be told.
            Outcome::Full | Outcome::ConnectFailed => c.pending += added - c.wrote,
            // It may have been added: telling it again could count it twice.
            _ => c.wrote = 0.0,
        }
        // Added, with a total that cannot be read: who waits for it needs it still.
        if outcome == Outcome::Error && !c.waiting.is_empty() && self.call_counter(key, true, out) {
            return;
        }
        let Some(c) = self.customers.get_mut(&key) else { return };
        let (waiting, news) = (std::mem::take(&mut c.waiting), c.news(&self.s.plans[c.plan]));
        self.tell_later(key, news, 0);
        for id in waiting {
            self.decide(id, out);
        }
    }

    /// Backs off from a slow, full or silent counter, and notices both its silence and its return.
    fn judge_counter(&mut self, elapsed: Micros, outcome: Outcome, out: &mut Actions) {
        let longest = CALL_EVERY * 10.0 * f64::from(self.s.gateways);
        let k = &mut self.counter;
        if outcome == Outcome::Error {
            // It answered, if with nothing that can be read: neither slow nor silent.
            (k.failures, k.answered) = (0, self.now);
            return;
        }
        if outcome == Outcome::Ok {
            (k.failures, k.answered) = (0, self.now);
            if k.silent.take().is_some() {
                k.returned = self.now;
                out.push(Action::Log("counter answers again".into()));
            }
            let step = 1.0 + ((self.now - k.paced) as f64 / SECOND).min(1.0);
            let quick = (elapsed as f64) < QUICK_PART * self.s.counter_wait as f64;
            k.pace = if quick { k.pace / step } else { k.pace * step }.clamp(CALL_EVERY, longest);
            k.paced = self.now;
            return;
        }
        k.failures += 1;
        if self.now >= k.paced + self.s.counter_wait {
            (k.pace, k.paced) = ((k.pace * 1.5).min(longest), self.now);
        }
        let unheard = self.now - k.answered.min(self.now) > 4 * self.s.counter_wait;
        if k.failures >= SILENT_AFTER && unheard && k.silent.is_none() {
            k.silent = Some(self.now);
            out.push(Action::Log("counter is silent; spending by the last known split".into()));
        }
    }

    // ---- Surcharge ----

    /// Long-term over short-term p95 of latency over its class's mean, 1 until both are warm.
    fn ratio(&self) -> f64 {
        self.trend.ratio(self.now).unwrap_or(1.0)
    }

    /// Below the floor the lowest class pays units over the ratio, and with each halving the next class.
    fn surcharge_factor(&self, class: usize) -> f64 {
        let ratio = self.ratio();
        let (classes, worth) = (&self.s.classes, self.s.classes[class].worth);
        // A class that several services serve stands there once for each.
        let same = || classes.iter().filter(|c| c.service == self.s.classes[class].service);
        let rank = same().filter(|c| c.worth < worth).count();
        let highest = rank > 0 && same().all(|c| c.worth <= worth);
        let floor = RATIO_FLOOR / f64::from(1u32 << rank.min(16));
        if ratio < floor && !highest { 1.0 / ratio.max(0.05) } else { 1.0 }
    }

    // ---- Choice of backend ----

    /// The best of a few good backends drawn at random: taking the very best would send all gateways to one.
    /// Among many, each keeps to the first few of its own order, and goes on in it past what can't be used.
    fn choose(&mut self, request: &Request, first: bool) -> Option<u32> {
        if first && !self.spare_for(request) {
            return None;
        }
        let draws = 2 + 2 * self.fleet.ready.len() / self.s.gateways as usize;
        let (mut best, mut good, mut mine) = (None, 0, Vec::new());
        for &id in &self.fleet.ready {
            let b = &self.backends[&id];
            let tried = request.attempts.iter().any(|a| a.backend == id);
            if !tried && self.may_take(b, request) && self.may_attempt(request, b) {
                // Its trial is due. By its slowness it would have none until that is forgotten.
                let sick = b.wants_trial(request.class) && !self.fleet.sickness_is_shared;
                if sick && request.attempts.is_empty() {
                    return Some(id);
                }
                mine.push(id);
                good += usize::from(self.slowness(b) < GOOD);
                if good >= self.fleet.few {
                    break;
                }
            }
        }
        good = 0;
        while !mine.is_empty() && good < draws {
            let id = mine.swap_remove(self.rng.usize(..mine.len()));
            let (b, wait) = (&self.backends[&id], self.expected_wait(&self.backends[&id]));
            best = best.filter(|&(least, _)| least <= wait).or(Some((wait, id)));
            good += usize::from(self.slowness(b) < GOOD);
        }
        best.map(|(_, id)| id)
    }

    /// Latency over its class's mean that is expected of a backend. Own news counts by its age; what is not
    /// known is thought as bad as first contacts lately were: while many are bad, known good ones go first.
    fn slowness(&self, b: &Backend) -> f64 {
        let fresh = (-((self.now - b.learned) as f64) / SECOND / SLOW_MEMORY).exp();
        let first = self.fleet.first.max(1.0);
        first + (b.slow - first) * fresh
    }

    /// News of a backend's speed. Second visits to what was found bad tell nothing of the unknown ones.
    fn judge(&mut self, backend: u32, relative: f64) {
        let Some(b) = self.backends.get_mut(&backend) else { return };
        let age = ((self.now - b.learned) as f64 / SECOND / SLOW_MEMORY).min(1.0);
        if age > FIRST_AGE && b.slow < GOOD {
            self.fleet.first += 0.1 * (relative - self.fleet.first);
        }
        b.slow += (0.1 + 0.2 * age) * (relative - b.slow);
        b.learned = self.now;
    }

    /// Own answers count by their age; without any a backend is like the others.
    fn expected_wait(&self, b: &Backend) -> f64 {
        let cross = if b.entry.zone == self.s.zone { 1.0 } else { 1.0 + 10.0 * self.s.cross_zone_cost };
        // By size, what was sent lately counts too: when little is out, sizes would not show.
        let taken = if self.fleet.uneven {
            (1.0 + f64::from(b.out) / b.size()) * (1.0 + b.sent / b.size())
        } else {
            1.0 + f64::from(b.out)
        };
        self.slowness(b) * taken * cross
    }

    /// A backend for a further attempt of a request that is held.
    fn choose_again(&mut self, id: u32, first: bool) -> Option<u32> {
        let request = self.requests.remove(&id)?;
        let backend = self.choose(&request, first);
        self.requests.insert(id, request);
        backend
    }

    /// When places run short, cheap work leaves the last ones to dear work.
    fn spare_for(&self, r: &Request) -> bool {
        let (f, taken) = (&self.fleet, self.waiting_attempts());
        let worth = self.s.classes[r.class].worth * self.s.plans[r.plan].price;
        let reserved = RESERVE * (1.0 - worth / self.top_worth.max(1e-9));
        let spaced = f.limit >= 1.0 || (self.now - f.last_send) as f64 * f.limit >= f.latency;
        spaced && taken <= f.limit * (1.0 - reserved) && taken + 1.0 <= f.limit.max(1.0)
    }

    /// Attempts out, but for those that a sick backend holds: they take no one's place.
    fn waiting_attempts(&self) -> f64 {
        let waits = |r: &Request, a: &Attempt| {
            let lost = self.backends.get(&a.backend).is_none_or(|b| b.sickness(r.class).is_some());
            a.outcome.is_none() && (self.fleet.sickness_is_shared || !lost)
        };
        let out = |r: &Request| r.attempts.iter().filter(|a| waits(r, a)).count();
        let here = |r: &&Request| self.s.classes[r.class].service == self.serving;
        self.requests.values().filter(here).map(out).sum::<usize>() as f64
    }

    fn may_take(&self, b: &Backend, request: &Request) -> bool {
        let turned_away = b.turned_away.get(&(request.class, request.plan));
        let cold = self.warmth(b) < 1.0 && b.cold_right < 1.0;
        let shut = self.now < b.shut || turned_away.is_some_and(|&until| self.now < until);
        if b.entry.state != State::Ready || cold || shut {
            return false;
        }
        if let Some(trial) = b.sickness(request.class).filter(|_| !self.fleet.sickness_is_shared) {
            return self.now >= trial;
        }
        let size = if self.fleet.uneven { b.size().max(1.0) } else { 1.0 };
        f64::from(b.out) < (TRUST / f64::from(self.s.gateways)).max(1.0) * size
    }

    /// The share of its capacity that a backend surely has: the slowest legal warm-up.
    fn warmth(&self, b: &Backend) -> f64 {
        let started = b.entry.started.max(b.back);
        if started == 0 || self.s.cold_span == 0 {
            return 1.0;
        }
        let age = self.now.saturating_sub(started) as f64 / self.s.cold_span as f64;
        (self.s.cold_share + (1.0 - self.s.cold_share) * age).min(1.0)
    }

    /// Sends a second that this gateway may add to a cold backend: its part of what makes it fall over, less
    /// room for chance, which grows with the number of gateways that send without a word between them.
    fn cold_rate(&self, b: &Backend) -> f64 {
        let (gateways, span) = (f64::from(self.s.gateways), self.s.fall_span as f64 / SECOND);
        let most = self.s.overload_factor * self.warmth(b) * self.fleet.rate * gateways * span;
        let sharers = gateways * (self.fleet.few as f64 / self.fleet.ready.len().max(1) as f64).min(1.0);
        let chance = COLD_CHANCE * most.min(sharers).sqrt();
        (most - chance).max(most / 4.0) / sharers / span
    }

    // ---- Health ----

    fn on_list(&mut self, kind: ListKind, entries: Vec<BackendEntry>) {
        if kind != ListKind::Changes {
            // What a complete list leaves out is gone.
            self.backends.values_mut().for_each(|b| b.entry.state = State::Gone);
        }
        for entry in entries {
            let mut fresh = Backend::new(entry.clone(), self.now, self.s.classes.len());
            // A fractional right to send: were it whole, every gateway would use it at once.
            fresh.cold_right = self.rng.f64();
            match self.backends.get_mut(&entry.id) {
                Some(b) if b.entry.started == entry.started => b.entry = entry,
                // Started anew: cold, and nothing learnt of it holds.
                Some(b) => *b = Backend { out: b.out, back: b.back, ..fresh },
                None if entry.state == State::Gone => {}
                None => {
                    self.backends.insert(entry.id, fresh);
                }
            }
        }
        self.backends.retain(|_, b| b.entry.state != State::Gone || b.out > 0);
        for service in 0..self.fleets.len() as u16 {
            self.turn_to(service);
            self.fleet.ready = self.ready_backends().map(|b| b.entry.id).collect();
            let me = mix(u64::from(self.s.me));
            self.fleet.ready.sort_by_key(|&id| mix(me ^ u64::from(id)));
            let part = self.fleet.ready.len() as f64 * (SHARERS / f64::from(self.s.gateways)).min(1.0);
            self.fleet.few = (part.ceil() as usize).max(FEWEST);
            let sizes = || self.fleet.ready.iter().map(|id| self.backends[id].size());
            self.fleet.uneven = self.s.weighted && sizes().any(|s| Some(s) != sizes().next());
            let (even, most) = self.places();
            self.fleet.limit = if self.fleet.limit == 0.0 { even } else { self.fleet.limit.min(most) };
        }
    }

    /// Operators take a backend out, or call it back: then it may have restarted unseen, and counts as cold.
    fn on_hold(&mut self, backend: u32, held: bool) {
        let changed = if held { self.held.insert(backend) } else { self.held.remove(&backend) };
        if let Some(b) = self.backends.get_mut(&backend).filter(|_| changed && !held) {
            let fresh = Backend::new(b.entry.clone(), self.now, self.s.classes.len());
            *b = Backend { out: b.out, back: self.now, cold_right: self.rng.f64(), ..fresh };
        }
        self.on_list(ListKind::Changes, Vec::new());
    }

    /// Its even part of the places at all backends, and with chance on top: with many its traffic is uneven.
    fn places(&self) -> (f64, f64) {
        let trust = TRUST / f64::from(self.s.gateways);
        let even = trust * self.fleet.ready.len() as f64;
        (even, if trust < 1.0 { even + 2.0 * (even + 1.0).sqrt() } else { even })
    }

    fn ready_backends(&self) -> impl Iterator<Item = &Backend> {
        let held = |b: &Backend| self.held.contains(&b.entry.id);
        let here = move |b: &&Backend| b.entry.service == self.serving && !held(b);
        self.backends.values().filter(|b| b.entry.state == State::Ready).filter(here)
    }

    /// A backend that swallows work is found by the age of what is out there with no answer since: of any
    /// class, or of this one alone, since a backend may fail one class and serve the others.
    fn look_for_silence(&mut self) {
        let (now, trial, mut found) = (self.now, self.now + self.sick_pause(), false);
        for r in self.requests.values() {
            let patience = (self.s.classes[r.class].aim as f64 * SICK_PART) as Micros;
            for a in r.attempts.iter().filter(|a| a.outcome.is_none() && now - a.sent > patience) {
                let Some(b) = self.backends.get_mut(&a.backend) else { continue };
                let all = b.answered < a.sent;
                for (i, h) in b.health.iter_mut().enumerate() {
                    let silent = h.answered < a.sent && (all || i == r.class);
                    found |= silent && h.sick.is_none();
                    h.sick = h.sick.or(silent.then_some(trial));
                }
            }
        }
        // At once: until it is known that all are silent, nothing would be let in.
        for service in (0..self.fleets.len() as u16).filter(|_| found) {
            self.turn_to(service);
            self.look_whether_shared();
        }
    }

    /// When most are sick at once the cause is shared, and none is left out.
    fn look_whether_shared(&mut self) {
        let sick = self.ready_backends().filter(|b| b.is_sick()).count();
        self.fleet.sickness_is_shared = sick * 2 > self.fleet.ready.len();
    }

    /// us; how long this gateway leaves a sick backend alone, so that all together try it now and then.
    fn sick_pause(&self) -> Micros {
        (SICK_PAUSE * u64::from(self.s.gateways)).min(SICK_LONGEST)
    }

    fn learn(&mut self, r: (usize, usize), backend: u32, sent: Micros, elapsed: Micros, outcome: Outcome) {
        let (now, (class, plan)) = (self.now, r);
        let (pause, gateways) = (self.sick_pause(), u64::from(self.s.gateways));
        let Some(b) = self.backends.get_mut(&backend) else { return };
        match outcome {
            // One plan or class may be turned away where others are served: only that pair pauses.
            Outcome::Full => {
                b.turned_away.insert((class, plan), now + TURNED_AWAY * gateways);
            }
            // Dead, or its connections are used up: nothing of any class gets in here. Who holds a connection
            // never sees this, so what is crowded is left by those alone who cannot use it. It held no place.
            Outcome::ConnectFailed => {
                b.shut_pause = (2 * b.shut_pause).clamp(TURNED_AWAY * gateways, SICK_LONGEST);
                b.shut = now + b.shut_pause;
                self.fleet.last_send = 0;
                self.judge(backend, WORST);
            }
            Outcome::Ok => {
                b.shut_pause = 0;
                b.answered = now;
                b.health[class] = Health { answered: now, sick: None };
            }
            Outcome::Error => {
                b.answered = now;
                b.health[class].sick = b.health[class].sick.or(Some(now + pause));
            }
            // Broken off, how quickly says nothing of its speed: taken for fast it would draw all work.
            Outcome::Reset => {
                self.judge(backend, WORST);
                return;
            }
            _ => {}
        }
        let lost = outcome == Outcome::Timeout && !self.fleet.sickness_is_shared;
        let ran = !outcome.never_ran() && outcome != Outcome::Cancelled;
        self.fleet.hold += if ran { 0.05 * (elapsed as f64 - self.fleet.hold) } else { 0.0 };
        if !ran || lost {
            return;
        }
        self.note_part(elapsed as f64 / self.s.classes[class].aim as f64, sent);
        self.fleet.latency += 0.05 * (elapsed as f64 - self.fleet.latency);
        let kind = &mut self.kinds[class];
        let relative = (elapsed as f64 / kind.mean).clamp(0.05, WORST);
        let calm = self.trend.add(relative, self.fleet.part < EARLY_PART, 2.0 * RATIO_FLOOR, now);
        if outcome == Outcome::Ok {
            kind.mean += if calm { 0.02 * (elapsed as f64 - kind.mean) } else { 0.0 };
            self.fleet.answers += 1;
        }
        self.judge(backend, relative);
    }

    /// Takes in a latency in parts of its aim: the limit shrinks once for each round of late answers.
    fn note_part(&mut self, part: f64, sent: Micros) {
        let ((even, most), f) = (self.places(), &mut self.fleet);
        let gap = (self.now - f.learned) as f64 / SECOND / PART_MEMORY;
        f.part += gap.clamp(0.01, 0.3) * (part.min(1.0) - f.part);
        f.learned = self.now;
        if f.part > LATE_PART && sent >= f.cut_at {
            (f.limit, f.cut_at) = ((f.limit * 0.8).max(LEAST / TRUST * even), self.now);
        } else if f.part < EARLY_PART {
            f.limit = (f.limit + (1.0 / f.limit).min(f.limit)).min(most);
        }
    }

    // ---- Attempts ----

    fn group_of(&self, class: usize, b: &Backend) -> u32 {
        match self.s.classes[class].group {
            Group::All => 0,
            Group::Zone => u32::from(b.entry.zone),
            Group::Cell => u32::from(b.entry.zone) << 16 | u32::from(b.entry.cell),
        }
    }

    /// Whether a further attempt to this backend keeps the rule that no effect happens twice.
    fn may_attempt(&self, r: &Request, b: &Backend) -> bool {
        let over = r.answered || r.streaming || self.now >= r.deadline;
        let copy = !self.s.second_copies && r.attempts.iter().any(|a| a.outcome.is_none());
        let class = &self.s.classes[r.class];
        let most = if class.attempts > 0 { class.attempts } else { self.s.max_attempts };
        if over || copy || r.attempts.len() >= most.min(self.s.max_attempts) as usize {
            return false;
        }
        let Some(ran) = r.attempts.iter().find(|a| a.may_have_run()) else { return true };
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed => {
                // One that is out may yet wait for its connection, and would then be the later one.
                let wait = self.s.connect_timeout + self.s.tick;
                let begun = |a: &Attempt| a.outcome.is_some() || self.now >= a.sent + wait;
                let in_time = self.now < self.begin_by(r) && r.attempts.iter().all(begun);
                in_time && self.group_of(r.class, b) == ran.group
            }
        }
    }

    /// By when a further attempt has to begin: repeats of a key are dropped for a while from the first that
    /// may have run.
    fn begin_by(&self, r: &Request) -> Micros {
        let class = &self.s.classes[r.class];
        let life = (class.key_ttl as f64 * (1.0 - KEY_MARGIN)) as Micros;
        let first = r.attempts.iter().find(|a| a.may_have_run()).filter(|_| class.effect == Effect::Keyed);
        first.map_or(Micros::MAX, |a| a.sent.saturating_add(life))
    }

    /// Whether a refusal, which says that trying again is harmless, would be true.
    fn may_refuse(&self, r: &Request) -> bool {
        let class = &self.s.classes[r.class];
        class.effect == Effect::Safe
            || (class.effect == Effect::Keyed && class.group == Group::All)
            || !r.attempts.iter().any(Attempt::may_have_run)
    }

    fn send(&mut self, id: u32, backend: u32, out: &mut Actions) {
        let (now, pause) = (self.now, self.sick_pause());
        let open = self.requests.get(&id).map(|r| (r.class, self.begin_by(r).saturating_sub(now)));
        let Some((class, begin_within)) = open else { return };
        let Some(group) = self.backends.get(&backend).map(|b| self.group_of(class, b)) else { return };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(b) = self.backends.get_mut(&backend) else { return };
        let attempt = r.attempts.len() as u8;
        r.attempts.push(Attempt { backend, group, sent: now, outcome: None });
        b.out += 1;
        b.sent += 1.0;
        b.cold_right -= 1.0;
        self.fleet.last_send = now;
        // A trial of one class is a trial for all that are thought lost there.
        let trial = b.sickness(class).is_some();
        for next in b.health.iter_mut().filter(|_| trial).filter_map(|h| h.sick.as_mut()) {
            *next = now + pause;
        }
        self.customers.entry(r.customer).and_modify(|c| c.open += 1);
        let class = &self.s.classes[class];
        out.push(Action::Send { id, backend, timeout: class.attempt_timeout, begin_within });
        let part = (class.aim as f64 * COPY_PART) as Micros;
        let after = if class.copy_after > 0 { class.copy_after } else { part };
        let token = TOKEN_COPY | u64::from(attempt) << 32 | u64::from(id);
        out.push(Action::Timer { after, token });
    }

    /// Sends a second copy of an attempt that is out for long, where the class and the budget allow one.
    fn second_copy(&mut self, id: u32, attempt: usize, out: &mut Actions) {
        let Some(r) = self.requests.get(&id) else { return };
        let Some(a) = r.attempts.get(attempt).filter(|a| a.outcome.is_none()) else { return };
        let (sent, latest, backend) = (a.sent, attempt + 1 == r.attempts.len(), a.backend);
        let relative = (self.now - sent) as f64 / self.kinds[r.class].mean;
        self.turn_to(self.s.classes[r.class].service);
        // Its answer will be late at best: known before it comes.
        self.note_part(1.0, sent);
        self.judge(backend, relative.min(WORST));
        let alive = self.backends.get(&backend).is_some_and(|b| b.answered > sent);
        if alive || !latest || self.copies < COPY_COST || self.ratio() < RATIO_FLOOR {
            return;
        }
        if let Some(backend) = self.choose_again(id, true) {
            self.copies -= COPY_COST;
            self.send(id, backend, out);
        }
    }

    fn on_ended(&mut self, id: u32, attempt: u8, outcome: Outcome, elapsed: Micros, out: &mut Actions) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let attempt_of = r.attempts.get_mut(usize::from(attempt));
        let Some(a) = attempt_of.filter(|a| a.outcome.is_none()) else { return };
        a.outcome = Some(outcome);
        let (kind, customer, sent, backend) = ((r.class, r.plan), r.customer, a.sent, a.backend);
        self.customers.entry(customer).and_modify(|c| c.open = c.open.saturating_sub(1));
        if let Some(b) = self.backends.get_mut(&backend) {
            b.out = b.out.saturating_sub(1);
        }
        self.turn_to(self.s.classes[kind.0].service);
        self.learn(kind, backend, sent, elapsed, outcome);
        if outcome != Outcome::Ok && self.requests.get(&id).is_some_and(|r| !r.answered) {
            self.try_again(id, outcome, out);
        }
        self.forget_request(id);
    }

    /// After a failed attempt: another one where that is safe, else the final answer once nothing is out.
    fn try_again(&mut self, id: u32, outcome: Outcome, out: &mut Actions) {
        // What never ran is cheap to repeat, but when all turn work away repeats must not multiply it.
        // Without a connection each repeat shuts one more backend here, which bounds them.
        let cost = if !outcome.never_ran() { 1.0 } else { COPY_SHARE };
        let cost = if outcome == Outcome::ConnectFailed { 0.0 } else { cost };
        let again = outcome != Outcome::Moot && self.copies >= cost;
        let backend = again.then(|| self.choose_again(id, false)).flatten();
        let out_still = |r: &Request| r.attempts.iter().any(|a| a.outcome.is_none());
        if let Some(backend) = backend {
            self.copies -= cost;
            self.send(id, backend, out);
        } else if !self.requests.get(&id).is_some_and(out_still) {
            self.answer(id, out);
        }
    }

    /// The one final answer that this gateway gives itself.
    fn answer(&mut self, id: u32, out: &mut Actions) {
        let open = self.requests.get(&id).filter(|r| !r.answered && !r.streaming);
        let Some(service) = open.map(|r| self.s.classes[r.class].service) else { return };
        self.turn_to(service);
        let Some(r) = self.requests.get(&id) else { return };
        let (retry_after, why) = (self.advice(r), Refusal::GivenUp);
        let refuse = self.may_refuse(r).then_some(Action::Refuse { id, retry_after, why });
        out.push(refuse.unwrap_or(Action::Fail { id }));
        self.close(id);
    }

    fn close(&mut self, id: u32) {
        self.requests.entry(id).and_modify(|r| r.answered = true);
        self.forget_request(id);
    }

    /// A finished request stays until all its attempts have ended, so that late outcomes find their place.
    fn forget_request(&mut self, id: u32) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.answered && r.attempts.iter().all(|a| a.outcome.is_some()) {
            self.settle(id, 0.0);
            self.requests.remove(&id);
        }
    }

    // ---- Timers ----

    fn on_timer(&mut self, token: u64, out: &mut Actions) {
        let id = token as u32;
        match token >> 56 << 56 {
            TOKEN_DEADLINE => self.answer(id, out),
            TOKEN_COPY => self.second_copy(id, (token >> 32) as usize & 0xff, out),
            _ => self.on_tick(out),
        }
    }

    fn on_tick(&mut self, out: &mut Actions) {
        out.push(Action::Timer { after: TICK, token: TOKEN_TICK });
        // From anywhere in the order, so that a shortage of calls does not starve the same customers.
        let from = self.rng.u64(..);
        let due = |key: &u64| self.customers.get(key).is_none_or(|c| c.due <= self.now);
        let dirty = self.dirty.range(from..).chain(self.dirty.range(..from));
        for key in dirty.copied().filter(due).collect::<Vec<u64>>() {
            self.call_counter(key, false, out);
        }
        // In silence nothing is spent from the shared store, so there may be nothing to tell: any customer's
        // total is asked for then, or the counter's return would never be noticed.
        if self.counter.silent.is_some() && self.now >= self.counter.next_trial {
            let asks = |c: &Customer| c.call.is_none() && c.set > 1.0 && self.s.plans[c.plan].rate > 0.0;
            let mut all = self.customers.range(from..).chain(self.customers.range(..from));
            if let Some((&key, _)) = all.find(|(_, c)| asks(c)) {
                self.call_counter(key, true, out);
            }
        }
        self.look_for_silence();
        if self.now >= self.fleet.since + FLEET_TICK {
            for service in 0..self.fleets.len() as u16 {
                self.turn_to(service);
                self.look_at_fleet();
            }
        }
        if self.s.must_ask && self.now >= self.next_ask {
            self.next_ask = self.now + self.s.ask_every / 2;
            out.push(Action::Subscribe);
        }
    }

    /// What a warm backend is seen to carry, the guide to what a cold one can: answers a second of this
    /// gateway for each backend's worth of warmth, or its part of one request at a time with nothing known.
    fn look_at_fleet(&mut self) {
        let (now, span) = (self.now, (self.now - self.fleet.since) as f64 / SECOND);
        let warmth: f64 = self.ready_backends().map(|b| self.warmth(b)).sum();
        let rate = self.fleet.answers as f64 / warmth.max(1.0) / span;
        self.fleet.seen += (0.2 * span).min(1.0) * (rate - self.fleet.seen);
        (self.fleet.answers, self.fleet.since) = (0, now);
        // Bad news of first contacts fades, or what was bad once would never be tried again.
        self.fleet.first += (1.0 - self.fleet.first) * (span / SLOW_MEMORY).min(1.0);
        self.fleet.rate = self.fleet.seen.max(SECOND / self.fleet.latency / f64::from(self.s.gateways));
        for (rank, id) in self.fleet.ready.clone().into_iter().enumerate() {
            let b = &self.backends[&id];
            // Only its sharers have rights to a cold one, however far others must go in their order.
            let due = self.warmth(b) < 1.0 && rank < self.fleet.few;
            let more = if due { self.cold_rate(b) * span } else { 0.0 };
            let fades = (-span / SENT_MEMORY).exp();
            self.backends.entry(id).and_modify(|b| {
                b.cold_right = (b.cold_right + more).min(2.0);
                b.sent *= fades;
            });
        }
        self.look_whether_shared();
        // Idle for that long its names have expired and its store is full: nothing is lost with it.
        self.customers.retain(|_, c| c.call.is_some() || c.open > 0 || now < c.at + 3 * EPOCH);
    }
}

impl Customer {
    /// Units that must be there for this request to be let in.
    fn taken(&self, r: &Request) -> f64 {
        self.held + self.surcharge + r.price + r.hold
    }
}

/// Counter calls that one gateway may save up.
fn saved_calls(s: &Settings) -> f64 {
    (s.counter_wait as f64 / CALL_EVERY / f64::from(s.gateways)).clamp(CALLS_AT_ONCE.0, CALLS_AT_ONCE.1)
}

/// The count's name, from customer, rate and epoch alone, so that every gateway finds the same, and us since
/// that epoch began. Each customer has its own phase, so that not all names change at once. What has filled
/// follows from the rate: under another one the total would show a debt, or room, that nobody has.
fn count_name(key: u64, rate: f64, now: Micros) -> (u64, Micros) {
    let time = now + mix(key) % EPOCH;
    (mix(mix(key) ^ mix(rate.to_bits()) ^ (time / EPOCH)), time % EPOCH)
}
