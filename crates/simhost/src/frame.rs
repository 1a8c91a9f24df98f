//! Frames of the simulator's wire: batches of events in, replies of actions out.

use policy::{Action, BackendEntry, BackendId, BackendState, Event, ListKind, Outcome, RequestId, TenantId};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::sync::Arc;

const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;
const ENTRY_BYTES: usize = 22;

/// What a record means to the adapter.
#[derive(Debug)]
pub enum Record {
    /// A gateway starts with this seed and these settings.
    Start { gateway: u32, seed: u64, settings: String },
    /// A gateway was killed.
    Kill { gateway: u32 },
    /// Something that a gateway sees.
    Event { gateway: u32, event: Event },
    /// A code this adapter does not know.
    Unknown { code: u16 },
}

/// One batch, raw.
pub struct Batch {
    pub number: u32,
    pub clock: u64,
    count: usize,
    body: Vec<u8>,
}

/// The numbered lists that membership events refer to.
pub type Lists = BTreeMap<u8, Arc<Vec<BackendEntry>>>;

fn malformed(text: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads one batch; `None` where the input ends between two batches.
pub fn read_batch(input: &mut impl Read) -> io::Result<Option<Batch>> {
    let mut head = Vec::with_capacity(20);
    input.by_ref().take(20).read_to_end(&mut head)?;
    if head.is_empty() {
        return Ok(None);
    }
    if head.len() < 20 {
        return Err(malformed(format!("input ends after {} bytes of a batch header", head.len())));
    }
    let number = u32_at(&head, 0);
    let length = u32_at(&head, 4) as usize;
    let clock = u64_at(&head, 8);
    let count = u32_at(&head, 16) as usize;
    let Some(length) = length.checked_sub(12) else {
        return Err(malformed(format!("batch {number}: length {length} does not hold the header")));
    };
    if count.checked_mul(EVENT_BYTES).is_none_or(|records| records > length) {
        return Err(malformed(format!("batch {number}: {count} records do not fit in {length} bytes")));
    }
    // Grows with what arrives, so that a wrong length cannot ask for memory that no input backs.
    let mut body = Vec::new();
    input.by_ref().take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(malformed(format!("batch {number}: input ends after {} of {length} bytes", body.len())));
    }
    Ok(Some(Batch { number, clock, count, body }))
}

impl Batch {
    /// The records in order, each with its list or text resolved.
    pub fn records(&self, lists: &mut Lists) -> io::Result<Vec<Record>> {
        let (records, tail) = self.body.split_at(self.count * EVENT_BYTES);
        let mut out = Vec::with_capacity(self.count);
        for (index, bytes) in records.chunks_exact(EVENT_BYTES).enumerate() {
            match decode(bytes, tail, lists) {
                Ok(Some(record)) => out.push(record),
                Ok(None) => {}
                Err(text) => {
                    return Err(malformed(format!("batch {}, record {index}: {text}", self.number)));
                }
            }
        }
        Ok(out)
    }
}

fn decode(r: &[u8], tail: &[u8], lists: &mut Lists) -> Result<Option<Record>, String> {
    let gateway = u32_at(r, 2);
    let event = match u16_at(r, 0) {
        1000 => {
            let bytes = slice(tail, u32_at(r, 14), u32_at(r, 18), 1)?;
            let settings = String::from_utf8_lossy(bytes).into_owned();
            return Ok(Some(Record::Start { gateway, seed: u64_at(r, 6), settings }));
        }
        1090 => return Ok(Some(Record::Kill { gateway })),
        1110 => {
            let bytes = slice(tail, u32_at(r, 3), u32_at(r, 7), ENTRY_BYTES)?;
            let entries = bytes.chunks_exact(ENTRY_BYTES).map(entry).collect::<Result<Vec<_>, _>>()?;
            lists.insert(r[2], Arc::new(entries));
            return Ok(None);
        }
        1010 => {
            let kind = match r[6] {
                1 => ListKind::Cached,
                2 => ListKind::Full,
                3 => ListKind::Failed,
                4 => ListKind::Delta,
                other => return Err(format!("list form {other} is unknown")),
            };
            let entries = if kind == ListKind::Failed {
                Vec::new()
            } else {
                let list = lists.get(&r[15]).ok_or_else(|| format!("list {} was never given", r[15]))?;
                list.to_vec()
            };
            Event::Endpoints { kind, entries }
        }
        1020 => Event::Request {
            id: RequestId(u32_at(r, 6)),
            class: u16_at(r, 10),
            plan: u32_at(r, 12),
            tenant: TenantId(u64_at(r, 16)),
            time_left: u64::from(u32_at(r, 24)),
            tenant_gatekeepers: f64::from(f32_at(r, 38)),
            units: f64::from(f32_at(r, 34)),
            client_retry: u16_at(r, 32) & 2 != 0,
        },
        1030 => Event::StreamStarted { id: RequestId(u32_at(r, 6)), attempt: r[10] },
        1040 => Event::AttemptEnded {
            id: RequestId(u32_at(r, 6)),
            attempt: r[14],
            backend: BackendId(u32_at(r, 15)),
            outcome: outcome(u16_at(r, 10)),
            elapsed: u64::from(u32_at(r, 19)),
            units: f64::from(u16_at(r, 23)),
            answered: r[25] != 0,
            load: report(&r[26..43]),
        },
        1050 => Event::ClientGone { id: RequestId(u32_at(r, 6)) },
        1060 => Event::Timer { token: u64_at(r, 6) },
        1070 => Event::HealthCheckEnded {
            backend: BackendId(u32_at(r, 6)),
            outcome: outcome(u16_at(r, 14)),
            load: report(&r[16..33]),
        },
        1080 => {
            slice(tail, u32_at(r, 8), u32_at(r, 12), 1)?;
            Event::PeerMessage
        }
        1100 => Event::CounterReply {
            name: u64_at(r, 6),
            total: f64::from(f32_at(r, 14)),
            elapsed: u64::from(u32_at(r, 18)),
            outcome: outcome(u16_at(r, 22)),
        },
        code => return Ok(Some(Record::Unknown { code })),
    };
    Ok(Some(Record::Event { gateway, event }))
}

fn entry(e: &[u8]) -> Result<BackendEntry, String> {
    let state = match e[9] {
        0 => BackendState::Gone,
        1 => BackendState::Ready,
        2 => BackendState::Draining,
        other => return Err(format!("backend status {other} is unknown")),
    };
    Ok(BackendEntry {
        id: BackendId(u32_at(e, 0)),
        zone: e[4],
        machine_type: u16_at(e, 5),
        cell: u16_at(e, 7),
        service: 0,
        state,
        size: f64::from(f32_at(e, 10)),
        started: u64_at(e, 14),
    })
}

/// The wire's outcome codes. A code that is not known proves nothing, so it reads as a time-out.
fn outcome(code: u16) -> Outcome {
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

fn report(bytes: &[u8]) -> Vec<f32> {
    let count = usize::from(bytes[0]).min(4);
    (0..count).map(|i| f32_at(bytes, 1 + 4 * i)).collect()
}

fn slice(tail: &[u8], offset: u32, items: u32, size: usize) -> Result<&[u8], String> {
    let wanted = (items as usize).checked_mul(size).and_then(|n| n.checked_add(offset as usize));
    match wanted {
        Some(end) if end <= tail.len() => Ok(&tail[offset as usize..end]),
        _ => Err(format!("offset {offset} with {items} items is beyond the tail of {} bytes", tail.len())),
    }
}

fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_be_bytes(b[at..at + 2].try_into().expect("two bytes"))
}

fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_be_bytes(b[at..at + 4].try_into().expect("four bytes"))
}

fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from_be_bytes(b[at..at + 8].try_into().expect("eight bytes"))
}

fn f32_at(b: &[u8], at: usize) -> f32 {
    f32::from_bits(u32_at(b, at))
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds one action of a gateway.
    pub fn push(&mut self, gateway: u32, action: &Action) {
        let time = |t: u64| u32::try_from(t).unwrap_or(u32::MAX).to_be_bytes();
        // A time-out is signed on the wire.
        let timeout = |t: u64| (t.min(i32::MAX as u64) as u32).to_be_bytes();
        match action {
            Action::Send { id, backend, timeout: t, .. } => {
                self.record(1040, gateway, &[&id.0.to_be_bytes(), &timeout(*t), &backend.0.to_be_bytes()]);
            }
            Action::Cancel { id, attempt } => self.record(1050, gateway, &[&id.0.to_be_bytes(), &[*attempt]]),
            Action::Reject { id, retry_after, .. } => {
                self.record(1080, gateway, &[&id.0.to_be_bytes(), &time(*retry_after)]);
            }
            Action::Fail { id } => self.record(1100, gateway, &[&id.0.to_be_bytes()]),
            Action::Timer { after, token } => {
                self.record(1070, gateway, &[&time(*after), &token.to_be_bytes()]);
            }
            Action::HealthCheck { backend } => self.record(1060, gateway, &[&backend.0.to_be_bytes()]),
            Action::CounterAdd { name, units, ttl } => {
                let units = (*units as f32).to_be_bytes();
                self.record(1120, gateway, &[&name.to_be_bytes(), &units, &time(*ttl)]);
            }
            Action::PollEndpoints => self.record(1110, gateway, &[&[1]]),
            Action::Log(notice) => self.push_log(gateway, &notice.to_string()),
        }
    }

    /// Adds a line for the log.
    fn push_log(&mut self, gateway: u32, text: &str) {
        self.text(1010, gateway, text);
    }

    /// Declares that the decision code has failed.
    pub fn push_broken(&mut self, gateway: u32, text: &str) {
        self.text(1000, gateway, text);
    }

    fn text(&mut self, code: u16, gateway: u32, text: &str) {
        let offset = (self.tail.len() as u32).to_be_bytes();
        let length = (text.len() as u32).to_be_bytes();
        self.record(code, gateway, &[&offset, &length]);
        self.tail.extend_from_slice(text.as_bytes());
    }

    fn record(&mut self, code: u16, gateway: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.extend_from_slice(&code.to_be_bytes());
        self.records.extend_from_slice(&gateway.to_be_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(start + ACTION_BYTES, 0);
        self.count += 1;
    }

    /// The bytes that answer batch `number`.
    pub fn into_bytes(self, number: u32) -> Vec<u8> {
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut out = Vec::with_capacity(12 + length as usize);
        for field in [number, self.count, length] {
            out.extend_from_slice(&field.to_be_bytes());
        }
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use policy::RejectReason;

    /// One event record from its code and fields at their offsets.
    fn record(code: u16, fields: &[(usize, &[u8])]) -> Vec<u8> {
        let mut bytes = vec![0; EVENT_BYTES];
        bytes[..2].copy_from_slice(&code.to_be_bytes());
        for (at, field) in fields {
            bytes[*at..at + field.len()].copy_from_slice(field);
        }
        bytes
    }

    fn batch(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
        let body: Vec<u8> = records.concat();
        let mut out = Vec::new();
        out.extend_from_slice(&7u32.to_be_bytes());
        out.extend_from_slice(&((12 + body.len() + tail.len()) as u32).to_be_bytes());
        out.extend_from_slice(&8_412_250u64.to_be_bytes());
        out.extend_from_slice(&(records.len() as u32).to_be_bytes());
        out.extend_from_slice(&body);
        out.extend_from_slice(tail);
        out
    }

    fn read(bytes: &[u8]) -> io::Result<Vec<Record>> {
        let mut lists = Lists::new();
        read_batch(&mut &bytes[..])?.map_or(Ok(vec![]), |batch| batch.records(&mut lists))
    }

    fn sample() -> Vec<u8> {
        let mut entry = vec![0x03, 0x12, 0x4a, 0x07, 1, 0, 2, 0, 5, 2];
        entry.extend_from_slice(&1.5f32.to_be_bytes());
        entry.extend_from_slice(&0x5d1420u64.to_be_bytes());
        let gateway = 3u32.to_be_bytes();
        let id = 0x5d3a_91c4u32.to_be_bytes();
        let records = [
            record(1000, &[(2, &gateway), (6, &9u64.to_be_bytes()), (14, &[0, 0, 0, 22, 0, 0, 0, 4])]),
            record(1110, &[(2, &[4]), (3, &[0, 0, 0, 0, 0, 0, 0, 1])]),
            record(1010, &[(2, &gateway), (6, &[4]), (15, &[4])]),
            record(
                1020,
                &[
                    (2, &gateway),
                    (6, &id),
                    (10, &[0, 2]),
                    (12, &[0, 0, 0, 1]),
                    (16, &0x91f0u64.to_be_bytes()),
                    (24, &240_000u32.to_be_bytes()),
                    (32, &[0, 2]),
                    (34, &2.5f32.to_be_bytes()),
                    (38, &3f32.to_be_bytes()),
                ],
            ),
            record(1030, &[(2, &gateway), (6, &id), (10, &[1])]),
            record(
                1040,
                &[
                    (2, &gateway),
                    (6, &id),
                    (10, &302u16.to_be_bytes()),
                    (14, &[1]),
                    (15, &[3, 18, 74, 7]),
                    (19, &18_500u32.to_be_bytes()),
                    (23, &[0, 3]),
                    (25, &[1]),
                    (26, &[1]),
                    (27, &0.5f32.to_be_bytes()),
                ],
            ),
            record(1050, &[(2, &gateway), (6, &id)]),
            record(1060, &[(2, &gateway), (6, &77u64.to_be_bytes())]),
            record(1070, &[(2, &gateway), (6, &[3, 18, 74, 7]), (14, &100u16.to_be_bytes())]),
            record(
                1100,
                &[
                    (2, &gateway),
                    (6, &9_041_552u64.to_be_bytes()),
                    (14, &38f32.to_be_bytes()),
                    (18, &2150u32.to_be_bytes()),
                    (22, &303u16.to_be_bytes()),
                ],
            ),
            record(1090, &[(2, &gateway)]),
            record(4242, &[(2, &gateway)]),
        ];
        entry.extend_from_slice(b"me=1");
        batch(&records, &entry)
    }

    #[test]
    fn each_event_is_read_from_its_offsets() {
        let text: Vec<String> = read(&sample()).unwrap().iter().map(|r| format!("{r:?}")).collect();
        let wanted = [
            "Start { gateway: 3, seed: 9, settings: \"me=1\" }",
            "Event { gateway: 3, event: Endpoints { kind: Delta, entries: [BackendEntry { id: BackendId(51530247), zone: 1, \
             machine_type: 2, cell: 5, state: Draining, service: 0, size: 1.5, started: 6100000 }] } }",
            "Event { gateway: 3, event: Request { id: RequestId(1564119492), class: 2, plan: 1, tenant: TenantId(37360), \
             time_left: 240000, tenant_gatekeepers: 3.0, units: 2.5, client_retry: true } }",
            "Event { gateway: 3, event: StreamStarted { id: RequestId(1564119492), attempt: 1 } }",
            "Event { gateway: 3, event: AttemptEnded { id: RequestId(1564119492), attempt: 1, backend: BackendId(51530247), \
             outcome: Rejected, elapsed: 18500, units: 3.0, answered: true, load: [0.5] } }",
            "Event { gateway: 3, event: ClientGone { id: RequestId(1564119492) } }",
            "Event { gateway: 3, event: Timer { token: 77 } }",
            "Event { gateway: 3, event: HealthCheckEnded { backend: BackendId(51530247), outcome: Ok, load: [] } }",
            "Event { gateway: 3, event: CounterReply { name: 9041552, total: 38.0, elapsed: 2150, \
             outcome: Timeout } }",
            "Kill { gateway: 3 }",
            "Unknown { code: 4242 }",
        ];
        assert_eq!(text.len(), wanted.len());
        for (text, wanted) in text.iter().zip(wanted) {
            assert_eq!(text, wanted);
        }
    }

    #[test]
    fn actions_match_the_frames_of_the_wire_page() {
        let mut reply = Reply::default();
        reply.push(
            3,
            &Action::Send {
                id: RequestId(0x5d3a_91c4),
                backend: BackendId(0x0312_4a07),
                timeout: 80_000,
                begin_within: 9,
            },
        );
        reply.push(3, &Action::Timer { after: 500_000, token: 77 });
        reply.push_log(5, "two servers known");
        let hex: String = reply.into_bytes(12).iter().map(|b| format!("{b:02x}")).collect();
        let wanted = concat!(
            "0000000c",
            "00000003",
            "00000059",
            "0410000000035d3a91c40001388003124a07000000000000",
            "042e000000030007a120000000000000004d000000000000",
            "03f200000005000000000000001100000000000000000000",
            "74776f2073657276657273206b6e6f776e",
        );
        assert_eq!(hex, wanted);
        let mut reply = Reply::default();
        reply.push(3, &Action::CounterAdd { name: 0x0089_f690, units: 4.0, ttl: 3_000_000 });
        reply.push(
            3,
            &Action::Reject {
                id: RequestId(0x0e6f_2b19),
                retry_after: 250_000,
                reason: RejectReason::QuotaExhausted,
            },
        );
        reply.push(3, &Action::Fail { id: RequestId(0x0e6f_2b19) });
        reply.push(3, &Action::Cancel { id: RequestId(0x5d3a_91c4), attempt: 0 });
        reply.push(3, &Action::HealthCheck { backend: BackendId(0x2c90_11f2) });
        reply.push(3, &Action::PollEndpoints);
        let hex: String = reply.into_bytes(0)[12..].iter().map(|b| format!("{b:02x}")).collect();
        let wanted = concat!(
            "0460000000030000000000",
            "89f69040800000002dc6c00000",
            "0438000000030e6f2b190003d09000000000000000000000",
            "044c000000030e6f2b190000000000000000000000000000",
            "041a000000035d3a91c40000000000000000000000000000",
            "0424000000032c9011f20000000000000000000000000000",
            "045600000003010000000000000000000000000000000000",
        );
        assert_eq!(hex, wanted);
    }

    #[test]
    fn broken_framing_is_told_with_batch_and_record() {
        let whole = sample();
        for (bytes, part) in [(&whole[..10], "header"), (&whole[..100], "batch 7: input ends")] {
            let error = read(bytes).unwrap_err().to_string();
            assert!(error.contains(part), "{error}");
        }
        let mut count = whole.clone();
        count[16] = 0xff;
        assert!(read(&count).unwrap_err().to_string().contains("do not fit"));
        let mut offset = whole.clone();
        offset[20 + 14] = 0xff;
        assert!(read(&offset).unwrap_err().to_string().contains("batch 7, record 0: offset"));
        assert!(read(&[]).unwrap().is_empty());
    }

    #[test]
    fn mutated_frames_never_panic() {
        let mut rng = fastrand::Rng::with_seed(5);
        let whole = sample();
        let mut refused = 0;
        for _ in 0..20_000 {
            let mut bytes = whole.clone();
            for _ in 0..rng.usize(1..4) {
                let at = rng.usize(0..bytes.len());
                bytes[at] = rng.u8(..);
            }
            bytes.truncate(rng.usize(0..=bytes.len()).max(bytes.len() / 2));
            refused += usize::from(read(&bytes).is_err());
        }
        assert!(refused > 1000, "{refused} of the mutations were noticed");
    }
}
