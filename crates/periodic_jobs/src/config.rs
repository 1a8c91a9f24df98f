//! The configuration of a scheduler.

use std::time::Duration;

/// The configuration of a [`Scheduler`](crate::Scheduler).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The name of this instance.
    pub instance: String,
    /// The number of members that attempt a run if the owner of the job does not.
    pub standbys: usize,
    /// The maximum clock skew between two instances.
    pub max_clock_skew: Duration,
    /// The time between the deadline of a run and the end of its period.
    pub start_margin: Duration,
    /// The time between two calls while the store is unavailable.
    pub store_retry_interval: Duration,
    /// The time between two renewals of the session.
    pub session_renewal_interval: Duration,
    /// A number that differs at each start of the process. Leases from before a restart do not belong to this incarnation.
    pub incarnation: u64,
}
