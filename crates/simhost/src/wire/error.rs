//! Errors of the wire protocol, with the batch and the record in which they occur.

use std::io;
use thiserror::Error;

/// An error of the input or output, after which the process exits.
#[derive(Debug, Error)]
pub(crate) enum WireError {
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The input ends inside a header.
    #[error("input ends after {bytes} bytes of a batch header")]
    TruncatedHeader {
        /// Bytes read before the input ended.
        bytes: usize,
    },
    /// The length of a batch is shorter than its header.
    #[error("batch {batch}: length {length} is shorter than the header")]
    ShortLength {
        /// The number of the batch.
        batch: u32,
        /// The value of its length field.
        length: usize,
    },
    /// The records are longer than the batch.
    #[error("batch {batch}: {records} records do not fit in {length} bytes")]
    TooManyRecords {
        /// The number of the batch.
        batch: u32,
        /// The number of its records.
        records: usize,
        /// Bytes behind its header according to its length field.
        length: usize,
    },
    /// The input ends inside a batch.
    #[error("batch {batch}: input ends after {bytes} of {length} bytes")]
    TruncatedBatch {
        /// The number of the batch.
        batch: u32,
        /// Bytes behind its header that were read before the input ended.
        bytes: usize,
        /// Bytes behind its header according to its length field.
        length: usize,
    },
    /// A record is invalid.
    #[error("batch {batch}, record {record}: {source}")]
    Record {
        /// The number of the batch.
        batch: u32,
        /// The index of the record in the batch, from 0.
        record: usize,
        /// The error of the record.
        source: RecordError,
    },
}

/// Why a record cannot be decoded.
#[derive(Debug, Error)]
pub(crate) enum RecordError {
    /// The record refers to bytes beyond the tail.
    #[error("offset {offset} with {items} items is beyond the tail of {tail} bytes")]
    BeyondTail {
        /// Start of the items in the tail, in bytes.
        offset: u32,
        /// The number of items.
        items: u32,
        /// The length of the tail in bytes.
        tail: usize,
    },
    /// The kind of a list is unknown.
    #[error("list kind {0} is unknown")]
    UnknownListKind(u8),
    /// No list of this number was sent.
    #[error("list {0} was never sent")]
    UnknownList(u8),
    /// The state of a backend is unknown.
    #[error("backend state {0} is unknown")]
    UnknownBackendState(u8),
}
