use super::*;
use crate::log::{HardState, LogEntry};

fn start(id: u64, durable: DurableState) -> Result<Replica, Error> {
    let replicas: Vec<ReplicaId> = (0..3).map(ReplicaId::from_index).collect();
    Replica::new(ReplicaId(id), &replicas, durable, Duration::from_secs(3), MonotonicTime::ZERO)
}

fn durable(term: u64, commit: u64, entries: Vec<LogEntry>) -> DurableState {
    let hard_state = HardState { term: Term(term), vote: None, commit: LogIndex(commit) };
    DurableState { hard_state, entries, ..DurableState::default() }
}

#[test]
fn a_replica_outside_the_configured_list_does_not_start() {
    let error = start(4, DurableState::default()).err();
    assert!(matches!(error, Some(Error::UnknownReplica { id: ReplicaId(4), replica_count: 3 })), "{error:?}");
}

#[test]
fn a_log_that_contradicts_its_hard_state_is_rejected() {
    let entry = |term| LogEntry { index: LogIndex(1), term: Term(term), data: Vec::new() };
    assert!(start(1, durable(2, 1, vec![entry(2)])).is_ok());
    let error = start(1, durable(2, 2, vec![entry(2)])).err();
    assert!(
        matches!(
            error,
            Some(Error::MissingCommittedEntries { commit: LogIndex(2), last_index: LogIndex(1) })
        ),
        "{error:?}"
    );
    let error = start(1, durable(2, 1, vec![entry(3)])).err();
    assert!(
        matches!(
            error,
            Some(Error::EntryFromLaterTerm { index: LogIndex(1), entry_term: Term(3), term: Term(2) })
        ),
        "{error:?}"
    );
}

#[test]
fn an_unreadable_snapshot_is_rejected() {
    let snapshot = Snapshot { index: LogIndex(1), term: Term(1), state: vec![255; 3] };
    let error = start(1, DurableState { snapshot, ..durable(1, 1, Vec::new()) }).err();
    assert!(matches!(error, Some(Error::UnreadableSnapshot(_))), "{error:?}");
}
