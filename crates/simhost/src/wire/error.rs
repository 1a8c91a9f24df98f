//! Errors of the wire protocol, with the batch and the record in which they occur.

use std::io;
use thiserror::Error;

/// An error of the input or output, after which the process exits.
#[derive(Debug, Error)]
pub(crate) enum WireError {
    /// Standard input could not be read, or standard output could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The simulator closed the input inside the header of a batch.
    #[error("input ends after {bytes} bytes of a batch header")]
    TruncatedHeader {
        /// Number of bytes of the header that were read before the input ended.
        bytes: usize,
    },
    /// The length field of a batch is too small to include the batch's own header.
    #[error("batch {batch}: length {length} is shorter than the header")]
    ShortLength {
        /// The number of the batch.
        batch: u32,
        /// The length in bytes that the batch's length field states.
        length: usize,
    },
    /// The header of a batch announces more records than its length field has room for.
    #[error("batch {batch}: {records} records do not fit in {length} bytes")]
    TooManyRecords {
        /// The number of the batch.
        batch: u32,
        /// The number of records according to the batch's header.
        records: usize,
        /// Number of bytes behind the batch's header according to the length field.
        length: usize,
    },
    /// The simulator closed the input inside the records or the tail of a batch.
    #[error("batch {batch}: input ends after {bytes} of {length} bytes")]
    TruncatedBatch {
        /// The number of the batch.
        batch: u32,
        /// Number of bytes behind the batch's header that were read before the input ended.
        bytes: usize,
        /// Number of bytes behind the batch's header according to the length field.
        length: usize,
    },
    /// A record of a batch cannot be decoded.
    #[error("batch {batch}, record {record}: {source}")]
    Record {
        /// The number of the batch.
        batch: u32,
        /// The index of the record in the batch, from 0.
        record: usize,
        /// Why the record cannot be decoded.
        source: RecordError,
    },
}

/// Why a record cannot be decoded.
#[derive(Debug, Error)]
pub(crate) enum RecordError {
    /// The record refers to a text or list that extends past the end of the batch's tail.
    #[error("offset {offset} with {items} items is beyond the tail of {tail} bytes")]
    BeyondTail {
        /// Start of the text or list in the tail, in bytes.
        offset: u32,
        /// The number of bytes of the text, or of entries of the list.
        items: u32,
        /// The length of the tail in bytes.
        tail: usize,
    },
    /// An endpoint list event has a kind other than those that the wire protocol defines.
    #[error("list kind {0} is unknown")]
    UnknownListKind(u8),
    /// An endpoint list event refers to a list number that no earlier list record has. The value is that number.
    #[error("list {0} was never sent")]
    UnknownList(u8),
    /// A list entry has a backend state other than those that the wire protocol defines.
    #[error("backend state {0} is unknown")]
    UnknownBackendState(u8),
}
