use super::*;
use replicated_config::LogIndex;
use std::error::Error as _;

/// Each error with its text and whether it has a source.
fn errors() -> Vec<(Error, &'static str, bool)> {
    let path = || PathBuf::from("/var/replica.log");
    let full = || io::Error::new(io::ErrorKind::StorageFull, "disk full");
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let gap = replicated_config::Error::LogGap { index: LogIndex(7), previous: LogIndex(5) };
    let large = replicated_config::Error::MessageTooLarge { bytes: 700_000 };
    let cut = postcard::Error::DeserializeUnexpectedEnd;
    vec![
        (
            Error::LogExists { path: path() },
            "/var/replica.log: there is a log already; it is left as it is",
            false,
        ),
        (Error::File { path: path(), source: full() }, "/var/replica.log: disk full", true),
        (
            Error::DamagedFrameCount { path: path() },
            "/var/replica.log: the count of the log's frames is cut or damaged",
            false,
        ),
        (
            Error::UnknownLogFormat { path: path() },
            "/var/replica.log: it is no replica log of this format",
            false,
        ),
        (
            Error::MissingFrames { path: path(), found: 3, counted: 4 },
            "/var/replica.log: 3 of 4 frames are intact",
            false,
        ),
        (Error::Records { path: path(), source: cut }, "/var/replica.log: log records: Hit the end", true),
        (
            Error::UnusableLog { path: path(), source: gap },
            "/var/replica.log: entry 7 of the log does not follow the one before it, entry 5",
            true,
        ),
        (Error::Listen { address, source: full() }, "cannot listen on 127.0.0.1:7000: disk full", true),
        (Error::Thread(full()), "cannot start a thread: disk full", true),
        (Error::Connection(full()), "disk full", true),
        (
            Error::FrameTooLarge { bytes: 9, max: 8 },
            "a frame of 9 bytes is larger than the limit of 8",
            false,
        ),
        (Error::Unauthenticated, "a message is not authenticated by any of this node's keys", false),
        (Error::Message(large), "a message of 700000 bytes is larger than the limit of 589824", true),
    ]
}

#[test]
fn texts_name_the_file_address_or_value_and_keep_their_source() {
    for (error, text, has_source) in errors() {
        assert!(error.to_string().starts_with(text), "{error}");
        assert_eq!(error.source().is_some(), has_source, "{error}");
    }
}
