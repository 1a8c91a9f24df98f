use super::*;
use replicated_config::{LogIndex, Term};

/// Guards against changes of the console's lines, which operators and their scripts read.
#[test]
fn a_status_is_shown_as_in_release_0_1() {
    let status = |replica| {
        Status {
            in_force: ConfigVersion(7),
            proposed: ConfigVersion(8),
            remaining_lease: Duration::from_millis(1_234),
            replica,
        }
        .to_string()
    };
    let progress = Progress { term: Term(3), committed: LogIndex(42) };
    let first = "agreed\n  version 7  proposed 8  lease 1234 ms\n";
    assert_eq!(
        status(ReplicaStatus::Voting { progress, leader: Some("muscat-1".into()) }),
        format!("{first}  voter  term 3  entries 42  muscat-1 leads\n")
    );
    assert_eq!(
        status(ReplicaStatus::Voting { progress, leader: None }),
        format!("{first}  voter  term 3  entries 42  nobody leads\n")
    );
    assert_eq!(
        status(ReplicaStatus::UnusableLog),
        format!("{first}  voter without a log: it does not vote\n")
    );
    assert_eq!(status(ReplicaStatus::NotAReplica), first);
}
