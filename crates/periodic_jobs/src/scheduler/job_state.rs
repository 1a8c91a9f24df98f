//! The scheduler's state of one job, and the status of a job that operators see.

use crate::rendezvous::{JobHash, MemberHash, Members, Ranking};
use crate::{CallId, Job};
use job_lease::{LeaseRecord, RunId, StoredLease};

/// The status of a job, as seen by one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobStatus {
    /// The name and the period of the job.
    pub job: Job,
    /// The name of the live member with rank 0, which attempts each run first.
    pub owner: String,
    /// The rank of this instance. `None` if it is neither owner nor standby.
    pub rank: Option<usize>,
    /// The run in the last lease record that this instance has seen. `None` if the instance has not seen a lease record yet.
    pub last_run: Option<LastRun>,
    /// The last run that this instance started. 0 if there is none.
    pub last_started_run: RunId,
}

/// The run in the last lease record that an instance has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastRun {
    /// The acquired run. In a seed record, which has no lease holder, the last run that does not start.
    pub run: RunId,
    /// The name of the instance that holds the lease. Empty in a seed record.
    pub holder: String,
}

impl From<&LeaseRecord> for LastRun {
    fn from(record: &LeaseRecord) -> Self {
        Self { run: record.run, holder: record.holder.clone() }
    }
}

/// The progress of an attempt at a run: which call to the lease store the attempt waits for.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No read or write is pending.
    Idle,
    /// The read with this id is pending.
    Reading(CallId),
    /// The write with this id is pending.
    Writing {
        call: CallId,
        /// Whether the record to write is a seed record, which settles runs without a lease holder.
        is_seed: bool,
    },
    /// The outcome of a write is unknown. The lease must be read before the attempt continues.
    Uncertain {
        /// The id of the pending read. `None` if the read has not been requested yet.
        pending_read: Option<CallId>,
    },
}

impl Phase {
    /// Returns whether the job awaits the response to this read.
    pub(super) fn awaits_read(&self, call: CallId) -> bool {
        match self {
            Self::Reading(pending) => *pending == call,
            Self::Uncertain { pending_read } => *pending_read == Some(call),
            Self::Idle | Self::Writing { .. } => false,
        }
    }

    /// Returns whether the job awaits the response to this write.
    pub(super) fn awaits_write(&self, call: CallId) -> bool {
        matches!(self, Self::Writing { call: pending, .. } if *pending == call)
    }
}

/// A job, the ranking of members for it, and the progress of its attempts.
#[derive(Debug)]
pub(super) struct JobState {
    pub(super) job: Job,
    pub(super) ranking: Ranking,
    pub(super) phase: Phase,
    /// The run of the current or last attempt.
    pub(super) current_run: RunId,
    /// The latest settled run. All earlier runs are settled too.
    pub(super) last_settled_run: RunId,
    /// The stored lease as last read or written. `None` if it must be read or the key does not exist.
    pub(super) cached_lease: Option<StoredLease>,
    /// The run in the last lease record that this instance has seen. Unlike `cached_lease`, this run is kept when the cached
    /// leases are discarded.
    pub(super) last_run: Option<LastRun>,
    /// The last run that this instance started. 0 if there is none.
    pub(super) last_started_run: RunId,
    /// The last run that this state has requested to acquire. 0 if there is none.
    pub(super) last_requested_run: RunId,
    /// The number of the current run's writes that conflicted with a write of another instance.
    pub(super) conflict_count: u8,
}

impl JobState {
    pub(super) fn new(job: Job, members: &Members, max_ranks: usize) -> Self {
        Self {
            ranking: Ranking::new(JobHash::from_name(&job.name), members, max_ranks),
            job,
            phase: Phase::Idle,
            current_run: RunId::default(),
            last_settled_run: RunId::default(),
            cached_lease: None,
            last_run: None,
            last_started_run: RunId::default(),
            last_requested_run: RunId::default(),
            conflict_count: 0,
        }
    }

    pub(super) fn status(&self, members: &Members, local_member: MemberHash) -> JobStatus {
        let owner = self.ranking.owner().and_then(|member| members.name(member));
        JobStatus {
            job: self.job.clone(),
            owner: owner.unwrap_or_default().to_owned(),
            rank: self.ranking.rank(local_member),
            last_run: self.last_run.clone(),
            last_started_run: self.last_started_run,
        }
    }

    /// Marks the current run as settled, so that this instance does not attempt it again.
    pub(super) fn settle_current_run(&mut self) {
        self.last_settled_run = self.last_settled_run.max(self.current_run);
    }

    /// Ends the attempt and discards the cached lease, so that the next attempt reads the lease.
    pub(super) fn abandon_attempt(&mut self) {
        self.phase = Phase::Idle;
        self.cached_lease = None;
    }

    /// Sets `last_run` from the cached lease. Returns whether it has changed.
    pub(super) fn update_last_run(&mut self) -> bool {
        let Some(lease) = &self.cached_lease else { return false };
        let last_run = Some(LastRun::from(&lease.record));
        let changed = self.last_run != last_run;
        self.last_run = last_run;
        changed
    }
}
