//! Schedules: which faults begin when, drawn from the seed. Several overlap.

use crate::history::{BackendIndex, GatekeeperIndex};
use crate::settings::Settings;
use crate::stand_ins::{BackendMode, CounterMode, DiscoveryMode};
use std::fmt;
use std::time::Duration;

/// Faults of a schedule for each second of it.
const FAULTS_PER_SECOND: f64 = 1.6;
/// Before this nothing happens, so that buckets and rates are known.
const QUIET_START: Duration = Duration::from_millis(1_500);
/// How long before the end the last fault begins.
const QUIET_END: Duration = Duration::from_millis(3_000);
/// Steps of a wall clock, in seconds.
const CLOCK_STEPS_S: [i64; 6] = [3_600, -3_600, 5, -5, 2, 40_000];
/// Length of a suspension. Gatekeepers are specified for scheduling delays of up to 0.15 s.
const SUSPENSION: Duration = Duration::from_millis(140);
const MICROS_PER_SECOND: i64 = 1_000_000;

/// Faults of a gatekeeper's system calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFaults {
    /// `accept`, `socket` and `connect` fail at times.
    Sockets,
    /// Reads and writes take a part, and calls are interrupted.
    ShortTransfers,
    /// Connections to others break at times.
    BrokenConnections,
    /// Every `connect` fails.
    NoConnections,
    /// Files cannot be written.
    Disk,
}

/// How a process ends whose place another one takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartKind {
    /// By SIGTERM.
    Graceful,
    /// By SIGKILL.
    Crash,
    /// The new one is started first, and the old one hands over.
    Upgrade,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A gatekeeper's process is replaced; the new one starts with its wall clock so far off.
    Restart {
        /// Of which gatekeeper.
        gatekeeper: GatekeeperIndex,
        /// How the old one ends.
        kind: RestartKind,
        /// Microseconds that the clock is ahead.
        clock_offset_us: i64,
    },
    /// The wall clock of a running process is stepped.
    ClockStep {
        /// Whose.
        gatekeeper: GatekeeperIndex,
        /// Microseconds that it is ahead.
        clock_offset_us: i64,
    },
    /// A gatekeeper gets new configurations in quick succession.
    Reloads {
        /// Which.
        gatekeeper: GatekeeperIndex,
        /// How many.
        count: u32,
    },
    /// A gatekeeper is suspended several times.
    Suspensions {
        /// Which.
        gatekeeper: GatekeeperIndex,
        /// How often.
        count: u32,
    },
    /// System calls of some gatekeepers fail.
    Calls {
        /// The first of them; every so many-th follows.
        first: GatekeeperIndex,
        /// See `first`.
        step: usize,
        /// Which calls.
        faults: CallFaults,
    },
    /// The discovery agents of some gatekeepers fail.
    Discovery {
        /// See [`Fault::Calls`].
        first: GatekeeperIndex,
        /// See [`Fault::Calls`].
        step: usize,
        /// How.
        mode: DiscoveryMode,
    },
    /// The counter fails.
    Counter {
        /// How.
        mode: CounterMode,
    },
    /// A backend fails.
    Backend {
        /// Which.
        backend: BackendIndex,
        /// How.
        mode: BackendMode,
    },
    /// A backend drains, and takes work again after the fault.
    Drain {
        /// Which.
        backend: BackendIndex,
    },
    /// A backend leaves the list, and is back after the fault without a restart.
    Removal {
        /// Which.
        backend: BackendIndex,
    },
    /// A backend restarts.
    BackendRestart {
        /// Which.
        backend: BackendIndex,
    },
    /// Clients leave early.
    Leaving,
    /// Clients do not complete requests.
    PartialRequests,
    /// Requests come with very little time.
    HurriedRequests,
    /// Idle clients take a gatekeeper's descriptors.
    IdleCrowd {
        /// Whose.
        gatekeeper: GatekeeperIndex,
    },
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What it is.
    pub fault: Fault,
}

/// A schedule.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The seed that it is drawn from.
    pub seed: u64,
    /// How long it lasts.
    pub length: Duration,
    /// The site.
    pub settings: Settings,
    /// Its faults in the order in which they begin.
    pub faults: Vec<PlannedFault>,
}

impl Schedule {
    /// The schedule of a seed.
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
        // As long as the operators' page tells of: connects that fail for 2 s.
        Fault::Calls { faults: CallFaults::NoConnections, .. } => 500..2_000,
        Fault::Drain { .. } | Fault::Removal { .. } => 3_000..6_000,
        _ => 800..4_000,
    };
    Duration::from_millis(random.u64(range))
}

/// The offset of a wall clock: mostly none.
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
