//! Invalid settings of a class, and the error with which each must be rejected.

use crate::settings::{Addresses, IdempotentClass, config_file};
use std::process::Command;
use std::time::Duration;
use system_tests::gatekeeper_output::settings_errors;
use system_tests::{Table, TestDirectory, free_addresses, release_build};

const LATENCY_OBJECTIVE_MS: u64 = 600;
const DEADLINE_MS: u64 = 2_500;
/// Number of variants of each rule violation in [`invalid_timing`].
const VARIANTS: u64 = 9;

/// Invalid settings of a class.
struct InvalidClass {
    toml: String,
    /// The part of the error text that identifies the violated rule.
    expected_error: &'static str,
}

/// The number of files with invalid settings, and how many of them were rejected with the expected error.
pub(crate) struct Rejections {
    pub(crate) files: usize,
    pub(crate) rejected_files: usize,
}

impl Rejections {
    pub(crate) fn add_to(&self, table: &mut Table) {
        table.add("bad files", self.files);
        let (rejected, files) = (self.rejected_files as f64, self.files as f64);
        table.add_with_minimum("... refused for their own reason", rejected, files);
    }
}

/// Runs `snowfield check` on one file for each of the invalid settings.
pub(crate) fn check_invalid_settings(directory: &TestDirectory) -> Rejections {
    let free = free_addresses(2);
    let addresses = Addresses { listen: free[0], status: free[1], consul: free[0] };
    let classes = invalid_classes();
    let rejected = classes.iter().filter(|class| is_rejected(directory, addresses, class));
    Rejections { rejected_files: rejected.count(), files: classes.len() }
}

fn is_rejected(directory: &TestDirectory, addresses: Addresses, class: &InvalidClass) -> bool {
    let path = directory.write("bad.toml", &config_file(addresses, &class.toml));
    let output =
        Command::new(release_build()).args(["check", &path]).output().expect("running `snowfield check`");
    let error = String::from_utf8_lossy(&output.stderr);
    let is_rejected = !output.status.success() && error.contains(class.expected_error);
    if !is_rejected {
        println!("not refused for {:?}: {}: {error}", class.expected_error, class.toml);
    }
    is_rejected
}

fn invalid_classes() -> Vec<InvalidClass> {
    (1..=VARIANTS).flat_map(invalid_timing).chain(zero_values()).chain(invalid_keys()).collect()
}

/// Returns one variant of a violation of each rule on the timing of a class.
fn invalid_timing(variant: u64) -> [InvalidClass; 8] {
    [
        invalid_class(
            class_with_default_times(format!("attempts = 3\nattempt_ms = {}", 833 + variant)),
            settings_errors::ATTEMPTS_EXCEED_DEADLINE,
        ),
        invalid_class(
            class(LATENCY_OBJECTIVE_MS + variant, LATENCY_OBJECTIVE_MS, String::new()),
            settings_errors::OBJECTIVE_AFTER_DEADLINE,
        ),
        invalid_class(
            class_with_default_times(format!("attempts = {}", 4 + variant)),
            settings_errors::TOO_MANY_ATTEMPTS,
        ),
        invalid_class(
            class_with_default_times(format!("attempts = 2\nattempt_ms = {}", 5 * variant)),
            settings_errors::ATTEMPT_SHORTER_THAN_CONNECT,
        ),
        invalid_class(
            class_with_default_times(format!("copy_after_ms = {}", 599 + variant)),
            settings_errors::HEDGE_TOO_LATE,
        ),
        invalid_class(
            class(
                900,
                DEADLINE_MS,
                format!("attempts = 3\nattempt_ms = 300\ncopy_after_ms = {}", 299 + variant),
            ),
            settings_errors::HEDGE_NEVER_SENT,
        ),
        invalid_class(
            class_with_default_times(format!("attempts = 1\ncopy_after_ms = {variant}")),
            settings_errors::HEDGE_WITHOUT_ATTEMPT,
        ),
        invalid_class(
            format!("repeat = \"unsafe\"\nwanted_ms = 600\ndeadline_ms = 2500\ncopy_after_ms = {variant}"),
            settings_errors::HEDGE_OF_NON_IDEMPOTENT,
        ),
    ]
}

fn zero_values() -> impl Iterator<Item = InvalidClass> {
    ["attempts", "attempt_ms", "copy_after_ms"]
        .into_iter()
        .map(|key| invalid_class(class_with_default_times(format!("{key} = 0")), settings_errors::ZERO_VALUE))
}

fn invalid_keys() -> [InvalidClass; 2] {
    [
        invalid_class(class_with_default_times("attempts = -1".into()), settings_errors::INVALID_ATTEMPTS),
        invalid_class(class_with_default_times("attempt = 300".into()), settings_errors::UNKNOWN_KEY_ATTEMPT),
    ]
}

fn invalid_class(toml: String, expected_error: &'static str) -> InvalidClass {
    InvalidClass { toml, expected_error }
}

fn class_with_default_times(further_settings: String) -> String {
    class(LATENCY_OBJECTIVE_MS, DEADLINE_MS, further_settings)
}

fn class(latency_objective_ms: u64, deadline_ms: u64, further_settings: String) -> String {
    let latency_objective = Duration::from_millis(latency_objective_ms);
    let deadline = Duration::from_millis(deadline_ms);
    IdempotentClass { latency_objective, deadline, further_settings }.to_toml()
}
