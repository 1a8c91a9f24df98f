//! Tests of a few members in simulated time. The crate `cluster_simulation` tests larger clusters.

mod support;

use membership::{Config, Member, Membership, Output};
use std::time::Duration;
use support::{config, keyring, member_at};
use timestamps::MonotonicTime;

/// The time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Creates a member whose key consists of 32 equal bytes.
fn start_member(config: Config, key_byte: &str) -> Membership {
    Membership::new(config, keyring(&key_byte.repeat(32)))
}

struct ReceivedBroadcast {
    topic: String,
    version: u64,
}

/// Decides by sender and receiver whether a datagram is delivered.
type DeliveryFilter<'a> = &'a dyn Fn(usize, usize) -> bool;

const ALWAYS: DeliveryFilter = &|_, _| true;

/// No datagram passes between members 0 to 2 and the other members.
const PARTITIONED: DeliveryFilter = &|from, to| (from < 3) == (to < 3);

/// Members that exchange datagrams without delay, and the broadcasts that they received.
struct Network {
    now: MonotonicTime,
    /// The members by number. `None` for a dead member.
    members: Vec<Option<Membership>>,
    broadcasts: Vec<ReceivedBroadcast>,
}

impl Network {
    fn new(count: usize) -> Self {
        let members = (0..count).map(|i| Some(start_member(config(i, 1), "ab"))).collect();
        Self { now: MonotonicTime::ZERO, members, broadcasts: Vec::new() }
    }

    /// Returns a network whose members all know each other.
    fn converged(count: usize) -> Self {
        let mut network = Self::new(count);
        network.advance(Duration::from_secs(2), ALWAYS);
        network
    }

    fn member(&mut self, number: usize) -> &mut Membership {
        self.members[number].as_mut().expect("a live member")
    }

    /// Broadcasts from a member and delivers the first hop.
    fn broadcast(&mut self, from: usize, topic: &str, version: u64) {
        let now = self.now;
        let mut out = Vec::new();
        self.member(from).broadcast(now, topic, version, b"down", &mut out);
        self.deliver(from, out, ALWAYS);
    }

    /// Applies a member's outputs, and the outputs that follow from delivered datagrams.
    fn deliver(&mut self, from: usize, out: Vec<Output>, delivers: DeliveryFilter) {
        let mut pending: Vec<(usize, Output)> = out.into_iter().map(|output| (from, output)).collect();
        while let Some((from, output)) = pending.pop() {
            match output {
                Output::SendDatagram { to, bytes } => {
                    let to = member_at(to);
                    if let Some(Some(member)) = self.members.get_mut(to)
                        && delivers(from, to)
                    {
                        let mut out = Vec::new();
                        member.handle_datagram(self.now, &bytes, &mut out);
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

    fn advance(&mut self, span: Duration, delivers: DeliveryFilter) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            for i in 0..self.members.len() {
                let mut out = Vec::new();
                if let Some(member) = &mut self.members[i] {
                    member.tick(self.now, &mut out);
                }
                self.deliver(i, out, delivers);
            }
        }
    }

    /// Returns the number of members that this member considers alive. The number is 0 for a dead member.
    fn alive_count_at(&self, number: usize) -> usize {
        self.members[number].as_ref().map_or(0, |member| member.alive_names().len())
    }

    fn assert_all_see(&self, members: std::ops::Range<usize>, alive: usize) {
        for number in members {
            assert_eq!(self.alive_count_at(number), alive, "member {number}");
        }
    }
}

#[test]
fn members_detect_each_others_joins_failures_leaves_and_restarts() {
    let mut network = Network::converged(6);
    network.assert_all_see(0..6, 6);
    network.members[5] = None;
    network.advance(Duration::from_secs(3), ALWAYS);
    assert_eq!(network.alive_count_at(0), 5);
    // A member that leaves is declared dead at once, without suspicion.
    let mut out = Vec::new();
    let now = network.now;
    network.member(4).leave(now, &mut out);
    network.deliver(4, out, ALWAYS);
    network.members[4] = None;
    network.advance(Duration::from_millis(300), ALWAYS);
    network.assert_all_see(0..4, 4);
    // A member restarted under its name and address is alive at once, although the others remember it as dead.
    network.members[5] = Some(start_member(config(5, 2), "ab"));
    network.advance(Duration::from_secs(2), ALWAYS);
    assert_eq!(network.alive_count_at(0), 5);
}

#[test]
fn a_partition_heals() {
    let mut network = Network::converged(6);
    network.advance(Duration::from_secs(4), PARTITIONED);
    assert_eq!((network.alive_count_at(0), network.alive_count_at(5)), (3, 3));
    network.advance(Duration::from_secs(6), ALWAYS);
    network.assert_all_see(0..6, 6);
}

#[test]
fn broadcasts_reach_all_members_and_older_or_equal_versions_are_ignored() {
    let mut network = Network::converged(5);
    for (version, receivers) in [(7, 4), (3, 0), (7, 0), (8, 4)] {
        network.broadcasts.clear();
        network.broadcast(1, "d", version);
        network.advance(Duration::from_secs(1), ALWAYS);
        let received = network.broadcasts.iter().filter(|b| b.topic == "d" && b.version == version);
        assert_eq!(received.count(), receivers, "version {version}");
    }
}

#[test]
fn topics_are_bounded() {
    let mut network = Network::new(2);
    network.advance(Duration::from_secs(1), ALWAYS);
    for i in 0..20 {
        network.broadcast(0, &format!("d{i}"), 1);
    }
    network.advance(Duration::from_secs(1), ALWAYS);
    assert_eq!(network.broadcasts.len(), 8);
    let now = network.now;
    let member = network.member(0);
    assert_eq!(member.counts().over_capacity, 12);
    member.retain_topics(|topic| topic == "d1");
    let mut out = Vec::new();
    member.broadcast(now, "e", 1, b"", &mut out);
    let is_datagram = |output: &Output| matches!(output, Output::SendDatagram { .. });
    assert!(out.iter().any(is_datagram), "there is capacity again");
}

#[test]
fn a_member_with_another_key_is_ignored() {
    let mut network = Network::new(3);
    network.members[2] = Some(start_member(config(2, 1), "cd"));
    network.advance(Duration::from_secs(3), ALWAYS);
    assert_eq!((network.alive_count_at(0), network.alive_count_at(2)), (2, 1));
    assert!(network.member(0).counts().authentication_failures > 0);
}

#[test]
fn garbage_with_or_without_a_valid_authentication_code_is_dropped() {
    let mut out = Vec::new();
    let keyring = keyring(&"ab".repeat(32));
    let mut member = start_member(config(0, 1), "ab");
    start_member(config(1, 1), "ab").tick(MonotonicTime::ZERO, &mut out);
    let Some(Output::SendDatagram { bytes: announcement, .. }) = out.first().cloned() else {
        panic!("no announcement")
    };
    let payload = keyring.verify(&announcement).expect("authentic").to_vec();
    let receiver = std::cell::RefCell::new(&mut member);
    fuzz_inputs::assert_no_panic_on_malformed_input(&payload, |pieces| {
        let garbage = pieces.concat();
        let mut out = Vec::new();
        receiver.borrow_mut().handle_datagram(MonotonicTime::ZERO, &garbage, &mut out);
        receiver.borrow_mut().handle_datagram(MonotonicTime::ZERO, &keyring.sign(&garbage), &mut out);
    });
    let counts = member.counts();
    assert!(counts.authentication_failures >= 512 && counts.malformed > 0, "{counts:?}");
}

#[test]
fn a_member_reachable_by_indirect_probes_is_not_declared_dead() {
    // Members 0 and 1 are disconnected in both directions, or in one. Members 2 and 3 reach both.
    let both_directions: DeliveryFilter = &|from, to| from.max(to) > 1;
    let one_direction: DeliveryFilter = &|from, to| (from, to) != (0, 1);
    for delivers in [both_directions, one_direction] {
        let mut network = Network::converged(4);
        for _ in 0..50 {
            network.advance(Duration::from_millis(100), delivers);
            network.assert_all_see(0..4, 4);
        }
    }
}

#[test]
fn a_member_paused_for_a_minute_rejoins_within_two_seconds() {
    let mut network = Network::converged(6);
    let paused = network.members[3].take();
    network.advance(Duration::from_secs(60), ALWAYS);
    assert_eq!(network.alive_count_at(0), 5);
    network.members[3] = paused;
    network.advance(Duration::from_secs(2), ALWAYS);
    network.assert_all_see(0..6, 6);
}

#[test]
fn a_key_rotation_during_a_partition_rejects_no_datagram_and_the_partition_heals() {
    let mut network = Network::converged(6);
    let set_keys = |network: &mut Network, members: std::ops::Range<usize>, keys: &str| {
        let keyring = keyring(keys);
        network.members[members].iter_mut().flatten().for_each(|member| member.set_keyring(keyring.clone()));
    };
    let (old, new) = ("ab".repeat(32), "cd".repeat(32));
    // All members accept both keys before any member signs with the new one. During the partition, one side starts to sign
    // with the new key while the other still signs with the old one.
    set_keys(&mut network, 0..6, &format!("{old}\n{new}"));
    network.advance(Duration::from_secs(4), PARTITIONED);
    set_keys(&mut network, 0..3, &format!("{new}\n{old}"));
    network.advance(Duration::from_secs(1), PARTITIONED);
    network.advance(Duration::from_secs(6), ALWAYS);
    network.assert_all_see(0..6, 6);
    set_keys(&mut network, 3..6, &format!("{new}\n{old}"));
    set_keys(&mut network, 0..6, &new);
    network.advance(Duration::from_secs(4), ALWAYS);
    network.assert_all_see(0..6, 6);
    assert!(
        network.members.iter().flatten().all(|m| m.counts().authentication_failures == 0),
        "no datagram was rejected"
    );
}

#[test]
fn two_members_that_share_a_name_are_counted_separately_and_their_name_is_reported() {
    let mut network = Network::new(4);
    assert!(network.member(0).duplicate_names().is_empty());
    let local_member = Member { name: "m1".into(), ..config(3, 1).local_member };
    let duplicate = Config { local_member, ..config(3, 1) };
    network.members[3] = Some(start_member(duplicate, "ab"));
    network.advance(Duration::from_secs(2), ALWAYS);
    for member in network.members.iter().flatten() {
        assert_eq!((member.alive_count(), member.duplicate_names()), (4, vec!["m1".to_owned()]));
    }
    network.members[3] = None;
    network.advance(Duration::from_secs(3), ALWAYS);
    assert!(network.members.iter().flatten().all(|m| m.duplicate_names().is_empty()));
}

/// Guards bulk failure dissemination. With piggybacked updates alone, some of the live members still did not know of all
/// 80 failures among 160 members after 40 s.
#[test]
fn all_members_learn_within_three_seconds_that_half_of_160_have_failed() {
    let mut network = Network::new(0);
    let large_config = |i| Config { max_members: 256, ..config(i, 1) };
    network.members = (0..160).map(|i| Some(start_member(large_config(i), "ab"))).collect();
    let random = std::cell::Cell::new(0u64);
    // A linear congruential generator drops one datagram in ten.
    let lossy: DeliveryFilter = &|_, _| {
        let next =
            random.get().wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        random.set(next);
        next >> 33 & 0x3ff > 102
    };
    network.advance(Duration::from_secs(6), lossy);
    (0..80).for_each(|i| network.members[i] = None);
    let all_know_the_failures = |network: &Network| (80..160).all(|i| network.alive_count_at(i) == 80);
    let elapsed_tenths = (0..100).find(|_| {
        network.advance(Duration::from_millis(100), lossy);
        all_know_the_failures(&network)
    });
    assert!(elapsed_tenths.is_some_and(|tenths| tenths < 30), "{elapsed_tenths:?}");
}
