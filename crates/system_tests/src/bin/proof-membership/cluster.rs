//! A simulated cluster of members and the faults that are injected into it.

use cluster_simulation::{Simulation, SimulationConfig, StoreAccess};
use std::time::{Duration, Instant};
use system_tests::simulation::advance_until;

/// Duration of the settling time without faults before bytes are counted, and of the time in which they are counted.
const FAULT_FREE_DURATION: Duration = Duration::from_secs(10);
/// Duration of the suspension of a member.
const SUSPENSION: Duration = Duration::from_secs(60);
/// Size of the largest cluster in which a member is suspended. With 1,000 members a simulated minute takes ten minutes.
const MAX_SIZE_WITH_SUSPENSION: usize = 300;
/// Maximum time until the members agree. A cluster that takes longer counts as never agreeing.
pub(crate) const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum share of incorrect views with which the members still count as agreeing. It is not 0 because a view that is outdated
/// after a lost datagram is corrected only by a later random exchange.
const MAX_MISTAKEN_SHARE: f64 = 1e-5;

/// A simulated cluster that also measures the real time since its start.
pub(crate) struct Cluster {
    simulation: Simulation,
    members: usize,
    started_at: Instant,
}

/// Detection time, recovery time and traffic of a partition.
pub(crate) struct PartitionResult {
    /// Time from the start of the partition until no member sees a member of the other side as alive.
    pub(crate) detected_after: Duration,
    /// Time from the end of the partition until all members agree.
    pub(crate) healed_after: Duration,
    /// Bytes sent from the start of the partition until all members agree after its end, divided by the number of members.
    pub(crate) bytes_per_member: u64,
}

/// Detection time and traffic after half of the members are killed.
pub(crate) struct MassDeathResult {
    /// Time from the kill until no survivor sees a dead member as alive.
    pub(crate) detected_after: Duration,
    /// Bytes sent from the kill until `detected_after` has passed, divided by the number of survivors.
    pub(crate) bytes_per_survivor: u64,
}

impl Cluster {
    /// Starts all members at once.
    pub(crate) fn start(members: usize, gossip_period: Duration) -> Self {
        let config = SimulationConfig {
            instances: members,
            jobs: 0,
            datagram_loss_probability: 0.1,
            gossip_period,
            rng_seed: 7,
            ..SimulationConfig::default()
        };
        let started_at = Instant::now();
        Self { simulation: Simulation::new(config), members, started_at }
    }

    /// Returns the real time since the start.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Prints a progress message to standard error.
    pub(crate) fn print_progress(&self, text: &str) {
        eprintln!("{}: {text}, {:.0} s", self.members, self.elapsed().as_secs_f64());
    }

    fn advance_until(&mut self, condition: impl Fn(&Simulation) -> bool) -> Duration {
        advance_until(&mut self.simulation, AGREEMENT_TIMEOUT, condition)
    }

    /// Advances until the members agree on which members are alive, or until [`AGREEMENT_TIMEOUT`]. Returns the simulated time
    /// that this took.
    pub(crate) fn advance_until_agreement(&mut self) -> Duration {
        let views = self.members * self.members;
        let max_mistaken = (MAX_MISTAKEN_SHARE * views as f64) as usize;
        self.advance_until(|simulation| simulation.mistaken_views(|_, _| true) <= max_mistaken)
    }

    /// Returns the number of bytes that all members together have sent since the start.
    fn bytes_sent(&self) -> u64 {
        self.simulation.counts().datagram_bytes
    }

    /// Returns the average number of bytes that a member sends per second without faults.
    pub(crate) fn fault_free_bytes_per_second(&mut self) -> f64 {
        self.simulation.advance(FAULT_FREE_DURATION);
        let bytes_before = self.bytes_sent();
        self.simulation.advance(FAULT_FREE_DURATION);
        let member_seconds = FAULT_FREE_DURATION.as_secs() * self.members as u64;
        (self.bytes_sent() - bytes_before) as f64 / member_seconds as f64
    }

    /// Partitions the members into two halves until each half has detected it, then heals the partition.
    pub(crate) fn partition(&mut self) -> PartitionResult {
        let half = self.members / 2;
        let bytes_before = self.bytes_sent();
        self.simulation.partition(0..half, StoreAccess::BothSides);
        let on_same_side = move |observer: usize, other: usize| (observer < half) == (other < half);
        let detected_after = self.advance_until(|simulation| simulation.falsely_alive(on_same_side) == 0);
        self.print_progress(&format!("partition detected after {} ms", detected_after.as_millis()));
        self.simulation.heal();
        let healed_after = self.advance_until_agreement();
        self.print_progress(&format!("partition healed after {} ms", healed_after.as_millis()));
        let bytes_per_member = (self.bytes_sent() - bytes_before) / self.members as u64;
        PartitionResult { detected_after, healed_after, bytes_per_member }
    }

    /// Suspends a member and resumes it. Returns the time from then until all members agree, or `None` if the cluster is larger
    /// than [`MAX_SIZE_WITH_SUSPENSION`].
    pub(crate) fn suspend_member(&mut self) -> Option<Duration> {
        if self.members > MAX_SIZE_WITH_SUSPENSION {
            return None;
        }
        self.simulation.pause(1);
        self.simulation.advance(SUSPENSION);
        self.simulation.resume(1);
        Some(self.advance_until_agreement())
    }

    /// Kills half of the members and advances until the survivors have detected it.
    pub(crate) fn kill_half(&mut self) -> MassDeathResult {
        let half = self.members / 2;
        let bytes_before = self.bytes_sent();
        (0..half).for_each(|member| self.simulation.kill(member));
        let detected_after = self.advance_until(|simulation| simulation.falsely_alive(|_, _| true) == 0);
        let survivors = (self.members - half) as u64;
        MassDeathResult { detected_after, bytes_per_survivor: (self.bytes_sent() - bytes_before) / survivors }
    }
}
