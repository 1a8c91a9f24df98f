use super::*;

fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> LogRecord {
    let entry = |index: u64| LogEntry { index: LogIndex(index), term: Term(term), data: vec![index as u8] };
    LogRecord::Entries(range.map(entry).collect())
}

#[test]
fn entries_that_are_written_again_replace_what_was_there_and_behind_it() {
    let mut state = DurableState::default();
    state.apply(entries(1..=5, 1)).expect("it follows");
    state.apply(entries(3..=4, 2)).expect("it follows");
    let terms = [2, 4, 5].map(|index| state.term_at(LogIndex(index)));
    assert_eq!(state.last_index(), LogIndex(4));
    assert_eq!(terms, [Some(Term(1)), Some(Term(2)), None]);
    let gap = state.apply(entries(6..=6, 2));
    assert!(matches!(gap, Err(Error::LogGap { index: LogIndex(6), previous: LogIndex(4) })), "{gap:?}");
}

#[test]
fn a_snapshot_replaces_what_is_up_to_it_and_all_where_the_log_is_another() {
    let mut state = DurableState::default();
    state.apply(entries(1..=5, 1)).expect("it follows");
    let snapshot = |index, term| {
        LogRecord::Snapshot(Snapshot { index: LogIndex(index), term: Term(term), state: vec![7] })
    };
    state.apply(snapshot(3, 1)).expect("it follows");
    assert_eq!((state.snapshot.index, state.last_index()), (LogIndex(3), LogIndex(5)));
    assert_eq!((state.entries.len(), state.term_at(LogIndex(3))), (2, Some(Term(1))));
    state.apply(snapshot(9, 4)).expect("it replaces all");
    assert_eq!((state.last_index(), state.hard_state.commit), (LogIndex(9), LogIndex(9)));
    assert_eq!(state.entries, []);
}
