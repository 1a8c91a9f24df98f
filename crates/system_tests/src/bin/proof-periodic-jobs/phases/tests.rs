//! The faults of the phases stay the same from version to version, and the span of a phase is found in a history.

use super::*;
use crate::schedule::schedule;
use fault_harness::digest::digest;

#[test]
fn the_faults_of_all_phases_are_unchanged() {
    let faults = Phase::ALL.into_iter().flat_map(Phase::faults).collect();
    assert_eq!(digest(&schedule("duties", 92_000, faults).to_toml()), 0x3e88_1a42_08bb_25c8);
    let counts = Phase::ALL.map(|phase| phase.faults().len());
    assert_eq!(counts, [4, 1, 2, 1, 1, 16, 20, 1, 1, 1]);
}

fn fault(at_ms: u64, index: usize, begins: bool) -> Record {
    let (kind, affected) = ("killed".into(), Vec::new());
    let observation = Observation::Fault { index, kind, begins, affected, delays_attempts: false };
    Record { at_us: at_ms * 1_000, observation }
}

#[test]
fn a_phase_lasts_from_the_start_of_its_first_fault_to_the_end_of_its_last() {
    let history =
        [fault(1_100, 0, true), fault(1_600, 1, true), fault(2_900, 0, false), fault(3_100, 1, false)];
    let span = span_of_faults(&history, 0..2);
    assert_eq!((span.from_us, span.to_us), (1_100_000, 3_100_000));
    let span = span_of_faults(&history, 1..2);
    assert_eq!((span.from_us, span.to_us), (1_600_000, 3_100_000));
}
