//! Shrinking a schedule that fails.

use super::*;
use crate::schedule::FaultKind;

#[test]
fn a_failing_schedule_is_made_as_small_as_what_fails() {
    let generated = (0..).map(|seed| Schedule::from_seed(seed, 10_000));
    let kills = |s: &Schedule| s.faults.iter().any(|f| matches!(f.kind, FaultKind::Killed { .. }));
    let mut large = generated.filter(|s| s.faults.len() > 3 && kills(s));
    let schedule = large.next().expect("there is one");
    let small = shrink(&schedule, |s| Ok::<_, Error>(kills(s))).expect("nothing fails in it");
    assert_eq!(small.faults.len(), 1);
    assert!(kills(&small));
}
