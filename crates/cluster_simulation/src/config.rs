//! The configuration of a simulation.

use std::time::Duration;

/// The size of the cluster and the behaviour of its network and clocks.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// The number of instances that start with the simulation.
    pub instances: usize,
    /// The number of periodic jobs. All have the same period.
    pub jobs: usize,
    /// The time between two runs of a job. A whole number of milliseconds, at least one.
    pub job_period: Duration,
    /// The number of members that attempt a run if the owner of the job does not.
    pub standbys: usize,
    /// The maximum clock skew that the schedulers are configured for. The clock of each instance is fast by a random time up to
    /// this skew.
    pub max_clock_skew: Duration,
    /// The probability that a datagram is lost, from 0 to 1.
    pub datagram_loss_probability: f64,
    /// The time between two gossip rounds.
    pub gossip_period: Duration,
    /// The seed of the random number generator.
    pub rng_seed: u64,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        Self {
            instances: 10,
            jobs: 100,
            job_period: Duration::from_secs(1),
            standbys: 3,
            max_clock_skew: Duration::ZERO,
            datagram_loss_probability: 0.0,
            gossip_period: Duration::from_millis(100),
            rng_seed: 1,
        }
    }
}
