use super::*;
use std::error::Error as _;

#[test]
fn error_texts_name_their_values_and_errors_keep_their_source() {
    let malformed = postcard::Error::DeserializeUnexpectedEnd;
    let raft = raft::Error::ConfigInvalid("election tick".into());
    for (error, text, has_source) in [
        (
            Error::UnknownReplica { id: ReplicaId(4), replica_count: 3 },
            "replica 4 is not one of the 3 configured replicas",
            false,
        ),
        (
            Error::UnreadableSnapshot(malformed.clone()),
            "cannot decode the state in the log's snapshot: Hit the end",
            true,
        ),
        (
            Error::MissingCommittedEntries { commit: LogIndex(9), last_index: LogIndex(7) },
            "the log ends at entry 7, but its hard state commits entries up to 9",
            false,
        ),
        (
            Error::EntryFromLaterTerm { index: LogIndex(7), entry_term: Term(3), term: Term(2) },
            "log entry 7 has term 3, later than term 2 of the hard state",
            false,
        ),
        (
            Error::LogGap { index: LogIndex(7), previous: LogIndex(5) },
            "the log has a gap: entry 7 comes right after entry 5",
            false,
        ),
        (Error::Raft(raft), "the Raft library rejected the configuration or the log: election tick", true),
        (
            Error::MessageTooLarge { bytes: 700_000 },
            "a message of 700000 bytes is larger than the limit of 589824",
            false,
        ),
        (Error::MalformedMessage(malformed), "a message cannot be decoded: Hit the end", true),
    ] {
        assert!(error.to_string().contains(text), "{error}");
        assert_eq!(error.source().is_some(), has_source, "{error}");
    }
}
