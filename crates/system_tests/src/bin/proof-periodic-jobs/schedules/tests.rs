//! The phases are the same in every version.

use super::*;
use fault_injection::digest::digest;

#[test]
fn phases_are_those_that_they_always_were() {
    let faults = phases().iter().flat_map(|phase| phase.faults.clone()).collect();
    assert_eq!(digest(&schedule("duties", 92_000, faults).to_toml()), 0x3e88_1a42_08bb_25c8);
    let counts: Vec<usize> = phases().iter().map(|phase| phase.faults.len()).collect();
    assert_eq!(counts, [4, 1, 2, 1, 1, 16, 20, 1, 1, 1]);
}

#[test]
fn jobs_are_named_by_their_numbers() {
    assert_eq!(usual_jobs().len(), JOBS);
    assert!(usual_jobs().contains("duty-0") && !usual_jobs().contains("duty-64"));
    assert_eq!(changed_jobs().len(), 52);
    assert!(changed_jobs().contains("duty-16") && changed_jobs().contains("duty-67"));
}
