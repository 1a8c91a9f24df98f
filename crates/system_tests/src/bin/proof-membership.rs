//! Membership alone in simulated time, up to 1,000 members with a tenth of all datagrams lost: how long a start, a mass
//! death, the healing of a partition and the return of a member that was suspended take until all see the same, and what that
//! costs. `proof-membership [MEMBERS [GOSSIP_PERIOD_MS]]`.

use cluster_simulation::{Simulation, SimulationConfig};
use std::process::ExitCode;
use std::time::Instant;
use system_tests::Table;

const SIZES: [usize; 4] = [24, 100, 300, 1_000];
const DEFAULT_GOSSIP_PERIOD_MS: u64 = 200;
/// Interval at which the simulation is checked.
const STEP_MS: u64 = 100;
/// Duration of the stretch without faults, and of the one after it in which bytes are counted.
const CALM_MS: u64 = 10_000;
/// Duration of a suspension.
const SUSPENSION_MS: u64 = 60_000;
/// Size of the largest cluster in which a member is suspended. With 1,000 members a simulated minute takes ten.
const MAX_WITH_SUSPENSION: usize = 300;
/// Times beyond this are shown as never.
const NEVER_MS: u64 = 30_000;
/// The share of pairs that may be in doubt where all are said to see all: what a lost datagram leaves is found by chance, later.
const DOUBT: f64 = 1e-5;

/// A time in seconds, as a cell.
fn seconds(ms: u64) -> String {
    if ms >= NEVER_MS { "never".into() } else { format!("{:.1}", ms as f64 / 1_000.0) }
}

/// A cluster of one size, and what it is measured with.
struct Cluster {
    simulation: Simulation,
    members: usize,
    /// Pairs that may be in doubt.
    doubt: usize,
    begin: Instant,
}

/// What a partition took and cost.
struct PartitionResult {
    noticed_ms: u64,
    healed_ms: u64,
    bytes_per_member: u64,
}

/// What the death of half of the members took and cost.
struct MassDeathResult {
    noticed_ms: u64,
    bytes_per_survivor: u64,
}

impl Cluster {
    fn new(members: usize, gossip_period_ms: u64) -> Self {
        let config = SimulationConfig {
            instances: members,
            jobs: 0,
            datagram_loss: 0.1,
            gossip_period_ms,
            rng_seed: 7,
            ..SimulationConfig::default()
        };
        let doubt = (DOUBT * (members * members) as f64) as usize;
        let begin = Instant::now();
        Self { simulation: Simulation::new(config), members, doubt, begin }
    }

    fn took_s(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    fn log(&self, text: &str) {
        eprintln!("{}: {text}, {:.0} s", self.members, self.took_s());
    }

    /// Lets time pass until the condition holds; how long that took, in ms.
    fn advance_until(&mut self, condition: impl Fn(&Simulation) -> bool) -> u64 {
        let begin_ms = self.simulation.now_ms();
        while !condition(&self.simulation) && self.simulation.now_ms() - begin_ms < NEVER_MS {
            self.simulation.advance(STEP_MS);
        }
        self.simulation.now_ms() - begin_ms
    }

    /// Lets time pass until all see all as they are.
    fn advance_until_all_agree(&mut self) -> u64 {
        let doubt = self.doubt;
        self.advance_until(|simulation| simulation.mistaken_views(|_, _| true) <= doubt)
    }

    /// Bytes that the cluster has sent so far.
    fn bytes(&self) -> u64 {
        self.simulation.counts().datagram_bytes
    }

    /// Bytes a second of each member without faults.
    fn calm_bytes(&mut self) -> f64 {
        self.simulation.advance(CALM_MS);
        let before = self.bytes();
        self.simulation.advance(CALM_MS);
        (self.bytes() - before) as f64 / (CALM_MS / 1_000 * self.members as u64) as f64
    }

    /// Half is cut off from the other half, and healed.
    fn partition(&mut self) -> PartitionResult {
        let half = self.members / 2;
        let before = self.bytes();
        self.simulation.partition(|i| u8::from(i < half), [true, true]);
        let same_side = move |i: usize, other: usize| (i < half) == (other < half);
        let noticed_ms = self.advance_until(|simulation| simulation.falsely_alive(same_side) == 0);
        self.log(&format!("apart {noticed_ms} ms"));
        self.simulation.partition(|_| 0, [true, true]);
        let healed_ms = self.advance_until_all_agree();
        let bytes_per_member = (self.bytes() - before) / self.members as u64;
        self.log(&format!("healed {healed_ms} ms"));
        PartitionResult { noticed_ms, healed_ms, bytes_per_member }
    }

    /// How long a member that was suspended takes to be back, as a cell.
    fn suspension(&mut self) -> String {
        if self.members > MAX_WITH_SUSPENSION {
            return "not tried".into();
        }
        self.simulation.pause(1);
        self.simulation.advance(SUSPENSION_MS);
        self.simulation.resume(1);
        seconds(self.advance_until_all_agree())
    }

    /// Half of the members die.
    fn mass_death(&mut self) -> MassDeathResult {
        let half = self.members / 2;
        let before = self.bytes();
        (0..half).for_each(|i| self.simulation.kill(i));
        let noticed_ms = self.advance_until(|simulation| simulation.falsely_alive(|_, _| true) == 0);
        let bytes_per_survivor = (self.bytes() - before) / (self.members - half) as u64;
        MassDeathResult { noticed_ms, bytes_per_survivor }
    }
}

/// Measures a cluster of this size and prints its row.
fn measure(members: usize, gossip_period_ms: u64, bounds: &mut Table) {
    let mut cluster = Cluster::new(members, gossip_period_ms);
    let joined_ms = cluster.advance_until_all_agree();
    let calm_bytes = cluster.calm_bytes();
    cluster.log(&format!("joined {joined_ms} ms, calm {calm_bytes:.0}"));
    let partition = cluster.partition();
    let back = cluster.suspension();
    cluster.log(&format!("back {back}"));
    let death = cluster.mass_death();
    println!(
        "| {members} | {} | {calm_bytes:.0} | {} | {} | {} | {} | {} | {back} | {:.0} |",
        seconds(joined_ms),
        seconds(death.noticed_ms),
        death.bytes_per_survivor,
        seconds(partition.noticed_ms),
        seconds(partition.healed_ms),
        partition.bytes_per_member,
        cluster.took_s()
    );
    let name = format!("{members}: half die, all know, s");
    bounds.add_with_maximum(&name, death.noticed_ms as f64 / 1_000.0, 10.0);
}

fn main() -> ExitCode {
    let number = |position: usize| std::env::args().nth(position).and_then(|text| text.parse::<u64>().ok());
    let sizes = number(1).map_or(SIZES.to_vec(), |members| vec![members as usize]);
    let gossip_period_ms = number(2).unwrap_or(DEFAULT_GOSSIP_PERIOD_MS);
    println!("Gossip every {gossip_period_ms} ms.\n");
    println!(
        "| members | all see all, s | calm, bytes a s and member | half die: all know, s | bytes for each member by then | \
         half apart: each side knows, s | healed: all see all, s | bytes for each member | stopped for a minute: back, s | \
         took, s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let mut bounds = Table::default();
    sizes.into_iter().for_each(|members| measure(members, gossip_period_ms, &mut bounds));
    println!();
    let verdict = bounds.print();
    println!("proof membership: {verdict}");
    verdict.into()
}
