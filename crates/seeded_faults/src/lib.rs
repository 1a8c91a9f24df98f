//! Rules that the program breaks on purpose, so that the rig's checkers can be seen to find it.
//!
//! Without the feature `on` every question is answered with no at build time, and nothing is left of it. A build with it is
//! never released: it says so when it starts, and breaks the rule that `SNOWFIELD_WEAKENED` names.

/// The variable that names the rule.
#[cfg(feature = "on")]
const VARIABLE: &str = "SNOWFIELD_WEAKENED";

/// Whether this build may break rules.
pub const BUILD: bool = cfg!(feature = "on");

/// Whether this rule is to be broken.
#[cfg(feature = "on")]
pub fn breaks(rule: &str) -> bool {
    static NAMED: std::sync::OnceLock<String> = std::sync::OnceLock::new();
    NAMED.get_or_init(|| std::env::var(VARIABLE).unwrap_or_default()) == rule
}

/// Whether this rule is to be broken: never.
#[cfg(not(feature = "on"))]
#[inline(always)]
pub const fn breaks(_: &str) -> bool {
    false
}
