use super::*;
use replicated_config::LogIndex;
use std::error::Error as _;

/// Returns each error with its text and whether it has a source.
fn errors() -> Vec<(Error, &'static str, bool)> {
    let path = || PathBuf::from("/var/replica.log");
    let disk_full = || io::Error::new(io::ErrorKind::StorageFull, "disk full");
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let log_gap = replicated_config::Error::LogGap { index: LogIndex(7), previous: LogIndex(5) };
    let message_too_large = replicated_config::Error::MessageTooLarge { bytes: 700_000 };
    let decode_error = postcard::Error::DeserializeUnexpectedEnd;
    vec![
        (
            Error::LogExists { path: path() },
            "/var/replica.log: a replica log already exists; it was left unchanged",
            false,
        ),
        (
            Error::File { path: path(), source: disk_full() },
            "/var/replica.log: cannot read or write the file: disk full",
            true,
        ),
        (
            Error::DamagedFrameCount { path: path() },
            "/var/replica.log: the frame count of the log is truncated or damaged",
            false,
        ),
        (
            Error::UnknownLogFormat { path: path() },
            "/var/replica.log: not a replica log in a supported format",
            false,
        ),
        (
            Error::MissingFrames { path: path(), intact: 3, written: 4 },
            "/var/replica.log: only 3 of 4 log frames are intact",
            false,
        ),
        (
            Error::Records { path: path(), source: decode_error },
            "/var/replica.log: cannot decode or encode log records: Hit the end",
            true,
        ),
        (
            Error::UnusableLog { path: path(), source: log_gap },
            "/var/replica.log: a replica cannot run on this log: the log has a gap: entry 7 comes right after entry 5",
            true,
        ),
        (Error::Listen { address, source: disk_full() }, "cannot listen on 127.0.0.1:7000: disk full", true),
        (Error::Thread(disk_full()), "cannot start a thread: disk full", true),
        (Error::Connection(disk_full()), "the connection failed or timed out: disk full", true),
        (
            Error::FrameTooLarge { bytes: 9, max: 8 },
            "a frame of 9 bytes is larger than the limit of 8",
            false,
        ),
        (Error::Unauthenticated, "a message is not authenticated by any of this node's keys", false),
        (
            Error::Message(message_too_large),
            "an authenticated frame holds no valid message: a message of 700000 bytes is larger than the limit of 589824",
            true,
        ),
    ]
}

#[test]
fn error_texts_name_the_file_address_or_value_and_errors_keep_their_source() {
    for (error, text, has_source) in errors() {
        assert!(error.to_string().starts_with(text), "{error}");
        assert_eq!(error.source().is_some(), has_source, "{error}");
    }
}
