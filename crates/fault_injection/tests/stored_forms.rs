//! Guards the stored files: generated and named schedules, the format of histories, and the violations that the checkers find in
//! stored histories must not change.

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

/// The bounds of a site, and bounds so narrow that nearly everything violates them.
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
fn seeds_give_the_stored_schedules() {
    let generated: String = (0..24).map(|seed| Schedule::from_seed(seed, 10_000).to_toml() + "\n").collect();
    assert_eq!(generated, fixture("drawn.toml"));
    let digests = [2_000, 10_000, 60_000].map(|length_ms| {
        let generated: String =
            (0..3_000).map(|seed| Schedule::from_seed(seed, length_ms).to_toml()).collect();
        format!("{length_ms} {:016x}\n", digest(&generated))
    });
    assert_eq!(digests.concat(), fixture("drawn.digests"));
}

#[test]
fn named_schedules_match_the_stored_ones() {
    let all: String = named_schedules().iter().map(|schedule| schedule.to_toml() + "\n").collect();
    assert_eq!(all, fixture("named.toml"));
}

#[test]
fn a_stored_history_is_read_and_written_byte_for_byte() {
    for i in 0..HISTORIES {
        let text = fixture(&format!("history-{i}.jsonl"));
        let history = read(&text).expect("a history");
        let mut written = Vec::new();
        write(&history, &mut written).expect("the history is written");
        assert_eq!(String::from_utf8_lossy(&written), text, "history {i}");
    }
}

#[test]
fn a_stored_history_that_ends_within_a_line_is_rejected_with_the_line() {
    let text = fixture("history-0.jsonl");
    let end = text.match_indices('\n').nth(2).expect("three lines").0;
    let error = read(&text[..end - 4]).expect_err("the third line is cut").to_string();
    assert!(error.starts_with("history line 3: "), "{error}");
}

#[test]
fn checkers_report_the_stored_violations() {
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
