//! What is simulated.

/// The size of the cluster, and how its network and clocks behave.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// The number of instances.
    pub instances: usize,
    /// The number of periodic jobs.
    pub jobs: usize,
    /// Milliseconds between two runs of a job.
    pub period_ms: u64,
    /// Members that step in behind the first one for a job.
    pub standbys: usize,
    /// The largest difference between two clocks in milliseconds, as stated and as simulated.
    pub max_clock_skew_ms: u64,
    /// The fraction of datagrams that are lost.
    pub datagram_loss: f64,
    /// Milliseconds between two rounds of gossip.
    pub gossip_period_ms: u64,
    /// Seeds all random choices.
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
