use super::*;

fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> LogRecord {
    LogRecord::Entries(range.map(|index| LogEntry { index, term, data: vec![index as u8] }).collect())
}

#[test]
fn entries_that_are_written_again_replace_what_was_there_and_behind_it() {
    let mut state = DurableState::default();
    state.apply(entries(1..=5, 1)).expect("it follows");
    state.apply(entries(3..=4, 2)).expect("it follows");
    let terms = (state.term_at(2), state.term_at(4), state.term_at(5));
    assert_eq!((state.last_index(), terms), (4, (Some(1), Some(2), None)));
    let gap = state.apply(entries(6..=6, 2));
    assert!(matches!(gap, Err(Error::LogGap { index: 6, previous: 4 })), "{gap:?}");
}

#[test]
fn a_snapshot_replaces_what_is_up_to_it_and_all_where_the_log_is_another() {
    let mut state = DurableState::default();
    state.apply(entries(1..=5, 1)).expect("it follows");
    let snapshot = |index, term| LogRecord::Snapshot(Snapshot { index, term, state: vec![7] });
    state.apply(snapshot(3, 1)).expect("it follows");
    assert_eq!(
        (state.snapshot.index, state.entries.len(), state.last_index(), state.term_at(3)),
        (3, 2, 5, Some(1))
    );
    state.apply(snapshot(9, 4)).expect("it replaces all");
    assert_eq!((state.last_index(), state.entries.len(), state.hard_state.commit), (9, 0, 9));
}
