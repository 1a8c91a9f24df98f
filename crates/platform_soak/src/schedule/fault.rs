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
    /// It gets SIGTERM, and the next process starts after its exit.
    Graceful,
    /// It gets SIGKILL, and the next process starts after its exit and a pause.
    Crash,
    /// Its successor starts first and takes over from it (hot restart).
    Upgrade,
}

/// What a fault affects, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
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
        /// The first affected gatekeeper, as in [`FaultKind::Calls`].
        first: GatekeeperIndex,
        /// Distance between two affected gatekeepers.
        step: usize,
        /// How the agents fail.
        mode: DiscoveryMode,
    },
    /// The quota counter fails for all gatekeepers.
    Counter {
        /// How the counter fails.
        mode: CounterMode,
    },
    /// A backend fails.
    Backend {
        /// The backend.
        backend: BackendIndex,
        /// How the backend fails.
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
    /// A backend restarts: it is off the list and refuses connections for a while.
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
    /// Clients open idle connections up to the maximum number of a gatekeeper's sockets.
    IdleCrowd {
        /// The gatekeeper.
        gatekeeper: GatekeeperIndex,
    },
}
