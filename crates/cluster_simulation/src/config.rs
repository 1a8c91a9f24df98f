//! The configuration of a simulation.

/// The size of the cluster and the behaviour of its network and clocks.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// The number of instances.
    pub instances: usize,
    /// The number of periodic jobs.
    pub jobs: usize,
    /// Milliseconds between two runs of a job.
    pub period_ms: u64,
    /// The number of members that attempt a run if the owner of the job does not.
    pub standbys: usize,
    /// The maximum clock skew in milliseconds, both configured and simulated.
    pub max_clock_skew_ms: u64,
    /// The fraction of lost datagrams.
    pub datagram_loss: f64,
    /// Milliseconds between two gossip rounds.
    pub gossip_period_ms: u64,
    /// The seed of the random number generator.
    pub rng_seed: u64,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        Self {
            instances: 10,
            jobs: 100,
            period_ms: 1_000,
            standbys: 3,
            max_clock_skew_ms: 0,
            datagram_loss: 0.0,
            gossip_period_ms: 100,
            rng_seed: 1,
        }
    }
}
