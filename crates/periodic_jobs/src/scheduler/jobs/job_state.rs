//! The scheduler's state of one job, and the status of a job that operators see.

use crate::rendezvous::{JobHash, MemberHash, Members, Ranking};
use crate::{CallId, Job};
use job_lease::{LeaseRecord, RunId, StoredLease};
use timestamps::UnixTime;

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
    /// The event that continues the job.
    pub next_step: NextStep,
}

/// The event that continues a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// None: this instance is neither owner nor standby of the job.
    None,
    /// The attempt at a run that is due at this time.
    Attempt(UnixTime),
    /// The response to this call, which is in flight.
    Response(CallId),
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

/// The event that a job waits for. [`Phase::Unranked`] alone has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::scheduler) enum Phase {
    /// This instance is neither owner nor standby of the job, so it makes no attempts until the members change.
    Unranked,
    /// No call is in flight, and the next attempt is queued.
    Waiting { attempt_at: UnixTime },
    /// The read with this id is in flight.
    Reading(CallId),
    /// The write with this id is in flight.
    Writing {
        call: CallId,
        /// Whether the record to write is a seed record, which settles runs without a lease holder.
        is_seed: bool,
    },
}

impl Phase {
    /// Returns whether the job awaits the response to this read.
    pub(super) fn awaits_read(self, call: CallId) -> bool {
        self == Self::Reading(call)
    }

    /// Returns whether the job awaits the response to this write.
    pub(super) fn awaits_write(self, call: CallId) -> bool {
        matches!(self, Self::Writing { call: in_flight, .. } if in_flight == call)
    }
}

impl From<Phase> for NextStep {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Unranked => Self::None,
            Phase::Waiting { attempt_at } => Self::Attempt(attempt_at),
            Phase::Reading(call) | Phase::Writing { call, .. } => Self::Response(call),
        }
    }
}

/// A job, the ranking of members for it, and the progress of its attempts.
#[derive(Debug)]
pub(in crate::scheduler) struct JobState {
    pub(in crate::scheduler) job: Job,
    pub(in crate::scheduler) ranking: Ranking,
    /// Private, so that only [`Jobs::set_phase`](super::Jobs::set_phase) changes it.
    phase: Phase,
    /// Whether the outcome of the last write is unknown. The lease must then be read before the attempt continues, because
    /// this instance may hold it.
    pub(in crate::scheduler) is_outcome_unknown: bool,
    /// The run of the current or last attempt.
    pub(in crate::scheduler) current_run: RunId,
    /// The latest settled run. All earlier runs are settled too.
    pub(in crate::scheduler) last_settled_run: RunId,
    /// The stored lease as last read or written. `None` if it must be read or the key does not exist.
    pub(in crate::scheduler) cached_lease: Option<StoredLease>,
    /// The run in the last lease record that this instance has seen. Unlike `cached_lease`, this run is kept when the cached
    /// leases are discarded.
    pub(in crate::scheduler) last_run: Option<LastRun>,
    /// The last run that this instance started. 0 if there is none.
    pub(in crate::scheduler) last_started_run: RunId,
    /// The last run that this state has requested to acquire. 0 if there is none.
    pub(in crate::scheduler) last_requested_run: RunId,
    /// The number of the current run's writes that conflicted with a write of another instance.
    pub(in crate::scheduler) conflict_count: u8,
}

impl JobState {
    /// Creates the state of a job of which nothing is known. Its first attempt must be scheduled next.
    pub(in crate::scheduler) fn new(job: Job, members: &Members, max_ranks: usize) -> Self {
        Self {
            ranking: Ranking::new(JobHash::from_name(&job.name), members, max_ranks),
            job,
            phase: Phase::Unranked,
            is_outcome_unknown: false,
            current_run: RunId::default(),
            last_settled_run: RunId::default(),
            cached_lease: None,
            last_run: None,
            last_started_run: RunId::default(),
            last_requested_run: RunId::default(),
            conflict_count: 0,
        }
    }

    pub(in crate::scheduler) fn status(&self, members: &Members, local_member: MemberHash) -> JobStatus {
        let owner = self.ranking.owner().and_then(|member| members.name(member));
        JobStatus {
            job: self.job.clone(),
            owner: owner.unwrap_or_default().to_owned(),
            rank: self.ranking.rank(local_member),
            last_run: self.last_run.clone(),
            last_started_run: self.last_started_run,
            next_step: self.phase.into(),
        }
    }

    pub(in crate::scheduler) fn phase(&self) -> Phase {
        self.phase
    }

    pub(super) fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Marks the current run as settled, so that this instance does not attempt it again.
    pub(in crate::scheduler) fn settle_current_run(&mut self) {
        self.last_settled_run = self.last_settled_run.max(self.current_run);
    }

    /// Discards what is known of the lease, so that the next attempt reads it.
    pub(in crate::scheduler) fn discard_lease(&mut self) {
        self.is_outcome_unknown = false;
        self.cached_lease = None;
    }

    /// Sets `last_run` from the cached lease. Returns whether it has changed.
    pub(in crate::scheduler) fn update_last_run(&mut self) -> bool {
        let Some(lease) = &self.cached_lease else { return false };
        let last_run = Some(LastRun::from(&lease.record));
        let changed = self.last_run != last_run;
        self.last_run = last_run;
        changed
    }
}
