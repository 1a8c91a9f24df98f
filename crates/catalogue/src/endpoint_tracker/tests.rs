//! The course of a list over responses and time.

use super::*;
use crate::HealthStatus;
use proptest::prelude::*;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn instance(i: u16) -> Instance {
    Instance {
        id: format!("i{i}"),
        address: at(1_000 + i),
        health: HealthStatus::Passing,
        weight: 1.0,
        started_at: None,
    }
}

fn with_health(i: u16, health: HealthStatus) -> Instance {
    Instance { health, ..instance(i) }
}

/// A tracker that gets responses, with the list and the events that came of them.
struct Harness {
    tracker: EndpointTracker,
    now: Millis,
    list: EndpointList,
    events: Vec<WatchEvent>,
    /// When clients had their last answers.
    answered: HashMap<EndpointNumber, Millis>,
}

impl Harness {
    fn new(first: Vec<Instance>) -> Self {
        let mut tracker = EndpointTracker::new(StabilityConfig::default(), 0);
        let list = tracker.apply_response(1_000, first, &|_| None, &mut Vec::new());
        Self { tracker, now: 1_000, list, events: Vec::new(), answered: HashMap::new() }
    }

    fn respond(&mut self, after: u64, instances: Vec<Instance>) {
        self.now += after;
        let answered = |number: EndpointNumber| self.answered.get(&number).copied();
        self.list = self.tracker.apply_response(self.now, instances, &answered, &mut self.events);
    }

    fn pass_time(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.tracker.next_deadline(self.now).unwrap_or(until).min(until);
            self.list = self.tracker.advance(self.now, &|_| false, &mut self.events);
        }
    }

    fn eligible_ids(&self) -> Vec<&str> {
        let mut ids: Vec<&str> =
            self.list.endpoints.iter().filter(|e| e.eligible).map(|e| e.instance.id.as_str()).collect();
        ids.sort_unstable();
        ids
    }

    fn endpoint(&self, id: &str) -> &Endpoint {
        self.list.endpoints.iter().find(|e| e.instance.id == id).expect("it is listed")
    }
}

#[test]
fn marked_endpoints_are_ineligible_at_once_however_many() {
    let mut harness = Harness::new((0..4).map(instance).collect());
    harness.respond(
        10,
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
fn minimum_health_decides_who_is_eligible() {
    let mut tracker = EndpointTracker::new(
        StabilityConfig { minimum_health: HealthStatus::Passing, ..StabilityConfig::default() },
        0,
    );
    let list = tracker.apply_response(
        0,
        vec![instance(0), with_health(1, HealthStatus::Warning)],
        &|_| None,
        &mut Vec::new(),
    );
    assert_eq!(list.endpoints.iter().filter(|e| e.eligible).count(), 1);
}

#[test]
fn one_restart_costs_no_hold_and_counts_as_a_start() {
    let mut harness = Harness::new((0..3).map(instance).collect());
    assert_eq!(harness.endpoint("i0").eligible_since, None, "it was there from the first list on");
    harness.respond(1_000, vec![with_health(0, HealthStatus::Critical), instance(1), instance(2)]);
    harness.respond(5_000, (0..3).map(instance).collect());
    assert_eq!(harness.eligible_ids().len(), 3);
    assert_eq!(harness.endpoint("i0").eligible_since, Some(7_000));
}

/// A flap every second for a minute: without the hold it moves traffic thirty times.
#[test]
fn a_flap_every_second_moves_traffic_a_few_times_only_and_is_forgiven_later() {
    let mut harness = Harness::new((0..3).map(instance).collect());
    let mut moves = 0;
    let mut before = 3;
    for second in 0..60 {
        let health = if second % 2 == 0 { HealthStatus::Critical } else { HealthStatus::Passing };
        harness.respond(1_000, vec![with_health(0, health), instance(1), instance(2)]);
        harness.pass_time(0);
        moves += usize::from(harness.eligible_ids().len() != before);
        before = harness.eligible_ids().len();
    }
    assert!((2..=6).contains(&moves), "{moves} moves");
    assert!(
        matches!(harness.endpoint("i0").reason, EligibilityReason::Flapping(_)),
        "{:?}",
        harness.endpoint("i0")
    );
    // Well for good: it is back after its hold, and after some quiet minutes nothing is left of it.
    harness.pass_time(60_000);
    assert_eq!(harness.eligible_ids().len(), 3);
    harness.pass_time(600_000);
    harness.respond(1_000, vec![with_health(0, HealthStatus::Critical), instance(1), instance(2)]);
    harness.respond(1_000, (0..3).map(instance).collect());
    assert_eq!(harness.eligible_ids().len(), 3);
}

#[test]
fn holds_grow_to_a_bound() {
    let mut harness = Harness::new((0..3).map(instance).collect());
    let mut holds = Vec::new();
    for _ in 0..8 {
        harness.respond(1, vec![with_health(0, HealthStatus::Critical), instance(1), instance(2)]);
        harness.respond(1, (0..3).map(instance).collect());
        let begun = harness.now;
        while harness.eligible_ids().len() < 3 {
            harness.pass_time(100);
        }
        holds.push(harness.now - begun);
    }
    assert_eq!(holds[0], 0);
    assert!(holds.windows(2).all(|w| w[1] >= w[0] || w[0] > 30_000), "{holds:?}");
    assert!(holds.iter().all(|&h| h <= 60_000), "{holds:?}");
    assert!(holds[3] >= 4_000, "{holds:?}");
}

#[test]
fn a_sudden_loss_is_delayed_for_endpoints_that_still_answer_and_then_accepted() {
    let mut harness = Harness::new((0..6).map(instance).collect());
    let numbers: Vec<EndpointNumber> = harness.list.endpoints.iter().map(|e| e.number).collect();
    // Two have failed: they have not answered for long.
    harness.answered.extend(numbers[2..].iter().map(|&n| (n, 1_500)));
    harness.respond(1_000, Vec::new());
    assert_eq!(harness.eligible_ids(), ["i2", "i3", "i4", "i5"]);
    assert_eq!(harness.events[0], WatchEvent::SuddenLoss { vanished: 6, of: 6, retained: 4 });
    // In a further response it is the same loss and not a new one.
    harness.respond(5_000, Vec::new());
    assert_eq!(harness.eligible_ids().len(), 4);
    harness.pass_time(9_000);
    assert_eq!(harness.eligible_ids().len(), 4);
    harness.pass_time(2_000);
    assert_eq!(harness.eligible_ids().len(), 0);
    assert!(harness.events.contains(&WatchEvent::LossAccepted { count: 4 }), "{:?}", harness.events);
}

#[test]
fn a_wiped_catalogue_that_is_restored_in_time_moves_nothing() {
    let mut harness = Harness::new((0..6).map(instance).collect());
    let before = harness.list.clone();
    harness.answered.extend(before.endpoints.iter().map(|e| (e.number, 1_500)));
    harness.respond(1_000, Vec::new());
    harness.respond(4_000, (0..6).map(instance).collect());
    assert_eq!(harness.list, before, "not even a restart is counted");
    harness.pass_time(60_000);
    assert_eq!(harness.eligible_ids().len(), 6);
}

#[test]
fn the_loss_of_a_few_is_accepted_at_once() {
    let mut harness = Harness::new((0..6).map(instance).collect());
    let numbers: Vec<EndpointNumber> = harness.list.endpoints.iter().map(|e| e.number).collect();
    harness.answered.extend(numbers.iter().map(|&n| (n, 1_900)));
    harness.respond(1_000, (2..6).map(instance).collect());
    assert_eq!(harness.eligible_ids().len(), 4);
}

#[test]
fn of_two_ids_at_one_address_one_is_eligible_and_a_replacement_takes_over() {
    let mut harness = Harness::new((0..3).map(instance).collect());
    let twin = Instance { id: "twin".into(), ..instance(0) };
    harness.respond(10, vec![instance(0), instance(1), instance(2), twin.clone()]);
    assert_eq!(harness.eligible_ids(), ["i0", "i1", "i2"]);
    assert_eq!(harness.endpoint("twin").reason, EligibilityReason::DuplicateAddress);
    let before = harness.endpoint("i0").number;
    harness.respond(10, vec![with_health(0, HealthStatus::Critical), instance(1), instance(2), twin]);
    assert_eq!(harness.eligible_ids(), ["i1", "i2", "twin"]);
    assert_ne!(harness.endpoint("twin").number, before, "what is known of the old one does not hold for it");
    assert!(harness.endpoint("twin").eligible_since.is_some(), "it may need slow start");
}

#[test]
fn an_instance_that_moves_has_a_new_number_and_its_old_address_is_dropped_at_once() {
    let mut harness = Harness::new((0..2).map(instance).collect());
    let before = harness.endpoint("i0").number;
    harness.answered.extend(harness.list.endpoints.iter().map(|e| (e.number, 1_001)));
    let moved = |i: u16| Instance { address: at(2_000 + i), ..instance(i) };
    harness.respond(10, vec![moved(0), moved(1)]);
    assert_eq!(
        harness.list.endpoints.len(),
        2,
        "nothing is retained at the old addresses: {:?}",
        harness.list
    );
    assert_ne!(harness.endpoint("i0").number, before);
}

#[test]
fn a_cached_list_is_used_until_the_first_response_whatever_that_says() {
    let mut tracker = EndpointTracker::new(StabilityConfig::default(), 0);
    let list = tracker.restore(0, (0..6).map(instance).collect(), &mut Vec::new());
    assert_eq!(list.endpoints.iter().filter(|e| e.eligible && e.eligible_since.is_none()).count(), 6);
    // Consul's first response is no sudden change: much may have happened meanwhile.
    let list = tracker.apply_response(500, vec![instance(0), instance(9)], &|_| None, &mut Vec::new());
    let eligible: Vec<&str> =
        list.endpoints.iter().filter(|e| e.eligible).map(|e| e.instance.id.as_str()).collect();
    assert_eq!(eligible, ["i0", "i9"]);
}

#[test]
fn memory_is_bounded_over_a_hundred_thousand_replaced_ids() {
    let mut tracker = EndpointTracker::new(StabilityConfig::default(), 0);
    let (mut now, mut max_tracked, mut numbers) = (0, 0, HashSet::new());
    for turn in 0u32..10_000 {
        now += 100;
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
    assert!(max_tracked <= 12 + 2, "{max_tracked} remembered");
}

#[test]
fn a_number_with_attempts_in_flight_is_remembered() {
    let mut harness = Harness::new((0..6).map(instance).collect());
    harness.respond(10, (1..6).map(instance).collect());
    let tracked = harness.tracker.tracked_count();
    harness.tracker.advance(harness.now, &|_| true, &mut Vec::new());
    assert_eq!(harness.tracker.tracked_count(), tracked);
    harness.tracker.advance(harness.now, &|_| false, &mut Vec::new());
    assert_eq!(harness.tracker.tracked_count(), tracked - 1);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(42), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is listed in whatever order: marked endpoints are not eligible, no address is so twice, numbers are unique.
    #[test]
    fn invariants_hold_on_any_course(
        course in prop::collection::vec(
            (prop::collection::btree_map(0u16..10, (0u8..5, 0u16..12), 0..10), 0u64..5_000, any::<bool>()), 1..40)
    ) {
        let mut tracker = EndpointTracker::new(StabilityConfig::default(), 0);
        let (mut now, mut answered) = (0, HashMap::new());
        for (listed, after, answers) in course {
            now += after;
            let healths = [HealthStatus::Passing, HealthStatus::Warning, HealthStatus::Critical, HealthStatus::Maintenance, HealthStatus::NodeDown];
            let listed: Vec<Instance> = listed
                .into_iter()
                .map(|(i, (h, p))| Instance { address: at(1_000 + p), ..with_health(i, healths[usize::from(h)]) })
                .collect();
            let list = tracker.apply_response(now, listed.clone(), &|n| answered.get(&n).copied(), &mut Vec::new());
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
                    answered.insert(endpoint.number, now);
                }
            }
            tracker.advance(now, &|_| false, &mut Vec::new());
        }
    }
}
