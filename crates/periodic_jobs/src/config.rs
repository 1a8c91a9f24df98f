//! The configuration of a scheduler.

/// How an instance takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Its own name.
    pub instance: String,
    /// Members that step in behind the first one.
    pub standbys: usize,
    /// The largest difference between the clocks of two instances, in milliseconds.
    pub max_clock_skew_ms: u64,
    /// A run must start at least this many milliseconds before its period ends.
    pub start_margin_ms: u64,
    /// Milliseconds between two calls while the store is unavailable.
    pub store_retry_ms: u64,
    /// Milliseconds between two renewals of the session.
    pub session_renewal_ms: u64,
    /// Different at each start of the program: leases from before a restart are not this instance's.
    pub incarnation: u64,
}
