//! The forms that are kept in files and the verdicts on them stay as they were: schedules, histories, and what checkers find.

use fault_harness::digest::digest;
use fault_injection::checkers::{Bounds, Ceiling, ResourceLimits, check, longest_contradiction, outcomes};
use fault_injection::history::{read, write};
use fault_injection::schedule::{Schedule, named_schedules};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;

const HISTORIES: usize = 6;

fn fixture(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Bounds as a site has them, and some that nearly all is beyond.
fn bounds() -> [Bounds; 2] {
    let ceiling = |units_per_second, burst, largest_request| {
        let ceiling = Ceiling { units_per_second, burst, largest_request };
        BTreeMap::from([("greedy".to_owned(), ceiling)])
    };
    let wide = Bounds {
        deadline_ms: 1_000,
        tolerance_ms: 400,
        ceilings: ceiling(20.0, 40.0, 4.0),
        drain_ms: 1_000,
        convergence_ms: 5_000,
        convergence_after_counter_loss_ms: 7_000,
        contradiction_ms: 100,
        resources: ResourceLimits { memory_kb: 50_000, descriptors: 500, threads: 40 },
    };
    let narrow = Bounds {
        deadline_ms: 100,
        tolerance_ms: 10,
        ceilings: ceiling(2.0, 4.0, 1.0),
        drain_ms: 20,
        convergence_ms: 500,
        convergence_after_counter_loss_ms: 600,
        contradiction_ms: 10,
        resources: ResourceLimits { memory_kb: 30_000, descriptors: 300, threads: 20 },
    };
    [wide, narrow]
}

#[test]
fn a_seed_gives_the_schedule_that_it_always_gave() {
    let drawn: String = (0..24).map(|seed| Schedule::from_seed(seed, 10_000).to_toml() + "\n").collect();
    assert_eq!(drawn, fixture("drawn.toml"));
    let digests = [2_000, 10_000, 60_000].map(|length_ms| {
        let drawn: String = (0..3_000).map(|seed| Schedule::from_seed(seed, length_ms).to_toml()).collect();
        format!("{length_ms} {:016x}\n", digest(&drawn))
    });
    assert_eq!(digests.concat(), fixture("drawn.digests"));
}

#[test]
fn named_schedules_are_those_that_they_always_were() {
    let all: String = named_schedules().iter().map(|schedule| schedule.to_toml() + "\n").collect();
    assert_eq!(all, fixture("named.toml"));
}

#[test]
fn a_stored_history_is_read_and_written_byte_for_byte() {
    for i in 0..HISTORIES {
        let text = fixture(&format!("history-{i}.jsonl"));
        let history = read(&text).expect("a history");
        let mut written = Vec::new();
        write(&history, &mut written).expect("it is written");
        assert_eq!(String::from_utf8_lossy(&written), text, "history {i}");
    }
}

#[test]
fn a_stored_history_that_ends_within_a_line_is_rejected_with_the_line() {
    let text = fixture("history-0.jsonl");
    let end = text.match_indices('\n').nth(2).expect("three lines").0;
    let error = read(&text[..end - 4]).expect_err("the third line is cut").to_string();
    assert!(error.starts_with("line 3: "), "{error}");
}

#[test]
fn checkers_come_to_the_verdicts_that_they_always_came_to() {
    let mut verdicts = String::new();
    for i in 0..HISTORIES {
        let history = read(&fixture(&format!("history-{i}.jsonl"))).expect("a history");
        for violation in bounds().iter().flat_map(|bounds| check(&history, bounds)) {
            writeln!(verdicts, "{i}: {}: {}", violation.rule, violation.text).expect("a string takes all");
        }
        let ends = serde_json::to_string(&outcomes(&history)).expect("a map of numbers");
        let contradiction = longest_contradiction(&history);
        let (longest_ms, description) = (contradiction.longest_ms, contradiction.description);
        writeln!(verdicts, "{i}: ({longest_ms}, {description:?}) {ends}").expect("a string takes all");
    }
    assert_eq!(verdicts, fixture("verdicts.txt"));
}
