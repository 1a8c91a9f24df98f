//! The kinds of faults in a schedule. `serde(rename)` keeps the names that stored schedules use, which differ from the
//! fields' names.

use serde::{Deserialize, Serialize};

/// How the stand-in of Consul, of the quota counter or of a backend fails.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FailureMode {
    /// The stand-in accepts requests and never answers; nothing is applied.
    Silent,
    /// The stand-in answers after 0.2 s.
    Slow,
    /// The stand-in answers with an error; nothing is applied.
    Error,
    /// The stand-in applies requests and never answers.
    #[serde(rename = "lost")]
    ResponseLost,
    /// The stand-in applies requests, and truncates its answers.
    #[serde(rename = "cut")]
    ResponseTruncated,
    /// The stand-in closes each connection immediately.
    Closed,
    /// The stand-in restarts with empty state when the fault begins.
    #[serde(rename = "empty")]
    RestartedEmpty,
}

impl FailureMode {
    /// All failure modes, in the order in which generated schedules number them.
    pub const ALL: [Self; 7] = [
        Self::Silent,
        Self::Slow,
        Self::Error,
        Self::ResponseLost,
        Self::ResponseTruncated,
        Self::Closed,
        Self::RestartedEmpty,
    ];

    /// The name of the mode in reports and in schedule files.
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

/// How the file or folder of the cached endpoint list is damaged.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum DiskFault {
    /// The gatekeeper is killed, its cached list is truncated to this per mille of its bytes, and the gatekeeper starts again.
    Torn(u32),
    /// New files in the folder of the cached list cannot be written, as on a full disk.
    Full,
    /// The folder of the cached list is missing.
    Lost,
    /// No file can be created in the folder of the cached list.
    ReadOnly,
}

/// The kind of a fault, with its parameters.
///
/// `from`, `to` and `target` select nodes: by name (`m0`, `l0`, `consul`), by zone (`zone:a`), by region (`region:north`), or
/// all of them (`*`).
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// Nothing passes from one side to the other, and nothing back unless the cut is `one_way`.
    Cut {
        /// Selector of the nodes on one side.
        from: String,
        /// Selector of the nodes on the other side.
        to: String,
        /// Whether only the direction from `from` to `to` is cut.
        #[serde(default)]
        one_way: bool,
    },
    /// Connections between the two sides are reset, open ones as well as new ones.
    Closed {
        /// Selector of the nodes on one side.
        from: String,
        /// Selector of the nodes on the other side.
        to: String,
    },
    /// Traffic between the two sides is damaged or delayed in both directions.
    #[serde(rename = "spoilt")]
    Degraded {
        /// Selector of the nodes on one side.
        from: String,
        /// Selector of the nodes on the other side.
        to: String,
        /// Share of the chunks of a stream within which the connection is reset.
        #[serde(default)]
        reset: f64,
        /// Share of datagrams that are lost, and of chunks of streams that are delayed by retransmission.
        #[serde(default)]
        loss: f64,
        /// Share of datagrams that are duplicated.
        #[serde(default, rename = "repeat")]
        duplicate: f64,
        /// Share of datagrams that are held back so that later ones overtake them.
        #[serde(default)]
        reorder: f64,
        /// Latency in ms of each chunk and datagram.
        #[serde(default)]
        delay_ms: u64,
        /// Maximum random additional latency in ms.
        #[serde(default)]
        jitter_ms: u64,
        /// Rate limit in bytes per second; 0 means unlimited.
        #[serde(default)]
        bytes_per_s: u64,
    },
    /// A cut that alternates: active for a period, healed for a period.
    Flapping {
        /// Selector of the nodes on one side.
        from: String,
        /// Selector of the nodes on the other side.
        to: String,
        /// Length of each period in ms.
        period_ms: u64,
    },
    /// Gatekeepers are killed, and restarted at the fault's end.
    Killed {
        /// Selector of the affected gatekeepers.
        #[serde(rename = "who")]
        target: String,
    },
    /// Gatekeepers shut down gracefully, and are restarted at the fault's end.
    #[serde(rename = "ended")]
    ShutDown {
        /// Selector of the affected gatekeepers.
        #[serde(rename = "who")]
        target: String,
    },
    /// Gatekeepers are suspended, and resumed at the fault's end.
    #[serde(rename = "stopped")]
    Suspended {
        /// Selector of the affected gatekeepers.
        #[serde(rename = "who")]
        target: String,
    },
    /// Gatekeepers are suspended nine tenths of the time.
    #[serde(rename = "slowed")]
    Throttled {
        /// Selector of the affected gatekeepers.
        #[serde(rename = "who")]
        target: String,
    },
    /// Gatekeepers are restarted with an offset of the wall clock, and without it at the fault's end.
    #[serde(rename = "clock")]
    ClockOffset {
        /// Selector of the affected gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// Offset in ms; positive if the clock is ahead.
        #[serde(rename = "ms")]
        offset_ms: i64,
        /// Whether the offset is set by a reload instead of a restart.
        #[serde(default)]
        running: bool,
    },
    /// The gossip key is rotated in all gatekeepers. First both keys become valid everywhere, then the target signs with the
    /// new key; at the fault's end the others sign with it too, and the old key is removed.
    #[serde(rename = "keys")]
    KeyRotation {
        /// Selector of the gatekeepers that sign with the new key first.
        #[serde(rename = "who")]
        target: String,
    },
    /// An operator proposes a new rate for the plan `basic`, with the settings of a gatekeeper.
    #[serde(rename = "propose")]
    VersionProposed {
        /// Selector of the gatekeepers that propose the rate.
        #[serde(rename = "who")]
        target: String,
        /// Proposed rate in units per second.
        #[serde(rename = "rate")]
        units_per_second: f64,
    },
    /// A reload replaces the periodic jobs of gatekeepers by others, given by number; the fault's end restores the usual jobs.
    #[serde(rename = "duties")]
    JobsChanged {
        /// Selector of the affected gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// Number of the first job.
        #[serde(rename = "first")]
        first_job: usize,
        /// Number of consecutive jobs.
        #[serde(rename = "count")]
        job_count: usize,
    },
    /// Gatekeepers are restarted under the name of another running member, and under their own at the fault's end.
    #[serde(rename = "renamed")]
    NameConflict {
        /// Selector of the affected gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// Name of the other member.
        name: String,
    },
    /// The Consul agents of the selected gatekeepers fail.
    Consul {
        /// Selector of the affected gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// Failure mode of all selected stand-ins.
        #[serde(rename = "how")]
        mode: FailureMode,
    },
    /// The quota counter fails.
    Counter {
        /// Failure mode of the counter.
        #[serde(rename = "how")]
        mode: FailureMode,
    },
    /// The selected backends fail.
    #[serde(rename = "loans")]
    Backends {
        /// Selector of the affected backends.
        #[serde(rename = "who")]
        target: String,
        /// Failure mode of all selected stand-ins.
        #[serde(rename = "how")]
        mode: FailureMode,
    },
    /// The catalogue and discovery list the selected backends as not accepting requests, and as healthy again at the fault's end.
    Drained {
        /// Selector of the affected backends.
        #[serde(rename = "who")]
        target: String,
    },
    /// The file of the cached endpoint list is truncated, or cannot be written.
    Disk {
        /// Selector of the affected gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// How the file or its folder is damaged.
        #[serde(rename = "how")]
        fault: DiskFault,
    },
    /// Hot restart: a successor is started, and its predecessor gets SIGTERM at the fault's end.
    Upgrade {
        /// Selector of the affected gatekeepers.
        #[serde(rename = "who")]
        target: String,
        /// Microseconds from the successor's start until it is killed, while its predecessor continues to serve.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        new_dies_after_us: Option<u64>,
        /// Microseconds from the successor's start until its predecessor is killed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        old_dies_after_us: Option<u64>,
    },
}

impl FaultKind {
    /// The name of the kind in reports and histories.
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

/// A fault with its start and end, counted from the time at which all gatekeepers agree for the first time.
pub type Fault = fault_harness::schedule::Fault<FaultKind>;
