//! The forms that are kept in files and the verdicts on them stay as they were: schedules, histories, and what checkers find.

use fault_injection::checks::{Bounds, check, contradiction, operations};
use fault_injection::history::{read, write};
use fault_injection::schedule::{Schedule, named_schedules};
use std::fmt::Write;
use std::path::PathBuf;

const HISTORIES: usize = 6;

fn fixture(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// FNV-1a with 64 bits.
fn digest(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Bounds as a site has them, and some that nearly all is beyond.
fn bounds() -> [Bounds; 2] {
    let wide = Bounds {
        deadline: 1_000,
        late: 400,
        ceilings: [("greedy".to_owned(), (20.0, 40.0, 4.0))].into(),
        drain: 1_000,
        agree: 5_000,
        agree_after_loss: 7_000,
        apart: 100,
        holds: (50_000, 500, 40),
    };
    let narrow = Bounds {
        deadline: 100,
        late: 10,
        ceilings: [("greedy".to_owned(), (2.0, 4.0, 1.0))].into(),
        drain: 20,
        agree: 500,
        agree_after_loss: 600,
        apart: 10,
        holds: (30_000, 300, 20),
    };
    [wide, narrow]
}

#[test]
fn a_seed_draws_the_schedule_that_it_always_drew() {
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
        let ends = serde_json::to_string(&operations(&history)).expect("a map of numbers");
        writeln!(verdicts, "{i}: {:?} {ends}", contradiction(&history)).expect("a string takes all");
    }
    assert_eq!(verdicts, fixture("verdicts.txt"));
}
