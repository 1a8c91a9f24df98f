//! The faults that a schedule may hold. The names in its file are older than those of the fields, and stay.

use serde::{Deserialize, Serialize};

/// How a stand-in fails.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FailureMode {
    /// It takes requests and never answers; nothing is applied.
    Silent,
    /// It answers after 0.2 s.
    Slow,
    /// It answers with an error; nothing is applied.
    Error,
    /// It applies requests and never answers.
    #[serde(rename = "lost")]
    ResponseLost,
    /// It applies requests, and its answers end in the middle.
    #[serde(rename = "cut")]
    ResponseTruncated,
    /// It closes connections at once.
    Closed,
    /// It restarts without any state when the fault begins.
    #[serde(rename = "empty")]
    RestartedEmpty,
}

impl FailureMode {
    /// Every mode, in the order in which generated schedules number them.
    pub const ALL: [Self; 7] = [
        Self::Silent,
        Self::Slow,
        Self::Error,
        Self::ResponseLost,
        Self::ResponseTruncated,
        Self::Closed,
        Self::RestartedEmpty,
    ];

    /// The name in tables and files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Slow => "slow",
            Self::Error => "error",
            Self::ResponseLost => "lost",
            Self::ResponseTruncated => "cut",
            Self::Closed => "closed",
            Self::RestartedEmpty => "empty",
        }
    }
}

/// What is done to the file of the cached endpoint list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum DiskFault {
    /// Its gatekeeper is killed, the file is truncated to this per mille of its bytes, and the gatekeeper starts again.
    Torn(u32),
    /// Nothing can be written beside it.
    Full,
    /// Its folder is gone.
    Lost,
    /// Its folder takes no new file.
    ReadOnly,
}

/// A fault.
///
/// `from`, `to` and `target` name a node (`m0`, `l0`, `consul`), a zone (`zone:a`), a region (`region:north`) or all (`*`).
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// Nothing passes from one side to the other, nor back unless it is `one_way`.
    Cut {
        /// One side.
        from: String,
        /// The other.
        to: String,
        /// Only in that direction.
        #[serde(default)]
        one_way: bool,
    },
    /// Connections between the two sides are reset, and new ones too.
    Closed {
        /// One side.
        from: String,
        /// The other.
        to: String,
    },
    /// What passes between the two sides, both ways, is damaged or delayed.
    #[serde(rename = "spoilt")]
    Degraded {
        /// One side.
        from: String,
        /// The other.
        to: String,
        /// The share of chunks of streams in whose middle the connection is reset.
        #[serde(default)]
        reset: f64,
        /// The share of datagrams that are lost, and of chunks that come late.
        #[serde(default)]
        loss: f64,
        /// The share of datagrams that are duplicated.
        #[serde(default, rename = "repeat")]
        duplicate: f64,
        /// The share of datagrams that are overtaken by later ones.
        #[serde(default)]
        reorder: f64,
        /// Latency of everything.
        #[serde(default)]
        delay_ms: u64,
        /// Random additional latency, at most.
        #[serde(default)]
        jitter_ms: u64,
        /// Bytes a second; 0 means no bound.
        #[serde(default)]
        bytes_per_s: u64,
    },
    /// A cut that comes and goes: on for a period, off for a period.
    Flapping {
        /// One side.
        from: String,
        /// The other.
        to: String,
        /// Length of each period, ms.
        period_ms: u64,
    },
    /// Killed, and started again at the fault's end.
    Killed {
        /// Gatekeepers.
        #[serde(rename = "who")]
        target: String,
    },
    /// Shut down gracefully, and started again at the fault's end.
    #[serde(rename = "ended")]
    ShutDown {
        /// Gatekeepers.
        #[serde(rename = "who")]
        target: String,
    },
    /// Suspended, and resumed at the fault's end.
    #[serde(rename = "stopped")]
    Suspended {
        /// Gatekeepers.
        #[serde(rename = "who")]
        target: String,
    },
    /// Suspended nine tenths of the time.
    #[serde(rename = "slowed")]
    Throttled {
        /// Gatekeepers.
        #[serde(rename = "who")]
        target: String,
    },
    /// Restarted with a wall clock that is off, and with the right one again at the fault's end.
    #[serde(rename = "clock")]
    ClockOffset {
        /// Gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// Milliseconds ahead, or behind where below 0.
        #[serde(rename = "ms")]
        offset_ms: i64,
        /// The clock is set by a reload instead of a restart.
        #[serde(default)]
        running: bool,
    },
    /// The gossip key is rotated in all: first both keys are valid, then the target signs with the new one, at the fault's
    /// end the others too, and then the old one is removed.
    #[serde(rename = "keys")]
    KeyRotation {
        /// Gatekeepers.
        #[serde(rename = "who")]
        target: String,
    },
    /// An operator proposes a rate for the plan `basic` from the folder of this gatekeeper.
    #[serde(rename = "propose")]
    VersionProposed {
        /// A gatekeeper.
        #[serde(rename = "who")]
        target: String,
        /// Units a second.
        #[serde(rename = "rate")]
        units_per_second: f64,
    },
    /// A reload gives them other periodic jobs, named by number; the usual ones again at the fault's end.
    #[serde(rename = "duties")]
    JobsChanged {
        /// Gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// The first job's number.
        #[serde(rename = "first")]
        first_job: usize,
        /// The number of jobs.
        #[serde(rename = "count")]
        job_count: usize,
    },
    /// Restarted under the name of another member that runs beside it; under its own again at the fault's end.
    #[serde(rename = "renamed")]
    NameConflict {
        /// Gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// The other member's name.
        name: String,
    },
    /// The Consul agents of these gatekeepers fail.
    Consul {
        /// Gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// How they fail.
        #[serde(rename = "how")]
        mode: FailureMode,
    },
    /// The quota counter fails.
    Counter {
        /// How they fail.
        #[serde(rename = "how")]
        mode: FailureMode,
    },
    /// These backends fail.
    #[serde(rename = "loans")]
    Backends {
        /// Backends.
        #[serde(rename = "who")]
        target: String,
        /// How they fail.
        #[serde(rename = "how")]
        mode: FailureMode,
    },
    /// The catalogue marks these backends as failing; healthy again at the fault's end.
    Drained {
        /// Backends.
        #[serde(rename = "who")]
        target: String,
    },
    /// The file of the cached endpoint list is damaged, or cannot be written.
    Disk {
        /// Gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// How they fail.
        #[serde(rename = "how")]
        fault: DiskFault,
    },
    /// Hot restart: a successor is started, and its predecessor gets SIGTERM at the fault's end.
    Upgrade {
        /// Gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// Time after its start at which the successor is killed, while its predecessor continues to serve.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        new_dies_after_us: Option<u64>,
        /// Time after the successor's start at which its predecessor is killed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        old_dies_after_us: Option<u64>,
    },
}

impl FaultKind {
    /// Its name in tables.
    pub fn name(&self) -> String {
        let name = match self {
            Self::Consul { mode, .. } => return format!("consul {}", mode.name()),
            Self::Counter { mode } => return format!("counter {}", mode.name()),
            Self::Backends { mode, .. } => return format!("loan server {}", mode.name()),
            Self::Cut { one_way: true, .. } => "cut one way",
            Self::Cut { .. } => "cut",
            Self::Closed { .. } => "closed",
            Self::Degraded { reset, .. } if *reset > 0.0 => "resets",
            Self::Degraded { loss, .. } if *loss > 0.0 => "loss",
            Self::Degraded { duplicate, .. } if *duplicate > 0.0 => "repeats",
            Self::Degraded { reorder, .. } if *reorder > 0.0 => "reordering",
            Self::Degraded { bytes_per_s, .. } if *bytes_per_s > 0 => "throttled",
            Self::Degraded { .. } => "delay",
            Self::Flapping { .. } => "flapping",
            Self::Killed { .. } => "killed",
            Self::ShutDown { .. } => "ended in order",
            Self::Suspended { .. } => "stopped",
            Self::Throttled { .. } => "slowed",
            Self::ClockOffset { running: true, .. } => "clock set while it runs",
            Self::ClockOffset { .. } => "clock set",
            Self::KeyRotation { .. } => "keys changed",
            Self::JobsChanged { .. } => "duties changed",
            Self::VersionProposed { .. } => "version proposed",
            Self::NameConflict { .. } => "two of one name",
            Self::Drained { .. } => "drained",
            Self::Disk { fault: DiskFault::Torn(_), .. } => "file torn",
            Self::Disk { fault: DiskFault::Full, .. } => "disk full",
            Self::Disk { fault: DiskFault::Lost, .. } => "folder lost",
            Self::Disk { fault: DiskFault::ReadOnly, .. } => "folder read-only",
            Self::Upgrade { new_dies_after_us: Some(_), .. } => "upgrade, new one dies",
            Self::Upgrade { old_dies_after_us: Some(_), .. } => "upgrade, old one dies",
            Self::Upgrade { .. } => "upgrade",
        };
        name.to_owned()
    }
}

/// A fault and when it is injected, from when all gatekeepers serve.
pub type Fault = fault_harness::schedule::Fault<FaultKind>;
