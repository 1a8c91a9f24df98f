//! Who runs which build.

use super::*;

#[test]
fn two_builds_are_shared_out_by_program_or_by_start() {
    let (old, new) = (PathBuf::from("old/snowfield"), PathBuf::from("new/snowfield"));
    let halves = Builds::ByProgram(old.clone(), new.clone());
    assert_eq!([0, 1, 2].map(|program| halves.of(program, 1)), [&old, &new, &old]);
    assert_eq!(halves.of(0, 2), old);
    let in_turn = Builds::InTurn(old.clone(), new.clone());
    assert_eq!([1, 2, 3].map(|start| in_turn.of(4, start)), [&old, &new, &old]);
    assert_eq!(Builds::from(&old).of(1, 2), old);
}
