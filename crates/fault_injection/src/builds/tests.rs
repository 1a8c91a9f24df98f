//! Tests of the assignment of builds to gatekeepers and starts.

use super::*;

#[test]
fn two_builds_are_assigned_by_gatekeeper_or_by_start() {
    let (old, new) = (PathBuf::from("old/snowfield"), PathBuf::from("new/snowfield"));
    let by_gatekeeper = Builds::ByGatekeeper(old.clone(), new.clone());
    assert_eq!([0, 1, 2].map(|gatekeeper| by_gatekeeper.for_start(gatekeeper, 1)), [&old, &new, &old]);
    assert_eq!(by_gatekeeper.for_start(0, 2), old);
    let alternating = Builds::Alternating(old.clone(), new.clone());
    assert_eq!([1, 2, 3].map(|start| alternating.for_start(4, start)), [&old, &new, &old]);
    assert_eq!(Builds::from(&old).for_start(1, 2), old);
}
