//! A simulated cluster of members, and the faults that it goes through.

use cluster_simulation::{Simulation, SimulationConfig, StoreAccess};
use std::time::{Duration, Instant};
use system_tests::simulation::advance_until;

/// Duration of the time without faults before bytes are counted, and of the time in which they are.
const CALM: Duration = Duration::from_secs(10);
/// How long a member is suspended.
const SUSPENSION: Duration = Duration::from_secs(60);
/// Size of the largest cluster in which a member is suspended. With 1,000 members a simulated minute takes ten minutes.
const MAX_SIZE_WITH_SUSPENSION: usize = 300;
/// Maximum time until the members agree. A cluster that takes longer counts as one that never agrees.
pub(crate) const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum share of views that are mistaken while the cluster counts as agreeing. Only a later random exchange corrects the view
/// that a lost datagram leaves behind.
const MAX_MISTAKEN_SHARE: f64 = 1e-5;

/// A simulated cluster, and the real time since its start.
pub(crate) struct Cluster {
    simulation: Simulation,
    members: usize,
    started_at: Instant,
}

/// Time and bytes that a partition takes.
pub(crate) struct PartitionResult {
    /// Until each side sees the other one as dead.
    pub(crate) detected_after: Duration,
    /// From the end of the partition until the cluster agrees.
    pub(crate) healed_after: Duration,
    /// From the begin of the partition until the cluster agrees.
    pub(crate) bytes_per_member: u64,
}

/// Time and bytes that the death of half of the members takes.
pub(crate) struct MassDeathResult {
    /// Until no survivor sees a dead member as alive.
    pub(crate) detected_after: Duration,
    /// Until then.
    pub(crate) bytes_per_survivor: u64,
}

impl Cluster {
    /// Starts all members at once.
    pub(crate) fn start(members: usize, gossip_period: Duration) -> Self {
        let config = SimulationConfig {
            instances: members,
            jobs: 0,
            datagram_loss: 0.1,
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

    /// Prints progress.
    pub(crate) fn log(&self, text: &str) {
        eprintln!("{}: {text}, {:.0} s", self.members, self.elapsed().as_secs_f64());
    }

    fn advance_until(&mut self, condition: impl Fn(&Simulation) -> bool) -> Duration {
        advance_until(&mut self.simulation, AGREEMENT_TIMEOUT, condition)
    }

    /// Advances until the members agree on who is alive, and returns how long that took.
    pub(crate) fn advance_until_agreement(&mut self) -> Duration {
        let views = self.members * self.members;
        let max_mistaken = (MAX_MISTAKEN_SHARE * views as f64) as usize;
        self.advance_until(|simulation| simulation.mistaken_views(|_, _| true) <= max_mistaken)
    }

    /// Returns the bytes that all members have sent since the start.
    fn bytes_sent(&self) -> u64 {
        self.simulation.counts().datagram_bytes
    }

    /// Returns the bytes that a member sends in a second without faults.
    pub(crate) fn calm_bytes_per_second(&mut self) -> f64 {
        self.simulation.advance(CALM);
        let bytes_before = self.bytes_sent();
        self.simulation.advance(CALM);
        let member_seconds = CALM.as_secs() * self.members as u64;
        (self.bytes_sent() - bytes_before) as f64 / member_seconds as f64
    }

    /// Cuts one half off from the other one, and heals the partition.
    pub(crate) fn partition(&mut self) -> PartitionResult {
        let half = self.members / 2;
        let bytes_before = self.bytes_sent();
        self.simulation.partition(0..half, StoreAccess::BothSides);
        let on_same_side = move |observer: usize, other: usize| (observer < half) == (other < half);
        let detected_after = self.advance_until(|simulation| simulation.falsely_alive(on_same_side) == 0);
        self.log(&format!("apart {} ms", detected_after.as_millis()));
        self.simulation.heal();
        let healed_after = self.advance_until_agreement();
        self.log(&format!("healed {} ms", healed_after.as_millis()));
        let bytes_per_member = (self.bytes_sent() - bytes_before) / self.members as u64;
        PartitionResult { detected_after, healed_after, bytes_per_member }
    }

    /// Suspends a member. Returns how long the cluster takes to agree after the member resumes, or `None` in a cluster that is
    /// too large for this.
    pub(crate) fn suspend_member(&mut self) -> Option<Duration> {
        if self.members > MAX_SIZE_WITH_SUSPENSION {
            return None;
        }
        self.simulation.pause(1);
        self.simulation.advance(SUSPENSION);
        self.simulation.resume(1);
        Some(self.advance_until_agreement())
    }

    /// Kills half of the members.
    pub(crate) fn kill_half(&mut self) -> MassDeathResult {
        let half = self.members / 2;
        let bytes_before = self.bytes_sent();
        (0..half).for_each(|member| self.simulation.kill(member));
        let detected_after = self.advance_until(|simulation| simulation.falsely_alive(|_, _| true) == 0);
        let survivors = (self.members - half) as u64;
        MassDeathResult { detected_after, bytes_per_survivor: (self.bytes_sent() - bytes_before) / survivors }
    }
}
