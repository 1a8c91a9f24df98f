//! What large catalogues cost, and memory over replaced ids.

use crate::BACKENDS;
use crate::timeline::{MemoryGrowth, SizeCost, Timeline, pause};
use fault_injection::history::{Observation, Record, Span, now_us};
use fault_injection::site::Site;
use stand_in_consul::{CheckStatus, Service};
use std::net::SocketAddr;

/// Instances beside the backends.
const SIZES: [usize; 3] = [0, 500, 5_000];
/// Number of changes, each of one instance.
const CHANGES: usize = 150;
/// Interval of the changes, s.
const CHANGE_INTERVAL_S: f64 = 0.02;
/// Number of times that all ids are replaced.
const REPLACEMENTS: usize = 50;
/// Number of ids that are replaced each time.
const REPLACED_IDS: usize = 2_000;

/// The processor time and memory of the gatekeeper now.
#[derive(Clone, Copy, Default)]
struct Usage {
    cpu_ms: u64,
    memory_kb: u64,
}

fn usage(site: &Site) -> Usage {
    site.record_resource_use();
    let last = |record: &Record| match record.observation {
        Observation::ResourceUse { memory_kb, cpu_ms, .. } => Some(Usage { cpu_ms, memory_kb }),
        _ => None,
    };
    site.recorder.records_by_time().iter().rev().find_map(last).unwrap_or_default()
}

/// The backends and many instances that accept no requests; their ids differ from turn to turn.
fn crowd(site: &Site, turn: usize, count: usize) -> Vec<Service> {
    let mut services = site.healthy_services();
    services.extend((0..count).map(|i| {
        let address = SocketAddr::from(([127, 1, (i >> 8) as u8, i as u8], 80));
        Service::new(&format!("c{turn}-{i}"), address).with_status(CheckStatus::Critical)
    }));
    services
}

/// Measures sizes and the growth of memory.
pub(crate) fn measure(site: &Site, timeline: &mut Timeline) {
    timeline.sizes = SIZES.map(|count| cost_of_changes(site, count)).into();
    site.set_services(crowd(site, 0, 0));
    pause(2.0);
    let before_kb = usage(site).memory_kb;
    for turn in 1..=REPLACEMENTS {
        site.set_services(crowd(site, turn, REPLACED_IDS));
        pause(0.15);
    }
    site.set_services(crowd(site, 0, 0));
    pause(3.0);
    timeline.memory = MemoryGrowth { before_kb, after_kb: usage(site).memory_kb };
}

fn cost_of_changes(site: &Site, count: usize) -> SizeCost {
    site.set_services(crowd(site, 0, count));
    pause(1.0);
    let before = usage(site);
    let from_us = now_us();
    for turn in 0..CHANGES {
        let mut services = crowd(site, 0, count);
        services[turn % BACKENDS].meta.insert("turn".into(), turn.to_string());
        site.set_services(services);
        pause(CHANGE_INTERVAL_S);
    }
    let after = usage(site);
    let cpu_s = (after.cpu_ms - before.cpu_ms) as f64 / 1_000.0;
    let cpu_share = cpu_s / Span::since(from_us).seconds();
    SizeCost { instances: count + BACKENDS, cpu_share, memory_kb: after.memory_kb }
}
