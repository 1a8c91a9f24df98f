//! The phases of the schedule in which the clocks agree, and the faults of each phase.

use crate::schedule::{CHANGED_JOBS, FIRST_CHANGED_JOB, INSTANCES};
use fault_injection::history::{Observation, Record, Span};
use fault_injection::schedule::{FailureMode, Fault, FaultKind};
use std::ops::Range;

/// The instance that leaves in [`Phase::OneLeaves`].
pub(crate) const LEAVING_INSTANCE: &str = "m7";

/// A part of the schedule. Its bounds apply from the start of its first fault to the start of the next phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Half of the instances are killed at once.
    HalfKilled,
    /// One instance is suspended.
    OneSuspended,
    /// Two instances are suspended.
    TwoSuspended,
    /// The lease store does not respond.
    StoreSilent,
    /// The lease store responds again but has lost its state.
    StoreEmpty,
    /// A network partition in which both sides can reach the lease store.
    Partition,
    /// A network partition in which only one side can reach the lease store.
    PartitionFromStore,
    /// Requests reach the lease store, but its responses are lost.
    ResponsesLost,
    /// One instance shuts down gracefully.
    OneLeaves,
    /// A reload of the configuration changes the jobs.
    JobsChanged,
}

impl Phase {
    /// All phases in the order of their faults.
    pub(crate) const ALL: [Self; 10] = [
        Self::HalfKilled,
        Self::OneSuspended,
        Self::TwoSuspended,
        Self::StoreSilent,
        Self::StoreEmpty,
        Self::Partition,
        Self::PartitionFromStore,
        Self::ResponsesLost,
        Self::OneLeaves,
        Self::JobsChanged,
    ];

    /// Returns the name of the phase in the table.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::HalfKilled => "half killed at once",
            Self::OneSuspended => "one paused",
            Self::TwoSuspended => "two paused",
            Self::StoreSilent => "the store silent",
            Self::StoreEmpty => "the store back empty",
            Self::Partition => "split, store reachable from both sides",
            Self::PartitionFromStore => "split, store reachable from one side",
            Self::ResponsesLost => "answers to claims lost",
            Self::OneLeaves => "one leaves",
            Self::JobsChanged => "duties changed by a reload",
        }
    }

    pub(crate) fn faults(self) -> Vec<Fault> {
        match self {
            Self::HalfKilled => every_other_instance().map(killed).collect(),
            Self::OneSuspended => vec![suspended("m1", 26_000, 5_000)],
            Self::TwoSuspended => vec![suspended("m3", 35_000, 4_000), suspended("m5", 35_000, 4_000)],
            Self::StoreSilent => vec![consul("*", 43_000, 5_000, FailureMode::Silent)],
            Self::StoreEmpty => vec![consul("*", 48_000, 10, FailureMode::RestartedEmpty)],
            Self::Partition => partition(53_000, 5_000),
            Self::PartitionFromStore => partition_from_store(),
            Self::ResponsesLost => vec![consul("*", 69_000, 1_000, FailureMode::ResponseLost)],
            Self::OneLeaves => {
                vec![Fault::from_millis(
                    74_000,
                    2_000,
                    FaultKind::ShutDown { target: LEAVING_INSTANCE.into() },
                )]
            }
            Self::JobsChanged => vec![Fault::from_millis(80_000, 5_000, jobs_changed())],
        }
    }
}

/// Returns the names of the instances with even numbers.
pub(crate) fn every_other_instance() -> impl Iterator<Item = String> {
    (0..INSTANCES).step_by(2).map(instance_name)
}

fn instance_name(number: usize) -> String {
    format!("m{number}")
}

fn first_half() -> impl Iterator<Item = String> {
    (0..INSTANCES / 2).map(instance_name)
}

fn second_half() -> impl Iterator<Item = String> {
    (INSTANCES / 2..INSTANCES).map(instance_name)
}

fn killed(target: String) -> Fault {
    Fault::from_millis(14_000, 6_000, FaultKind::Killed { target })
}

fn suspended(target: &str, start_ms: u64, duration_ms: u64) -> Fault {
    Fault::from_millis(start_ms, duration_ms, FaultKind::Suspended { target: target.into() })
}

fn consul(target: &str, start_ms: u64, duration_ms: u64, mode: FailureMode) -> Fault {
    Fault::from_millis(start_ms, duration_ms, FaultKind::Consul { target: target.into(), mode })
}

/// Cuts the first half of the instances off from the second.
fn partition(start_ms: u64, duration_ms: u64) -> Vec<Fault> {
    let cuts = first_half().flat_map(|from| {
        second_half().map(move |to| FaultKind::Cut { from: from.clone(), to, one_way: false })
    });
    cuts.map(|cut| Fault::from_millis(start_ms, duration_ms, cut)).collect()
}

/// Cuts the first half of the instances off from the second and from the lease store.
fn partition_from_store() -> Vec<Fault> {
    let mut faults = partition(60_000, 4_000);
    faults.extend(first_half().map(|target| consul(&target, 60_000, 4_000, FailureMode::Closed)));
    faults
}

fn jobs_changed() -> FaultKind {
    FaultKind::JobsChanged { target: "*".into(), first_job: FIRST_CHANGED_JOB, job_count: CHANGED_JOBS }
}

/// Returns the span from the start of the first of the faults with these indexes to the end of the last.
pub(crate) fn span_of_faults(history: &[Record], indexes: Range<usize>) -> Span {
    let times_us = |is_begin: bool| {
        let indexes = indexes.clone();
        history.iter().filter_map(move |record| match record.observation {
            Observation::Fault { index, begins, .. } if begins == is_begin && indexes.contains(&index) => {
                Some(record.at_us)
            }
            _ => None,
        })
    };
    Span { from_us: times_us(true).min().unwrap_or(0), to_us: times_us(false).max().unwrap_or(0) }
}

#[cfg(test)]
mod tests;
