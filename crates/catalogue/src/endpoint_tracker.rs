//! Turns the responses of Consul into the endpoint list in use: decides which instances are eligible, damps flapping, and retains
//! endpoints that still answer after a sudden loss.

mod flap_damping;
mod record;

use crate::{
    EligibilityReason, Endpoint, EndpointList, EndpointNumber, Instance, StabilityConfig, WatchEvent,
};
use record::Record;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use timestamps::MonotonicTime;

/// Maximum number of remembered instances that have left, in addition to the present ones.
const MAX_REMEMBERED: usize = 4_096;
/// A sudden loss has at least this many vanished endpoints, unless the only eligible one vanished: one may be a single host.
const MIN_SUDDEN_LOSS: usize = 2;

/// An id at an address. Each key has its own number and history.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InstanceKey {
    id: String,
    address: SocketAddr,
}

impl InstanceKey {
    fn of(instance: &Instance) -> Self {
        Self { id: instance.id.clone(), address: instance.address }
    }
}

/// The eligibility decided for one instance.
struct Decision {
    key: InstanceKey,
    reason: EligibilityReason,
}

/// Sizes of a list, as [`WatchEvent::ListChanged`] reports them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListCounts {
    listed: usize,
    eligible: usize,
}

/// Returns when a client last got an answer from an endpoint, if ever.
pub type LastAnswerAt<'a> = &'a dyn Fn(EndpointNumber) -> Option<MonotonicTime>;

/// Returns whether any attempt is in flight at an endpoint.
pub type HasAttempts<'a> = &'a dyn Fn(EndpointNumber) -> bool;

/// The instances of one service and their histories.
#[derive(Clone, Debug)]
pub struct EndpointTracker {
    config: StabilityConfig,
    records: HashMap<InstanceKey, Record>,
    last_number: u32,
    /// Whether Consul has responded since the start.
    has_response: bool,
    /// Whether there was a list before, from Consul or from the cache file. Instances that appear later may need slow start.
    has_list: bool,
    /// When the loss of the retained endpoints is accepted.
    loss_accepted_at: Option<MonotonicTime>,
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
            loss_accepted_at: None,
            reported_counts: None,
        }
    }

    /// Restores the cached list at a start. Its endpoints count as eligible since the first list.
    ///
    /// Consul's first response is not checked for a sudden loss: the fleet may have changed while this process was down.
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

    /// Applies a response of Consul.
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

    /// Applies the passage of time: flap suppressions and retentions may have ended.
    pub fn advance(
        &mut self,
        now: MonotonicTime,
        has_attempts: HasAttempts<'_>,
        events: &mut Vec<WatchEvent>,
    ) -> EndpointList {
        self.accept_loss(now, events);
        self.forget_departed(now, has_attempts);
        self.evaluate(now, events)
    }

    /// When the next flap suppression or retention ends.
    pub fn next_deadline(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let deadlines = self.records.values().filter_map(Record::deadline);
        deadlines.filter(|&deadline| deadline > now).min()
    }

    /// Number of instances with a record, including those that have left.
    pub fn tracked_count(&self) -> usize {
        self.records.len()
    }

    /// Records the instances of a response, and the departure of those that it no longer lists.
    fn record_response(
        &mut self,
        now: MonotonicTime,
        instances: Vec<Instance>,
        last_answer_at: LastAnswerAt<'_>,
        events: &mut Vec<WatchEvent>,
    ) {
        let is_listed_and_eligible = |record: &&Record| record.is_listed() && record.is_eligible();
        let eligible_before = self.records.values().filter(is_listed_and_eligible).count();
        self.records.values_mut().for_each(Record::set_unlisted);
        for instance in instances {
            self.record_listed(now, instance);
        }
        let moved = self.moved();
        let vanished = self.vanished(&moved);
        if self.is_sudden_loss(vanished.len(), eligible_before) {
            let retained = self.retain_answering(now, &vanished, last_answer_at);
            events.push(WatchEvent::SuddenLoss { vanished: vanished.len(), eligible_before, retained });
        }
        for (key, record) in &mut self.records {
            record.record_departure(now);
            if moved.contains(key) {
                record.cancel_retention();
            }
        }
    }

    fn record_listed(&mut self, now: MonotonicTime, instance: Instance) {
        let is_first_list = !self.has_list;
        let last_number = &mut self.last_number;
        let record = self.records.entry(InstanceKey::of(&instance)).or_insert_with(|| {
            *last_number = last_number.wrapping_add(1).max(1);
            Record::new(EndpointNumber(*last_number), instance.clone(), now, is_first_list)
        });
        record.set_listed(instance);
    }

    /// Old addresses of instances whose id is now listed at another address. No loss has to be suspected there.
    fn moved(&self) -> HashSet<InstanceKey> {
        let listed = self.records.values().filter(|record| record.is_listed());
        let listed_ids: HashSet<&str> = listed.map(Record::id).collect();
        let has_moved =
            |key: &InstanceKey, record: &Record| !record.is_listed() && listed_ids.contains(key.id.as_str());
        self.keys_where(has_moved)
    }

    /// Eligible instances that the response has dropped without marking them unhealthy.
    fn vanished(&self, moved: &HashSet<InstanceKey>) -> HashSet<InstanceKey> {
        self.keys_where(|key, record| record.has_vanished() && !moved.contains(key))
    }

    fn keys_where(&self, condition: impl Fn(&InstanceKey, &Record) -> bool) -> HashSet<InstanceKey> {
        let selected = self.records.iter().filter(|(key, record)| condition(key, record));
        selected.map(|(key, _)| key.clone()).collect()
    }

    fn is_sudden_loss(&self, vanished: usize, eligible_before: usize) -> bool {
        let lost_the_only_endpoint = vanished == 1 && eligible_before == 1;
        let is_more_than_one_host = vanished >= MIN_SUDDEN_LOSS || lost_the_only_endpoint;
        let min_vanished = eligible_before as f64 * self.config.sudden_loss_share;
        is_more_than_one_host && self.has_response && vanished as f64 >= min_vanished
    }

    /// Retains the vanished endpoints that answered a client recently, and returns their number.
    fn retain_answering(
        &mut self,
        now: MonotonicTime,
        vanished: &HashSet<InstanceKey>,
        last_answer_at: LastAnswerAt<'_>,
    ) -> usize {
        let until = now + self.config.sudden_loss_retention;
        self.loss_accepted_at = Some(until);
        let is_recent = |at: MonotonicTime| now.saturating_since(at) <= self.config.recently_answered;
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

    /// Reports the loss of retained endpoints once their retention has ended.
    fn accept_loss(&mut self, now: MonotonicTime, events: &mut Vec<WatchEvent>) {
        if self.loss_accepted_at.is_none_or(|at| now < at) {
            return;
        }
        self.loss_accepted_at = None;
        let count = self.records.values().filter(|record| record.is_retention_over(now)).count();
        if count > 0 {
            events.push(WatchEvent::LossAccepted { count });
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

    /// Decides on all instances. Of those at one address, the one that is eligible already has precedence, then the one with the
    /// highest number, which replaced the others.
    fn decide(&mut self, now: MonotonicTime) -> Vec<Decision> {
        let mut records: Vec<(&InstanceKey, &mut Record)> = self.records.iter_mut().collect();
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

    /// Applies decisions, and returns the changes in order of ids.
    fn apply_decisions(&mut self, now: MonotonicTime, decisions: Vec<Decision>) -> Vec<WatchEvent> {
        // The start time of instances in the first list is unknown. Instances that appear later may need slow start.
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
        let in_use = self.records.values().filter(|record| record.is_in_use());
        let mut endpoints: Vec<Endpoint> = in_use.map(Record::endpoint).collect();
        endpoints.sort_by_key(|endpoint| endpoint.number);
        EndpointList { endpoints }
    }

    /// Forgets instances that have left, except those with attempts in flight, which keep their numbers, and up to
    /// [`MAX_REMEMBERED`] that flapped, which keep their flap counts for a while.
    fn forget_departed(&mut self, now: MonotonicTime, has_attempts: HasAttempts<'_>) {
        let has_departed = |record: &Record| !record.is_in_use() && !has_attempts(record.number());
        let config = &self.config;
        self.records.retain(|_, record| !has_departed(record) || record.is_remembered_for_flaps(now, config));
        let departed = self.records.iter().filter(|(_, record)| has_departed(record));
        let longest_ago_first: BTreeMap<(MonotonicTime, EndpointNumber), InstanceKey> =
            departed.map(|(key, record)| ((record.left_at(), record.number()), key.clone())).collect();
        let excess = longest_ago_first.len().saturating_sub(MAX_REMEMBERED);
        for key in longest_ago_first.into_values().take(excess) {
            self.records.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
