//! Derives the endpoint list from Consul's responses: decides which instances are eligible, damps flapping, and retains endpoints
//! that recently answered a client after a sudden loss.

mod flap_damping;
mod record;

use crate::{
    EligibilityReason, Endpoint, EndpointList, EndpointNumber, Instance, StabilityConfig, WatchEvent,
};
use record::InstanceRecord;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use timestamps::MonotonicTime;

/// Maximum number of deregistered instances without attempts in flight whose records are kept for their flap counts.
const MAX_REMEMBERED_INSTANCES: usize = 4_096;
/// Minimum number of vanished endpoints in a sudden loss: a single one may be the failure of one host. The loss of the only
/// eligible endpoint counts as well.
const MIN_SUDDEN_LOSS_ENDPOINTS: usize = 2;

/// An instance id at an address. Each key has its own endpoint number and history.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InstanceKey {
    id: String,
    address: SocketAddr,
}

impl InstanceKey {
    fn of_instance(instance: &Instance) -> Self {
        Self { id: instance.id.clone(), address: instance.address }
    }
}

/// The eligibility decided for one instance.
struct Decision {
    key: InstanceKey,
    reason: EligibilityReason,
}

/// Sizes of an endpoint list, as [`WatchEvent::ListChanged`] reports them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListCounts {
    listed: usize,
    eligible: usize,
}

/// Returns when an endpoint last answered a client; `None` if it never did.
pub type LastAnswerAt<'a> = &'a dyn Fn(EndpointNumber) -> Option<MonotonicTime>;

/// Returns whether an endpoint has attempts in flight. The record of an endpoint with attempts in flight is kept.
pub type HasAttempts<'a> = &'a dyn Fn(EndpointNumber) -> bool;

/// Tracks the instances of one service and their histories, and decides which endpoints are eligible.
#[derive(Clone, Debug)]
pub struct EndpointTracker {
    config: StabilityConfig,
    records: HashMap<InstanceKey, InstanceRecord>,
    last_number: u32,
    /// Whether Consul has responded since the start.
    has_response: bool,
    /// Whether an instance list was received from Consul or read from the cache file. Instances that appear after the first
    /// list may need slow start.
    has_list: bool,
    /// End of the retention after a sudden loss; `None` if no retention is in progress.
    retention_ends_at: Option<MonotonicTime>,
    reported_counts: Option<ListCounts>,
}

impl EndpointTracker {
    /// Creates a tracker without endpoints. The first endpoint gets the number after `last_number`.
    pub fn new(config: StabilityConfig, last_number: u32) -> Self {
        Self {
            config,
            records: HashMap::new(),
            last_number,
            has_response: false,
            has_list: false,
            retention_ends_at: None,
            reported_counts: None,
        }
    }

    /// Uses the cached list at the start of the process. The cached endpoints get no `eligible_since`, as in a first response.
    ///
    /// Consul's next response is not checked for a sudden loss: instances may have changed while this process was down.
    pub fn restore(
        &mut self,
        now: MonotonicTime,
        instances: Vec<Instance>,
        events: &mut Vec<WatchEvent>,
    ) -> EndpointList {
        self.record_response(now, instances, &|_| None, events);
        let list = self.evaluate(now, events);
        self.has_list = true;
        list
    }

    /// Applies the instances of a health response, and returns the new endpoint list.
    pub fn apply_response(
        &mut self,
        now: MonotonicTime,
        instances: Vec<Instance>,
        last_answer_at: LastAnswerAt<'_>,
        events: &mut Vec<WatchEvent>,
    ) -> EndpointList {
        self.record_response(now, instances, last_answer_at, events);
        let list = self.evaluate(now, events);
        self.has_response = true;
        self.has_list = true;
        list
    }

    /// Ends the flap suppressions and retentions that have expired, removes old records, and returns the new endpoint list.
    pub fn advance(
        &mut self,
        now: MonotonicTime,
        has_attempts: HasAttempts<'_>,
        events: &mut Vec<WatchEvent>,
    ) -> EndpointList {
        self.end_retention(now, events);
        self.remove_departed(now, has_attempts);
        self.evaluate(now, events)
    }

    /// When the next flap suppression or retention ends; `None` if none is in progress.
    pub fn next_deadline(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let deadlines = self.records.values().filter_map(InstanceRecord::deadline);
        deadlines.filter(|&deadline| deadline > now).min()
    }

    /// Number of records, including those of deregistered instances.
    pub fn tracked_count(&self) -> usize {
        self.records.len()
    }

    /// Records the instances of a response, and the deregistration of those that it no longer lists.
    fn record_response(
        &mut self,
        now: MonotonicTime,
        instances: Vec<Instance>,
        last_answer_at: LastAnswerAt<'_>,
        events: &mut Vec<WatchEvent>,
    ) {
        let is_listed_and_eligible = |record: &&InstanceRecord| record.is_listed() && record.is_eligible();
        let eligible_before = self.records.values().filter(is_listed_and_eligible).count();
        self.records.values_mut().for_each(InstanceRecord::mark_unlisted);
        for instance in instances {
            self.record_listed(now, instance);
        }
        let replaced = self.replaced_keys();
        let vanished = self.vanished_keys(&replaced);
        if self.is_sudden_loss(vanished.len(), eligible_before) {
            let retained = self.retain_answering(now, &vanished, last_answer_at);
            events.push(WatchEvent::SuddenLoss { vanished: vanished.len(), eligible_before, retained });
        }
        for (key, record) in &mut self.records {
            record.record_departure(now);
            if replaced.contains(key) {
                record.cancel_retention();
            }
        }
    }

    fn record_listed(&mut self, now: MonotonicTime, instance: Instance) {
        let is_first_list = !self.has_list;
        let last_number = &mut self.last_number;
        let record = self.records.entry(InstanceKey::of_instance(&instance)).or_insert_with(|| {
            *last_number = last_number.wrapping_add(1).max(1);
            InstanceRecord::new(EndpointNumber(*last_number), instance.clone(), now, is_first_list)
        });
        record.apply_listed_instance(instance);
    }

    /// Returns the keys of unlisted instances that have been replaced: their id is listed at another address, or another instance
    /// is listed at their address, which then belongs to another process. They are not part of a sudden loss.
    fn replaced_keys(&self) -> HashSet<InstanceKey> {
        let listed = || self.records.values().filter(|record| record.is_listed());
        let listed_ids: HashSet<&str> = listed().map(InstanceRecord::id).collect();
        let listed_addresses: HashSet<SocketAddr> = listed().map(InstanceRecord::address).collect();
        let is_replaced = |key: &InstanceKey, record: &InstanceRecord| {
            let has_successor =
                listed_ids.contains(key.id.as_str()) || listed_addresses.contains(&key.address);
            !record.is_listed() && has_successor
        };
        self.keys_where(is_replaced)
    }

    /// Returns the keys of eligible instances that the response no longer lists and that have not been replaced.
    fn vanished_keys(&self, replaced: &HashSet<InstanceKey>) -> HashSet<InstanceKey> {
        self.keys_where(|key, record| record.has_vanished() && !replaced.contains(key))
    }

    fn keys_where(&self, condition: impl Fn(&InstanceKey, &InstanceRecord) -> bool) -> HashSet<InstanceKey> {
        let selected = self.records.iter().filter(|(key, record)| condition(key, record));
        selected.map(|(key, _)| key.clone()).collect()
    }

    fn is_sudden_loss(&self, vanished: usize, eligible_before: usize) -> bool {
        let lost_the_only_endpoint = vanished == 1 && eligible_before == 1;
        let has_enough_vanished = vanished >= MIN_SUDDEN_LOSS_ENDPOINTS || lost_the_only_endpoint;
        let min_vanished = eligible_before as f64 * self.config.sudden_loss_share;
        has_enough_vanished && self.has_response && vanished as f64 >= min_vanished
    }

    /// Retains the vanished endpoints that answered a client recently, and returns the number of retained endpoints.
    fn retain_answering(
        &mut self,
        now: MonotonicTime,
        vanished: &HashSet<InstanceKey>,
        last_answer_at: LastAnswerAt<'_>,
    ) -> usize {
        let until = now + self.config.sudden_loss_retention;
        self.retention_ends_at = Some(until);
        let is_recent = |at: MonotonicTime| now.saturating_since(at) <= self.config.recent_answer_window;
        let mut retained = 0;
        for key in vanished {
            let Some(record) = self.records.get_mut(key) else { continue };
            if last_answer_at(record.number()).is_some_and(is_recent) {
                record.retain_until(until);
                retained += 1;
            }
        }
        retained
    }

    /// Once the retention after a sudden loss has ended, reports the endpoints that did not reappear.
    fn end_retention(&mut self, now: MonotonicTime, events: &mut Vec<WatchEvent>) {
        if self.retention_ends_at.is_none_or(|at| now < at) {
            return;
        }
        self.retention_ends_at = None;
        let count = self.records.values().filter(|record| record.is_retention_over(now)).count();
        if count > 0 {
            events.push(WatchEvent::RetentionEnded { count });
        }
    }

    /// Decides which instances are eligible now, and returns the resulting list.
    fn evaluate(&mut self, now: MonotonicTime, events: &mut Vec<WatchEvent>) -> EndpointList {
        let decisions = self.decide(now);
        let changes = self.apply_decisions(now, decisions);
        let list = self.list();
        let counts = ListCounts { listed: list.endpoints.len(), eligible: list.eligible().count() };
        if !changes.is_empty() || self.reported_counts != Some(counts) {
            self.reported_counts = Some(counts);
            events.push(WatchEvent::ListChanged { listed: counts.listed, eligible: counts.eligible });
            events.extend(changes);
        }
        list
    }

    /// Decides the eligibility of all instances. Of several instances at one address, the one that is already eligible takes
    /// precedence. If none is eligible, the one with the highest endpoint number does, because it appeared last and replaces
    /// the others.
    fn decide(&mut self, now: MonotonicTime) -> Vec<Decision> {
        let mut records: Vec<(&InstanceKey, &mut InstanceRecord)> = self.records.iter_mut().collect();
        records.sort_by_key(|(_, record)| (!record.is_eligible(), Reverse(record.number())));
        let mut taken_addresses = HashSet::new();
        let mut decisions = Vec::with_capacity(records.len());
        for (key, record) in records {
            record.update_health(now, &self.config);
            let is_address_taken = taken_addresses.contains(&record.address());
            let reason = record.decide(now, &self.config, is_address_taken);
            if reason.is_eligible() {
                taken_addresses.insert(record.address());
            }
            decisions.push(Decision { key: key.clone(), reason });
        }
        decisions
    }

    /// Applies decisions, and returns the changes of eligibility in order of instance ids.
    fn apply_decisions(&mut self, now: MonotonicTime, decisions: Vec<Decision>) -> Vec<WatchEvent> {
        // It is unknown when the instances of the first list started. Instances that appear later may need slow start.
        let eligible_since = self.has_list.then_some(now);
        let mut changed = Vec::new();
        for Decision { key, reason } in decisions {
            let Some(record) = self.records.get_mut(&key) else { continue };
            if record.apply(now, &self.config, reason, eligible_since) {
                changed.push((key.id, reason.is_eligible(), reason));
            }
        }
        changed.sort();
        let event = |(id, eligible, reason)| WatchEvent::EligibilityChanged { id, eligible, reason };
        changed.into_iter().map(event).collect()
    }

    fn list(&self) -> EndpointList {
        let listed_or_eligible = self.records.values().filter(|record| record.is_listed_or_eligible());
        let mut endpoints: Vec<Endpoint> = listed_or_eligible.map(InstanceRecord::endpoint).collect();
        endpoints.sort_by_key(|endpoint| endpoint.number);
        EndpointList { endpoints }
    }

    /// Removes the records of deregistered instances, with two exceptions. Instances with attempts in flight keep their records
    /// and thus their endpoint numbers. Up to [`MAX_REMEMBERED_INSTANCES`] instances that flapped repeatedly keep their
    /// records, and thus their flap counts, for some half-lives.
    fn remove_departed(&mut self, now: MonotonicTime, has_attempts: HasAttempts<'_>) {
        let has_departed =
            |record: &InstanceRecord| !record.is_listed_or_eligible() && !has_attempts(record.number());
        let config = &self.config;
        self.records.retain(|_, record| !has_departed(record) || record.is_remembered_for_flaps(now, config));
        let departed = self.records.iter().filter(|(_, record)| has_departed(record));
        let earliest_departed_first: BTreeMap<(MonotonicTime, EndpointNumber), InstanceKey> =
            departed.map(|(key, record)| ((record.left_at(), record.number()), key.clone())).collect();
        let excess = earliest_departed_first.len().saturating_sub(MAX_REMEMBERED_INSTANCES);
        for key in earliest_departed_first.into_values().take(excess) {
            self.records.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
