//! Seeded faults: rules that the gatekeeper breaks on purpose, so that the checkers of the fault-injection harness can be seen to
//! find it.
//!
//! Without the feature `on` no fault is active, which is known at build time, so that nothing is left of them. A build with it is
//! never released: it says so when it starts, and has the fault that `SNOWFIELD_WEAKENED` names.

/// The variable that names the fault.
#[cfg(feature = "on")]
const VARIABLE: &str = "SNOWFIELD_WEAKENED";

/// Whether this build may have seeded faults.
pub const ENABLED: bool = cfg!(feature = "on");

/// Whether this fault is active in this process.
#[cfg(feature = "on")]
pub fn is_active(fault: &str) -> bool {
    static ACTIVE: std::sync::OnceLock<String> = std::sync::OnceLock::new();
    ACTIVE.get_or_init(|| std::env::var(VARIABLE).unwrap_or_default()) == fault
}

/// Whether this fault is active in this process: never.
#[cfg(not(feature = "on"))]
#[inline(always)]
pub const fn is_active(_: &str) -> bool {
    false
}

#[cfg(test)]
mod tests;
