//! Errors of the wire protocol.

use std::io;
use thiserror::Error;

/// An error after which the input cannot be read any further.
#[derive(Debug, Error)]
pub(crate) enum WireError {
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The input ends inside a header.
    #[error("input ends after {bytes} bytes of a batch header")]
    TruncatedHeader {
        /// Bytes before the end.
        bytes: usize,
    },
    /// The batch's length is shorter than its header.
    #[error("batch {batch}: length {length} does not hold the header")]
    ShortLength {
        /// The number of the batch.
        batch: u32,
        /// Its length.
        length: usize,
    },
    /// The records are longer than the batch.
    #[error("batch {batch}: {records} records do not fit in {length} bytes")]
    TooManyRecords {
        /// The number of the batch.
        batch: u32,
        /// The number of its records.
        records: usize,
        /// Bytes behind its header.
        length: usize,
    },
    /// The input ends inside a batch.
    #[error("batch {batch}: input ends after {bytes} of {length} bytes")]
    TruncatedBatch {
        /// The number of the batch.
        batch: u32,
        /// Bytes before the end.
        bytes: usize,
        /// Bytes behind its header.
        length: usize,
    },
    /// A record is invalid.
    #[error("batch {batch}, record {record}: {source}")]
    Record {
        /// The number of the batch.
        batch: u32,
        /// The index of the record.
        record: usize,
        /// The error of the record.
        source: RecordError,
    },
}

/// An error of a record.
#[derive(Debug, Error)]
pub(crate) enum RecordError {
    /// The record refers to bytes beyond the tail.
    #[error("offset {offset} with {items} items is beyond the tail of {tail} bytes")]
    BeyondTail {
        /// The offset that it refers to.
        offset: u32,
        /// The number of items.
        items: u32,
        /// The length of the tail in bytes.
        tail: usize,
    },
    /// The kind of a list is unknown.
    #[error("list form {0} is unknown")]
    UnknownListKind(u8),
    /// No list of this number was sent.
    #[error("list {0} was never given")]
    UnknownList(u8),
    /// The state of a backend is unknown.
    #[error("backend status {0} is unknown")]
    UnknownBackendState(u8),
}
