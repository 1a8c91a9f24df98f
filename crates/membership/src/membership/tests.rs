//! A few members in simulated time; the larger ones are in the crate `cluster_simulation`.

use super::*;

fn keyring(byte: &str) -> Keyring {
    Keyring::parse(&byte.repeat(32)).expect("keys")
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + i as u16))
}

fn config(i: usize, generation: u64) -> Config {
    Config {
        local_member: Member { address: address(i), name: format!("m{i}"), generation },
        seed_peers: vec![address(0), address(1)],
        probe_period_ms: 200,
        probe_timeout_ms: 60,
        suspicion_timeout_ms: 400,
        gossip_period_ms: 50,
        join_period_ms: 200,
        max_members: 32,
        max_topics: 8,
        rng_seed: i as u64,
    }
}

struct ReceivedBroadcast {
    topic: String,
    version: u64,
}

/// Members whose datagrams arrive at once, where `delivers` says so.
struct Network {
    now_ms: u64,
    members: Vec<Option<Membership>>,
    broadcasts: Vec<ReceivedBroadcast>,
}

impl Network {
    fn new(count: usize) -> Self {
        let members = (0..count).map(|i| Some(Membership::new(config(i, 1), keyring("ab")))).collect();
        Self { now_ms: 0, members, broadcasts: Vec::new() }
    }

    fn deliver(&mut self, from: usize, out: Vec<Output>, delivers: &dyn Fn(usize, usize) -> bool) {
        let mut pending: Vec<(usize, Output)> = out.into_iter().map(|output| (from, output)).collect();
        while let Some((from, output)) = pending.pop() {
            match output {
                Output::SendDatagram { to, bytes } => {
                    let to = usize::from(to.port() - 7000);
                    if let Some(Some(member)) = self.members.get_mut(to)
                        && delivers(from, to)
                    {
                        let mut out = Vec::new();
                        member.handle_datagram(self.now_ms, &bytes, &mut out);
                        pending.extend(out.into_iter().map(|output| (to, output)));
                    }
                }
                Output::Broadcast { topic, version, .. } => {
                    self.broadcasts.push(ReceivedBroadcast { topic, version });
                }
                Output::MembersChanged | Output::Rejoined { .. } => {}
            }
        }
    }

    fn advance(&mut self, span_ms: u64, delivers: &dyn Fn(usize, usize) -> bool) {
        for _ in 0..span_ms / 10 {
            self.now_ms += 10;
            for i in 0..self.members.len() {
                let mut out = Vec::new();
                if let Some(member) = &mut self.members[i] {
                    member.tick(self.now_ms, &mut out);
                }
                self.deliver(i, out, delivers);
            }
        }
    }

    fn alive_at(&self, i: usize) -> usize {
        self.members[i].as_ref().map_or(0, |member| member.alive_names().len())
    }
}

const EVERYWHERE: &dyn Fn(usize, usize) -> bool = &|_, _| true;

#[test]
fn members_find_each_other_and_notice_who_dies_leaves_or_returns() {
    let mut network = Network::new(6);
    network.advance(2_000, EVERYWHERE);
    assert_eq!((0..6).map(|i| network.alive_at(i)).collect::<Vec<_>>(), [6; 6]);
    network.members[5] = None;
    network.advance(3_000, EVERYWHERE);
    assert_eq!(network.alive_at(0), 5);
    // A member that leaves is gone at once, without any suspicion.
    let mut out = Vec::new();
    let now = network.now_ms;
    network.members[4].as_mut().expect("it lives").leave(now, &mut out);
    network.deliver(4, out, EVERYWHERE);
    network.members[4] = None;
    network.advance(300, EVERYWHERE);
    assert_eq!((0..4).map(|i| network.alive_at(i)).collect::<Vec<_>>(), [4; 4]);
    // A restart under the same name and address counts at once, though the others remember it as dead.
    network.members[5] = Some(Membership::new(config(5, 2), keyring("ab")));
    network.advance(2_000, EVERYWHERE);
    assert_eq!(network.alive_at(0), 5);
}

#[test]
fn a_partition_heals() {
    let mut network = Network::new(6);
    network.advance(2_000, EVERYWHERE);
    let side = |a: usize, b: usize| (a < 3) == (b < 3);
    network.advance(4_000, &side);
    assert_eq!((network.alive_at(0), network.alive_at(5)), (3, 3));
    network.advance(6_000, EVERYWHERE);
    assert_eq!((0..6).map(|i| network.alive_at(i)).collect::<Vec<_>>(), [6; 6]);
}

#[test]
fn broadcasts_reach_all_and_an_older_version_never_overtakes() {
    let mut network = Network::new(5);
    network.advance(2_000, EVERYWHERE);
    for (version, heard) in [(7, 4), (3, 0), (7, 0), (8, 4)] {
        network.broadcasts.clear();
        let mut out = Vec::new();
        let now = network.now_ms;
        network.members[1].as_mut().expect("it lives").broadcast(now, "d", version, b"down", &mut out);
        network.deliver(1, out, EVERYWHERE);
        network.advance(1_000, EVERYWHERE);
        assert_eq!(
            network.broadcasts.iter().filter(|b| b.topic == "d" && b.version == version).count(),
            heard,
            "{version}"
        );
    }
}

#[test]
fn topics_are_bounded() {
    let mut network = Network::new(2);
    network.advance(1_000, EVERYWHERE);
    for i in 0..20 {
        let (mut out, now) = (Vec::new(), network.now_ms);
        network.members[0].as_mut().expect("it lives").broadcast(now, &format!("d{i}"), 1, b"", &mut out);
        network.deliver(0, out, EVERYWHERE);
    }
    network.advance(1_000, EVERYWHERE);
    assert_eq!(network.broadcasts.len(), 8);
    let member = network.members[0].as_mut().expect("it lives");
    assert_eq!(member.counts().over_capacity, 12);
    member.retain_topics(|topic| topic == "d1");
    let mut out = Vec::new();
    member.broadcast(network.now_ms, "e", 1, b"", &mut out);
    assert!(out.iter().any(|o| matches!(o, Output::SendDatagram { .. })), "there is capacity again");
}

#[test]
fn a_member_with_another_key_is_ignored() {
    let mut network = Network::new(3);
    network.members[2] = Some(Membership::new(config(2, 1), keyring("cd")));
    network.advance(3_000, EVERYWHERE);
    assert_eq!((network.alive_at(0), network.alive_at(2)), (2, 1));
    assert!(network.members[0].as_ref().expect("it lives").counts().authentication_failures > 0);
}

#[test]
fn authentic_garbage_is_dropped() {
    let mut out = Vec::new();
    let mut member = Membership::new(config(0, 1), keyring("ab"));
    Membership::new(config(1, 1), keyring("ab")).tick(0, &mut out);
    let Some(Output::SendDatagram { bytes: valid, .. }) = out.first().cloned() else {
        panic!("no announcement")
    };
    let valid = keyring("ab").verify(&valid).expect("authentic").to_vec();
    let state = std::cell::RefCell::new(&mut member);
    fuzz_inputs::survives_garbage(&valid, |pieces| {
        let data = pieces.concat();
        let mut out = Vec::new();
        state.borrow_mut().handle_datagram(0, &data, &mut out);
        state.borrow_mut().handle_datagram(0, &keyring("ab").sign(&data), &mut out);
    });
    let counts = member.counts();
    assert!(counts.authentication_failures >= 512 && counts.malformed > 0, "{counts:?}");
}

#[test]
fn a_member_that_a_third_one_reaches_is_not_declared_dead() {
    // 0 and 1 hear nothing of each other, or one does not hear the other; 2 and 3 reach both.
    let apart: &dyn Fn(usize, usize) -> bool = &|a, b| a.max(b) > 1;
    let one_way: &dyn Fn(usize, usize) -> bool = &|a, b| (a, b) != (0, 1);
    for delivers in [apart, one_way] {
        let mut network = Network::new(4);
        network.advance(2_000, EVERYWHERE);
        for _ in 0..50 {
            network.advance(100, delivers);
            assert_eq!((0..4).map(|i| network.alive_at(i)).collect::<Vec<_>>(), [4; 4]);
        }
    }
}

#[test]
fn a_member_paused_for_a_minute_is_back_in_seconds() {
    let mut network = Network::new(6);
    network.advance(2_000, EVERYWHERE);
    let still = network.members[3].take();
    network.advance(60_000, EVERYWHERE);
    assert_eq!(network.alive_at(0), 5);
    network.members[3] = still;
    network.advance(2_000, EVERYWHERE);
    assert_eq!((0..6).map(|i| network.alive_at(i)).collect::<Vec<_>>(), [6; 6]);
}

#[test]
fn keys_are_rotated_during_a_partition_and_all_agree_when_it_heals() {
    let mut network = Network::new(6);
    network.advance(2_000, EVERYWHERE);
    let side = |a: usize, b: usize| (a < 3) == (b < 3);
    let set = |network: &mut Network, who: std::ops::Range<usize>, text: &str| {
        let keyring = Keyring::parse(text).expect("keys");
        network.members[who].iter_mut().flatten().for_each(|member| member.set_keyring(keyring.clone()));
    };
    let (old, new) = ("ab".repeat(32), "cd".repeat(32));
    // Both are valid everywhere before the new one signs anywhere; one side is a step ahead while they are apart.
    set(&mut network, 0..6, &format!("{old}\n{new}"));
    network.advance(4_000, &side);
    set(&mut network, 0..3, &format!("{new}\n{old}"));
    network.advance(1_000, &side);
    network.advance(6_000, EVERYWHERE);
    assert_eq!((0..6).map(|i| network.alive_at(i)).collect::<Vec<_>>(), [6; 6]);
    set(&mut network, 3..6, &format!("{new}\n{old}"));
    set(&mut network, 0..6, &new);
    network.advance(4_000, EVERYWHERE);
    assert_eq!((0..6).map(|i| network.alive_at(i)).collect::<Vec<_>>(), [6; 6]);
    assert!(
        network.members.iter().flatten().all(|m| m.counts().authentication_failures == 0),
        "no datagram was rejected"
    );
}

#[test]
fn two_members_of_one_name_are_two_members_and_reported() {
    let mut network = Network::new(4);
    assert!(network.members[0].as_ref().expect("it lives").duplicate_names().is_empty());
    let local_member = Member { name: "m1".into(), ..config(3, 1).local_member };
    let twin = Config { local_member, ..config(3, 1) };
    network.members[3] = Some(Membership::new(twin, keyring("ab")));
    network.advance(2_000, EVERYWHERE);
    for member in network.members.iter().flatten() {
        assert_eq!((member.alive_count(), member.duplicate_names()), (4, vec!["m1".to_owned()]));
    }
    network.members[3] = None;
    network.advance(3_000, EVERYWHERE);
    assert!(network.members.iter().flatten().all(|m| m.duplicate_names().is_empty()));
}

/// Guards against failures that only the gossip's own updates disseminate: 80 of 160 were then not known to all after 40 s.
#[test]
fn half_of_many_die_and_all_know_in_seconds() {
    let mut network = Network::new(0);
    let larger = |i| Config { max_members: 256, ..config(i, 1) };
    network.members = (0..160).map(|i| Some(Membership::new(larger(i), keyring("ab")))).collect();
    let turn = std::cell::Cell::new(0u64);
    // One datagram in ten is lost.
    let lossy: &dyn Fn(usize, usize) -> bool = &|_, _| {
        turn.set(turn.get().wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407));
        turn.get() >> 33 & 0x3ff > 102
    };
    network.advance(6_000, lossy);
    (0..80).for_each(|i| network.members[i] = None);
    let knows = |network: &Network| (80..160).all(|i| network.alive_at(i) == 80);
    let took = (0..100).find(|_| {
        network.advance(100, lossy);
        knows(&network)
    });
    assert!(took.is_some_and(|tenths| tenths < 30), "{took:?}");
}
