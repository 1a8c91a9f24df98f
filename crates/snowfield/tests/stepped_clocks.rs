//! Stepped wall clocks: several gatekeepers share a counter, and some of them start with a clock that is an hour or half an hour
//! off. Deadlines, windows and quotas must still be spans of real time.

mod common;

use common::TestDirectory;
use common::soak::soak_program;
use fault_harness::violation::Violation;
use platform_soak::run::run;
use platform_soak::schedule::{Fault, FaultKind, RestartKind, Schedule};
use platform_soak::stand_ins::BackendMode;
use std::time::Duration;

const GATEKEEPERS: usize = 4;
/// Number of backends in the tests on slow start.
const BACKENDS: usize = 6;
/// The backend that restarts.
const COLD_BACKEND: usize = 2;
const HOUR_US: i64 = 3_600_000_000;

/// A schedule of only these faults, each given with its start in milliseconds.
fn schedule(seed: u64, seconds: u64, faults: &[(u64, FaultKind)]) -> Schedule {
    let mut schedule = Schedule::draw(seed, GATEKEEPERS, Duration::from_secs(seconds));
    let duration = Duration::from_secs(seconds);
    let fault = |&(start_ms, kind)| Fault::new(Duration::from_millis(start_ms), duration, kind);
    schedule.faults = faults.iter().map(fault).collect();
    schedule
}

/// Runs a schedule and returns the violations of one rule.
fn violations_of(rule: &str, test: &str, schedule: &Schedule) -> Vec<Violation> {
    let directory = TestDirectory::new(test);
    let verdict = run(schedule, &soak_program(), directory.path()).expect("all programs start");
    assert!(
        verdict.history.attempts.len() > 500,
        "too few attempts for a conclusion: {}",
        verdict.history.attempts.len()
    );
    verdict.violations.into_iter().filter(|violation| violation.rule == rule).collect()
}

fn restart(gatekeeper: usize, clock_offset_us: i64) -> FaultKind {
    FaultKind::Restart { gatekeeper, kind: RestartKind::Graceful, clock_offset_us }
}

fn assert_quotas_hold(test: &str, clock_offsets_us: [i64; 2]) {
    let faults: Vec<(u64, FaultKind)> =
        clock_offsets_us.iter().enumerate().map(|(index, &offset)| (1_500, restart(index, offset))).collect();
    let found = violations_of("quotas of all processes together", test, &schedule(7, 12, &faults));
    assert!(found.is_empty(), "{found:#?}");
}

/// Regression: the name of a count was derived from the wall clock at the start. A gatekeeper that started an hour ahead
/// therefore did not share the counts of the others, and each tenant got its quota twice.
#[test]
fn quotas_hold_with_gatekeepers_started_an_hour_ahead() {
    assert_quotas_hold("clock-ahead", [HOUR_US, HOUR_US / 2]);
}

#[test]
fn quotas_hold_with_gatekeepers_started_an_hour_behind() {
    assert_quotas_hold("clock-behind", [-HOUR_US, -HOUR_US / 2]);
}

/// The same clients and restarts with correct clocks, as a control for the other tests.
#[test]
fn quotas_hold_with_gatekeepers_restarted_on_the_same_clock() {
    assert_quotas_hold("clock-same", [0, 0]);
}

/// Regression: the age of a backend was derived from the wall clock, so that a gatekeeper that started an hour ahead treated a
/// cold backend as a warm one.
#[test]
fn slow_start_protects_a_cold_backend_from_gatekeepers_started_an_hour_ahead() {
    assert_slow_start_holds("cold-ahead", HOUR_US);
}

#[test]
fn slow_start_protects_a_cold_backend_from_gatekeepers_restarted_on_the_same_clock() {
    assert_slow_start_holds("cold-same", 0);
}

fn assert_slow_start_holds(test: &str, clock_offset_us: i64) {
    let mut faults: Vec<(u64, FaultKind)> =
        (0..GATEKEEPERS).map(|gatekeeper| (1_000, restart(gatekeeper, clock_offset_us))).collect();
    faults.push((5_000, FaultKind::BackendRestart { backend: COLD_BACKEND }));
    // All other backends are slow, so that the cold backend attracts requests.
    let others = (0..BACKENDS).filter(|&backend| backend != COLD_BACKEND);
    let slow_faults = others.map(|backend| (0, FaultKind::Backend { backend, mode: BackendMode::Slow }));
    faults.splice(0..0, slow_faults);
    let mut schedule = schedule(11, 12, &faults);
    schedule.settings.backends = BACKENDS;
    schedule.settings.cold_share = 0.1;
    schedule.settings.cold_time = Duration::from_secs(12);
    schedule.settings.overload_factor = 1.2;
    schedule.settings.overload_time = Duration::from_millis(2_500);
    let found = violations_of("slow start", test, &schedule);
    assert!(found.is_empty(), "{found:#?}");
}
