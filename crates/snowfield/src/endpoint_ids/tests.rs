//! Tests of the changes that apply to listed, unlisted and unknown ids, and of the limit on ejected backends.

use super::*;

fn ids_with_listed(id: &str) -> EndpointIds {
    let mut ids = EndpointIds::default();
    let number = ids.number_or_assign(id);
    ids.listed.insert(number);
    ids
}

#[test]
fn an_ejection_applies_to_listed_backends_and_to_backends_of_another_process() {
    let mut ids = ids_with_listed("s-0");
    let mut eject = |id, unknown_id| ids.change_ejection(id, EjectionChange::Eject, unknown_id);
    assert_eq!(eject("s-0", UnknownIdHandling::Reject), Some(BackendId(1)));
    assert_eq!(eject("s-1", UnknownIdHandling::Reject), None);
    assert_eq!(eject("s-1", UnknownIdHandling::Register), Some(BackendId(2)));
    assert_eq!(ids.ejected().collect::<Vec<_>>(), ["s-0", "s-1"]);
}

#[test]
fn an_ejected_backend_that_left_the_list_can_be_restored_once() {
    let mut ids = ids_with_listed("s-0");
    ids.change_ejection("s-0", EjectionChange::Eject, UnknownIdHandling::Reject)
        .expect("the backend is listed");
    ids.listed.clear();
    let mut restore = || ids.change_ejection("s-0", EjectionChange::Restore, UnknownIdHandling::Reject);
    assert_eq!(restore(), Some(BackendId(1)));
    assert_eq!(restore(), None);
}

#[test]
fn ejections_are_limited_and_an_ejected_backend_can_be_ejected_again() {
    let mut ids = EndpointIds::default();
    let mut eject = |index: usize| {
        ids.change_ejection(&format!("s-{index}"), EjectionChange::Eject, UnknownIdHandling::Register)
            .is_some()
    };
    assert!((0..MAX_EJECTED_BACKENDS).all(&mut eject));
    assert!(!eject(MAX_EJECTED_BACKENDS));
    assert!(eject(0));
    assert_eq!(ids.ejected().count(), MAX_EJECTED_BACKENDS);
}
