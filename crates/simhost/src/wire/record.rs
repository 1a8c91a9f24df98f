//! Event records: decoding of one record at fixed offsets.

use super::bytes::Fields;
use super::endpoint_list::EndpointLists;
use super::error::RecordError;
use super::tail::Tail;
use policy::{Event, ListKind, Outcome, TenantId};

/// Length of an event record in bytes.
pub(super) const EVENT_BYTES: usize = 48;
/// Maximum number of values in a load report.
const MAX_LOAD_VALUES: usize = 4;
/// Length of a value of a load report in bytes.
const LOAD_VALUE_BYTES: usize = 4;
/// Bit of a request's flags that marks the request as a retry by the client.
const CLIENT_RETRY_FLAG: u16 = 2;

/// Codes of event records on the wire.
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
    /// A gatekeeper starts. The settings are in the text format of [`crate::settings`].
    Start { gatekeeper: u32, seed: u64, settings: String },
    /// A gatekeeper is killed.
    Kill { gatekeeper: u32 },
    /// An event occurs at a gatekeeper.
    Event { gatekeeper: u32, event: Event },
    /// A record with a code that this version does not know.
    Unknown { code: u16 },
}

/// Decodes one record. Returns `None` for a list record, whose list is stored in `lists`.
pub(super) fn decode(
    record: Fields,
    tail: Tail,
    lists: &mut EndpointLists,
) -> Result<Option<Record>, RecordError> {
    let gatekeeper = record.u32(2);
    let decoded = match record.u16(0) {
        code::LIST => {
            lists.store(record, tail)?;
            return Ok(None);
        }
        code::START => {
            let settings = tail.text(record.u32(14), record.u32(18))?;
            Record::Start { gatekeeper, seed: record.u64(6), settings }
        }
        code::KILL => Record::Kill { gatekeeper },
        code => match decode_event(code, record, tail, lists)? {
            Some(event) => Record::Event { gatekeeper, event },
            None => Record::Unknown { code },
        },
    };
    Ok(Some(decoded))
}

/// Decodes the event of a record; `None` if the code is unknown.
fn decode_event(
    code: u16,
    record: Fields,
    tail: Tail,
    lists: &EndpointLists,
) -> Result<Option<Event>, RecordError> {
    let event = match code {
        code::ENDPOINTS => decode_endpoints(record, lists)?,
        code::REQUEST => decode_request(record),
        code::STREAM_STARTED => Event::StreamStarted { id: record.request_id(6), attempt: record.u8(10) },
        code::ATTEMPT_ENDED => decode_attempt_ended(record),
        code::CLIENT_GONE => Event::ClientGone { id: record.request_id(6) },
        code::TIMER => Event::Timer { token: record.u64(6) },
        code::HEALTH_CHECK_ENDED => Event::HealthCheckEnded {
            backend: record.backend_id(6),
            outcome: decode_outcome(record.u16(14)),
            load: decode_load(record, 16),
        },
        code::PEER_MESSAGE => {
            tail.slice(record.u32(8), record.u32(12), 1)?;
            Event::PeerMessage
        }
        code::COUNTER_REPLY => Event::CounterReply {
            name: record.u64(6),
            total: f64::from(record.f32(14)),
            elapsed: record.micros(18),
            outcome: decode_outcome(record.u16(22)),
        },
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn decode_endpoints(record: Fields, lists: &EndpointLists) -> Result<Event, RecordError> {
    let kind = match record.u8(6) {
        1 => ListKind::Cached,
        2 => ListKind::Full,
        3 => ListKind::Failed,
        4 => ListKind::Delta,
        other => return Err(RecordError::UnknownListKind(other)),
    };
    let entries = match kind {
        ListKind::Failed => Vec::new(),
        ListKind::Cached | ListKind::Full | ListKind::Delta => lists.get(record.u8(15))?.to_vec(),
    };
    Ok(Event::Endpoints { kind, entries })
}

fn decode_request(record: Fields) -> Event {
    Event::Request {
        id: record.request_id(6),
        class: record.u16(10),
        plan: record.u32(12),
        tenant: TenantId(record.u64(16)),
        time_left: record.micros(24),
        tenant_gatekeepers: f64::from(record.f32(38)),
        units: f64::from(record.f32(34)),
        client_retry: record.u16(32) & CLIENT_RETRY_FLAG != 0,
    }
}

fn decode_attempt_ended(record: Fields) -> Event {
    Event::AttemptEnded {
        id: record.request_id(6),
        attempt: record.u8(14),
        backend: record.backend_id(15),
        outcome: decode_outcome(record.u16(10)),
        elapsed: record.micros(19),
        units: f64::from(record.u16(23)),
        answered: record.u8(25) != 0,
        load: decode_load(record, 26),
    }
}

/// Decodes an outcome code. An unknown code does not tell whether the backend executed the attempt, so it counts as a timeout.
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

/// Decodes the load report at an offset: one byte with the number of values, then the values.
fn decode_load(record: Fields, offset: usize) -> Vec<f32> {
    let count = usize::from(record.u8(offset)).min(MAX_LOAD_VALUES);
    let values = record.bytes(offset + 1, LOAD_VALUE_BYTES * count).chunks_exact(LOAD_VALUE_BYTES);
    values.map(|value| Fields(value).f32(0)).collect()
}
