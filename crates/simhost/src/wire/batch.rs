//! Batches of records.

use super::bytes::{u32_at, u64_at};
use super::error::WireError;
use super::record::{EVENT_BYTES, EndpointLists, Record, decode};
use std::io::Read;

/// Bytes of a batch's header, and of the part of it that counts in the batch's length.
const HEADER_BYTES: usize = 20;
const COUNTED_HEADER_BYTES: usize = 12;

/// One batch, not decoded.
pub(crate) struct Batch {
    pub(crate) number: u32,
    pub(crate) clock: u64,
    records: usize,
    /// The records, and behind them the tail that they refer to.
    body: Vec<u8>,
}

/// Reads one batch; `None` where the input ends between two batches.
pub(crate) fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    input.by_ref().take(HEADER_BYTES as u64).read_to_end(&mut header)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_BYTES {
        return Err(WireError::TruncatedHeader { bytes: header.len() });
    }
    let batch = u32_at(&header, 0);
    let length = u32_at(&header, 4) as usize;
    let clock = u64_at(&header, 8);
    let records = u32_at(&header, 16) as usize;
    let Some(length) = length.checked_sub(COUNTED_HEADER_BYTES) else {
        return Err(WireError::ShortLength { batch, length });
    };
    if records.checked_mul(EVENT_BYTES).is_none_or(|bytes| bytes > length) {
        return Err(WireError::TooManyRecords { batch, records, length });
    }
    // Grows with what arrives, so that a wrong length cannot allocate memory that no input backs.
    let mut body = Vec::new();
    input.by_ref().take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(WireError::TruncatedBatch { batch, bytes: body.len(), length });
    }
    Ok(Some(Batch { number: batch, clock, records, body }))
}

impl Batch {
    /// The records in order, each with its list or text resolved.
    pub(crate) fn records(&self, lists: &mut EndpointLists) -> Result<Vec<Record>, WireError> {
        let (records, tail) = self.body.split_at(self.records * EVENT_BYTES);
        let mut decoded = Vec::with_capacity(self.records);
        for (index, bytes) in records.chunks_exact(EVENT_BYTES).enumerate() {
            let record = decode(bytes, tail, lists);
            let record =
                record.map_err(|source| WireError::Record { batch: self.number, record: index, source })?;
            decoded.extend(record);
        }
        Ok(decoded)
    }
}
