//! Measures the cost of changes in large catalogues, and whether memory grows with the number of ids that were ever listed.

use crate::BACKENDS;
use crate::timeline::{MemoryGrowth, SizeCost, pause};
use fault_injection::history::{Observation, Record, Span, now_us};
use fault_injection::site::Site;
use stand_in_consul::{CheckStatus, Service};
use std::net::SocketAddr;
use std::time::Duration;

/// Numbers of instances in the catalogue in addition to the backends.
const SIZES: [usize; 3] = [0, 500, 5_000];
/// The number of changes, each of one instance.
const CHANGES: usize = 150;
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// How often all ids are replaced.
const REPLACEMENTS: usize = 50;
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(150);
/// The number of ids that each replacement replaces.
const REPLACED_IDS: usize = 2_000;

/// The resources that the gatekeeper uses at one moment.
#[derive(Clone, Copy, Default)]
struct ResourceUse {
    cpu_ms: u64,
    memory_kb: u64,
}

/// Measures the cost of changes in a catalogue of each of the [`SIZES`].
pub(crate) fn cost_of_sizes(site: &Site) -> Vec<SizeCost> {
    SIZES.map(|instances| cost_of_changes(site, instances)).into()
}

fn cost_of_changes(site: &Site, instances: usize) -> SizeCost {
    site.set_services(with_instances(site, 0, instances));
    pause(Duration::from_secs(1));
    let before = resource_use(site);
    let from_us = now_us();
    for change in 0..CHANGES {
        let mut services = with_instances(site, 0, instances);
        services[change % BACKENDS].meta.insert("turn".into(), change.to_string());
        site.set_services(services);
        pause(CHANGE_INTERVAL);
    }
    let after = resource_use(site);
    let cpu_s = (after.cpu_ms - before.cpu_ms) as f64 / 1_000.0;
    let cpu_share = cpu_s / Span::since(from_us).seconds();
    SizeCost { instances: instances + BACKENDS, cpu_share, memory_kb: after.memory_kb }
}

/// Measures the memory of the gatekeeper before and after all ids are replaced [`REPLACEMENTS`] times.
pub(crate) fn memory_growth(site: &Site) -> MemoryGrowth {
    site.set_services(site.healthy_services());
    pause(Duration::from_secs(2));
    let before_kb = resource_use(site).memory_kb;
    for generation in 1..=REPLACEMENTS {
        site.set_services(with_instances(site, generation, REPLACED_IDS));
        pause(REPLACEMENT_INTERVAL);
    }
    site.set_services(site.healthy_services());
    pause(Duration::from_secs(3));
    MemoryGrowth { before_kb, after_kb: resource_use(site).memory_kb }
}

/// Returns the current resource usage of the gatekeeper.
fn resource_use(site: &Site) -> ResourceUse {
    site.record_resource_use();
    let resource_use = |record: &Record| match record.observation {
        Observation::ResourceUse { memory_kb, cpu_ms, .. } => Some(ResourceUse { cpu_ms, memory_kb }),
        _ => None,
    };
    site.recorder.records_by_time().iter().rev().find_map(resource_use).unwrap_or_default()
}

/// Returns the catalogue with the backends and this many critical instances. The ids of the instances differ between generations.
fn with_instances(site: &Site, generation: usize, instances: usize) -> Vec<Service> {
    let mut services = site.healthy_services();
    services.extend((0..instances).map(|number| {
        let address = SocketAddr::from(([127, 1, (number >> 8) as u8, number as u8], 80));
        Service::new(&format!("c{generation}-{number}"), address).with_status(CheckStatus::Critical)
    }));
    services
}
