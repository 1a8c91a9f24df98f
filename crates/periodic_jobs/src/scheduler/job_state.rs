//! The state of one job in the scheduler.

use crate::rendezvous::{JobHash, MemberHash, Members, Ranking};
use crate::{CallId, Job};
use job_lease::{LeaseRecord, RunId, StoredLease};

/// The status of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobStatus {
    /// The job.
    pub job: Job,
    /// The name of the member with rank 0.
    pub owner: String,
    /// The rank of this instance. `None` if it is neither owner nor standby.
    pub rank: Option<usize>,
    /// The last acquired run known to this instance.
    pub last_run: Option<LastRun>,
    /// The last run that this instance started. 0 if there is none.
    pub last_run_here: RunId,
}

/// The last acquired run of a job, as known to this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastRun {
    /// The run.
    pub run: RunId,
    /// The lease holder's name. Empty for a seed.
    pub holder: String,
}

impl From<&LeaseRecord> for LastRun {
    fn from(record: &LeaseRecord) -> Self {
        Self { run: record.run, holder: record.holder.clone() }
    }
}

/// The progress of the attempt at a run.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No call to the store is pending.
    Idle,
    /// The lease is being read.
    Reading(CallId),
    /// A record is being written.
    Writing {
        call: CallId,
        /// Whether the record is a seed.
        seed: bool,
    },
    /// The outcome of a write is unknown. The lease must be read next.
    Uncertain {
        /// The pending read.
        read: Option<CallId>,
    },
}

impl Phase {
    /// Returns whether the job awaits the response to this read.
    pub(super) fn awaits_read(&self, call: CallId) -> bool {
        match self {
            Self::Reading(pending) => *pending == call,
            Self::Uncertain { read } => *read == Some(call),
            Self::Idle | Self::Writing { .. } => false,
        }
    }

    /// Returns whether the job awaits the response to this write.
    pub(super) fn awaits_write(&self, call: CallId) -> bool {
        matches!(self, Self::Writing { call: pending, .. } if *pending == call)
    }
}

/// A job and its state.
#[derive(Debug)]
pub(super) struct JobState {
    pub(super) job: Job,
    pub(super) ranking: Ranking,
    pub(super) phase: Phase,
    /// The run of the current attempt.
    pub(super) current_run: RunId,
    /// The latest settled run. All earlier runs are settled too.
    pub(super) settled: RunId,
    /// The stored lease as last read or written.
    pub(super) cached_lease: Option<StoredLease>,
    pub(super) last_run: Option<LastRun>,
    pub(super) last_run_here: RunId,
    /// The number of conflicting writes in the current run.
    pub(super) conflicts: u8,
}

impl JobState {
    pub(super) fn new(job: Job, members: &Members, max_ranks: usize) -> Self {
        Self {
            ranking: Ranking::new(JobHash::of(&job.name), members, max_ranks),
            job,
            phase: Phase::Idle,
            current_run: RunId::default(),
            settled: RunId::default(),
            cached_lease: None,
            last_run: None,
            last_run_here: RunId::default(),
            conflicts: 0,
        }
    }

    pub(super) fn status(&self, members: &Members, local_member: MemberHash) -> JobStatus {
        let owner = self.ranking.owner().and_then(|member| members.name(member));
        JobStatus {
            job: self.job.clone(),
            owner: owner.unwrap_or_default().to_owned(),
            rank: self.ranking.rank(local_member),
            last_run: self.last_run.clone(),
            last_run_here: self.last_run_here,
        }
    }

    /// Marks the current run as settled. This instance does not attempt it again.
    pub(super) fn settle_current_run(&mut self) {
        self.settled = self.settled.max(self.current_run);
    }

    /// Ends the attempt and discards the cached lease. The next attempt reads it.
    pub(super) fn abandon_attempt(&mut self) {
        self.phase = Phase::Idle;
        self.cached_lease = None;
    }

    /// Updates the last run from the cached lease. Returns whether it has changed.
    pub(super) fn update_last_run(&mut self) -> bool {
        let Some(lease) = &self.cached_lease else { return false };
        let last_run = Some(LastRun::from(&lease.record));
        let changed = self.last_run != last_run;
        self.last_run = last_run;
        changed
    }
}
