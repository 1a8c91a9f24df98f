//! Event records.

use super::bytes::{f32_at, u16_at, u32_at, u64_at};
use super::error::RecordError;
use policy::{
    BackendEntry, BackendId, BackendState, Event, ListKind, Outcome, RequestId, TenantId, Timestamp,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Bytes of an event record, and of an entry of an endpoint list.
pub(super) const EVENT_BYTES: usize = 48;
const ENTRY_BYTES: usize = 22;
/// Values that a load report may hold.
const MAX_LOAD_VALUES: usize = 4;
/// The bit of a request's flags that marks a client's retry.
const CLIENT_RETRY_FLAG: u16 = 2;

/// Codes of records.
mod code {
    pub(super) const START: u16 = 1000;
    pub(super) const ENDPOINTS: u16 = 1010;
    pub(super) const REQUEST: u16 = 1020;
    pub(super) const STREAM_STARTED: u16 = 1030;
    pub(super) const ATTEMPT_ENDED: u16 = 1040;
    pub(super) const CLIENT_GONE: u16 = 1050;
    pub(super) const TIMER: u16 = 1060;
    pub(super) const HEALTH_CHECK_ENDED: u16 = 1070;
    pub(super) const PEER_MESSAGE: u16 = 1080;
    pub(super) const KILL: u16 = 1090;
    pub(super) const COUNTER_REPLY: u16 = 1100;
    pub(super) const LIST: u16 = 1110;
}

/// A decoded record.
#[derive(Debug)]
pub(crate) enum Record {
    /// A gatekeeper starts with this seed and these settings.
    Start { gatekeeper: u32, seed: u64, settings: String },
    /// A gatekeeper was killed.
    Kill { gatekeeper: u32 },
    /// An event of a gatekeeper.
    Event { gatekeeper: u32, event: Event },
    /// A code that this version does not know.
    Unknown { code: u16 },
}

/// The numbered endpoint lists that records refer to.
pub(crate) type EndpointLists = BTreeMap<u8, Arc<Vec<BackendEntry>>>;

/// Decodes one record. A list is kept and gives none.
pub(super) fn decode(
    record: &[u8],
    tail: &[u8],
    lists: &mut EndpointLists,
) -> Result<Option<Record>, RecordError> {
    let gatekeeper = u32_at(record, 2);
    let event = match u16_at(record, 0) {
        code::START => {
            let settings = slice(tail, u32_at(record, 14), u32_at(record, 18), 1)?;
            let settings = String::from_utf8_lossy(settings).into_owned();
            return Ok(Some(Record::Start { gatekeeper, seed: u64_at(record, 6), settings }));
        }
        code::KILL => return Ok(Some(Record::Kill { gatekeeper })),
        code::LIST => {
            lists.insert(record[2], Arc::new(decode_list(record, tail)?));
            return Ok(None);
        }
        code::ENDPOINTS => decode_endpoints(record, lists)?,
        code::REQUEST => decode_request(record),
        code::STREAM_STARTED => {
            Event::StreamStarted { id: RequestId(u32_at(record, 6)), attempt: record[10] }
        }
        code::ATTEMPT_ENDED => decode_attempt_ended(record),
        code::CLIENT_GONE => Event::ClientGone { id: RequestId(u32_at(record, 6)) },
        code::TIMER => Event::Timer { token: u64_at(record, 6) },
        code::HEALTH_CHECK_ENDED => Event::HealthCheckEnded {
            backend: BackendId(u32_at(record, 6)),
            outcome: decode_outcome(u16_at(record, 14)),
            load: decode_load(&record[16..33]),
        },
        code::PEER_MESSAGE => {
            slice(tail, u32_at(record, 8), u32_at(record, 12), 1)?;
            Event::PeerMessage
        }
        code::COUNTER_REPLY => Event::CounterReply {
            name: u64_at(record, 6),
            total: f64::from(f32_at(record, 14)),
            elapsed: u64::from(u32_at(record, 18)),
            outcome: decode_outcome(u16_at(record, 22)),
        },
        code => return Ok(Some(Record::Unknown { code })),
    };
    Ok(Some(Record::Event { gatekeeper, event }))
}

fn decode_list(record: &[u8], tail: &[u8]) -> Result<Vec<BackendEntry>, RecordError> {
    let entries = slice(tail, u32_at(record, 3), u32_at(record, 7), ENTRY_BYTES)?;
    entries.chunks_exact(ENTRY_BYTES).map(decode_entry).collect()
}

fn decode_endpoints(record: &[u8], lists: &EndpointLists) -> Result<Event, RecordError> {
    let kind = match record[6] {
        1 => ListKind::Cached,
        2 => ListKind::Full,
        3 => ListKind::Failed,
        4 => ListKind::Delta,
        other => return Err(RecordError::UnknownListKind(other)),
    };
    if kind == ListKind::Failed {
        return Ok(Event::Endpoints { kind, entries: Vec::new() });
    }
    let number = record[15];
    let list = lists.get(&number).ok_or(RecordError::UnknownList(number))?;
    Ok(Event::Endpoints { kind, entries: list.to_vec() })
}

fn decode_request(record: &[u8]) -> Event {
    Event::Request {
        id: RequestId(u32_at(record, 6)),
        class: u16_at(record, 10),
        plan: u32_at(record, 12),
        tenant: TenantId(u64_at(record, 16)),
        time_left: u64::from(u32_at(record, 24)),
        tenant_gatekeepers: f64::from(f32_at(record, 38)),
        units: f64::from(f32_at(record, 34)),
        client_retry: u16_at(record, 32) & CLIENT_RETRY_FLAG != 0,
    }
}

fn decode_attempt_ended(record: &[u8]) -> Event {
    Event::AttemptEnded {
        id: RequestId(u32_at(record, 6)),
        attempt: record[14],
        backend: BackendId(u32_at(record, 15)),
        outcome: decode_outcome(u16_at(record, 10)),
        elapsed: u64::from(u32_at(record, 19)),
        units: f64::from(u16_at(record, 23)),
        answered: record[25] != 0,
        load: decode_load(&record[26..43]),
    }
}

fn decode_entry(entry: &[u8]) -> Result<BackendEntry, RecordError> {
    let state = match entry[9] {
        0 => BackendState::Gone,
        1 => BackendState::Ready,
        2 => BackendState::Draining,
        other => return Err(RecordError::UnknownBackendState(other)),
    };
    Ok(BackendEntry {
        id: BackendId(u32_at(entry, 0)),
        zone: entry[4],
        machine_type: u16_at(entry, 5),
        cell: u16_at(entry, 7),
        service: 0,
        state,
        size: f64::from(f32_at(entry, 10)),
        started: Timestamp::from_micros(u64_at(entry, 14)),
    })
}

/// The wire's outcome codes. An unknown code proves nothing, so it reads as a timeout.
fn decode_outcome(code: u16) -> Outcome {
    match code {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Rejected,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        _ => Outcome::Timeout,
    }
}

fn decode_load(bytes: &[u8]) -> Vec<f32> {
    let count = usize::from(bytes[0]).min(MAX_LOAD_VALUES);
    (0..count).map(|index| f32_at(bytes, 1 + 4 * index)).collect()
}

/// So many items of a size from an offset of the tail on.
fn slice(tail: &[u8], offset: u32, items: u32, size: usize) -> Result<&[u8], RecordError> {
    let bytes = (items as usize).checked_mul(size);
    let end = bytes.and_then(|bytes| bytes.checked_add(offset as usize));
    match end {
        Some(end) if end <= tail.len() => Ok(&tail[offset as usize..end]),
        _ => Err(RecordError::BeyondTail { offset, items, tail: tail.len() }),
    }
}
