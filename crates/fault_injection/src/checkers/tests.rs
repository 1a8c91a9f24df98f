//! For each rule, histories that comply with it and histories that violate it.

use super::*;
use crate::history::{Observation, Outcome};
use serde_json::Value;

const CEILING: Ceiling = Ceiling { units_per_second: 20.0, burst: 40.0, largest_request: 4.0 };

fn bounds() -> Bounds {
    Bounds {
        deadline_ms: 1_000,
        tolerance_ms: 400,
        ceilings: [("greedy".to_owned(), CEILING)].into(),
        drain_ms: 1_000,
        convergence_ms: 5_000,
        convergence_after_counter_loss_ms: 5_000,
        contradiction_ms: 3_000,
        resources: ResourceLimits { memory_kb: 50_000, descriptors: 500, threads: 40 },
    }
}

/// Builds a history from observations with their times in ms.
fn history(list: &[(u64, Observation)]) -> Vec<Record> {
    list.iter()
        .map(|(ms, observation)| Record { at_us: ms * 1_000, observation: observation.clone() })
        .collect()
}

fn sent(request_id: u64, gatekeeper: &str) -> Observation {
    Observation::RequestSent {
        request_id,
        tenant: "greedy".into(),
        units: 1.0,
        gatekeeper: gatekeeper.into(),
    }
}

fn ended(request_id: u64, outcome: Outcome) -> Observation {
    Observation::RequestEnded { request_id, outcome }
}

fn fault(begins: bool, affected: &[&str]) -> Observation {
    let affected = affected.iter().map(|name| (*name).to_owned()).collect();
    Observation::Fault { index: 0, kind: "killed".into(), begins, affected, delays_attempts: false }
}

/// The log line in which m0 reports the state of l0.
fn logs_state(accepts_requests: bool) -> Observation {
    logs_state_as(["backend", "eligible"], accepts_requests)
}

/// The same log line with these field names.
fn logs_state_as([backend, eligible]: [&str; 2], accepts_requests: bool) -> Observation {
    let fields = [(backend, Value::from("a/l0")), (eligible, Value::from(accepts_requests))];
    let fields = fields.map(|(name, value)| (name.to_owned(), value)).into_iter().collect();
    Observation::LogLine { process: "m0".into(), text: String::new(), fields }
}

fn arrived(request_id: u64) -> Observation {
    Observation::AttemptArrived { request_id, backend: "l0".into(), gatekeeper: "m0".into() }
}

#[test]
fn a_compliant_history_has_no_violations() {
    let good = history(&[
        (0, Observation::ProcessStarted { process: "m0".into() }),
        (1, sent(1, "m0")),
        (2, arrived(1)),
        (3, ended(1, Outcome::Served)),
        (4, fault(true, &["m0"])),
        (5, sent(2, "m0")),
        (6, ended(2, Outcome::Unanswered)),
        (7, fault(false, &["m0"])),
        (8, logs_state(false)),
        (900, arrived(3)),
        (901, logs_state(true)),
        (9_000, arrived(4)),
        (9_001, Observation::JobRan { job: "d".into(), run: 1, instance: "m0".into() }),
        (9_002, Observation::JobRan { job: "d".into(), run: 2, instance: "m1".into() }),
        (
            9_003,
            Observation::ResourceUse {
                process: "m0".into(),
                memory_kb: 9_000,
                descriptors: 40,
                threads: 20,
                cpu_ms: 0,
            },
        ),
        (9_004, Observation::ProcessExited { process: "m0".into(), exit_code: -9, requested: true }),
        (9_005, Observation::Converged { after_ms: Some(700), divergence: String::new() }),
    ]);
    assert_eq!(check(&good, &bounds()), []);
    let mut text = Vec::new();
    crate::history::write(&good, &mut text).expect("the history is written");
    let read = crate::history::read(&String::from_utf8_lossy(&text)).expect("the history is read");
    assert_eq!(read, good);
}

/// For each rule, histories that violate this rule and no other.
#[test]
fn each_checker_finds_the_violations_of_its_rule() {
    let converged = (20_000, Observation::Converged { after_ms: Some(1), divergence: String::new() });
    let ran = |by: &str| Observation::JobRan { job: "d".into(), run: 7, instance: by.into() };
    let beyond_ceiling: Vec<(u64, Observation)> =
        (0..60).flat_map(|id| [(id, sent(id, "m0")), (id, arrived(id))]).collect();
    let cases: Vec<(&str, Vec<(u64, Observation)>)> = vec![
        ("one final answer in time", vec![(1, sent(1, "m0")), (9, ended(1, Outcome::Unanswered))]),
        ("one final answer in time", vec![(1, sent(1, "m0")), (1_900, ended(1, Outcome::Served))]),
        ("one final answer in time", vec![(1, sent(1, "m0")), (9, ended(1, Outcome::Foreign))]),
        ("one final answer in time", vec![(1, sent(1, "m0"))]),
        (
            "one final answer in time",
            vec![(1, sent(1, "m0")), (2, ended(1, Outcome::Served)), (3, ended(1, Outcome::Served))],
        ),
        (
            // The fault affects another gatekeeper.
            "one final answer in time",
            vec![(0, fault(true, &["m1"])), (1, sent(1, "m0")), (9, ended(1, Outcome::Unanswered))],
        ),
        ("hard ceiling", beyond_ceiling),
        ("nothing new to who takes no work", vec![(1, logs_state(false)), (1_500, arrived(9))]),
        // The field names of an older build.
        (
            "nothing new to who takes no work",
            vec![(1, logs_state_as(["server", "takes_work"], false)), (1_500, arrived(9))],
        ),
        ("no round twice", vec![(1, ran("m0")), (2, ran("m1"))]),
        (
            "no exit unasked",
            vec![(1, Observation::ProcessExited { process: "m0".into(), exit_code: 0, requested: false })],
        ),
        (
            "no exit unasked",
            vec![(1, Observation::ProcessExited { process: "m0".into(), exit_code: 101, requested: true })],
        ),
        (
            "bounded memory, descriptors and threads",
            vec![(
                1,
                Observation::ResourceUse {
                    process: "m0".into(),
                    memory_kb: 9_000,
                    descriptors: 900,
                    threads: 20,
                    cpu_ms: 0,
                },
            )],
        ),
        (
            "all agree again",
            vec![(1, Observation::Converged { after_ms: None, divergence: "m1 sees 2".into() })],
        ),
    ];
    for (rule, list) in cases {
        let ends: Vec<(u64, Observation)> = match rule {
            // The requests end in time, so that no other rule is violated.
            "hard ceiling" => (0..60).map(|id| (100, ended(id, Outcome::Served))).collect(),
            _ => Vec::new(),
        };
        let found =
            check(&history(&[&list[..], &ends, std::slice::from_ref(&converged)].concat()), &bounds());
        assert!(!found.is_empty() && found.iter().all(|v| v.rule == rule), "{rule}: {found:?}");
    }
}

#[test]
fn a_ceiling_counts_first_attempts_only_and_refills_over_time() {
    // The ceiling allows 40 units at_ms once and 20 a second: four requests every 200 ms, each with a second attempt, keep to it.
    let mut list = Vec::new();
    for request_id in 0..200 {
        let at_ms = request_id / 4 * 200;
        list.extend([
            (at_ms, sent(request_id, "m0")),
            (at_ms, arrived(request_id)),
            (at_ms, arrived(request_id)),
        ]);
    }
    assert_eq!(hard_ceilings(&history(&list), &bounds()), []);
}

fn logs_versions(process: &str, version: u64, proposed: u64, leased: bool) -> Observation {
    let fields =
        [("version", version.into()), ("proposed", proposed.into()), ("leased", Value::from(leased))];
    let fields = fields.map(|(name, value)| (name.to_owned(), value)).into_iter().collect();
    Observation::LogLine { process: process.into(), text: String::new(), fields }
}

#[test]
fn measures_the_longest_contradiction_between_versions() {
    let compatible = history(&[
        (0, logs_versions("a", 1, 0, true)),
        (0, logs_versions("b", 1, 0, true)),
        (100, logs_versions("a", 1, 2, true)),
        (200, logs_versions("b", 1, 2, true)),
        (300, logs_versions("a", 2, 0, true)),
        // Without a lease, a gatekeeper acts on no version.
        (400, logs_versions("b", 1, 2, false)),
        (500, logs_versions("a", 2, 3, true)),
        (600, logs_versions("a", 3, 0, true)),
        (700, logs_versions("b", 3, 0, true)),
    ]);
    assert_eq!(longest_contradiction(&compatible).longest_ms, 0);
    let contradicting = history(&[
        (0, logs_versions("a", 1, 0, true)),
        (0, logs_versions("b", 1, 0, true)),
        (100, logs_versions("a", 2, 0, true)),
        (5_100, logs_versions("b", 2, 0, true)),
    ]);
    assert_eq!(longest_contradiction(&contradicting).longest_ms, 5_000);
    assert_eq!(contradicting_versions(&contradicting, &bounds()).len(), 1);
    // A suspended gatekeeper acts on no version.
    let suspended = |begins| Observation::Fault {
        index: 0,
        kind: "stopped".into(),
        begins,
        affected: vec!["b".into()],
        delays_attempts: false,
    };
    let during_suspension = history(&[
        (0, logs_versions("a", 1, 0, true)),
        (0, logs_versions("b", 1, 0, true)),
        (50, suspended(true)),
        (100, logs_versions("a", 2, 0, true)),
        (5_000, suspended(false)),
        (5_020, logs_versions("b", 1, 0, false)),
    ]);
    assert_eq!(longest_contradiction(&during_suspension).longest_ms, 20);
}
