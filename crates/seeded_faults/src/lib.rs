//! Seeded faults: a gatekeeper breaks one of its rules on purpose, to test that the checkers of the test harnesses report it.
//!
//! Without the feature `on` no fault is active. This is known at build time, so the compiler removes the code of all faults. A
//! build with the feature is never released: it prints a warning when it starts, and activates the one fault that the environment
//! variable [`FAULT_VARIABLE`] names.

/// The environment variable that names the active fault. The variable is read once; without it, no fault is active.
pub const FAULT_VARIABLE: &str = "SNOWFIELD_WEAKENED";

/// Whether this build can activate seeded faults.
pub const ENABLED: bool = cfg!(feature = "on");

/// Whether the fault of this name is active in this process.
#[cfg(feature = "on")]
pub fn is_active(fault: &str) -> bool {
    static ACTIVE: std::sync::OnceLock<String> = std::sync::OnceLock::new();
    ACTIVE.get_or_init(|| std::env::var(FAULT_VARIABLE).unwrap_or_default()) == fault
}

/// Whether the fault of this name is active in this process: always false in a build without seeded faults.
#[cfg(not(feature = "on"))]
#[inline(always)]
pub const fn is_active(_: &str) -> bool {
    false
}

#[cfg(test)]
mod tests;
