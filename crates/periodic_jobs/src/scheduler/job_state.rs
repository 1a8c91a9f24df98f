//! The state of one job.

use crate::rendezvous::{JobHash, MemberHash, Members, Ranking};
use crate::{CallId, Job};
use job_lease::{LeaseRecord, RunId, StoredLease};

/// A job as the console shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobStatus {
    /// The job.
    pub job: Job,
    /// The member of the first rank.
    pub owner: String,
    /// This instance's rank, from 0; `None` beyond the standbys.
    pub rank: Option<usize>,
    /// The last run that was seen to be acquired.
    pub last_run: Option<LastRun>,
    /// The last run that started here; 0 for none.
    pub last_run_here: RunId,
}

/// The last run of a job that was seen to be acquired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastRun {
    /// The run.
    pub run: RunId,
    /// The lease holder's name; empty for a seed.
    pub holder: String,
}

impl From<&LeaseRecord> for LastRun {
    fn from(record: &LeaseRecord) -> Self {
        Self { run: record.run, holder: record.holder.clone() }
    }
}

/// How far the attempt at a run is.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No call to the store is pending.
    Idle,
    /// The lease is being read.
    Reading(CallId),
    /// A record is being written.
    Writing {
        call: CallId,
        /// It is a seed.
        seed: bool,
    },
    /// A lease may hold: it is read before anything else is done.
    Uncertain {
        /// The read that is pending.
        read: Option<CallId>,
    },
}

impl Phase {
    /// Whether the response to this read is awaited.
    pub(super) fn awaits_read(&self, call: CallId) -> bool {
        match self {
            Self::Reading(pending) => *pending == call,
            Self::Uncertain { read } => *read == Some(call),
            Self::Idle | Self::Writing { .. } => false,
        }
    }
}

/// What the scheduler knows about a job.
#[derive(Debug)]
pub(super) struct JobState {
    pub(super) job: Job,
    pub(super) ranking: Ranking,
    pub(super) phase: Phase,
    /// The run that is attempted.
    pub(super) current_run: RunId,
    /// All runs up to this one are settled.
    pub(super) settled: RunId,
    /// What the key holds, as far as this is known.
    pub(super) known: Option<StoredLease>,
    pub(super) last_run: Option<LastRun>,
    pub(super) last_run_here: RunId,
    /// Writes in the current run that conflicted with another instance's.
    pub(super) conflicts: u8,
    /// When the next attempt is due, in Unix milliseconds.
    pub(super) due_unix_ms: Option<u64>,
}

impl JobState {
    pub(super) fn new(job: Job, members: &Members, max_ranks: usize) -> Self {
        Self {
            ranking: Ranking::new(JobHash::of(&job.name), members, max_ranks),
            job,
            phase: Phase::Idle,
            current_run: RunId::default(),
            settled: RunId::default(),
            known: None,
            last_run: None,
            last_run_here: RunId::default(),
            conflicts: 0,
            due_unix_ms: None,
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

    /// Settles the current run, whoever runs it.
    pub(super) fn settle_current_run(&mut self) {
        self.settled = self.settled.max(self.current_run);
    }

    /// Notes the run that the key is known to hold; returns whether it is another than before.
    pub(super) fn note_last_run(&mut self) -> bool {
        let Some(known) = &self.known else { return false };
        let last_run = Some(LastRun::from(&known.record));
        let changed = self.last_run != last_run;
        self.last_run = last_run;
        changed
    }
}
