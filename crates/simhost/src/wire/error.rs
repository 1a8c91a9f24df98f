//! Errors of the wire.

use std::io;
use thiserror::Error;

/// Why the input cannot be read on.
#[derive(Debug, Error)]
pub(crate) enum WireError {
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The input ends inside a header.
    #[error("input ends after {bytes} bytes of a batch header")]
    TruncatedHeader {
        /// Bytes that were there.
        bytes: usize,
    },
    /// The length does not even hold the header.
    #[error("batch {batch}: length {length} does not hold the header")]
    ShortLength {
        /// Number of the batch.
        batch: u32,
        /// Its length.
        length: usize,
    },
    /// The records do not fit in the length.
    #[error("batch {batch}: {records} records do not fit in {length} bytes")]
    TooManyRecords {
        /// Number of the batch.
        batch: u32,
        /// Its records.
        records: usize,
        /// Bytes behind its header.
        length: usize,
    },
    /// The input ends inside a batch.
    #[error("batch {batch}: input ends after {bytes} of {length} bytes")]
    TruncatedBatch {
        /// Number of the batch.
        batch: u32,
        /// Bytes that were there.
        bytes: usize,
        /// Bytes behind its header.
        length: usize,
    },
    /// A record cannot be read.
    #[error("batch {batch}, record {record}: {source}")]
    Record {
        /// Number of the batch.
        batch: u32,
        /// Index of the record.
        record: usize,
        /// What is wrong with it.
        source: RecordError,
    },
}

/// Why a record cannot be read.
#[derive(Debug, Error)]
pub(crate) enum RecordError {
    /// It refers to bytes beyond the tail.
    #[error("offset {offset} with {items} items is beyond the tail of {tail} bytes")]
    BeyondTail {
        /// Where they begin.
        offset: u32,
        /// How many there are.
        items: u32,
        /// Bytes of the tail.
        tail: usize,
    },
    /// The kind of a list is unknown.
    #[error("list form {0} is unknown")]
    UnknownListKind(u8),
    /// The list was never given.
    #[error("list {0} was never given")]
    UnknownList(u8),
    /// The state of a backend is unknown.
    #[error("backend status {0} is unknown")]
    UnknownBackendState(u8),
}
