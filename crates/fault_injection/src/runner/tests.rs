//! Shrinking a failing schedule.

use super::*;
use crate::schedule::FaultKind;

#[test]
fn a_failing_schedule_shrinks_to_the_fault_that_makes_it_fail() {
    let generated = (0..).map(|seed| Schedule::from_seed(seed, 10_000));
    let has_kill = |s: &Schedule| s.faults.iter().any(|f| matches!(f.kind, FaultKind::Killed { .. }));
    let mut candidates = generated.filter(|s| s.faults.len() > 3 && has_kill(s));
    let schedule = candidates.next().expect("a generated schedule has four faults, one of them a kill");
    let shrunk = shrink(&schedule, |s| Ok::<_, Error>(has_kill(s))).expect("the predicate returns no error");
    assert_eq!(shrunk.faults.len(), 1);
    assert!(has_kill(&shrunk));
}
