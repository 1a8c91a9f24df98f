//! Endpoint lists. A list is sent once with a number, and later records refer to the list by this number.

use super::bytes::Fields;
use super::error::RecordError;
use super::tail::Tail;
use policy::{BackendEntry, BackendState, Timestamp};
use std::collections::BTreeMap;

/// Length of a list entry in bytes.
const ENTRY_BYTES: usize = 22;

/// The endpoint lists that were sent so far, by number.
#[derive(Debug, Default)]
pub(crate) struct EndpointLists {
    lists: BTreeMap<u8, Vec<BackendEntry>>,
}

impl EndpointLists {
    /// Decodes the list of a list record, and stores it in place of an earlier list with the same number.
    pub(super) fn store(&mut self, record: Fields, tail: Tail) -> Result<(), RecordError> {
        let entries = tail.slice(record.u32(3), record.u32(7), ENTRY_BYTES)?;
        let entries = entries.chunks_exact(ENTRY_BYTES).map(|entry| decode_entry(Fields(entry)));
        let list = entries.collect::<Result<Vec<BackendEntry>, RecordError>>()?;
        self.lists.insert(record.u8(2), list);
        Ok(())
    }

    /// The entries of the list with this number.
    pub(super) fn get(&self, number: u8) -> Result<&[BackendEntry], RecordError> {
        self.lists.get(&number).map(Vec::as_slice).ok_or(RecordError::UnknownList(number))
    }
}

fn decode_entry(entry: Fields) -> Result<BackendEntry, RecordError> {
    let state = match entry.u8(9) {
        0 => BackendState::Gone,
        1 => BackendState::Ready,
        2 => BackendState::Draining,
        other => return Err(RecordError::UnknownBackendState(other)),
    };
    Ok(BackendEntry {
        id: entry.backend_id(0),
        zone: entry.u8(4),
        machine_type: entry.u16(5),
        cell: entry.u16(7),
        service: 0,
        state,
        size: f64::from(entry.f32(10)),
        started: Timestamp::from_micros(entry.u64(14)),
    })
}
