use super::*;

#[test]
fn counts_the_connections_of_each_kind() {
    let work = [PendingWork::UnansweredRequest, PendingWork::UnsentAnswer, PendingWork::UnansweredRequest];
    let counts: PendingConnections = work.into_iter().collect();
    assert_eq!(counts, PendingConnections { incomplete: 0, unanswered: 2, unsent: 1 });
    assert!(!counts.is_empty());
    assert!(PendingConnections::from_iter([]).is_empty());
}
