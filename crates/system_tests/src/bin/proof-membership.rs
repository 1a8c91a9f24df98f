//! Membership alone in simulated time, up to 1,000 members with a tenth of all datagrams lost: how long a start, a mass
//! death, the healing of a split and the return of a member that was stopped take until all see the same, and what that costs.

use cluster_simulation::{Simulation, SimulationConfig};
use std::process::ExitCode;
use std::time::Instant;
use system_tests::Table;

/// ms between two looks.
const LOOK: u64 = 100;
/// ms of calm before and while its bytes are counted.
const CALM: u64 = 10_000;
/// Members of the largest cluster in which one is stopped for a minute: a minute of 1,000 takes ten.
const STOPPED_UP_TO: usize = 300;
/// ms; later than this is never.
const MOST: u64 = 30_000;
/// The share of pairs that may be in doubt where all are said to see all: what a lost datagram leaves is found by chance, later.
const DOUBT: f64 = 1e-5;

/// Lets time pass until this is so; how long that took, in ms.
fn until(world: &mut Simulation, so: impl Fn(&Simulation) -> bool) -> u64 {
    let begun = world.now_ms();
    while !so(world) && world.now_ms() - begun < MOST {
        world.advance(LOOK);
    }
    world.now_ms() - begun
}

/// Bytes that the cluster has sent so far.
fn bytes(world: &Simulation) -> u64 {
    world.counts().datagram_bytes
}

/// A span in seconds, as a cell.
fn seconds(ms: u64) -> String {
    if ms >= MOST { "never".into() } else { format!("{:.1}", ms as f64 / 1_000.0) }
}

fn main() -> ExitCode {
    let number = |n: usize| std::env::args().nth(n).and_then(|a| a.parse::<u64>().ok());
    let sizes = number(1).map_or(vec![24, 100, 300, 1_000], |n| vec![n as usize]);
    let gossip = number(2).unwrap_or(200);
    println!("Gossip every {gossip} ms.\n");
    println!(
        "| members | all see all, s | calm, bytes a s and member | half die: all know, s | bytes for each member by then | \
         half apart: each side knows, s | healed: all see all, s | bytes for each member | stopped for a minute: back, s | \
         took, s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let mut bounds = Table::default();
    for members in sizes {
        let begun = Instant::now();
        let site = SimulationConfig {
            instances: members,
            jobs: 0,
            datagram_loss: 0.1,
            gossip_period_ms: gossip,
            rng_seed: 7,
            ..SimulationConfig::default()
        };
        let mut world = Simulation::new(site);
        let doubt = (DOUBT * (members * members) as f64) as usize;
        let all = |w: &Simulation| w.mistaken_views(|_, _| true) <= doubt;
        let joined = until(&mut world, all);
        world.advance(CALM);
        let before = bytes(&world);
        world.advance(CALM);
        let calm = (bytes(&world) - before) as f64 / (CALM / 1_000 * members as u64) as f64;
        eprintln!("{members}: joined {joined} ms, calm {calm:.0}, {:.0} s", begun.elapsed().as_secs_f64());

        let half = members / 2;
        let before = bytes(&world);
        world.partition(|i| u8::from(i < half), [true, true]);
        let side = move |i: usize, o: usize| (i < half) == (o < half);
        let apart = until(&mut world, |w| w.falsely_alive(side) == 0);
        eprintln!("{members}: apart {apart} ms, {:.0} s", begun.elapsed().as_secs_f64());
        world.partition(|_| 0, [true, true]);
        let healed = until(&mut world, all);
        let split_bytes = (bytes(&world) - before) / members as u64;
        eprintln!("{members}: healed {healed} ms, {:.0} s", begun.elapsed().as_secs_f64());

        let back = if members <= STOPPED_UP_TO {
            world.pause(1);
            world.advance(60_000);
            world.resume(1);
            seconds(until(&mut world, all))
        } else {
            "not tried".into()
        };
        eprintln!("{members}: back {back}, {:.0} s", begun.elapsed().as_secs_f64());
        let before = bytes(&world);
        (0..half).for_each(|i| world.kill(i));
        let noticed = until(&mut world, |w| w.falsely_alive(|_, _| true) == 0);
        let death_bytes = (bytes(&world) - before) / (members - half) as u64;
        println!(
            "| {members} | {} | {calm:.0} | {} | {death_bytes} | {} | {} | {split_bytes} | {} | {:.0} |",
            seconds(joined),
            seconds(noticed),
            seconds(apart),
            seconds(healed),
            back,
            begun.elapsed().as_secs_f64()
        );
        bounds.at_most(&format!("{members}: half die, all know, s"), noticed as f64 / 1_000.0, 10.0);
    }
    println!();
    let fine = bounds.print();
    println!("proof membership: {}", if fine { "all within bounds" } else { "OUT OF BOUNDS" });
    if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
