//! Parsing of the command line, and advancing simulated time.

use super::*;
use cluster_simulation::SimulationConfig;

fn parse(arguments: &str) -> SimulationArguments {
    SimulationArguments::parse(arguments.split_whitespace().map(str::to_owned))
}

#[test]
fn without_arguments_the_default_sizes_are_measured() {
    let arguments = parse("");
    assert_eq!(arguments.sizes(&[10, 30]), [10, 30]);
    assert_eq!(arguments.gossip_period, Duration::from_millis(200));
}

#[test]
fn size_and_gossip_period_are_parsed_and_other_texts_ignored() {
    let arguments = parse("1000 300");
    assert_eq!(arguments.sizes(&[10, 30]), [1_000]);
    assert_eq!(arguments.gossip_period, Duration::from_millis(300));
    assert_eq!(parse("many often"), parse(""));
}

#[test]
fn time_advances_until_the_condition_holds_or_the_timeout_elapses() {
    let config = SimulationConfig { instances: 2, jobs: 1, ..SimulationConfig::default() };
    let mut simulation = Simulation::new(config);
    let timeout = Duration::from_millis(500);
    assert_eq!(advance_until(&mut simulation, timeout, |_| false), timeout);
    assert_eq!(advance_until(&mut simulation, timeout, |_| true), Duration::ZERO);
    let elapsed = advance_until(&mut simulation, timeout, |simulation| simulation.now().as_millis() >= 650);
    assert_eq!(elapsed, Duration::from_millis(200));
}
