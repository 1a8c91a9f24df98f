//! Names of jobs before and after the reload.

use super::*;

#[test]
fn jobs_are_named_by_their_numbers() {
    assert_eq!(all_jobs().len(), JOBS);
    assert!(all_jobs().contains("duty-0") && !all_jobs().contains("duty-64"));
    assert_eq!(changed_jobs().len(), 52);
    assert!(changed_jobs().contains("duty-16") && changed_jobs().contains("duty-67"));
}
