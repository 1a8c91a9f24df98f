//! Batches and replies compared with the bytes of the wire protocol, and rejection of invalid batches.

use super::batch::read_batch;
use super::endpoint_list::EndpointLists;
use super::error::WireError;
use super::record::{EVENT_BYTES, Record};
use super::reply::Reply;
use policy::{Action, BackendId, RejectReason, RequestId};

/// Encodes a record from its code and its fields at their offsets.
fn record(code: u16, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut bytes = vec![0; EVENT_BYTES];
    bytes[..2].copy_from_slice(&code.to_be_bytes());
    for (offset, field) in fields {
        bytes[*offset..offset + field.len()].copy_from_slice(field);
    }
    bytes
}

/// Encodes a batch with the number 7.
fn batch(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&7u32.to_be_bytes());
    bytes.extend_from_slice(&((12 + body.len() + tail.len()) as u32).to_be_bytes());
    bytes.extend_from_slice(&8_412_250u64.to_be_bytes());
    bytes.extend_from_slice(&(records.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes.extend_from_slice(tail);
    bytes
}

/// Decodes the records of the first batch; none if the input is empty.
fn decode(bytes: &[u8]) -> Result<Vec<Record>, WireError> {
    let mut lists = EndpointLists::default();
    read_batch(&mut &bytes[..])?.map_or(Ok(vec![]), |batch| batch.records(&mut lists))
}

/// A batch with one record of each code except the code of peer messages, and with one record of an unknown code.
fn sample_batch() -> Vec<u8> {
    let mut entry = vec![0x03, 0x12, 0x4a, 0x07, 1, 0, 2, 0, 5, 2];
    entry.extend_from_slice(&1.5f32.to_be_bytes());
    entry.extend_from_slice(&0x5d1420u64.to_be_bytes());
    let gatekeeper = 3u32.to_be_bytes();
    let id = 0x5d3a_91c4u32.to_be_bytes();
    let records = [
        record(1000, &[(2, &gatekeeper), (6, &9u64.to_be_bytes()), (14, &[0, 0, 0, 22, 0, 0, 0, 4])]),
        record(1110, &[(2, &[4]), (3, &[0, 0, 0, 0, 0, 0, 0, 1])]),
        record(1010, &[(2, &gatekeeper), (6, &[4]), (15, &[4])]),
        record(
            1020,
            &[
                (2, &gatekeeper),
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
        record(1030, &[(2, &gatekeeper), (6, &id), (10, &[1])]),
        record(
            1040,
            &[
                (2, &gatekeeper),
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
        record(1050, &[(2, &gatekeeper), (6, &id)]),
        record(1060, &[(2, &gatekeeper), (6, &77u64.to_be_bytes())]),
        record(1070, &[(2, &gatekeeper), (6, &[3, 18, 74, 7]), (14, &100u16.to_be_bytes())]),
        record(
            1100,
            &[
                (2, &gatekeeper),
                (6, &9_041_552u64.to_be_bytes()),
                (14, &38f32.to_be_bytes()),
                (18, &2150u32.to_be_bytes()),
                (22, &303u16.to_be_bytes()),
            ],
        ),
        record(1090, &[(2, &gatekeeper)]),
        record(4242, &[(2, &gatekeeper)]),
    ];
    entry.extend_from_slice(b"me=1");
    batch(&records, &entry)
}

#[test]
fn each_event_is_decoded_from_its_offsets() {
    let text: Vec<String> =
        decode(&sample_batch()).unwrap().iter().map(|record| format!("{record:?}")).collect();
    let expected = [
        "Start { gatekeeper: 3, seed: 9, settings: \"me=1\" }",
        "Event { gatekeeper: 3, event: Endpoints { kind: Delta, entries: [BackendEntry { id: BackendId(51530247), zone: 1, \
         machine_type: 2, cell: 5, state: Draining, service: 0, size: 1.5, started: 6100000 }] } }",
        "Event { gatekeeper: 3, event: Request { id: RequestId(1564119492), class: 2, plan: 1, tenant: TenantId(37360), \
         time_left: 240000, tenant_gatekeepers: 3.0, units: 2.5, client_retry: true } }",
        "Event { gatekeeper: 3, event: StreamStarted { id: RequestId(1564119492), attempt: 1 } }",
        "Event { gatekeeper: 3, event: AttemptEnded { id: RequestId(1564119492), attempt: 1, backend: BackendId(51530247), \
         outcome: Rejected, elapsed: 18500, units: 3.0, answered: true, load: [0.5] } }",
        "Event { gatekeeper: 3, event: ClientGone { id: RequestId(1564119492) } }",
        "Event { gatekeeper: 3, event: Timer { token: 77 } }",
        "Event { gatekeeper: 3, event: HealthCheckEnded { backend: BackendId(51530247), outcome: Ok, load: [] } }",
        "Event { gatekeeper: 3, event: CounterReply { name: 9041552, total: 38.0, elapsed: 2150, \
         outcome: Timeout } }",
        "Kill { gatekeeper: 3 }",
        "Unknown { code: 4242 }",
    ];
    assert_eq!(text.len(), expected.len());
    for (text, expected) in text.iter().zip(expected) {
        assert_eq!(text, expected);
    }
}

#[test]
fn actions_are_encoded_as_the_wire_protocol_defines() {
    let mut reply = Reply::default();
    reply.push_action(
        3,
        &Action::Send {
            id: RequestId(0x5d3a_91c4),
            backend: BackendId(0x0312_4a07),
            timeout: 80_000,
            max_start_delay: 9,
        },
    );
    reply.push_action(3, &Action::Timer { after: 500_000, token: 77 });
    reply.push_log(5, "two servers known");
    let hex: String = reply.into_bytes(12).iter().map(|byte| format!("{byte:02x}")).collect();
    let expected = concat!(
        "0000000c",
        "00000003",
        "00000059",
        "0410000000035d3a91c40001388003124a07000000000000",
        "042e000000030007a120000000000000004d000000000000",
        "03f200000005000000000000001100000000000000000000",
        "74776f2073657276657273206b6e6f776e",
    );
    assert_eq!(hex, expected);
    let mut reply = Reply::default();
    reply.push_action(3, &Action::CounterAdd { name: 0x0089_f690, units: 4.0, ttl: 3_000_000 });
    reply.push_action(
        3,
        &Action::Reject {
            id: RequestId(0x0e6f_2b19),
            retry_after: 250_000,
            reason: RejectReason::QuotaExhausted,
        },
    );
    reply.push_action(3, &Action::Fail { id: RequestId(0x0e6f_2b19) });
    reply.push_action(3, &Action::Cancel { id: RequestId(0x5d3a_91c4), attempt: 0 });
    reply.push_action(3, &Action::HealthCheck { backend: BackendId(0x2c90_11f2) });
    reply.push_action(3, &Action::PollEndpoints);
    let hex: String = reply.into_bytes(0)[12..].iter().map(|byte| format!("{byte:02x}")).collect();
    let expected = concat!(
        "0460000000030000000000",
        "89f69040800000002dc6c00000",
        "0438000000030e6f2b190003d09000000000000000000000",
        "044c000000030e6f2b190000000000000000000000000000",
        "041a000000035d3a91c40000000000000000000000000000",
        "0424000000032c9011f20000000000000000000000000000",
        "045600000003010000000000000000000000000000000000",
    );
    assert_eq!(hex, expected);
}

#[test]
fn errors_name_the_batch_and_the_record() {
    let valid = sample_batch();
    for (bytes, expected) in [(&valid[..10], "header"), (&valid[..100], "batch 7: input ends")] {
        let error = decode(bytes).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
    let mut wrong_count = valid.clone();
    wrong_count[16] = 0xff;
    assert!(decode(&wrong_count).unwrap_err().to_string().contains("do not fit"));
    let mut wrong_offset = valid.clone();
    wrong_offset[20 + 14] = 0xff;
    assert!(decode(&wrong_offset).unwrap_err().to_string().contains("batch 7, record 0: offset"));
    assert!(decode(&[]).unwrap().is_empty());
}

#[test]
fn mutated_batches_never_panic() {
    let mut rng = fastrand::Rng::with_seed(5);
    let valid = sample_batch();
    let mut rejected = 0;
    for _ in 0..20_000 {
        let mut bytes = valid.clone();
        for _ in 0..rng.usize(1..4) {
            let offset = rng.usize(0..bytes.len());
            bytes[offset] = rng.u8(..);
        }
        bytes.truncate(rng.usize(0..=bytes.len()).max(bytes.len() / 2));
        rejected += usize::from(decode(&bytes).is_err());
    }
    assert!(rejected > 1000, "only {rejected} mutated batches were rejected");
}
