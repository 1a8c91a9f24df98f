//! The kinds of faults that a schedule can contain.

use crate::history::{BackendIndex, GatekeeperIndex};
use crate::stand_ins::{BackendMode, CounterMode, DiscoveryMode};

/// Faults of a gatekeeper's system calls, which the preloaded library injects.
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

/// How a process of a gatekeeper is replaced by the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartKind {
    /// The process gets SIGTERM, and the next process starts after its exit.
    Graceful,
    /// The process gets SIGKILL, and the next process starts after its exit and a pause.
    Crash,
    /// The next process starts first and takes over from the running one (hot restart).
    Upgrade,
}

/// What a fault affects, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// A gatekeeper's process is replaced by one with another wall clock offset.
    Restart {
        /// Number of the gatekeeper whose process is replaced.
        gatekeeper: GatekeeperIndex,
        /// How the process ends and when the next one starts.
        kind: RestartKind,
        /// Offset of the new process's wall clock in microseconds.
        clock_offset_us: i64,
    },
    /// The wall clock of a running process is stepped.
    ClockStep {
        /// Number of the gatekeeper whose wall clock is stepped.
        gatekeeper: GatekeeperIndex,
        /// New offset of the wall clock in microseconds.
        clock_offset_us: i64,
    },
    /// A gatekeeper reloads its configuration several times in quick succession.
    Reloads {
        /// Number of the gatekeeper that reloads its configuration.
        gatekeeper: GatekeeperIndex,
        /// Number of reloads during the fault.
        count: u32,
    },
    /// A gatekeeper is suspended several times.
    Suspensions {
        /// Number of the gatekeeper whose newest process is suspended.
        gatekeeper: GatekeeperIndex,
        /// Number of suspensions during the fault.
        count: u32,
    },
    /// System calls of some gatekeepers fail.
    Calls {
        /// The first affected gatekeeper; every `step`-th after it is affected too.
        first: GatekeeperIndex,
        /// Distance between two affected gatekeepers.
        step: usize,
        /// Which system calls fail, and with which kind of failure.
        faults: CallFaults,
    },
    /// The discovery agents of some gatekeepers fail.
    Discovery {
        /// The first affected gatekeeper, as in [`FaultKind::Calls`].
        first: GatekeeperIndex,
        /// Distance between two affected gatekeepers.
        step: usize,
        /// Mode of the agents during the fault; [`DiscoveryMode::Healthy`] after it.
        mode: DiscoveryMode,
    },
    /// The quota counter fails for all gatekeepers.
    Counter {
        /// Mode of the counter during the fault; [`CounterMode::Healthy`] after it.
        mode: CounterMode,
    },
    /// A backend fails in one of the ways of [`BackendMode`].
    Backend {
        /// Number of the affected backend.
        backend: BackendIndex,
        /// Mode of the backend during the fault; [`BackendMode::Healthy`] after it.
        mode: BackendMode,
    },
    /// A backend is listed as draining, and as up again after the fault.
    Drain {
        /// Number of the backend that is listed as draining.
        backend: BackendIndex,
    },
    /// A backend is removed from the list, and listed again after the fault without a restart.
    Removal {
        /// Number of the backend that is removed from the list.
        backend: BackendIndex,
    },
    /// A backend restarts: it is off the list and refuses connections for a while.
    BackendRestart {
        /// Number of the affected backend.
        backend: BackendIndex,
    },
    /// Clients disconnect before the answer.
    Leaving,
    /// Clients do not complete requests.
    PartialRequests,
    /// Clients set very short deadlines.
    HurriedRequests,
    /// Clients open idle connections up to the maximum number of a gatekeeper's sockets.
    IdleCrowd {
        /// Number of the gatekeeper at which the idle connections are opened.
        gatekeeper: GatekeeperIndex,
    },
}
