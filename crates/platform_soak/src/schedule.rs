//! Schedules of overlapping faults, drawn from a seed.

use crate::history::{BackendIndex, GatekeeperIndex};
use crate::settings::Settings;
use crate::stand_ins::{BackendMode, CounterMode, DiscoveryMode};
use std::fmt;
use std::time::Duration;

/// Mean number of faults that begin in a second.
const FAULTS_PER_SECOND: f64 = 1.6;
/// Time before the first fault, in which token buckets and rate estimates settle.
const QUIET_START: Duration = Duration::from_millis(1_500);
/// Time between the begin of the last fault and the end of the schedule.
const QUIET_END: Duration = Duration::from_millis(3_000);
/// Steps of a wall clock, in seconds.
const CLOCK_STEPS_S: [i64; 6] = [3_600, -3_600, 5, -5, 2, 40_000];
/// Length of a suspension. Gatekeepers are specified for scheduling delays of up to 0.15 s.
const SUSPENSION: Duration = Duration::from_millis(140);
const MICROS_PER_SECOND: i64 = 1_000_000;

/// Faults of a gatekeeper's system calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFaults {
    /// Some calls of `accept`, `socket` and `connect` fail.
    Sockets,
    /// Reads and writes are short, and some calls are interrupted.
    ShortTransfers,
    /// Some outbound connections break.
    BrokenConnections,
    /// Every `connect` fails.
    NoConnections,
    /// Files cannot be written.
    Disk,
}

/// How a gatekeeper's process is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartKind {
    /// It gets SIGTERM, and the next one starts after its exit.
    Graceful,
    /// It gets SIGKILL, and the next one starts after its exit.
    Crash,
    /// Its successor is started first and takes over from it.
    Upgrade,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A gatekeeper's process is replaced by one with another wall clock offset.
    Restart {
        /// The gatekeeper.
        gatekeeper: GatekeeperIndex,
        /// How the process is replaced.
        kind: RestartKind,
        /// Offset of the new process's wall clock in microseconds.
        clock_offset_us: i64,
    },
    /// The wall clock of a running process is stepped.
    ClockStep {
        /// The gatekeeper.
        gatekeeper: GatekeeperIndex,
        /// New offset of the wall clock in microseconds.
        clock_offset_us: i64,
    },
    /// A gatekeeper reloads its configuration several times in quick succession.
    Reloads {
        /// The gatekeeper.
        gatekeeper: GatekeeperIndex,
        /// Number of reloads.
        count: u32,
    },
    /// A gatekeeper is suspended several times.
    Suspensions {
        /// The gatekeeper.
        gatekeeper: GatekeeperIndex,
        /// Number of suspensions.
        count: u32,
    },
    /// System calls of some gatekeepers fail.
    Calls {
        /// The first affected gatekeeper; every `step`-th after it is affected too.
        first: GatekeeperIndex,
        /// Distance between two affected gatekeepers.
        step: usize,
        /// The calls that fail.
        faults: CallFaults,
    },
    /// The discovery agents of some gatekeepers fail.
    Discovery {
        /// See [`Fault::Calls`].
        first: GatekeeperIndex,
        /// See [`Fault::Calls`].
        step: usize,
        /// How it fails.
        mode: DiscoveryMode,
    },
    /// The counter fails.
    Counter {
        /// How it fails.
        mode: CounterMode,
    },
    /// A backend fails.
    Backend {
        /// The backend.
        backend: BackendIndex,
        /// How it fails.
        mode: BackendMode,
    },
    /// A backend is listed as draining, and as up again after the fault.
    Drain {
        /// The backend.
        backend: BackendIndex,
    },
    /// A backend is removed from the list, and listed again after the fault without a restart.
    Removal {
        /// The backend.
        backend: BackendIndex,
    },
    /// A backend restarts.
    BackendRestart {
        /// The backend.
        backend: BackendIndex,
    },
    /// Clients disconnect before the answer.
    Leaving,
    /// Clients do not complete requests.
    PartialRequests,
    /// Clients set very short deadlines.
    HurriedRequests,
    /// Idle connections use up a gatekeeper's descriptors.
    IdleCrowd {
        /// The gatekeeper.
        gatekeeper: GatekeeperIndex,
    },
}

/// A fault and when it is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins, from the begin of the schedule.
    pub at: Duration,
    /// Its duration.
    pub length: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The faults of one run, and the settings of its site.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The seed that it is drawn from.
    pub seed: u64,
    /// Its duration.
    pub length: Duration,
    /// The settings of the site.
    pub settings: Settings,
    /// Its faults in the order of their begins.
    pub faults: Vec<PlannedFault>,
}

impl Schedule {
    /// Draws the schedule of a seed. The same seed always gives the same schedule.
    pub fn draw(seed: u64, gatekeepers: usize, length: Duration) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let settings = Settings::draw(&mut random, gatekeepers);
        let count = (length.as_secs_f64() * FAULTS_PER_SECOND) as usize;
        let last = length.saturating_sub(QUIET_END).max(QUIET_START);
        let mut faults: Vec<PlannedFault> = (0..count)
            .map(|_| {
                let part = random.f64();
                let at = QUIET_START + (last - QUIET_START).mul_f64(part);
                let fault = draw_fault(&mut random, &settings);
                PlannedFault { at, length: draw_length(&mut random, fault), fault }
            })
            .collect();
        faults.sort_by_key(|planned| planned.at);
        Self { seed, length, settings, faults }
    }
}

fn draw_length(random: &mut fastrand::Rng, fault: Fault) -> Duration {
    let range = match fault {
        // The operators' page has connects that fail for 2 s.
        Fault::Calls { faults: CallFaults::NoConnections, .. } => 500..2_000,
        Fault::Drain { .. } | Fault::Removal { .. } => 3_000..6_000,
        _ => 800..4_000,
    };
    Duration::from_millis(random.u64(range))
}

/// Draws the offset of a wall clock, which is 0 in two of three cases.
fn draw_offset(random: &mut fastrand::Rng) -> i64 {
    if random.u32(..3) > 0 {
        0
    } else {
        CLOCK_STEPS_S[random.usize(..CLOCK_STEPS_S.len())] * MICROS_PER_SECOND
    }
}

fn draw_step(random: &mut fastrand::Rng) -> i64 {
    CLOCK_STEPS_S[random.usize(..CLOCK_STEPS_S.len())] * MICROS_PER_SECOND
}

fn draw_fault(random: &mut fastrand::Rng, settings: &Settings) -> Fault {
    let gatekeeper = random.usize(..settings.gatekeepers);
    let backend = random.usize(..settings.backends);
    let step = random.usize(1..5);
    match random.u32(..15) {
        0..3 => {
            let kinds = [RestartKind::Graceful, RestartKind::Crash, RestartKind::Upgrade];
            let (kind, clock_offset_us) = (kinds[random.usize(..kinds.len())], draw_offset(random));
            Fault::Restart { gatekeeper, kind, clock_offset_us }
        }
        3 => Fault::ClockStep { gatekeeper, clock_offset_us: draw_step(random) },
        4 => Fault::Reloads { gatekeeper, count: random.u32(2..10) },
        5 => Fault::Suspensions { gatekeeper, count: random.u32(1..5) },
        6 => {
            let faults = [
                CallFaults::Sockets,
                CallFaults::ShortTransfers,
                CallFaults::BrokenConnections,
                CallFaults::NoConnections,
                CallFaults::Disk,
            ];
            Fault::Calls { first: gatekeeper, step, faults: faults[random.usize(..faults.len())] }
        }
        7 => {
            let modes = [DiscoveryMode::Slow, DiscoveryMode::Silent, DiscoveryMode::Down];
            Fault::Discovery { first: gatekeeper, step, mode: modes[random.usize(..modes.len())] }
        }
        8 => {
            let modes =
                [CounterMode::Slow, CounterMode::Silent, CounterMode::Rejecting, CounterMode::Resetting];
            Fault::Counter { mode: modes[random.usize(..modes.len())] }
        }
        9 => Fault::Drain { backend },
        10 => match random.u32(..3) {
            0 => Fault::Removal { backend },
            _ => Fault::BackendRestart { backend },
        },
        11..13 => Fault::Backend { backend, mode: draw_backend_mode(random) },
        _ => match random.u32(..4) {
            0 => Fault::Leaving,
            1 => Fault::PartialRequests,
            2 => Fault::HurriedRequests,
            _ => Fault::IdleCrowd { gatekeeper },
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

/// How long a suspension lasts.
pub(crate) fn suspension() -> Duration {
    SUSPENSION
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, length) = (self.at.as_secs_f64(), self.length.as_secs_f64());
        write!(f, "{at:6.2} s, for {length:.2} s: {:?}", self.fault)
    }
}

#[cfg(test)]
mod tests;
