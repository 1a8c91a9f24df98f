//! The settings of a scheduler, which its driver provides.

use std::time::Duration;

/// The settings of a [`Scheduler`](crate::Scheduler).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The name of this instance, unique in the cluster.
    pub instance: String,
    /// The number of members besides the owner that attempt a run, one after the other, until one has acquired it.
    pub standbys: usize,
    /// The maximum skew between the Unix clocks of two instances.
    pub max_clock_skew: Duration,
    /// The time from the deadline for the start of a run to the end of its period.
    pub start_margin: Duration,
    /// The minimum time between two calls to the store while it is unavailable.
    pub store_retry_interval: Duration,
    /// The time between two renewals of the session. Must be shorter than the session's TTL.
    pub session_renewal_interval: Duration,
    /// A number that differs at each start of the process. Leases from before a restart therefore have other ids and are not
    /// mistaken for leases of this process.
    pub incarnation: u64,
}
