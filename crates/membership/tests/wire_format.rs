//! Tests of wire compatibility: this build accepts the datagrams of an earlier build and writes the same bytes.
//!
//! `fixtures/datagrams.txt` holds the first datagram of each kind that the earlier build sent in [`run_scenario`].
//! `fixtures/course.txt` holds the number, the total size and the hash of all datagrams of the scenario. The scenario depends
//! on the versions of `foca` and `rand` in `Cargo.lock`. An update of these may change the scenario, but the datagrams of the
//! earlier build must still be accepted.

mod support;

use foca::{Codec, Header, Message, PostcardCodec};
use membership::authentication::{Keyring, OVERHEAD_BYTES};
use membership::{Member, Membership, Output};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use support::member_at;
use timestamps::MonotonicTime;

const DATAGRAMS: &str = include_str!("fixtures/datagrams.txt");
const SCENARIO_SUMMARY: &str = include_str!("fixtures/course.txt");
const MEMBER_COUNT: usize = 8;
/// The time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The first byte of the payloads of bulk failure dissemination. SWIM payloads start with 0 or 1.
const BULK_FAILURE_MARKER: u8 = 0xFF;
const FIRST_GENERATION: u64 = 1_800_000_000_000;

fn keyring() -> Keyring {
    support::keyring(&"0123456789abcdef".repeat(4))
}

fn member(number: usize) -> Membership {
    Membership::new(support::config(number, FIRST_GENERATION + number as u64), keyring())
}

/// Eight members that exchange datagrams without delay and in order, and a record of all datagrams sent.
struct Network {
    now: MonotonicTime,
    members: Vec<Option<Membership>>,
    sent: Vec<Vec<u8>>,
    /// The numbers of the members that neither tick nor receive datagrams.
    paused: Vec<usize>,
    /// Whether datagrams between members 0 and 1 are lost.
    partitioned: bool,
}

impl Network {
    fn new() -> Self {
        let members = (0..MEMBER_COUNT).map(|i| Some(member(i))).collect();
        Self { now: MonotonicTime::ZERO, members, sent: Vec::new(), paused: Vec::new(), partitioned: false }
    }

    fn call(&mut self, i: usize, action: impl FnOnce(&mut Membership, MonotonicTime, &mut Vec<Output>)) {
        let mut queue = VecDeque::new();
        let mut out = Vec::new();
        if let Some(member) = &mut self.members[i] {
            action(member, self.now, &mut out);
        }
        queue.extend(out.into_iter().map(|output| (i, output)));
        while let Some((from, output)) = queue.pop_front() {
            let Output::SendDatagram { to, bytes } = output else { continue };
            let to = member_at(to);
            self.sent.push(bytes.clone());
            let lost = self.paused.contains(&to) || (self.partitioned && from + to == 1);
            if let Some(Some(member)) = self.members.get_mut(to)
                && !lost
            {
                let mut out = Vec::new();
                member.handle_datagram(self.now, &bytes, &mut out);
                queue.extend(out.into_iter().map(|output| (to, output)));
            }
        }
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            for i in (0..MEMBER_COUNT).filter(|i| !self.paused.contains(i)).collect::<Vec<_>>() {
                self.call(i, |member, now, out| member.tick(now, out));
            }
        }
    }
}

/// Runs a scenario in which each kind of message is sent, and returns all datagrams in the order of sending.
fn run_scenario() -> Vec<Vec<u8>> {
    let mut network = Network::new();
    network.advance(Duration::from_secs(1));
    network.call(2, |member, now, out| member.broadcast(now, "probe/loans-1", 7, b"down", out));
    network.partitioned = true;
    network.advance(Duration::from_secs(2));
    network.partitioned = false;
    network.paused = vec![3];
    network.advance(Duration::from_secs(2));
    network.paused.clear();
    network.advance(Duration::from_secs(1));
    (4..MEMBER_COUNT).for_each(|i| network.members[i] = None);
    network.advance(Duration::from_secs(2));
    network.call(3, |member, now, out| member.leave(now, out));
    network.advance(Duration::from_millis(200));
    network.sent
}

fn kind(payload: &[u8]) -> String {
    if payload[0] == BULK_FAILURE_MARKER {
        return if payload[1] == 0 { "bulk-failure-digest" } else { "bulk-failure-list" }.into();
    }
    let header: Header<Member> = PostcardCodec.decode_header(payload).expect("a header");
    let name = match header.message {
        Message::Ping(_) => "ping",
        Message::Ack(_) => "ack",
        Message::PingReq { .. } => "ping-request",
        Message::IndirectPing { .. } => "indirect-ping",
        Message::IndirectAck { .. } => "indirect-ack",
        Message::ForwardedAck { .. } => "forwarded-ack",
        Message::Announce => "announce",
        Message::Feed => "feed",
        Message::Gossip => "gossip",
        Message::Broadcast => "broadcast",
        Message::TurnUndead => "turn-undead",
    };
    name.into()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16).expect("hex"))
        .collect()
}

/// Returns the datagrams of the earlier build by kind.
fn fixtures() -> BTreeMap<String, Vec<u8>> {
    let parse_line = |line: &str| {
        let (kind, hex) = line.split_once(' ').expect("a kind and its bytes");
        (kind.to_owned(), decode_hex(hex))
    };
    DATAGRAMS.lines().map(parse_line).collect()
}

#[test]
fn a_scenario_with_fixed_seeds_sends_the_same_datagrams_as_the_earlier_build() {
    let sent = run_scenario();
    let mut first: BTreeMap<String, &[u8]> = BTreeMap::new();
    for datagram in &sent {
        first.entry(kind(&datagram[OVERHEAD_BYTES..])).or_insert(datagram);
    }
    let datagrams: String =
        first.iter().map(|(kind, bytes)| format!("{kind} {}\n", encode_hex(bytes))).collect();
    let all = sent.concat();
    let summary = format!("{} datagrams, {} bytes, BLAKE3 {}\n", sent.len(), all.len(), blake3::hash(&all));
    assert_eq!(first.len(), 13, "one of each kind");
    assert_eq!(datagrams, DATAGRAMS);
    assert_eq!(summary, SCENARIO_SUMMARY);
}

#[test]
fn each_datagram_of_the_earlier_build_is_authentic_and_signing_its_payload_gives_the_same_bytes() {
    let fixtures = fixtures();
    assert_eq!(fixtures.len(), 13, "one of each kind");
    for (kind, datagram) in fixtures {
        let payload = keyring().verify(&datagram).unwrap_or_else(|| panic!("{kind} is not authentic"));
        assert_eq!(keyring().sign(payload), datagram, "{kind}");
    }
}

#[test]
fn each_swim_header_of_the_earlier_build_decodes_and_encodes_to_the_same_bytes() {
    for (name, datagram) in fixtures() {
        let payload = &datagram[OVERHEAD_BYTES..];
        if payload[0] == BULK_FAILURE_MARKER {
            continue;
        }
        assert_eq!(kind(payload), name);
        let header: Header<Member> = PostcardCodec.decode_header(payload).expect("a header");
        let mut encoded = Vec::new();
        PostcardCodec.encode_header(&header, &mut encoded).expect("encoded");
        assert_eq!(encoded, payload[..encoded.len()], "{name}");
    }
}

#[test]
fn each_datagram_of_the_earlier_build_is_accepted_and_damaged_ones_are_rejected() {
    for (kind, datagram) in fixtures() {
        let mut receiver = member(0);
        let mut out = Vec::new();
        receiver.handle_datagram(MonotonicTime::ZERO, &datagram, &mut out);
        let counts = receiver.counts();
        assert_eq!((counts.datagrams_accepted, counts.authentication_failures), (1, 0), "{kind}: {counts:?}");
        for i in 0..datagram.len() {
            let mut damaged = datagram.clone();
            damaged[i] ^= 0x40;
            receiver.handle_datagram(MonotonicTime::ZERO, &damaged, &mut out);
            receiver.handle_datagram(MonotonicTime::ZERO, &datagram[..i], &mut out);
        }
        let counts = receiver.counts();
        assert_eq!(
            (counts.datagrams_accepted, counts.authentication_failures),
            (1, 2 * datagram.len() as u64),
            "{kind}: {counts:?}"
        );
        // Authentic but truncated payloads must not panic.
        for i in OVERHEAD_BYTES..datagram.len() {
            receiver.handle_datagram(
                MonotonicTime::ZERO,
                &keyring().sign(&datagram[OVERHEAD_BYTES..i]),
                &mut out,
            );
        }
    }
}
