//! Tests the times at which faults are injected, and their results.

use super::*;

const STEP: Duration = Duration::from_millis(30);

#[test]
fn faults_begin_no_earlier_than_their_times_and_may_overlap() {
    let clock = ScheduleClock::start();
    let begins = inject_each(
        clock,
        &[STEP * 2, Duration::ZERO, STEP],
        |start| *start,
        |_, _| {
            let began = clock.now();
            thread::sleep(STEP * 4);
            began
        },
    );
    assert!(clock.now() < STEP * 12, "the faults overlap");
    let begins: Vec<Duration> = begins.into_iter().flatten().collect();
    assert!(begins[0] >= STEP * 2 && begins[2] >= STEP, "{begins:?}");
    assert_eq!(begins.len(), 3);
}

#[test]
fn a_fault_whose_thread_panics_has_no_result() {
    let inject = |index: usize, _: &()| {
        assert_ne!(index, 1, "this one panics");
        index
    };
    let results = inject_each(ScheduleClock::start(), &[(), (), ()], |()| Duration::ZERO, inject);
    assert_eq!(results, [Some(0), None, Some(2)]);
}
