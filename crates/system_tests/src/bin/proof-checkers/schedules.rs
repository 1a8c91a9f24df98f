//! Schedules that run on the build with seeded faults and on the release build.

use fault_injection::schedule::{Fault, FaultKind, Form, Schedule};
use std::path::Path;
use system_tests::{release_build, run_schedule};

/// Maximum number of schedules that run until the broken rule is reported.
pub(crate) const MAX_SCHEDULES: usize = 20;
/// Number of schedules, from the first on, that also run on the release build.
const RELEASE_SCHEDULES: usize = 3;
const LENGTH_MS: u64 = 10_000;

/// Runs up to [`MAX_SCHEDULES`] schedules, one after the other, until a checker reports a violation of this rule. Returns the
/// number of schedules that ran, or `None` if none of them led to the violation.
pub(crate) fn schedules_until_reported(build: &Path, rule: &str) -> Option<usize> {
    (1..=MAX_SCHEDULES).find(|&seed| is_reported(build, rule, seed))
}

fn is_reported(build: &Path, rule: &str, seed: usize) -> bool {
    match run_schedule(&schedule(seed), build, &format!("sf-check-{seed}")) {
        Ok(result) => result.violations.iter().any(|violation| violation.rule == rule),
        Err(error) => {
            println!("seed {seed}: {error}");
            false
        }
    }
}

/// Returns the number of violations in the first schedules on the release build. A schedule that cannot be run counts as one.
pub(crate) fn violations_of_release_build() -> usize {
    let build = release_build();
    let violations = |seed| {
        let result = run_schedule(&schedule(seed), &build, &format!("sf-check-sound-{seed}"));
        result.map_or(1, |result| result.violations.len())
    };
    (1..=RELEASE_SCHEDULES).map(violations).sum()
}

/// Returns the schedule of a seed for the appliance form, since only this form has periodic jobs and a catalogue, and adds a
/// drained backend.
fn schedule(seed: usize) -> Schedule {
    let mut schedule = Schedule::from_seed(seed as u64, LENGTH_MS);
    schedule.form = Form::Appliance;
    schedule.faults.retain(|fault| !matches!(fault.kind, FaultKind::Upgrade { .. }));
    schedule.faults.push(Fault::from_millis(2_000, 4_000, FaultKind::Drained { target: "l1".into() }));
    schedule
}
