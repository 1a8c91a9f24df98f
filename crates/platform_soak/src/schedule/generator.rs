//! Draws single faults. The order of the random draws is fixed: a seed must give the same schedule in every version.

use super::{CallFaults, FaultKind, RestartKind};
use crate::settings::Settings;
use crate::stand_ins::{BackendMode, CounterMode, DiscoveryMode};
use std::time::Duration;

/// Offsets to which a wall clock is set, in seconds.
const CLOCK_OFFSETS_S: [i64; 6] = [3_600, -3_600, 5, -5, 2, 40_000];
const MICROS_PER_SECOND: i64 = 1_000_000;

pub(super) fn draw_duration(random: &mut fastrand::Rng, kind: FaultKind) -> Duration {
    let range = match kind {
        // The operators' list of faults has connects that fail for 2 s.
        FaultKind::Calls { faults: CallFaults::NoConnections, .. } => 500..2_000,
        FaultKind::Drain { .. } | FaultKind::Removal { .. } => 3_000..6_000,
        _ => 800..4_000,
    };
    Duration::from_millis(random.u64(range))
}

/// Draws the wall clock offset of a new process in microseconds. It is 0 in two of three cases.
fn draw_start_offset(random: &mut fastrand::Rng) -> i64 {
    if random.u32(..3) > 0 {
        0
    } else {
        CLOCK_OFFSETS_S[random.usize(..CLOCK_OFFSETS_S.len())] * MICROS_PER_SECOND
    }
}

/// Draws the wall clock offset to which a running process is stepped, in microseconds.
fn draw_stepped_offset(random: &mut fastrand::Rng) -> i64 {
    CLOCK_OFFSETS_S[random.usize(..CLOCK_OFFSETS_S.len())] * MICROS_PER_SECOND
}

pub(super) fn draw_kind(random: &mut fastrand::Rng, settings: &Settings) -> FaultKind {
    let gatekeeper = random.usize(..settings.gatekeepers);
    let backend = random.usize(..settings.backends);
    let step = random.usize(1..5);
    match random.u32(..15) {
        0..3 => {
            let kinds = [RestartKind::Graceful, RestartKind::Crash, RestartKind::Upgrade];
            let (kind, clock_offset_us) = (kinds[random.usize(..kinds.len())], draw_start_offset(random));
            FaultKind::Restart { gatekeeper, kind, clock_offset_us }
        }
        3 => FaultKind::ClockStep { gatekeeper, clock_offset_us: draw_stepped_offset(random) },
        4 => FaultKind::Reloads { gatekeeper, count: random.u32(2..10) },
        5 => FaultKind::Suspensions { gatekeeper, count: random.u32(1..5) },
        6 => {
            let faults = [
                CallFaults::Sockets,
                CallFaults::ShortTransfers,
                CallFaults::BrokenConnections,
                CallFaults::NoConnections,
                CallFaults::Disk,
            ];
            FaultKind::Calls { first: gatekeeper, step, faults: faults[random.usize(..faults.len())] }
        }
        7 => {
            let modes = [DiscoveryMode::Slow, DiscoveryMode::Silent, DiscoveryMode::Down];
            FaultKind::Discovery { first: gatekeeper, step, mode: modes[random.usize(..modes.len())] }
        }
        8 => {
            let modes =
                [CounterMode::Slow, CounterMode::Silent, CounterMode::Rejecting, CounterMode::Resetting];
            FaultKind::Counter { mode: modes[random.usize(..modes.len())] }
        }
        9 => FaultKind::Drain { backend },
        10 => match random.u32(..3) {
            0 => FaultKind::Removal { backend },
            _ => FaultKind::BackendRestart { backend },
        },
        11..13 => FaultKind::Backend { backend, mode: draw_backend_mode(random) },
        _ => match random.u32(..4) {
            0 => FaultKind::Leaving,
            1 => FaultKind::PartialRequests,
            2 => FaultKind::HurriedRequests,
            _ => FaultKind::IdleCrowd { gatekeeper },
        },
    }
}

fn draw_backend_mode(random: &mut fastrand::Rng) -> BackendMode {
    let modes = [
        BackendMode::Slow,
        BackendMode::Hanging,
        BackendMode::Failing,
        BackendMode::Rejecting,
        BackendMode::Resetting,
        BackendMode::Truncating,
        BackendMode::ClosingIdle,
        BackendMode::ResettingIdle,
        BackendMode::ForgettingIdle,
        BackendMode::Refusing,
    ];
    modes[random.usize(..modes.len())]
}
