//! Tests of the health of a single backend.

use super::*;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn health() -> BackendHealth {
    BackendHealth::new(at(100), 2)
}

#[test]
fn a_backend_that_answers_one_class_is_ejected_only_for_the_other() {
    let mut health = health();
    health.record_success(0, at(300));
    assert!(health.eject_if_silent(1, at(200), at(900)));
    assert_eq!((health.ejected_until(0), health.ejected_until(1)), (None, Some(at(900))));
    assert!(!health.is_ejected());
}

#[test]
fn a_backend_that_answers_nothing_is_ejected_for_all_classes_once() {
    let mut health = health();
    assert!(health.eject_if_silent(1, at(200), at(900)));
    assert!(health.is_ejected());
    assert!(!health.eject_if_silent(1, at(200), at(950)));
    assert_eq!(health.ejected_until(1), Some(at(900)));
}

#[test]
fn a_trial_of_one_class_postpones_the_trials_of_all_and_an_answer_ends_the_ejection_of_its_class() {
    let mut health = health();
    health.eject_if_silent(0, at(200), at(900));
    health.record_send(0, at(2_000));
    assert_eq!((health.ejected_until(0), health.ejected_until(1)), (Some(at(2_000)), Some(at(2_000))));
    health.record_success(0, at(1_000));
    assert_eq!((health.ejected_until(0), health.ejected_until(1)), (None, Some(at(2_000))));
}

#[test]
fn the_class_that_was_answered_last_gets_the_trial() {
    let mut health = health();
    health.record_success(1, at(300));
    health.eject_if_silent(0, at(400), at(900));
    assert!(health.is_trial_class(1) && !health.is_trial_class(0));
}

#[test]
fn connect_backoff_doubles_until_an_answer() {
    let mut health = health();
    health.record_connect_failure(10, at(1_000));
    assert!(health.is_in_connect_backoff(at(1_009)) && !health.is_in_connect_backoff(at(1_010)));
    health.record_connect_failure(10, at(2_000));
    assert!(health.is_in_connect_backoff(at(2_019)) && !health.is_in_connect_backoff(at(2_020)));
    health.record_success(0, at(2_500));
    health.record_connect_failure(10, at(3_000));
    assert!(!health.is_in_connect_backoff(at(3_010)));
}

#[test]
fn a_rejection_pauses_its_class_and_plan_only() {
    let mut health = health();
    health.record_rejection(0, 3, at(500));
    assert!(health.is_in_rejection_pause(0, 3, at(499)));
    assert!(!health.is_in_rejection_pause(0, 3, at(500)));
    assert!(!health.is_in_rejection_pause(1, 3, at(499)) && !health.is_in_rejection_pause(0, 2, at(499)));
}
