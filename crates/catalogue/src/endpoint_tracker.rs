//! Turns responses into the endpoint list in use.

mod record;

use crate::{
    EligibilityReason, Endpoint, EndpointList, EndpointNumber, Instance, Millis, StabilityConfig, WatchEvent,
};
use record::Record;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// Instances that are remembered after they have left, beside those of the fleet.
const MAX_REMEMBERED: usize = 4_096;
/// The flaps of an instance that has left are remembered for so many half-lives.
const REMEMBERED_HALF_LIVES: Millis = 4;
/// Fewer flaps than this are not worth remembering: one is a restart.
const REMEMBERED_FLAPS: f64 = 1.5;

/// An id at an address: what has a number and a history of its own.
type InstanceKey = (String, SocketAddr);

/// When a client last got an answer from an endpoint, if ever.
pub type LastAnswerAt<'a> = &'a dyn Fn(EndpointNumber) -> Option<Millis>;

/// Whether any attempt is in flight at an endpoint.
pub type HasAttempts<'a> = &'a dyn Fn(EndpointNumber) -> bool;

/// The instances of one service and their histories.
#[derive(Clone, Debug)]
pub struct EndpointTracker {
    config: StabilityConfig,
    records: HashMap<InstanceKey, Record>,
    last_number: u32,
    /// Consul has responded since the start.
    has_response: bool,
    /// There was a list before, from Consul or from disk: what appears later may need slow start.
    has_list: bool,
    loss_accepted_at: Option<Millis>,
    /// Endpoints and eligible ones, as they were reported last.
    reported_counts: Option<(usize, usize)>,
}

impl EndpointTracker {
    /// Nothing known yet. Numbers begin after `last_number`.
    pub fn new(config: StabilityConfig, last_number: u32) -> Self {
        Self {
            config,
            records: HashMap::new(),
            last_number,
            has_response: false,
            has_list: false,
            loss_accepted_at: None,
            reported_counts: None,
        }
    }

    /// Restores the cached list of before a restart: all of it counts as it was.
    ///
    /// Consul's first response is no sudden change against it: much may have happened meanwhile.
    pub fn restore(
        &mut self,
        now: Millis,
        instances: Vec<Instance>,
        events: &mut Vec<WatchEvent>,
    ) -> EndpointList {
        self.record(now, instances, &|_| None, events);
        let list = self.evaluate(now, events);
        self.has_list = true;
        list
    }

    /// Applies a response of Consul.
    pub fn apply_response(
        &mut self,
        now: Millis,
        instances: Vec<Instance>,
        last_answer_at: LastAnswerAt<'_>,
        events: &mut Vec<WatchEvent>,
    ) -> EndpointList {
        self.record(now, instances, last_answer_at, events);
        let list = self.evaluate(now, events);
        self.has_response = true;
        self.has_list = true;
        list
    }

    /// Applies the passing of time: holds may have ended.
    pub fn advance(
        &mut self,
        now: Millis,
        has_attempts: HasAttempts<'_>,
        events: &mut Vec<WatchEvent>,
    ) -> EndpointList {
        if self.loss_accepted_at.is_some_and(|at| now >= at) {
            self.loss_accepted_at = None;
            let is_over = |record: &&Record| record.retained_until.is_some_and(|until| now >= until);
            let count = self.records.values().filter(is_over).count();
            if count > 0 {
                events.push(WatchEvent::LossAccepted { count });
            }
        }
        self.forget(now, has_attempts);
        self.evaluate(now, events)
    }

    /// When the next hold ends.
    pub fn next_deadline(&self, now: Millis) -> Option<Millis> {
        let holds = self.records.values().filter_map(|record| match record.reason {
            EligibilityReason::Flapping(until) | EligibilityReason::Retained(until) => Some(until),
            _ => None,
        });
        holds.filter(|&until| until > now).min()
    }

    /// Instances that are remembered, of the fleet and others.
    pub fn tracked_count(&self) -> usize {
        self.records.len()
    }

    /// Records a list as it is, and what has left since the one before.
    fn record(
        &mut self,
        now: Millis,
        instances: Vec<Instance>,
        last_answer_at: LastAnswerAt<'_>,
        events: &mut Vec<WatchEvent>,
    ) {
        let eligible = self.records.values().filter(|record| record.eligible && record.listed).count();
        self.records.values_mut().for_each(|record| record.listed = false);
        for instance in instances {
            self.record_listed(now, instance);
        }
        let moved = self.moved();
        let vanished = self.vanished(&moved);
        if self.is_sudden(vanished.len(), eligible) {
            let until = now + self.config.sudden_loss_hold;
            let retained = self.retain_answering(now, until, &vanished, last_answer_at);
            self.loss_accepted_at = Some(until);
            events.push(WatchEvent::SuddenLoss { vanished: vanished.len(), of: eligible, retained });
        }
        for (key, record) in &mut self.records {
            if !record.listed
                && record.retained_until.is_none()
                && record.reason != EligibilityReason::Deregistered
            {
                record.left_at = now;
            }
            if moved.contains(key) {
                record.retained_until = None;
            }
        }
    }

    fn record_listed(&mut self, now: Millis, instance: Instance) {
        let is_first_list = !self.has_list;
        let last_number = &mut self.last_number;
        let key = (instance.id.clone(), instance.address);
        let record = self.records.entry(key).or_insert_with(|| {
            *last_number = last_number.wrapping_add(1).max(1);
            Record::new(EndpointNumber(*last_number), instance.clone(), now, is_first_list)
        });
        record.instance = instance;
        record.listed = true;
        record.retained_until = None;
    }

    /// Unlisted addresses of ids that are listed at another: these have moved for sure.
    fn moved(&self) -> HashSet<InstanceKey> {
        let listed_records = self.records.values().filter(|record| record.listed);
        let listed_ids: HashSet<&str> = listed_records.map(|record| record.instance.id.as_str()).collect();
        let is_moved =
            |(key, record): &(&InstanceKey, &Record)| !record.listed && listed_ids.contains(key.0.as_str());
        self.records.iter().filter(is_moved).map(|(key, _)| key.clone()).collect()
    }

    /// Eligible instances that this list has dropped without a mark.
    fn vanished(&self, moved: &HashSet<InstanceKey>) -> Vec<InstanceKey> {
        let has_vanished = |(key, record): &(&InstanceKey, &Record)| {
            !record.listed && record.eligible && record.retained_until.is_none() && !moved.contains(*key)
        };
        self.records.iter().filter(has_vanished).map(|(key, _)| key.clone()).collect()
    }

    fn is_sudden(&self, vanished: usize, eligible: usize) -> bool {
        let is_more_than_one_server = vanished >= 2 || (vanished == 1 && eligible == 1);
        let min_vanished = eligible as f64 * self.config.sudden_loss_share;
        is_more_than_one_server && self.has_response && vanished as f64 >= min_vanished
    }

    /// Retains those that have answered a client lately, and returns how many.
    fn retain_answering(
        &mut self,
        now: Millis,
        until: Millis,
        vanished: &[InstanceKey],
        last_answer_at: LastAnswerAt<'_>,
    ) -> usize {
        let mut retained = 0;
        for key in vanished {
            let Some(record) = self.records.get_mut(key) else { continue };
            let is_recent = |at| now.saturating_sub(at) <= self.config.recently_answered;
            if last_answer_at(record.number).is_some_and(is_recent) {
                record.retained_until = Some(until);
                retained += 1;
            }
        }
        retained
    }

    /// Decides which instances are eligible now, and returns the list.
    fn evaluate(&mut self, now: Millis, events: &mut Vec<WatchEvent>) -> EndpointList {
        let decisions = self.decide(now);
        let changes = self.apply_decisions(now, decisions);
        let list = self.list();
        let eligible = list.endpoints.iter().filter(|endpoint| endpoint.eligible).count();
        let counts = (list.endpoints.len(), eligible);
        if !changes.is_empty() || self.reported_counts != Some(counts) {
            self.reported_counts = Some(counts);
            events.push(WatchEvent::ListChanged { listed: counts.0, eligible });
            events.extend(changes);
        }
        list
    }

    /// Of two instances at one address, the one that is eligible already stays so; else the later number, which replaced the other.
    fn decide(&mut self, now: Millis) -> Vec<(InstanceKey, EligibilityReason)> {
        let mut keys: Vec<InstanceKey> = self.records.keys().cloned().collect();
        keys.sort_by_key(|key| {
            let record = &self.records[key];
            (!record.eligible, u32::MAX - record.number.0)
        });
        let mut used_addresses = HashSet::new();
        let mut decisions = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(record) = self.records.get_mut(&key) else { continue };
            record.update_healthy_since(now, &self.config);
            let is_used = used_addresses.contains(&record.instance.address);
            let reason = record.decide(now, &self.config, is_used);
            if reason.is_eligible() {
                used_addresses.insert(record.instance.address);
            }
            decisions.push((key, reason));
        }
        decisions
    }

    /// Applies decisions, and returns the changes in a fixed order.
    fn apply_decisions(
        &mut self,
        now: Millis,
        decisions: Vec<(InstanceKey, EligibilityReason)>,
    ) -> Vec<WatchEvent> {
        // Of the first list there is no telling when an instance started; one that appears later may need slow start.
        let eligible_since = self.has_list.then_some(now);
        let mut changes = Vec::new();
        for (key, reason) in decisions {
            let Some(record) = self.records.get_mut(&key) else { continue };
            if record.apply(now, &self.config, reason, eligible_since) {
                changes.push((key.0, reason.is_eligible(), reason));
            }
        }
        changes.sort();
        let event = |(id, eligible, reason)| WatchEvent::EligibilityChanged { id, eligible, reason };
        changes.into_iter().map(event).collect()
    }

    fn list(&self) -> EndpointList {
        let shown = self.records.values().filter(|record| record.listed || record.eligible);
        let mut endpoints: Vec<Endpoint> = shown.map(Record::endpoint).collect();
        endpoints.sort_by_key(|endpoint| endpoint.number);
        EndpointList { endpoints }
    }

    /// What has left is remembered for its flaps, and its number while attempts are in flight there; both in bounds.
    fn forget(&mut self, now: Millis, has_attempts: HasAttempts<'_>) {
        let memory = self.config.flap_half_life * REMEMBERED_HALF_LIVES;
        self.records.retain(|_, record| {
            let is_in_use = record.listed || record.eligible || has_attempts(record.number);
            is_in_use || (record.flaps > REMEMBERED_FLAPS && now < record.left_at + memory)
        });
        let has_left = |record: &Record| !record.listed && !record.eligible && !has_attempts(record.number);
        let by_age: BTreeMap<(Millis, EndpointNumber), InstanceKey> = self
            .records
            .iter()
            .filter(|(_, record)| has_left(record))
            .map(|(key, record)| ((record.left_at, record.number), key.clone()))
            .collect();
        let excess = by_age.len().saturating_sub(MAX_REMEMBERED);
        for key in by_age.into_values().take(excess) {
            self.records.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
