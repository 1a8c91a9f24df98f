//! The configuration of a scheduler.

/// The configuration of a [`Scheduler`](crate::Scheduler).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The name of this instance.
    pub instance: String,
    /// The number of members that attempt a run if the owner of the job does not.
    pub standbys: usize,
    /// The maximum clock skew between two instances in milliseconds.
    pub max_clock_skew_ms: u64,
    /// Milliseconds between the deadline of a run and the end of its period.
    pub start_margin_ms: u64,
    /// Milliseconds between two calls while the store is unavailable.
    pub store_retry_interval_ms: u64,
    /// Milliseconds between two renewals of the session.
    pub session_renewal_interval_ms: u64,
    /// A number that differs at each start of the process. Leases from before a restart do not belong to this incarnation.
    pub incarnation: u64,
}
