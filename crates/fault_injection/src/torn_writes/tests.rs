//! The texts of starts that go wrong.

use super::*;

#[test]
fn a_start_that_goes_wrong_says_how() {
    assert_eq!(StartFailure::NotServing.to_string(), "it does not serve");
    let ambiguous = "it says both that it uses the file and that it does not";
    assert_eq!(StartFailure::Ambiguous.to_string(), ambiguous);
    let wrong = StartFailure::WrongUse { used: false, rejected: true };
    assert_eq!(wrong.to_string(), "used: false, refused: true");
}
