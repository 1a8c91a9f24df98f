//! The datagrams of an earlier build: this build reads them, and writes the same bytes.
//!
//! `fixtures/datagrams.txt` holds the first datagram of each kind that the course below sends, `fixtures/course.txt` the
//! number, the size and the hash of all of them. The course depends on the versions of `foca` and `rand` in `Cargo.lock`:
//! where an update of these changes it, the datagrams of the old build must still be accepted.

use foca::{Codec, Header, Message, PostcardCodec};
use membership::authentication::{Keyring, OVERHEAD_BYTES};
use membership::{Config, Member, Membership, Output};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const DATAGRAMS: &str = include_str!("fixtures/datagrams.txt");
const COURSE: &str = include_str!("fixtures/course.txt");
const MEMBERS: usize = 8;
/// The first byte of what is sent about bulk failures; the gossip's own payloads begin with 0 or 1.
const BULK_FAILURE: u8 = 0xFF;

fn keyring() -> Keyring {
    Keyring::parse(&"0123456789abcdef".repeat(4)).expect("a key")
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + i as u16))
}

fn member(i: usize) -> Membership {
    let config = Config {
        local_member: Member {
            address: address(i),
            name: format!("m{i}"),
            generation: 1_800_000_000_000 + i as u64,
        },
        seed_peers: vec![address(0), address(1)],
        probe_period_ms: 200,
        probe_timeout_ms: 60,
        suspicion_timeout_ms: 400,
        gossip_period_ms: 50,
        join_period_ms: 200,
        max_members: 32,
        max_topics: 8,
        rng_seed: i as u64,
    };
    Membership::new(config, keyring())
}

/// Eight members whose datagrams arrive at once and in order; all that they send is kept.
struct Network {
    now_ms: u64,
    members: Vec<Option<Membership>>,
    sent: Vec<Vec<u8>>,
    /// Members that receive nothing at present.
    paused: Vec<usize>,
    /// Datagrams between members 0 and 1 are lost.
    partitioned: bool,
}

impl Network {
    fn new() -> Self {
        let members = (0..MEMBERS).map(|i| Some(member(i))).collect();
        Self { now_ms: 0, members, sent: Vec::new(), paused: Vec::new(), partitioned: false }
    }

    fn call(&mut self, i: usize, action: impl FnOnce(&mut Membership, u64, &mut Vec<Output>)) {
        let mut queue = VecDeque::new();
        let mut out = Vec::new();
        if let Some(member) = &mut self.members[i] {
            action(member, self.now_ms, &mut out);
        }
        queue.extend(out.into_iter().map(|output| (i, output)));
        while let Some((from, output)) = queue.pop_front() {
            let Output::SendDatagram { to, bytes } = output else { continue };
            let to = usize::from(to.port() - 7000);
            self.sent.push(bytes.clone());
            let lost = self.paused.contains(&to) || (self.partitioned && from + to == 1);
            if let Some(Some(member)) = self.members.get_mut(to)
                && !lost
            {
                let mut out = Vec::new();
                member.handle_datagram(self.now_ms, &bytes, &mut out);
                queue.extend(out.into_iter().map(|output| (to, output)));
            }
        }
    }

    fn advance(&mut self, span_ms: u64) {
        for _ in 0..span_ms / 10 {
            self.now_ms += 10;
            for i in (0..MEMBERS).filter(|i| !self.paused.contains(i)).collect::<Vec<_>>() {
                self.call(i, |member, now, out| member.tick(now, out));
            }
        }
    }
}

/// All datagrams of a course in which each kind of message is sent.
fn course() -> Vec<Vec<u8>> {
    let mut network = Network::new();
    network.advance(1_000);
    network.call(2, |member, now, out| member.broadcast(now, "probe/loans-1", 7, b"down", out));
    network.partitioned = true;
    network.advance(2_000);
    network.partitioned = false;
    network.paused = vec![3];
    network.advance(2_000);
    network.paused.clear();
    network.advance(1_000);
    (4..MEMBERS).for_each(|i| network.members[i] = None);
    network.advance(2_000);
    network.call(3, |member, now, out| member.leave(now, out));
    network.advance(200);
    network.sent
}

fn kind(payload: &[u8]) -> String {
    if payload[0] == BULK_FAILURE {
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

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16).expect("hex"))
        .collect()
}

/// The datagrams of the earlier build by kind.
fn fixtures() -> BTreeMap<String, Vec<u8>> {
    let line = |line: &str| {
        let (kind, hex) = line.split_once(' ').expect("a kind and its bytes");
        (kind.to_owned(), unhex(hex))
    };
    DATAGRAMS.lines().map(line).collect()
}

#[test]
fn a_course_from_fixed_seeds_sends_the_same_datagrams_as_the_earlier_build() {
    let sent = course();
    let mut first: BTreeMap<String, &[u8]> = BTreeMap::new();
    for datagram in &sent {
        first.entry(kind(&datagram[OVERHEAD_BYTES..])).or_insert(datagram);
    }
    let datagrams: String = first.iter().map(|(kind, bytes)| format!("{kind} {}\n", hex(bytes))).collect();
    let all = sent.concat();
    let course = format!("{} datagrams, {} bytes, BLAKE3 {}\n", sent.len(), all.len(), blake3::hash(&all));
    assert_eq!(first.len(), 13, "one of each kind");
    assert_eq!(datagrams, DATAGRAMS);
    assert_eq!(course, COURSE);
}

#[test]
fn each_datagram_of_the_earlier_build_is_authentic_and_authenticated_alike() {
    let fixtures = fixtures();
    assert_eq!(fixtures.len(), 13, "one of each kind");
    for (kind, datagram) in fixtures {
        let payload = keyring().verify(&datagram).unwrap_or_else(|| panic!("{kind} is not authentic"));
        assert_eq!(keyring().sign(payload), datagram, "{kind}");
    }
}

#[test]
fn each_gossip_header_of_the_earlier_build_is_decoded_and_encoded_alike() {
    for (name, datagram) in fixtures() {
        let payload = &datagram[OVERHEAD_BYTES..];
        if payload[0] == BULK_FAILURE {
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
fn each_datagram_of_the_earlier_build_is_accepted_and_a_damaged_one_is_not() {
    for (kind, datagram) in fixtures() {
        let mut receiver = member(0);
        let mut out = Vec::new();
        receiver.handle_datagram(0, &datagram, &mut out);
        let counts = receiver.counts();
        assert_eq!((counts.datagrams_accepted, counts.authentication_failures), (1, 0), "{kind}: {counts:?}");
        for i in 0..datagram.len() {
            let mut damaged = datagram.clone();
            damaged[i] ^= 0x40;
            receiver.handle_datagram(0, &damaged, &mut out);
            receiver.handle_datagram(0, &datagram[..i], &mut out);
        }
        let counts = receiver.counts();
        assert_eq!(
            (counts.datagrams_accepted, counts.authentication_failures),
            (1, 2 * datagram.len() as u64),
            "{kind}: {counts:?}"
        );
        // Authentic, but cut: nothing may panic.
        for i in OVERHEAD_BYTES..datagram.len() {
            receiver.handle_datagram(0, &keyring().sign(&datagram[OVERHEAD_BYTES..i]), &mut out);
        }
    }
}
