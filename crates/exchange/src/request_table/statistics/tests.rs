//! Counts of streamed answers, of removed classes and of units.

use super::*;

#[test]
fn a_streamed_request_is_pending_until_its_stream_ends() {
    for (end, served, failed) in
        [(StreamEnd::Complete, 1, 0), (StreamEnd::Broken, 0, 1), (StreamEnd::ClientGone, 0, 0)]
    {
        let mut statistics = Statistics::new(1);
        statistics.request_submitted();
        statistics.request_answered(0, AnswerKind::Served, true);
        assert_eq!(statistics.answers().served, 1);
        assert_eq!(statistics.outcomes().pending, 1);
        assert_eq!(statistics.outcomes().classes, [AnswerCounts::default()]);
        statistics.stream_ended(0, end);
        assert_eq!(statistics.outcomes().pending, 0);
        assert_eq!(statistics.outcomes().classes, [AnswerCounts { served, rejected: 0, failed }], "{end:?}");
    }
}

#[test]
fn classes_that_are_missing_in_new_settings_keep_their_counts() {
    let mut statistics = Statistics::new(2);
    statistics.count_answer(1, AnswerKind::Failed);
    for classes in [1, 3] {
        statistics.add_classes(classes);
        assert_eq!(statistics.outcomes().classes[1].failed, 1);
    }
    assert_eq!(statistics.outcomes().classes.len(), 3);
}

#[test]
fn units_are_counted_in_total_and_by_account() {
    let mut statistics = Statistics::new(1);
    for (account, units) in [(Some(3), 1.5), (None, 1.0), (Some(3), 2.0)] {
        statistics.count_units(account, units);
    }
    assert_eq!(statistics.units_forwarded(), 4.5);
    assert_eq!(statistics.units_by_account(), &BTreeMap::from([(3, 3.5)]));
}
