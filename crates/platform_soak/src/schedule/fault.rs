//! The faults that a schedule may hold.

use crate::history::{BackendIndex, GatekeeperIndex};
use crate::stand_ins::{BackendMode, CounterMode, DiscoveryMode};

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

/// What a fault does.
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
        /// See [`FaultKind::Calls`].
        first: GatekeeperIndex,
        /// See [`FaultKind::Calls`].
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
