//! Settings of a class that cannot be kept, and the reason for which each is rejected.

use crate::settings::{Addresses, idempotent, settings};
use std::process::Command;
use system_tests::gatekeeper_output::settings_errors;
use system_tests::{TestDirectory, free_addresses, release_build};

const WANTED_MS: u64 = 600;
const DEADLINE_MS: u64 = 2_500;
/// Number of variants of each kind of bad settings.
const VARIANTS: u64 = 9;

/// Settings that cannot be kept.
struct BadClass {
    settings: String,
    /// What the message must say.
    reason: &'static str,
}

/// How many files were rejected for their own reason.
pub(crate) struct Rejections {
    pub(crate) files: usize,
    pub(crate) rejected: usize,
}

fn bad_classes() -> Vec<BadClass> {
    let usual = |more: String| idempotent(WANTED_MS, DEADLINE_MS, &more);
    let mut all = Vec::new();
    let mut add = |settings, reason| all.push(BadClass { settings, reason });
    for i in 1..=VARIANTS {
        add(
            usual(format!("attempts = 3\nattempt_ms = {}", 833 + i)),
            settings_errors::ATTEMPTS_EXCEED_DEADLINE,
        );
        add(idempotent(WANTED_MS + i, WANTED_MS, ""), settings_errors::OBJECTIVE_AFTER_DEADLINE);
        add(usual(format!("attempts = {}", 4 + i)), settings_errors::TOO_MANY_ATTEMPTS);
        add(
            usual(format!("attempts = 2\nattempt_ms = {}", 5 * i)),
            settings_errors::ATTEMPT_SHORTER_THAN_CONNECT,
        );
        add(usual(format!("copy_after_ms = {}", 599 + i)), settings_errors::HEDGE_TOO_LATE);
        let late_copy = format!("attempts = 3\nattempt_ms = 300\ncopy_after_ms = {}", 299 + i);
        add(idempotent(900, DEADLINE_MS, &late_copy), settings_errors::HEDGE_NEVER_SENT);
        add(usual(format!("attempts = 1\ncopy_after_ms = {i}")), settings_errors::HEDGE_WITHOUT_ATTEMPT);
        add(
            format!("repeat = \"unsafe\"\nwanted_ms = 600\ndeadline_ms = 2500\ncopy_after_ms = {i}"),
            settings_errors::HEDGE_OF_NON_IDEMPOTENT,
        );
    }
    for zero in ["attempts", "attempt_ms", "copy_after_ms"] {
        add(usual(format!("{zero} = 0")), settings_errors::ZERO_VALUE);
    }
    add(usual("attempts = -1".into()), settings_errors::INVALID_ATTEMPTS);
    add(usual("attempt = 300".into()), settings_errors::UNKNOWN_KEY_ATTEMPT);
    all
}

/// Checks all files with the gatekeeper's own command.
pub(crate) fn count(folder: &TestDirectory) -> Rejections {
    let ports = free_addresses(2);
    let addresses = Addresses { listen: ports[0], status: ports[1], consul: ports[0] };
    let classes = bad_classes();
    let rejected = classes.iter().filter(|class| is_rejected(folder, addresses, class)).count();
    Rejections { files: classes.len(), rejected }
}

fn is_rejected(folder: &TestDirectory, addresses: Addresses, class: &BadClass) -> bool {
    let path = folder.write("bad.toml", &settings(addresses, &class.settings));
    let output = Command::new(release_build()).args(["check", &path]).output().expect("the program runs");
    let message = String::from_utf8_lossy(&output.stderr);
    let is_rejected = !output.status.success() && message.contains(class.reason);
    if !is_rejected {
        println!("not refused for {:?}: {}: {message}", class.reason, class.settings);
    }
    is_rejected
}
