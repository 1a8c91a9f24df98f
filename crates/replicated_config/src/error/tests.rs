use super::*;
use std::error::Error as _;

#[test]
fn texts_name_the_values_and_keep_their_source() {
    let malformed = postcard::Error::DeserializeUnexpectedEnd;
    let raft = raft::Error::ConfigInvalid("election tick".into());
    for (error, text, has_source) in [
        (
            Error::UnknownReplica { id: ReplicaId(4), replica_count: 3 },
            "replica 4 is none of the 3 configured replicas",
            false,
        ),
        (
            Error::UnreadableSnapshot(malformed.clone()),
            "the log's snapshot cannot be read: Hit the end",
            true,
        ),
        (
            Error::MissingCommittedEntries { commit: LogIndex(9), last_index: LogIndex(7) },
            "the log ends at entry 7, but entries up to 9 were committed",
            false,
        ),
        (
            Error::EntryOfUnknownTerm { index: LogIndex(7), entry_term: Term(3), term: Term(2) },
            "entry 7 of the log has term 3, but the recorded term is 2",
            false,
        ),
        (
            Error::LogGap { index: LogIndex(7), previous: LogIndex(5) },
            "entry 7 of the log does not follow the one before it, entry 5",
            false,
        ),
        (Error::Raft(raft), "raft: election tick", true),
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
