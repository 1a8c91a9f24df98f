//! Seeded faults: rules that a gatekeeper breaks on purpose, to test that the checkers of the harnesses report it.
//!
//! Without the feature `on` no fault is active. This is known at build time, so the compiler removes them all. A build with the
//! feature is never released: it prints a warning when it starts, and has the fault that [`FAULT_VARIABLE`] names.

/// The environment variable that names the fault.
pub const FAULT_VARIABLE: &str = "SNOWFIELD_WEAKENED";

/// Whether this build may have seeded faults.
pub const ENABLED: bool = cfg!(feature = "on");

/// Whether this fault is active in this process.
#[cfg(feature = "on")]
pub fn is_active(fault: &str) -> bool {
    static ACTIVE: std::sync::OnceLock<String> = std::sync::OnceLock::new();
    ACTIVE.get_or_init(|| std::env::var(FAULT_VARIABLE).unwrap_or_default()) == fault
}

/// Whether this fault is active in this process: never.
#[cfg(not(feature = "on"))]
#[inline(always)]
pub const fn is_active(_: &str) -> bool {
    false
}

#[cfg(test)]
mod tests;
