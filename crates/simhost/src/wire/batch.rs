//! Batches of event records: a header, the records and a tail.

use super::bytes::Fields;
use super::endpoint_list::EndpointLists;
use super::error::WireError;
use super::record::{EVENT_BYTES, Record, decode};
use super::tail::Tail;
use policy::Timestamp;
use std::io::Read;

/// Length of a batch's header in bytes.
const HEADER_BYTES: usize = 20;
/// Number of header bytes that the length field of a batch includes: all header bytes behind the length field.
const COUNTED_HEADER_BYTES: usize = 12;

/// A batch whose records are not decoded yet.
pub(crate) struct Batch {
    pub(crate) number: u32,
    /// Time on the simulator's clock, at which all events of the batch occur.
    pub(crate) time: Timestamp,
    record_count: usize,
    /// The bytes of the records, followed by the tail.
    body: Vec<u8>,
}

/// Reads one batch; `None` if the input ends between two batches.
pub(crate) fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    input.by_ref().take(HEADER_BYTES as u64).read_to_end(&mut header)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_BYTES {
        return Err(WireError::TruncatedHeader { bytes: header.len() });
    }
    let header = Fields(&header);
    let batch = header.u32(0);
    let length = header.u32(4) as usize;
    let time = Timestamp::from_micros(header.u64(8));
    let records = header.u32(16) as usize;
    let Some(length) = length.checked_sub(COUNTED_HEADER_BYTES) else {
        return Err(WireError::ShortLength { batch, length });
    };
    if records.checked_mul(EVENT_BYTES).is_none_or(|bytes| bytes > length) {
        return Err(WireError::TooManyRecords { batch, records, length });
    }
    // The buffer grows with the bytes that arrive, so that a wrong length field cannot cause a large allocation.
    let mut body = Vec::new();
    input.by_ref().take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(WireError::TruncatedBatch { batch, bytes: body.len(), length });
    }
    Ok(Some(Batch { number: batch, time, record_count: records, body }))
}

impl Batch {
    /// Decodes the records in order, each with the list or text that it refers to.
    pub(crate) fn records(&self, lists: &mut EndpointLists) -> Result<Vec<Record>, WireError> {
        let (records, tail) = self.body.split_at(self.record_count * EVENT_BYTES);
        let mut decoded = Vec::with_capacity(self.record_count);
        for (index, bytes) in records.chunks_exact(EVENT_BYTES).enumerate() {
            let record = decode(Fields(bytes), Tail(tail), lists).map_err(|source| WireError::Record {
                batch: self.number,
                record: index,
                source,
            })?;
            decoded.extend(record);
        }
        Ok(decoded)
    }
}
