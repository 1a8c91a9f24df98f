use super::*;
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

fn sick(i: u16, health: HealthStatus) -> Instance {
    Instance { health, ..instance(i) }
}

/// A list that is told of things, with what came of it.
struct Bench {
    list: EndpointTracker,
    now: u64,
    view: EndpointList,
    notes: Vec<WatchEvent>,
    /// When clients had their last answers.
    answered: HashMap<u32, u64>,
}

impl Bench {
    fn new(first: Vec<Instance>) -> Self {
        let mut list = EndpointTracker::new(StabilityConfig::default(), 0);
        let view = list.apply_response(1_000, first, &|_| None, &mut Vec::new());
        Self { list, now: 1_000, view, notes: Vec::new(), answered: HashMap::new() }
    }

    fn tell(&mut self, after: u64, instances: Vec<Instance>) {
        self.now += after;
        let answered = |n: u32| self.answered.get(&n).copied();
        self.view = self.list.apply_response(self.now, instances, &answered, &mut self.notes);
    }

    fn pass(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.list.next_deadline(self.now).unwrap_or(until).min(until);
            self.view = self.list.advance(self.now, &|_| false, &mut self.notes);
        }
    }

    fn working(&self) -> Vec<&str> {
        let mut ids: Vec<&str> =
            self.view.endpoints.iter().filter(|e| e.eligible).map(|e| e.instance.id.as_str()).collect();
        ids.sort_unstable();
        ids
    }

    fn entry(&self, id: &str) -> &Endpoint {
        self.view.endpoints.iter().find(|e| e.instance.id == id).expect("it is listed")
    }
}

#[test]
fn marks_are_obeyed_at_once_however_many() {
    let mut bench = Bench::new((0..4).map(instance).collect());
    bench.tell(
        10,
        vec![
            sick(0, HealthStatus::Critical),
            sick(1, HealthStatus::Maintenance),
            sick(2, HealthStatus::NodeDown),
            sick(3, HealthStatus::Warning),
        ],
    );
    assert_eq!(bench.working(), ["i3"]);
    assert_eq!(bench.entry("i1").reason, EligibilityReason::Unhealthy(HealthStatus::Maintenance));
    assert_eq!(bench.notes[0], WatchEvent::ListChanged(4, 1));
}

#[test]
fn what_the_setting_says_takes_work() {
    let mut list = EndpointTracker::new(
        StabilityConfig { minimum_health: HealthStatus::Passing, ..StabilityConfig::default() },
        0,
    );
    let view =
        list.apply_response(0, vec![instance(0), sick(1, HealthStatus::Warning)], &|_| None, &mut Vec::new());
    assert_eq!(view.endpoints.iter().filter(|e| e.eligible).count(), 1);
}

#[test]
fn one_restart_costs_no_hold_and_counts_as_a_start() {
    let mut bench = Bench::new((0..3).map(instance).collect());
    assert_eq!(bench.entry("i0").eligible_since, None, "it was there from the first list on");
    bench.tell(1_000, vec![sick(0, HealthStatus::Critical), instance(1), instance(2)]);
    bench.tell(5_000, (0..3).map(instance).collect());
    assert_eq!(bench.working().len(), 3);
    assert_eq!(bench.entry("i0").eligible_since, Some(7_000));
}

/// A flap every second for a minute: without the hold it moves traffic thirty times.
#[test]
fn a_flap_every_second_moves_traffic_a_few_times_only_and_is_forgiven_later() {
    let mut bench = Bench::new((0..3).map(instance).collect());
    let mut moves = 0;
    let mut before = 3;
    for second in 0..60 {
        let health = if second % 2 == 0 { HealthStatus::Critical } else { HealthStatus::Passing };
        bench.tell(1_000, vec![sick(0, health), instance(1), instance(2)]);
        bench.pass(0);
        moves += usize::from(bench.working().len() != before);
        before = bench.working().len();
    }
    assert!((2..=6).contains(&moves), "{moves} moves");
    assert!(matches!(bench.entry("i0").reason, EligibilityReason::Flapping(_)), "{:?}", bench.entry("i0"));
    // Well for good: it is back after its hold, and after some quiet minutes nothing is left of it.
    bench.pass(60_000);
    assert_eq!(bench.working().len(), 3);
    bench.pass(600_000);
    bench.tell(1_000, vec![sick(0, HealthStatus::Critical), instance(1), instance(2)]);
    bench.tell(1_000, (0..3).map(instance).collect());
    assert_eq!(bench.working().len(), 3);
}

#[test]
fn holds_grow_to_a_bound() {
    let mut bench = Bench::new((0..3).map(instance).collect());
    let mut holds = Vec::new();
    for _ in 0..8 {
        bench.tell(1, vec![sick(0, HealthStatus::Critical), instance(1), instance(2)]);
        bench.tell(1, (0..3).map(instance).collect());
        let begun = bench.now;
        while bench.working().len() < 3 {
            bench.pass(100);
        }
        holds.push(bench.now - begun);
    }
    assert_eq!(holds[0], 0);
    assert!(holds.windows(2).all(|w| w[1] >= w[0] || w[0] > 30_000), "{holds:?}");
    assert!(holds.iter().all(|&h| h <= 60_000), "{holds:?}");
    assert!(holds[3] >= 4_000, "{holds:?}");
}

#[test]
fn a_wiped_catalogue_is_held_for_those_that_still_answer_and_then_believed() {
    let mut bench = Bench::new((0..6).map(instance).collect());
    let numbers: Vec<u32> = bench.view.endpoints.iter().map(|e| e.number).collect();
    // Two are dead for real: they have not answered for long.
    bench.answered.extend(numbers[2..].iter().map(|&n| (n, 1_500)));
    bench.tell(1_000, Vec::new());
    assert_eq!(bench.working(), ["i2", "i3", "i4", "i5"]);
    assert_eq!(bench.notes[0], WatchEvent::SuddenLoss { vanished: 6, of: 6, kept: 4 });
    // Told again, it is the same loss and not a new one.
    bench.tell(5_000, Vec::new());
    assert_eq!(bench.working().len(), 4);
    bench.pass(9_000);
    assert_eq!(bench.working().len(), 4);
    bench.pass(2_000);
    assert_eq!(bench.working().len(), 0);
    assert!(bench.notes.contains(&WatchEvent::LossAccepted(4)), "{:?}", bench.notes);
}

#[test]
fn a_wiped_catalogue_that_is_restored_in_time_moves_nothing() {
    let mut bench = Bench::new((0..6).map(instance).collect());
    let before = bench.view.clone();
    bench.answered.extend(before.endpoints.iter().map(|e| (e.number, 1_500)));
    bench.tell(1_000, Vec::new());
    bench.tell(4_000, (0..6).map(instance).collect());
    assert_eq!(bench.view, before, "not even a start is counted");
    bench.pass(60_000);
    assert_eq!(bench.working().len(), 6);
}

#[test]
fn a_few_that_go_are_believed_at_once() {
    let mut bench = Bench::new((0..6).map(instance).collect());
    let numbers: Vec<u32> = bench.view.endpoints.iter().map(|e| e.number).collect();
    bench.answered.extend(numbers.iter().map(|&n| (n, 1_900)));
    bench.tell(1_000, (2..6).map(instance).collect());
    assert_eq!(bench.working().len(), 4);
}

#[test]
fn of_two_ids_at_one_address_one_takes_work_and_a_replacement_takes_over() {
    let mut bench = Bench::new((0..3).map(instance).collect());
    let twin = Instance { id: "twin".into(), ..instance(0) };
    bench.tell(10, vec![instance(0), instance(1), instance(2), twin.clone()]);
    assert_eq!(bench.working(), ["i0", "i1", "i2"]);
    assert_eq!(bench.entry("twin").reason, EligibilityReason::DuplicateAddress);
    let before = bench.entry("i0").number;
    bench.tell(10, vec![sick(0, HealthStatus::Critical), instance(1), instance(2), twin]);
    assert_eq!(bench.working(), ["i1", "i2", "twin"]);
    assert_ne!(bench.entry("twin").number, before, "what is known of the old one does not hold for it");
    assert!(bench.entry("twin").eligible_since.is_some(), "it may be cold");
}

#[test]
fn an_instance_that_moves_has_a_new_number_and_its_old_place_is_gone_at_once() {
    let mut bench = Bench::new((0..2).map(instance).collect());
    let before = bench.entry("i0").number;
    bench.answered.extend(bench.view.endpoints.iter().map(|e| (e.number, 1_001)));
    let moved = |i: u16| Instance { address: at(2_000 + i), ..instance(i) };
    bench.tell(10, vec![moved(0), moved(1)]);
    assert_eq!(bench.view.endpoints.len(), 2, "nothing is kept at the old places: {:?}", bench.view);
    assert_ne!(bench.entry("i0").number, before);
}

#[test]
fn a_list_from_disk_serves_until_consul_answers_whatever_that_says() {
    let mut list = EndpointTracker::new(StabilityConfig::default(), 0);
    let view = list.restore(0, (0..6).map(instance).collect(), &mut Vec::new());
    assert_eq!(view.endpoints.iter().filter(|e| e.eligible && e.eligible_since.is_none()).count(), 6);
    // Consul's first word is no sudden change: much may have happened meanwhile.
    let view = list.apply_response(500, vec![instance(0), instance(9)], &|_| None, &mut Vec::new());
    let working: Vec<&str> =
        view.endpoints.iter().filter(|e| e.eligible).map(|e| e.instance.id.as_str()).collect();
    assert_eq!(working, ["i0", "i9"]);
}

#[test]
fn memory_is_bounded_over_a_hundred_thousand_replaced_ids() {
    let mut list = EndpointTracker::new(StabilityConfig::default(), 0);
    let (mut now, mut most, mut numbers) = (0, 0, HashSet::new());
    for turn in 0u32..10_000 {
        now += 100;
        let fleet = (0..12u32).map(|i| {
            let generation = (turn + i) / 12 * 12 + i;
            Instance { id: format!("i{generation}"), ..instance(i as u16) }
        });
        let view = list.apply_response(now, fleet.collect(), &|_| None, &mut Vec::new());
        numbers.extend(view.endpoints.iter().map(|e| e.number));
        list.advance(now, &|_| false, &mut Vec::new());
        most = most.max(list.tracked_count());
    }
    assert!(numbers.len() > 9_000, "{} numbers", numbers.len());
    assert!(most <= 12 + 2, "{most} remembered");
}

#[test]
fn a_number_with_work_out_is_remembered() {
    let mut bench = Bench::new((0..6).map(instance).collect());
    bench.tell(10, (1..6).map(instance).collect());
    let kept = bench.list.tracked_count();
    bench.list.advance(bench.now, &|_| true, &mut Vec::new());
    assert_eq!(bench.list.tracked_count(), kept);
    bench.list.advance(bench.now, &|_| false, &mut Vec::new());
    assert_eq!(bench.list.tracked_count(), kept - 1);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(42), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is told in whatever order: what is marked takes no work, no address works twice, numbers are unique.
    #[test]
    fn rules_hold_on_any_course(
        course in prop::collection::vec(
            (prop::collection::btree_map(0u16..10, (0u8..5, 0u16..12), 0..10), 0u64..5_000, any::<bool>()), 1..40)
    ) {
        let mut list = EndpointTracker::new(StabilityConfig::default(), 0);
        let (mut now, mut answered) = (0, HashMap::new());
        for (told, after, answers) in course {
            now += after;
            let healths = [HealthStatus::Passing, HealthStatus::Warning, HealthStatus::Critical, HealthStatus::Maintenance, HealthStatus::NodeDown];
            let told: Vec<Instance> = told
                .into_iter()
                .map(|(i, (h, p))| Instance { address: at(1_000 + p), ..sick(i, healths[usize::from(h)]) })
                .collect();
            let view = list.apply_response(now, told.clone(), &|n| answered.get(&n).copied(), &mut Vec::new());
            let mut addresses = HashSet::new();
            let mut numbers = HashSet::new();
            for entry in &view.endpoints {
                prop_assert!(numbers.insert(entry.number));
                if entry.eligible {
                    prop_assert!(addresses.insert(entry.instance.address));
                    let now_told = told.iter().find(|i| i.id == entry.instance.id && i.address == entry.instance.address);
                    match now_told {
                        Some(now_told) => prop_assert!(now_told.health <= HealthStatus::Warning),
                        None => prop_assert!(matches!(entry.reason, EligibilityReason::Retained(_))),
                    }
                }
                if answers {
                    answered.insert(entry.number, now);
                }
            }
            list.advance(now, &|_| false, &mut Vec::new());
        }
    }
}
