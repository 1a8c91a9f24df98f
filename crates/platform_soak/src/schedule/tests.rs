//! The schedules are the same in every version, so that a failure comes back by its seed.

use super::*;
use crate::settings::Addresses;
use fault_harness::digest::digest;

/// Text of a fault that does not depend on the names of types and fields.
fn canonical_text(fault: &Fault) -> String {
    let kind = match fault.kind {
        FaultKind::Restart { gatekeeper, kind, clock_offset_us } => {
            format!("restart {gatekeeper} {kind:?} {clock_offset_us}")
        }
        FaultKind::ClockStep { gatekeeper, clock_offset_us } => {
            format!("clock {gatekeeper} {clock_offset_us}")
        }
        FaultKind::Reloads { gatekeeper, count } => format!("reloads {gatekeeper} {count}"),
        FaultKind::Suspensions { gatekeeper, count } => format!("suspensions {gatekeeper} {count}"),
        FaultKind::Calls { first, step, faults } => format!("calls {first} {step} {faults:?}"),
        FaultKind::Discovery { first, step, mode } => format!("discovery {first} {step} {mode:?}"),
        FaultKind::Counter { mode } => format!("counter {mode:?}"),
        FaultKind::Backend { backend, mode } => format!("backend {backend} {mode:?}"),
        FaultKind::Drain { backend } => format!("drain {backend}"),
        FaultKind::Removal { backend } => format!("removal {backend}"),
        FaultKind::BackendRestart { backend } => format!("backend restart {backend}"),
        FaultKind::Leaving => "leaving".to_owned(),
        FaultKind::PartialRequests => "partial".to_owned(),
        FaultKind::HurriedRequests => "hurried".to_owned(),
        FaultKind::IdleCrowd { gatekeeper } => format!("crowd {gatekeeper}"),
    };
    format!("{} {} {kind}\n", fault.start.as_nanos(), fault.duration.as_nanos())
}

/// Text of a site's settings: the configuration file of a gatekeeper, and what does not stand in it.
fn settings_text(settings: &Settings) -> String {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let config = settings.config(0, Addresses { listen: address, discovery: address, counter: address });
    let tenants = settings.tenants.iter().map(|tenant| format!("{} {}\n", tenant.number, tenant.part));
    format!("{config}\n{}\n{}", settings.backends, tenants.collect::<String>())
}

fn schedule_text(schedule: &Schedule) -> String {
    let faults: String = schedule.faults.iter().map(canonical_text).collect();
    format!("{} {}\n{}{faults}", schedule.seed, schedule.length.as_nanos(), settings_text(&schedule.settings))
}

fn digest_of_seeds(gatekeepers: usize, seconds: u64) -> u64 {
    let length = Duration::from_secs(seconds);
    let drawn = (1..=200).map(|seed| schedule_text(&Schedule::draw(seed, gatekeepers, length)));
    digest(&drawn.collect::<String>())
}

#[test]
fn a_seed_gives_the_schedule_that_it_always_gave() {
    let digests =
        [(24, 15), (24, 10), (6, 60)].map(|(gatekeepers, seconds)| digest_of_seeds(gatekeepers, seconds));
    assert_eq!(digests, [0xa705_79f7_c4df_5e58, 0x872e_78e4_84f7_6dcf, 0x35f6_0744_28dc_a7a2]);
}

#[test]
fn seeds_reach_each_kind_of_fault() {
    let length = Duration::from_secs(60);
    let drawn = (1..=100).flat_map(|seed| Schedule::draw(seed, 24, length).faults);
    let kinds: std::collections::BTreeSet<String> = drawn
        .map(|fault| canonical_text(&fault))
        .filter_map(|text| text.split(' ').nth(2).map(|kind| kind.trim().to_owned()))
        .collect();
    // `backend` stands for a backend's failures and its restarts.
    assert_eq!(kinds.len(), 14, "{kinds:?}");
}
