//! Tests that a seed gives the same schedule in every version, so that its seed reproduces a failure.

use super::*;
use crate::settings::Addresses;
use fault_harness::digest::digest;

/// Text of a fault that does not change when types, fields or kinds of faults are renamed.
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

/// Text of a site's settings: the configuration file of a gatekeeper, and the settings that it does not contain.
fn settings_text(settings: &Settings) -> String {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let config = settings.config(0, Addresses { listen: address, discovery: address, counter: address });
    let tenants =
        settings.tenants.iter().map(|tenant| format!("{} {}\n", tenant.number, tenant.request_share));
    format!("{config}\n{}\n{}", settings.backends, tenants.collect::<String>())
}

fn schedule_text(schedule: &Schedule) -> String {
    let faults: String = schedule.faults.iter().map(canonical_text).collect();
    format!("{} {}\n{}{faults}", schedule.seed, schedule.length.as_nanos(), settings_text(&schedule.settings))
}

/// Digest of the schedules of 200 seeds.
fn schedules_digest(gatekeepers: usize, seconds: u64) -> u64 {
    let length = Duration::from_secs(seconds);
    let drawn = (1..=200).map(|seed| schedule_text(&Schedule::draw(seed, gatekeepers, length)));
    digest(&drawn.collect::<String>())
}

#[test]
fn a_seed_gives_the_same_schedule_as_in_earlier_versions() {
    let digests =
        [(24, 15), (24, 10), (6, 60)].map(|(gatekeepers, seconds)| schedules_digest(gatekeepers, seconds));
    assert_eq!(digests, [0xa705_79f7_c4df_5e58, 0x872e_78e4_84f7_6dcf, 0x35f6_0744_28dc_a7a2]);
}

#[test]
fn seeds_draw_every_kind_of_fault() {
    let length = Duration::from_secs(60);
    let drawn = (1..=100).flat_map(|seed| Schedule::draw(seed, 24, length).faults);
    let kinds: std::collections::BTreeSet<String> = drawn
        .map(|fault| canonical_text(&fault))
        .filter_map(|text| text.split(' ').nth(2).map(|kind| kind.trim().to_owned()))
        .collect();
    // The word `backend` counts once for two kinds: failures of a backend and its restarts.
    assert_eq!(kinds.len(), 14, "{kinds:?}");
}
