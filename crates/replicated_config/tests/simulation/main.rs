//! Replicas and lease clients in simulated time. Messages are delayed, lost and duplicated, machines stop, crash and restart from
//! their disks, and the network partitions. At each simulated millisecond no two leases may contradict each
//! other, and no committed version may be lost.

mod machine;
mod network;
mod simulation;

use machine::{LEASE_DURATION, REQUEST_INTERVAL, ReceivedOutcome, proposal};
use network::random_millis;
use replicated_config::{
    ConfigVersion, LeaseClient, LeaseRequest, LeaseResponse, Message, ProposalId, ProposalOutcome, RequestId,
    RolloutPhase, VersionNumbers,
};
use simulation::Simulation;
use std::time::Duration;
use timestamps::MonotonicTime;

#[test]
fn a_proposal_comes_into_force_on_all_clients_within_200_ms() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed, 3, 12);
        // A new leader waits until leases of an earlier leader have expired.
        simulation.run_for(Duration::from_secs(5));
        let proposed = simulation.propose(11, 1, Duration::from_secs(2)).expect("the outcome arrives");
        assert_eq!(proposed.outcome, ProposalOutcome::Accepted(ConfigVersion(1)));
        assert!(proposed.elapsed < Duration::from_millis(100), "{:?}", proposed.elapsed);
        let elapsed = simulation
            .time_until_in_force(ConfigVersion(1), Duration::from_secs(5))
            .expect("the version comes into force");
        // The clients are notified, request the proposed version, and confirm it. The leader activates it and notifies them.
        assert!(elapsed <= Duration::from_millis(200), "{elapsed:?}");
        assert!(simulation.checked_lease_count > 10_000);
    }
}

#[test]
fn a_proposal_is_committed_within_three_seconds_of_a_leader_crash() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 3, 8);
        simulation.run_for(Duration::from_millis(3_500));
        let leader = simulation.leader().expect("there is a leader");
        simulation.machines[leader].crash();
        let proposed = simulation.propose(7, 1, Duration::from_secs(5)).expect("the outcome arrives");
        assert_eq!(proposed.outcome, ProposalOutcome::Accepted(ConfigVersion(1)), "seed {seed}");
        assert!(proposed.elapsed < Duration::from_secs(3), "seed {seed}: {:?}", proposed.elapsed);
        assert!(
            simulation.time_until_in_force(ConfigVersion(1), Duration::from_secs(8)).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_stopped_lease_holder_delays_a_rollout_by_at_most_one_lease_and_resumes_without_a_lease() {
    let mut simulation = Simulation::new(3, 3, 6);
    simulation.run_for(Duration::from_millis(3_500));
    simulation.propose(5, 1, Duration::from_secs(2)).expect("the outcome arrives");
    simulation
        .time_until_in_force(ConfigVersion(1), Duration::from_secs(5))
        .expect("the version comes into force");
    simulation.machines[4].stopped = true;
    simulation.propose(5, 2, Duration::from_secs(2)).expect("the outcome arrives");
    let elapsed = simulation
        .time_until_in_force(ConfigVersion(2), Duration::from_secs(6))
        .expect("the version comes into force");
    assert!((LEASE_DURATION / 2..=LEASE_DURATION + 2 * REQUEST_INTERVAL).contains(&elapsed), "{elapsed:?}");
    simulation.machines[4].stopped = false;
    let now = simulation.clock(4);
    assert_eq!(simulation.machines[4].client.leased_version(now), None);
    assert!(simulation.time_until_in_force(ConfigVersion(2), Duration::from_secs(2)).is_some());
}

/// Guards against a read from the command line delaying the next rollout, as the lease of a client that sends no further request
/// does.
#[test]
fn a_request_without_a_lease_delays_no_rollout() {
    let mut simulation = Simulation::new(4, 3, 6);
    simulation.run_for(Duration::from_secs(5));
    simulation.machines[5].crash();
    simulation.run_for(LEASE_DURATION);
    for to in 0..3 {
        let request = LeaseRequest {
            client: "5".into(),
            id: RequestId(1),
            wants_lease: false,
            known_version: ConfigVersion::NONE,
            cached: VersionNumbers::default(),
        };
        simulation.send(4, to, &Message::LeaseRequest(request));
    }
    simulation.run_for(Duration::from_millis(100));
    simulation.propose(4, 1, Duration::from_secs(2)).expect("the outcome arrives");
    let elapsed = simulation
        .time_until_in_force(ConfigVersion(1), Duration::from_secs(5))
        .expect("the version comes into force");
    assert!(elapsed <= Duration::from_millis(200), "{elapsed:?}");
}

#[test]
fn a_minority_commits_nothing_and_its_leases_expire() {
    let mut simulation = Simulation::new(5, 3, 6);
    simulation.run_for(Duration::from_millis(3_500));
    let leader = simulation.leader().expect("there is a leader");
    // A partition separates the leader and one client from the others.
    simulation.network.segment_of_machine = (0..6).map(|i| u8::from(i == leader || i == 5)).collect();
    assert_eq!(simulation.propose(5, 1, Duration::from_secs(6)), None);
    assert_eq!(simulation.machines[5].client.leased_version(simulation.clock(5)), None);
    // The majority commits a version, and the minority adopts it once the partition has ended.
    let other = (0..3).find(|i| *i != leader).expect("there are three replicas");
    assert_eq!(
        simulation.propose(other, 2, Duration::from_secs(3)).map(|proposed| proposed.outcome),
        Some(ProposalOutcome::Accepted(ConfigVersion(1)))
    );
    simulation.network.end_partitions();
    assert!(simulation.time_until_in_force(ConfigVersion(1), Duration::from_secs(5)).is_some());
}

#[test]
fn concurrent_proposals_are_serialized_while_a_lease_holder_is_stopped() {
    let mut simulation = Simulation::new(6, 5, 9);
    simulation.run_for(Duration::from_millis(3_500));
    simulation.machines[8].stopped = true;
    let mut accepted = 0;
    for id in 1..=5 {
        let outcome = simulation.propose(7, id, Duration::from_secs(1)).expect("the outcome arrives").outcome;
        accepted += usize::from(matches!(outcome, ProposalOutcome::Accepted(_)));
        simulation.run_for(Duration::from_millis(150));
    }
    // One rollout is in progress at a time. The outcomes of the other proposals name its version.
    let in_progress = |outcome: &ProposalOutcome| {
        matches!(outcome, ProposalOutcome::RolloutInProgress { version: ConfigVersion(1), .. })
    };
    assert!(accepted >= 1 && simulation.outcomes.iter().any(|received| in_progress(&received.outcome)));
    simulation.machines[8].stopped = false;
    let last = simulation.texts.keys().max().copied().expect("there are versions");
    assert!(simulation.time_until_in_force(last, Duration::from_secs(8)).is_some());
}

#[test]
fn a_proposal_retried_after_a_leader_change_is_applied_once() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed, 3, 5);
        simulation.run_for(Duration::from_millis(3_500));
        let leader = simulation.leader().expect("there is a leader");
        // The proposal reaches the leader, and its outcome is lost, so the proposer retries.
        let proposal = proposal(9, 4, "once".into());
        simulation.send(4, leader, &Message::Propose(proposal.clone()));
        simulation.run_for(Duration::from_millis(40));
        simulation.outcomes.clear();
        simulation.machines[leader].crash();
        simulation.run_for(Duration::from_millis(2_500));
        let next = simulation.leader().expect("there is another leader");
        simulation.send(4, next, &Message::Propose(proposal));
        simulation.run_for(Duration::from_millis(100));
        assert_eq!(
            simulation.outcomes,
            [ReceivedOutcome {
                proposal: ProposalId(9),
                outcome: ProposalOutcome::Accepted(ConfigVersion(1))
            }],
            "seed {seed}"
        );
        assert_eq!(simulation.texts.len(), 1);
    }
}

/// Whether clients respect the expiry of their leases.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LeaseExpiry {
    Respected,
    Ignored,
}

/// The number of committed versions and of checked leases in a run.
#[derive(Debug, Default, PartialEq, Eq)]
struct RunTotals {
    version_count: usize,
    checked_lease_count: u64,
}

/// Runs many proposals while random faults are injected. The simulation checks leases and committed versions at each step.
fn run_with_faults(seed: u64, expiry: LeaseExpiry) -> RunTotals {
    let replicas = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut simulation = Simulation::new(seed, replicas, replicas + 5);
    simulation.clients_ignore_lease_expiry = expiry == LeaseExpiry::Ignored;
    simulation.network.loss_probability = if seed.is_multiple_of(2) { 0.1 } else { 0.0 };
    simulation.run_for(Duration::from_millis(3_500));
    for id in 1..=60 {
        inject_fault(&mut simulation);
        recover_some_machines(&mut simulation);
        let from = simulation.random.usize(0..simulation.machines.len());
        let proposal = proposal(id, from, format!("text {id}"));
        for to in 0..replicas {
            simulation.send(from, to, &Message::Propose(proposal.clone()));
        }
        let pause =
            random_millis(&mut simulation.random, Duration::from_millis(50)..Duration::from_millis(900));
        simulation.run_for(pause);
    }
    recover_all_machines(&mut simulation);
    simulation.run_for(Duration::from_secs(8));
    // After recovery another proposal comes into force on all machines.
    let from = simulation.machines.len() - 1;
    let outcome =
        simulation.propose(from, 1_000_000, Duration::from_secs(3)).expect("the outcome arrives").outcome;
    let ProposalOutcome::Accepted(number) = outcome else { panic!("seed {seed}: {outcome:?}") };
    assert!(simulation.time_until_in_force(number, Duration::from_secs(8)).is_some(), "seed {seed}");
    // Version numbers have no gaps, so no committed version is lost.
    assert_eq!(
        simulation.texts.keys().copied().collect::<Vec<_>>(),
        (1..=number.0).map(ConfigVersion).collect::<Vec<_>>()
    );
    RunTotals { version_count: simulation.texts.len(), checked_lease_count: simulation.checked_lease_count }
}

fn inject_fault(simulation: &mut Simulation) {
    let machines = simulation.machines.len();
    let i = simulation.random.usize(0..machines);
    match simulation.random.u32(0..12) {
        0 if simulation.machines[i].alive => simulation.machines[i].crash(),
        1 if simulation.machines[i].alive => simulation.machines[i].stopped = true,
        2 => {
            let sides = simulation.random.u8(..);
            simulation.network.segment_of_machine = (0..machines).map(|i| sides >> (i % 8) & 1).collect();
        }
        3 | 4 => simulation.network.end_partitions(),
        5 => (0..simulation.replicas.len()).for_each(|i| simulation.machines[i].crash()),
        _ => {}
    }
}

fn recover_some_machines(simulation: &mut Simulation) {
    for i in 0..simulation.machines.len() {
        if !simulation.machines[i].alive && simulation.random.u8(..) < 100 {
            simulation.restart(i);
        }
        if simulation.machines[i].stopped && simulation.random.u8(..) < 60 {
            simulation.machines[i].stopped = false;
        }
    }
}

fn recover_all_machines(simulation: &mut Simulation) {
    simulation.network.loss_probability = 0.0;
    simulation.network.end_partitions();
    for i in 0..simulation.machines.len() {
        simulation.machines[i].stopped = false;
        if !simulation.machines[i].alive {
            simulation.restart(i);
        }
    }
}

#[test]
fn leases_agree_and_committed_versions_survive_under_random_faults() {
    let mut total = RunTotals::default();
    for seed in 0..24 {
        let run = run_with_faults(seed, LeaseExpiry::Respected);
        total.version_count += run.version_count;
        total.checked_lease_count += run.checked_lease_count;
    }
    assert!(total.version_count > 150 && total.checked_lease_count > 1_000_000, "{total:?}");
}

#[test]
fn the_lease_check_detects_clients_that_act_on_an_expired_lease() {
    let detected =
        (0..10).any(|seed| std::panic::catch_unwind(|| run_with_faults(seed, LeaseExpiry::Ignored)).is_err());
    assert!(detected);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    assert_eq!(run_with_faults(7, LeaseExpiry::Respected), run_with_faults(7, LeaseExpiry::Respected));
}

#[test]
fn a_response_to_a_request_from_before_a_restart_gives_no_lease() {
    let mut client = LeaseClient::new(LEASE_DURATION, RequestId(100));
    client.start_request(MonotonicTime::ZERO, 3);
    let response =
        LeaseResponse { request: RequestId(99), version: ConfigVersion(1), phase: RolloutPhase::InForce };
    assert!(!client.on_response(response));
    assert_eq!(client.leased_version(MonotonicTime::from_millis(1)), None);
}
