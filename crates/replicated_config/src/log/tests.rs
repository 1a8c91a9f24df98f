use super::*;

fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> LogRecord {
    let entry = |index: u64| LogEntry { index: LogIndex(index), term: Term(term), data: vec![index as u8] };
    LogRecord::Entries(range.map(entry).collect())
}

#[test]
fn rewritten_entries_discard_all_entries_from_their_first_index_on() {
    let mut state = DurableState::default();
    state.apply(entries(1..=5, 1)).expect("the record leaves no gap");
    state.apply(entries(3..=4, 2)).expect("the record leaves no gap");
    let terms = [2, 4, 5].map(|index| state.term_at(LogIndex(index)));
    assert_eq!(state.last_index(), LogIndex(4));
    assert_eq!(terms, [Some(Term(1)), Some(Term(2)), None]);
    let gap = state.apply(entries(6..=6, 2));
    assert!(matches!(gap, Err(Error::LogGap { index: LogIndex(6), previous: LogIndex(4) })), "{gap:?}");
}

#[test]
fn a_snapshot_discards_entries_up_to_its_index_or_all_if_the_log_differs() {
    let mut state = DurableState::default();
    state.apply(entries(1..=5, 1)).expect("the record leaves no gap");
    let snapshot = |index, term| {
        LogRecord::Snapshot(Snapshot { index: LogIndex(index), term: Term(term), state: vec![7] })
    };
    state.apply(snapshot(3, 1)).expect("the record leaves no gap");
    assert_eq!((state.snapshot.index, state.last_index()), (LogIndex(3), LogIndex(5)));
    assert_eq!((state.entries.len(), state.term_at(LogIndex(3))), (2, Some(Term(1))));
    state.apply(snapshot(9, 4)).expect("the snapshot can be installed");
    assert_eq!((state.last_index(), state.hard_state.commit), (LogIndex(9), LogIndex(9)));
    assert_eq!(state.entries, []);
}
