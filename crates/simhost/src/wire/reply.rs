//! Replies: the action records that result from one batch, and their texts.

use policy::{Action, Micros};

/// Length of an action record in bytes.
const ACTION_BYTES: usize = 24;
/// Length of a reply's header in bytes.
const HEADER_BYTES: usize = 12;

/// Codes of action records on the wire.
mod code {
    pub(super) const INSTANCE_FAILURE: u16 = 1000;
    pub(super) const LOG: u16 = 1010;
    pub(super) const SEND: u16 = 1040;
    pub(super) const CANCEL: u16 = 1050;
    pub(super) const HEALTH_CHECK: u16 = 1060;
    pub(super) const TIMER: u16 = 1070;
    pub(super) const REJECT: u16 = 1080;
    pub(super) const FAIL: u16 = 1100;
    pub(super) const POLL_ENDPOINTS: u16 = 1110;
    pub(super) const COUNTER_ADD: u16 = 1120;
}

/// A reply under construction.
#[derive(Default)]
pub(crate) struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Appends an action of a gatekeeper.
    pub(crate) fn push_action(&mut self, gatekeeper: u32, action: &Action) {
        match action {
            Action::Send { id, backend, timeout, .. } => {
                let fields = [id.0.to_be_bytes(), signed_micros(*timeout), backend.0.to_be_bytes()];
                self.push_record(code::SEND, gatekeeper, &fields.each_ref().map(|field| &field[..]));
            }
            Action::Cancel { id, attempt } => {
                self.push_record(code::CANCEL, gatekeeper, &[&id.0.to_be_bytes(), &[*attempt]]);
            }
            Action::Reject { id, retry_after, .. } => {
                self.push_record(code::REJECT, gatekeeper, &[&id.0.to_be_bytes(), &micros(*retry_after)]);
            }
            Action::Fail { id } => self.push_record(code::FAIL, gatekeeper, &[&id.0.to_be_bytes()]),
            Action::Timer { after, token } => {
                self.push_record(code::TIMER, gatekeeper, &[&micros(*after), &token.to_be_bytes()]);
            }
            Action::HealthCheck { backend } => {
                self.push_record(code::HEALTH_CHECK, gatekeeper, &[&backend.0.to_be_bytes()]);
            }
            Action::CounterAdd { name, units, ttl } => {
                let units = (*units as f32).to_be_bytes();
                self.push_record(
                    code::COUNTER_ADD,
                    gatekeeper,
                    &[&name.to_be_bytes(), &units, &micros(*ttl)],
                );
            }
            Action::PollEndpoints => self.push_record(code::POLL_ENDPOINTS, gatekeeper, &[&[1]]),
            Action::Log(notice) => self.push_log(gatekeeper, &notice.to_string()),
        }
    }

    /// Appends a line for the simulator's log.
    pub(super) fn push_log(&mut self, gatekeeper: u32, text: &str) {
        self.push_text(code::LOG, gatekeeper, text);
    }

    /// Appends a report that the instance of a gatekeeper has failed or could not start, with the cause.
    pub(crate) fn push_instance_failure(&mut self, gatekeeper: u32, text: &str) {
        self.push_text(code::INSTANCE_FAILURE, gatekeeper, text);
    }

    /// Appends a record that refers to a text in the tail.
    fn push_text(&mut self, code: u16, gatekeeper: u32, text: &str) {
        let offset = (self.tail.len() as u32).to_be_bytes();
        let length = (text.len() as u32).to_be_bytes();
        self.push_record(code, gatekeeper, &[&offset, &length]);
        self.tail.extend_from_slice(text.as_bytes());
    }

    /// Appends a record with consecutive fields. The rest of the record is filled with zeros.
    fn push_record(&mut self, code: u16, gatekeeper: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.extend_from_slice(&code.to_be_bytes());
        self.records.extend_from_slice(&gatekeeper.to_be_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(start + ACTION_BYTES, 0);
        self.count += 1;
    }

    /// Encodes the reply to the batch with this number.
    pub(crate) fn into_bytes(self, batch: u32) -> Vec<u8> {
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut bytes = Vec::with_capacity(HEADER_BYTES + length as usize);
        for field in [batch, self.count, length] {
            bytes.extend_from_slice(&field.to_be_bytes());
        }
        bytes.extend_from_slice(&self.records);
        bytes.extend_from_slice(&self.tail);
        bytes
    }
}

/// Encodes a duration in microseconds in 32 bits. A longer duration is limited to the maximum.
fn micros(time: Micros) -> [u8; 4] {
    u32::try_from(time).unwrap_or(u32::MAX).to_be_bytes()
}

/// Encodes a duration in microseconds in a signed field of 32 bits. A longer duration is limited to the maximum.
fn signed_micros(time: Micros) -> [u8; 4] {
    (time.min(i32::MAX as u64) as u32).to_be_bytes()
}
