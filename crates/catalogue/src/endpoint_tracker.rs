//! From answers to the list that is used.

use crate::health_response::{HealthStatus, Instance};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// Instances that are remembered after they have left, beside those of the fleet.
const MOST_REMEMBERED: usize = 4_096;

/// How sudden changes are met. Spans in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct StabilityConfig {
    /// The worst state that still takes work.
    pub minimum_health: HealthStatus,
    /// An instance that comes back for the second time in a while is held for this; each further time for twice as long.
    pub flap_hold: u64,
    /// No longer than this.
    pub max_flap_hold: u64,
    /// A flap is half forgotten after this.
    pub flap_half_life: u64,
    /// Where this share of the list or more goes without a mark in one answer, the loss is held.
    pub sudden_loss_share: f64,
    /// For this long; then it is believed.
    pub sudden_loss_hold: u64,
    /// Held are only those that have answered a client this lately.
    pub recently_answered: u64,
}

impl Default for StabilityConfig {
    fn default() -> Self {
        Self {
            minimum_health: HealthStatus::Warning,
            flap_hold: 2_000,
            max_flap_hold: 60_000,
            flap_half_life: 60_000,
            sudden_loss_share: 0.5,
            sudden_loss_hold: 15_000,
            recently_answered: 3_000,
        }
    }
}

/// Why an instance takes no work, or still does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EligibilityReason {
    /// It is in the list and well enough.
    Listed,
    /// Its checks say that it takes no work.
    Unhealthy(HealthStatus),
    /// It has come back too often lately: held until this time.
    Flapping(u64),
    /// Another instance at its address takes the work.
    DuplicateAddress,
    /// It has weight 0.
    ZeroWeight,
    /// It vanished with much of the list and still answers: kept until this time.
    Retained(u64),
    /// It is no longer in the list.
    Deregistered,
}

/// An instance as it is used.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its number: a new one for each id and address, and never used again.
    pub number: u32,
    /// As Consul told of it last.
    pub instance: Instance,
    /// Whether it takes work.
    pub eligible: bool,
    /// Why.
    pub reason: EligibilityReason,
    /// Since when it takes work, or did last, in milliseconds; `None` if it has since the first list.
    pub eligible_since: Option<u64>,
}

/// The list as it is used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// By number.
    pub endpoints: Vec<Endpoint>,
}

/// What is known of an instance.
#[derive(Clone, Debug)]
struct Record {
    number: u32,
    instance: Instance,
    /// In the last answer.
    listed: bool,
    takes_work: bool,
    reason: EligibilityReason,
    since: Option<u64>,
    /// Times that it has stopped taking work, halved in each span of the flaps' memory.
    flaps: f64,
    flapped: u64,
    /// Well again since this.
    well_since: Option<u64>,
    /// Kept until this though it vanished.
    kept_until: Option<u64>,
    left: u64,
}

type Key = (String, SocketAddr);

/// What has happened, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// So many entries, so many of which take work.
    ListChanged(usize, usize),
    /// An instance has stopped or begun to take work, and why.
    EligibilityChanged(String, bool, EligibilityReason),
    /// So many vanished of so many in one answer; so many are kept until this.
    SuddenLoss {
        /// Vanished.
        vanished: usize,
        /// Of those that took work.
        of: usize,
        /// Kept.
        kept: usize,
    },
    /// The sudden loss is believed now.
    LossAccepted(usize),
}

/// The list of one service.
#[derive(Clone, Debug)]
pub struct EndpointTracker {
    guards: StabilityConfig,
    records: HashMap<Key, Record>,
    next_number: u32,
    /// Consul has told a list.
    told: bool,
    /// There was a list before, from Consul or from disk: what comes later may be cold.
    had_list: bool,
    sudden_until: Option<u64>,
    /// Entries and those of them that take work, as they were noted last.
    counts: Option<(usize, usize)>,
}

impl EndpointTracker {
    /// Nothing known yet. Numbers go on from here.
    pub fn new(guards: StabilityConfig, first_number: u32) -> Self {
        Self {
            guards,
            records: HashMap::new(),
            next_number: first_number,
            told: false,
            had_list: false,
            sudden_until: None,
            counts: None,
        }
    }

    /// Takes in a list from disk, from before a restart: all of it counts as it stood.
    pub fn restore(
        &mut self,
        now: u64,
        instances: Vec<Instance>,
        notes: &mut Vec<WatchEvent>,
    ) -> EndpointList {
        // What Consul tells first is no sudden change against what is on disk: much may have happened meanwhile.
        self.take(now, instances, &|_| None, notes);
        let view = self.view(now, notes);
        self.had_list = true;
        view
    }

    /// Takes in an answer of Consul. `answered` tells when a client last got an answer from a number.
    pub fn apply_response(
        &mut self,
        now: u64,
        instances: Vec<Instance>,
        answered: &dyn Fn(u32) -> Option<u64>,
        notes: &mut Vec<WatchEvent>,
    ) -> EndpointList {
        self.take(now, instances, answered, notes);
        let view = self.view(now, notes);
        (self.told, self.had_list) = (true, true);
        view
    }

    /// Time has passed: holds may be over. `has_steps` tells whether any work is out at a number.
    pub fn advance(
        &mut self,
        now: u64,
        has_steps: &dyn Fn(u32) -> bool,
        notes: &mut Vec<WatchEvent>,
    ) -> EndpointList {
        if self.sudden_until.is_some_and(|until| now >= until) {
            self.sudden_until = None;
            let over =
                self.records.values().filter(|r| r.kept_until.is_some_and(|until| now >= until)).count();
            if over > 0 {
                notes.push(WatchEvent::LossAccepted(over));
            }
        }
        self.forget(now, has_steps);
        self.view(now, notes)
    }

    /// When the next hold is over.
    pub fn next_deadline(&self, now: u64) -> Option<u64> {
        let holds = self.records.values().filter_map(|r| match r.reason {
            EligibilityReason::Flapping(until) | EligibilityReason::Retained(until) => Some(until),
            _ => None,
        });
        holds.filter(|&at| at > now).min()
    }

    /// Instances that are remembered, of the fleet and others.
    pub fn tracked_count(&self) -> usize {
        self.records.len()
    }

    fn take(
        &mut self,
        now: u64,
        instances: Vec<Instance>,
        answered: &dyn Fn(u32) -> Option<u64>,
        notes: &mut Vec<WatchEvent>,
    ) {
        let took_work = self.records.values().filter(|r| r.takes_work && r.listed).count();
        self.records.values_mut().for_each(|r| r.listed = false);
        let first = !self.had_list;
        for instance in instances {
            let key = (instance.id.clone(), instance.address);
            let next = &mut self.next_number;
            let record = self.records.entry(key).or_insert_with(|| {
                *next = next.wrapping_add(1).max(1);
                Record {
                    number: *next,
                    instance: instance.clone(),
                    listed: true,
                    takes_work: false,
                    reason: EligibilityReason::Deregistered,
                    // What was there from the first list on has been running.
                    since: None,
                    flaps: 0.0,
                    flapped: now,
                    well_since: first.then_some(0),
                    kept_until: None,
                    left: now,
                }
            });
            record.instance = instance;
            record.listed = true;
            record.kept_until = None;
        }
        // An id that is listed elsewhere now has moved: its old place is gone for sure.
        let here: HashSet<&str> =
            self.records.values().filter(|r| r.listed).map(|r| r.instance.id.as_str()).collect();
        let moved: HashSet<Key> = self
            .records
            .iter()
            .filter(|(k, r)| !r.listed && here.contains(k.0.as_str()))
            .map(|(k, _)| k.clone())
            .collect();
        let lost: Vec<Key> = self
            .records
            .iter()
            .filter(|(k, r)| !r.listed && r.takes_work && r.kept_until.is_none() && !moved.contains(*k))
            .map(|(k, _)| k.clone())
            .collect();
        let sudden = lost.len() >= 2 || (lost.len() == 1 && took_work == 1);
        if sudden && self.told && lost.len() as f64 >= took_work as f64 * self.guards.sudden_loss_share {
            let until = now + self.guards.sudden_loss_hold;
            let lately = self.guards.recently_answered;
            let mut kept = 0;
            for key in &lost {
                if let Some(record) = self.records.get_mut(key)
                    && answered(record.number).is_some_and(|at| now.saturating_sub(at) <= lately)
                {
                    record.kept_until = Some(until);
                    kept += 1;
                }
            }
            self.sudden_until = Some(until);
            notes.push(WatchEvent::SuddenLoss { vanished: lost.len(), of: took_work, kept });
        }
        for (key, record) in &mut self.records {
            if !record.listed
                && record.kept_until.is_none()
                && record.reason != EligibilityReason::Deregistered
            {
                record.left = now;
            }
            if moved.contains(key) {
                record.kept_until = None;
            }
        }
    }

    /// How long an instance is held that is well again.
    fn hold(&self, record: &Record, now: u64) -> u64 {
        let flaps = self.flaps(record, now);
        // The first time costs nothing: that is a restart.
        if flaps < 1.5 {
            return 0;
        }
        let times = 2f64.powf((flaps - 1.0).min(32.0).floor() - 1.0);
        ((self.guards.flap_hold as f64 * times) as u64).min(self.guards.max_flap_hold)
    }

    fn flaps(&self, record: &Record, now: u64) -> f64 {
        let spans = now.saturating_sub(record.flapped) as f64 / self.guards.flap_half_life.max(1) as f64;
        record.flaps * 0.5f64.powf(spans)
    }

    /// Settles who takes work now.
    fn view(&mut self, now: u64, notes: &mut Vec<WatchEvent>) -> EndpointList {
        let mut keys: Vec<Key> = self.records.keys().cloned().collect();
        // Of two at one address, who takes work already keeps it; else the later number, which replaced the other.
        keys.sort_by_key(|k| {
            let r = &self.records[k];
            (!r.takes_work, u32::MAX - r.number)
        });
        let mut addresses: HashMap<SocketAddr, u32> = HashMap::new();
        let mut reasons = Vec::with_capacity(keys.len());
        for key in &keys {
            let Some(record) = self.records.get_mut(key) else { continue };
            let instance = &record.instance;
            let well =
                record.listed && instance.health <= self.guards.minimum_health && instance.weight > 0.0;
            match (well, record.well_since) {
                (true, None) => record.well_since = Some(now),
                (false, Some(_)) => record.well_since = None,
                _ => {}
            }
            let record = &self.records[key];
            let until = record.well_since.unwrap_or(now)
                + self.hold(record, now.min(record.well_since.unwrap_or(now)));
            let reason = if !record.listed {
                match record.kept_until {
                    Some(until) if now < until => EligibilityReason::Retained(until),
                    _ => EligibilityReason::Deregistered,
                }
            } else if record.instance.health > self.guards.minimum_health {
                EligibilityReason::Unhealthy(record.instance.health)
            } else if record.instance.weight <= 0.0 {
                EligibilityReason::ZeroWeight
            } else if !record.takes_work && now < until {
                EligibilityReason::Flapping(until)
            } else if addresses.contains_key(&record.instance.address) {
                EligibilityReason::DuplicateAddress
            } else {
                EligibilityReason::Listed
            };
            if matches!(reason, EligibilityReason::Listed | EligibilityReason::Retained(_)) {
                addresses.insert(record.instance.address, record.number);
            }
            reasons.push(reason);
        }
        let mut turned = Vec::new();
        for (key, reason) in keys.iter().zip(reasons) {
            let takes_work = matches!(reason, EligibilityReason::Listed | EligibilityReason::Retained(_));
            let flaps = self.records.get(key).map_or(0.0, |r| self.flaps(r, now));
            let Some(record) = self.records.get_mut(key) else { continue };
            if takes_work != record.takes_work {
                if takes_work {
                    // Of the first list there is no telling when it started; later it may be cold.
                    record.since = self.had_list.then_some(now);
                } else {
                    (record.flaps, record.flapped) = (flaps + 1.0, now);
                }
                turned.push(WatchEvent::EligibilityChanged(record.instance.id.clone(), takes_work, reason));
            } else if record.reason != reason
                && matches!(
                    (record.reason, reason),
                    (
                        EligibilityReason::Unhealthy(_) | EligibilityReason::Deregistered,
                        EligibilityReason::Flapping(_)
                    )
                )
            {
                turned.push(WatchEvent::EligibilityChanged(record.instance.id.clone(), false, reason));
            }
            (record.takes_work, record.reason) = (takes_work, reason);
        }
        let listed = self.records.values().filter(|r| r.listed || r.takes_work).count();
        let working = self.records.values().filter(|r| r.takes_work).count();
        if !turned.is_empty() || self.counts != Some((listed, working)) {
            self.counts = Some((listed, working));
            notes.push(WatchEvent::ListChanged(listed, working));
            turned.sort_by(|a, b| format!("{a:?}").cmp(&format!("{b:?}")));
            notes.extend(turned);
        }
        let mut entries: Vec<Endpoint> = self
            .records
            .values()
            .filter(|r| r.listed || r.takes_work)
            .map(|r| Endpoint {
                number: r.number,
                instance: r.instance.clone(),
                eligible: r.takes_work,
                reason: r.reason,
                eligible_since: r.since,
            })
            .collect();
        entries.sort_by_key(|e| e.number);
        EndpointList { endpoints: entries }
    }

    /// What has left is remembered for its flaps, and its number while work is out there; both in bounds.
    fn forget(&mut self, now: u64, has_steps: &dyn Fn(u32) -> bool) {
        let memory = self.guards.flap_half_life * 4;
        self.records.retain(|_, r| {
            r.listed || r.takes_work || has_steps(r.number) || (r.flaps > 1.5 && now < r.left + memory)
        });
        let gone: BTreeMap<(u64, u32), Key> = self
            .records
            .iter()
            .filter(|(_, r)| !r.listed && !r.takes_work && !has_steps(r.number))
            .map(|(k, r)| ((r.left, r.number), k.clone()))
            .collect();
        let over = gone.len().saturating_sub(MOST_REMEMBERED);
        for key in gone.into_values().take(over) {
            self.records.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
