//! Endpoint lists that result from sequences of health responses, flap suppressions and retentions.

use super::*;
use crate::HealthStatus;
use proptest::prelude::*;
use std::time::Duration;

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

const fn at_millis(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn instance(i: u16) -> Instance {
    Instance {
        id: format!("i{i}"),
        address: loopback(1_000 + i),
        health: HealthStatus::Passing,
        weight: 1.0,
        started_at: None,
    }
}

fn with_health(i: u16, health: HealthStatus) -> Instance {
    Instance { health, ..instance(i) }
}

/// Applies responses to a tracker, and keeps its latest list and all its events.
struct Harness {
    tracker: EndpointTracker,
    now: MonotonicTime,
    list: EndpointList,
    events: Vec<WatchEvent>,
    /// When each endpoint last answered a client.
    last_answers: HashMap<EndpointNumber, MonotonicTime>,
}

impl Harness {
    fn new(first_response: Vec<Instance>) -> Self {
        let mut tracker = EndpointTracker::new(StabilityConfig::default(), 0);
        let now = at_millis(1_000);
        let list = tracker.apply_response(now, first_response, &|_| None, &mut Vec::new());
        Self { tracker, now, list, events: Vec::new(), last_answers: HashMap::new() }
    }

    fn respond_after(&mut self, span: Duration, instances: Vec<Instance>) {
        self.now = self.now + span;
        let last_answer_at = |number: EndpointNumber| self.last_answers.get(&number).copied();
        self.list = self.tracker.apply_response(self.now, instances, &last_answer_at, &mut self.events);
    }

    fn advance_by(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.tracker.next_deadline(self.now).unwrap_or(until).min(until);
            self.list = self.tracker.advance(self.now, &|_| false, &mut self.events);
        }
    }

    fn eligible_ids(&self) -> Vec<&str> {
        let mut ids: Vec<&str> = self.list.eligible().map(|endpoint| endpoint.instance.id.as_str()).collect();
        ids.sort_unstable();
        ids
    }

    fn endpoint(&self, id: &str) -> &Endpoint {
        self.list.endpoints.iter().find(|e| e.instance.id == id).expect("the id is listed")
    }
}

#[test]
fn any_number_of_endpoints_reported_unhealthy_become_ineligible_at_once() {
    let mut harness = Harness::new((0..4).map(instance).collect());
    harness.respond_after(
        millis(10),
        vec![
            with_health(0, HealthStatus::Critical),
            with_health(1, HealthStatus::Maintenance),
            with_health(2, HealthStatus::NodeDown),
            with_health(3, HealthStatus::Warning),
        ],
    );
    assert_eq!(harness.eligible_ids(), ["i3"]);
    assert_eq!(harness.endpoint("i1").reason, EligibilityReason::Unhealthy(HealthStatus::Maintenance));
    assert_eq!(harness.events[0], WatchEvent::ListChanged { listed: 4, eligible: 1 });
}

#[test]
fn an_endpoint_below_the_minimum_health_is_ineligible() {
    let mut tracker = EndpointTracker::new(
        StabilityConfig { minimum_health: HealthStatus::Passing, ..StabilityConfig::default() },
        0,
    );
    let list = tracker.apply_response(
        at_millis(0),
        vec![instance(0), with_health(1, HealthStatus::Warning)],
        &|_| None,
        &mut Vec::new(),
    );
    assert_eq!(list.eligible().count(), 1);
}

#[test]
fn an_endpoint_that_restarted_once_becomes_eligible_without_suppression() {
    let mut harness = Harness::new((0..3).map(instance).collect());
    assert_eq!(harness.endpoint("i0").eligible_since, None, "eligible since the first list");
    harness
        .respond_after(millis(1_000), vec![with_health(0, HealthStatus::Critical), instance(1), instance(2)]);
    harness.respond_after(millis(5_000), (0..3).map(instance).collect());
    assert_eq!(harness.eligible_ids().len(), 3);
    assert_eq!(harness.endpoint("i0").eligible_since, Some(at_millis(7_000)));
}

/// Without flap damping, an endpoint whose health alternates every second would lose its traffic thirty times a minute.
#[test]
fn flap_damping_limits_the_eligibility_changes_until_the_flap_count_decays() {
    let mut harness = Harness::new((0..3).map(instance).collect());
    let mut eligibility_changes = 0;
    let mut eligible_before = 3;
    for second in 0..60 {
        let health = if second % 2 == 0 { HealthStatus::Critical } else { HealthStatus::Passing };
        harness.respond_after(millis(1_000), vec![with_health(0, health), instance(1), instance(2)]);
        harness.advance_by(millis(0));
        eligibility_changes += usize::from(harness.eligible_ids().len() != eligible_before);
        eligible_before = harness.eligible_ids().len();
    }
    assert!((2..=6).contains(&eligibility_changes), "{eligibility_changes} changes");
    assert!(
        matches!(harness.endpoint("i0").reason, EligibilityReason::Flapping(_)),
        "{:?}",
        harness.endpoint("i0")
    );
    // While the endpoint stays healthy, it becomes eligible after its suppression, and its flap count decays within some minutes.
    harness.advance_by(millis(60_000));
    assert_eq!(harness.eligible_ids().len(), 3);
    harness.advance_by(millis(600_000));
    harness
        .respond_after(millis(1_000), vec![with_health(0, HealthStatus::Critical), instance(1), instance(2)]);
    harness.respond_after(millis(1_000), (0..3).map(instance).collect());
    assert_eq!(harness.eligible_ids().len(), 3);
}

#[test]
fn suppression_times_grow_up_to_a_bound() {
    let mut harness = Harness::new((0..3).map(instance).collect());
    let mut suppressions = Vec::new();
    for _ in 0..8 {
        harness
            .respond_after(millis(1), vec![with_health(0, HealthStatus::Critical), instance(1), instance(2)]);
        harness.respond_after(millis(1), (0..3).map(instance).collect());
        let recovered_at = harness.now;
        while harness.eligible_ids().len() < 3 {
            harness.advance_by(millis(100));
        }
        suppressions.push(harness.now.saturating_since(recovered_at));
    }
    assert_eq!(suppressions[0], Duration::ZERO);
    assert!(
        suppressions.windows(2).all(|w| w[1] >= w[0] || w[0] > Duration::from_secs(30)),
        "{suppressions:?}"
    );
    assert!(
        suppressions.iter().all(|&suppression| suppression <= Duration::from_secs(60)),
        "{suppressions:?}"
    );
    assert!(suppressions[3] >= Duration::from_secs(4), "{suppressions:?}");
}

#[test]
fn a_sudden_loss_retains_endpoints_that_still_answer_until_the_retention_ends() {
    let mut harness = Harness::new((0..6).map(instance).collect());
    let numbers: Vec<EndpointNumber> = harness.list.endpoints.iter().map(|e| e.number).collect();
    // The first two endpoints have no recent answer, like endpoints that have failed.
    harness.last_answers.extend(numbers[2..].iter().map(|&n| (n, at_millis(1_500))));
    harness.respond_after(millis(1_000), Vec::new());
    assert_eq!(harness.eligible_ids(), ["i2", "i3", "i4", "i5"]);
    assert_eq!(harness.events[0], WatchEvent::SuddenLoss { vanished: 6, eligible_before: 6, retained: 4 });
    // A further response without the vanished endpoints is part of the same sudden loss.
    harness.respond_after(millis(5_000), Vec::new());
    assert_eq!(harness.eligible_ids().len(), 4);
    harness.advance_by(millis(9_000));
    assert_eq!(harness.eligible_ids().len(), 4);
    harness.advance_by(millis(2_000));
    assert_eq!(harness.eligible_ids().len(), 0);
    assert!(harness.events.contains(&WatchEvent::RetentionEnded { count: 4 }), "{:?}", harness.events);
}

#[test]
fn the_list_is_unchanged_if_all_endpoints_vanish_and_reappear_within_the_retention() {
    let mut harness = Harness::new((0..6).map(instance).collect());
    let before = harness.list.clone();
    harness.last_answers.extend(before.endpoints.iter().map(|e| (e.number, at_millis(1_500))));
    harness.respond_after(millis(1_000), Vec::new());
    harness.respond_after(millis(4_000), (0..6).map(instance).collect());
    assert_eq!(harness.list, before, "no endpoint has become eligible anew");
    harness.advance_by(millis(60_000));
    assert_eq!(harness.eligible_ids().len(), 6);
}

#[test]
fn no_endpoint_is_retained_if_only_a_small_share_vanishes() {
    let mut harness = Harness::new((0..6).map(instance).collect());
    let numbers: Vec<EndpointNumber> = harness.list.endpoints.iter().map(|e| e.number).collect();
    harness.last_answers.extend(numbers.iter().map(|&n| (n, at_millis(1_900))));
    harness.respond_after(millis(1_000), (2..6).map(instance).collect());
    assert_eq!(harness.eligible_ids().len(), 4);
}

#[test]
fn only_one_instance_per_address_is_eligible() {
    let mut harness = Harness::new((0..3).map(instance).collect());
    let twin = Instance { id: "twin".into(), ..instance(0) };
    harness.respond_after(millis(10), vec![instance(0), instance(1), instance(2), twin.clone()]);
    assert_eq!(harness.eligible_ids(), ["i0", "i1", "i2"]);
    assert_eq!(harness.endpoint("twin").reason, EligibilityReason::DuplicateAddress);
    let before = harness.endpoint("i0").number;
    harness.respond_after(
        millis(10),
        vec![with_health(0, HealthStatus::Critical), instance(1), instance(2), twin],
    );
    assert_eq!(harness.eligible_ids(), ["i1", "i2", "twin"]);
    assert_ne!(harness.endpoint("twin").number, before, "a new endpoint starts without history");
    assert!(harness.endpoint("twin").eligible_since.is_some(), "it may need slow start");
}

#[test]
fn an_instance_at_a_new_address_gets_a_new_endpoint_and_the_old_one_is_not_retained() {
    let mut harness = Harness::new((0..2).map(instance).collect());
    let before = harness.endpoint("i0").number;
    harness.last_answers.extend(harness.list.endpoints.iter().map(|e| (e.number, at_millis(1_001))));
    let moved = |i: u16| Instance { address: loopback(2_000 + i), ..instance(i) };
    harness.respond_after(millis(10), vec![moved(0), moved(1)]);
    assert_eq!(
        harness.list.endpoints.len(),
        2,
        "nothing is retained at the old addresses: {:?}",
        harness.list
    );
    assert_ne!(harness.endpoint("i0").number, before);
}

/// Regression: after a sudden loss, a retained endpoint kept the address of a new instance, whose process got its requests.
#[test]
fn an_endpoint_whose_address_another_instance_takes_is_not_retained() {
    let mut harness = Harness::new((0..4).map(instance).collect());
    harness.last_answers.extend(harness.list.endpoints.iter().map(|e| (e.number, at_millis(1_001))));
    let new = |i: u16| Instance { id: format!("new{i}"), ..instance(i) };
    // One address is taken in the response that drops the others, one in a later response.
    harness.respond_after(millis(10), vec![new(0)]);
    assert_eq!(harness.eligible_ids(), ["i1", "i2", "i3", "new0"]);
    harness.respond_after(millis(10), vec![new(0), new(1)]);
    assert_eq!(harness.eligible_ids(), ["i2", "i3", "new0", "new1"]);
}

#[test]
fn a_cached_list_is_used_until_the_first_response_replaces_it() {
    let mut tracker = EndpointTracker::new(StabilityConfig::default(), 0);
    let list = tracker.restore(at_millis(0), (0..6).map(instance).collect(), &mut Vec::new());
    assert_eq!(list.eligible().filter(|endpoint| endpoint.eligible_since.is_none()).count(), 6);
    // Consul's first response is not checked for a sudden loss: instances may have changed during the restart.
    let list =
        tracker.apply_response(at_millis(500), vec![instance(0), instance(9)], &|_| None, &mut Vec::new());
    let eligible: Vec<&str> = list.eligible().map(|endpoint| endpoint.instance.id.as_str()).collect();
    assert_eq!(eligible, ["i0", "i9"]);
}

#[test]
fn memory_is_bounded_while_ids_are_replaced_constantly() {
    let mut tracker = EndpointTracker::new(StabilityConfig::default(), 0);
    let (mut now, mut max_tracked, mut numbers) = (at_millis(0), 0, HashSet::new());
    for turn in 0u32..10_000 {
        now = now + Duration::from_millis(100);
        let fleet = (0..12u32).map(|i| {
            let generation = (turn + i) / 12 * 12 + i;
            Instance { id: format!("i{generation}"), ..instance(i as u16) }
        });
        let list = tracker.apply_response(now, fleet.collect(), &|_| None, &mut Vec::new());
        numbers.extend(list.endpoints.iter().map(|e| e.number));
        tracker.advance(now, &|_| false, &mut Vec::new());
        max_tracked = max_tracked.max(tracker.tracked_count());
    }
    assert!(numbers.len() > 9_000, "{} numbers", numbers.len());
    assert!(max_tracked <= 12 + 2, "{max_tracked} records");
}

#[test]
fn an_endpoint_with_attempts_in_flight_is_remembered() {
    let mut harness = Harness::new((0..6).map(instance).collect());
    harness.respond_after(millis(10), (1..6).map(instance).collect());
    let tracked = harness.tracker.tracked_count();
    harness.tracker.advance(harness.now, &|_| true, &mut Vec::new());
    assert_eq!(harness.tracker.tracked_count(), tracked);
    harness.tracker.advance(harness.now, &|_| false, &mut Vec::new());
    assert_eq!(harness.tracker.tracked_count(), tracked - 1);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(42), failure_persistence: None, ..ProptestConfig::default() })]

    /// Unhealthy endpoints are not eligible, eligible endpoints have distinct addresses, and numbers are unique.
    #[test]
    fn invariants_hold_over_any_sequence_of_responses(
        responses in prop::collection::vec(
            (prop::collection::btree_map(0u16..10, (0u8..5, 0u16..12), 0..10), 0u64..5_000, any::<bool>()), 1..40)
    ) {
        let mut tracker = EndpointTracker::new(StabilityConfig::default(), 0);
        let (mut now, mut last_answers) = (at_millis(0), HashMap::new());
        for (listed, after_ms, answers) in responses {
            now = now + Duration::from_millis(after_ms);
            let healths = [HealthStatus::Passing, HealthStatus::Warning, HealthStatus::Critical, HealthStatus::Maintenance, HealthStatus::NodeDown];
            let listed: Vec<Instance> = listed
                .into_iter()
                .map(|(i, (h, p))| Instance { address: loopback(1_000 + p), ..with_health(i, healths[usize::from(h)]) })
                .collect();
            let list = tracker.apply_response(now, listed.clone(), &|number| last_answers.get(&number).copied(), &mut Vec::new());
            let mut addresses = HashSet::new();
            let mut numbers = HashSet::new();
            for endpoint in &list.endpoints {
                prop_assert!(numbers.insert(endpoint.number));
                if endpoint.eligible {
                    prop_assert!(addresses.insert(endpoint.instance.address));
                    let now_listed = listed.iter().find(|i| i.id == endpoint.instance.id && i.address == endpoint.instance.address);
                    match now_listed {
                        Some(now_listed) => prop_assert!(now_listed.health <= HealthStatus::Warning),
                        None => prop_assert!(matches!(endpoint.reason, EligibilityReason::Retained(_))),
                    }
                }
                if answers {
                    last_answers.insert(endpoint.number, now);
                }
            }
            tracker.advance(now, &|_| false, &mut Vec::new());
        }
    }
}
