//! Clusters in simulated time, and the command line of the programs that measure them.

use cluster_simulation::Simulation;
use std::time::Duration;

const DEFAULT_GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Simulated time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The command line `[SIZE [GOSSIP_PERIOD_MS]]`. An argument that is not a number is treated as absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SimulationArguments {
    /// The size of the only cluster to measure, or `None` for the default sizes of the program.
    pub size: Option<usize>,
    /// Time between two gossip rounds. Large clusters are measured with a longer one.
    pub gossip_period: Duration,
}

impl SimulationArguments {
    /// Parses the arguments of this process.
    pub fn from_command_line() -> Self {
        Self::parse(std::env::args().skip(1))
    }

    fn parse(mut arguments: impl Iterator<Item = String>) -> Self {
        let size = arguments.next().and_then(|text| text.parse().ok());
        let gossip_period_ms = arguments.next().and_then(|text| text.parse().ok());
        let gossip_period = gossip_period_ms.map_or(DEFAULT_GOSSIP_PERIOD, Duration::from_millis);
        Self { size, gossip_period }
    }

    /// Returns the cluster sizes to measure: the one from the command line, or else `default_sizes`.
    pub fn sizes(&self, default_sizes: &[usize]) -> Vec<usize> {
        self.size.map_or(default_sizes.to_vec(), |size| vec![size])
    }
}

/// Advances the simulation until the condition holds or the timeout elapses. Returns the simulated time that this took.
pub fn advance_until(
    simulation: &mut Simulation,
    timeout: Duration,
    condition: impl Fn(&Simulation) -> bool,
) -> Duration {
    let start = simulation.now();
    let mut elapsed = Duration::ZERO;
    while !condition(simulation) && elapsed < timeout {
        simulation.advance(CHECK_INTERVAL);
        elapsed = simulation.now().saturating_since(start);
    }
    elapsed
}

#[cfg(test)]
mod tests;
