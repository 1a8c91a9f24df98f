//! A few members in simulated time; the larger ones are in the crate `simulated`.

use super::*;

fn keys(byte: &str) -> Keys {
    Keys::parse(&byte.repeat(32)).expect("keys")
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + i as u16))
}

fn config(i: usize, generation: u64) -> Config {
    Config {
        me: Member { address: address(i), name: format!("m{i}"), generation },
        peers: vec![address(0), address(1)],
        probe: 200,
        answer: 60,
        suspect: 400,
        gossip: 50,
        join: 200,
        most_members: 32,
        most_topics: 8,
        seed: i as u64,
    }
}

/// Members that hear each other at once, where `hears` says so.
struct Net {
    now: u64,
    members: Vec<Option<Membership>>,
    news: Vec<(usize, String, u64)>,
}

impl Net {
    fn new(count: usize) -> Self {
        let members = (0..count).map(|i| Some(Membership::new(config(i, 1), keys("ab")))).collect();
        Self { now: 0, members, news: Vec::new() }
    }

    fn deliver(&mut self, from: usize, out: Vec<Output>, hears: &dyn Fn(usize, usize) -> bool) {
        let mut todo: Vec<(usize, Output)> = out.into_iter().map(|o| (from, o)).collect();
        while let Some((from, output)) = todo.pop() {
            match output {
                Output::Send(to, bytes) => {
                    let to = usize::from(to.port() - 7000);
                    if let Some(Some(member)) = self.members.get_mut(to)
                        && hears(from, to)
                    {
                        let mut out = Vec::new();
                        member.datagram(self.now, &bytes, &mut out);
                        todo.extend(out.into_iter().map(|o| (to, o)));
                    }
                }
                Output::News { topic, version, .. } => self.news.push((from, topic, version)),
                Output::Changed | Output::Returned(_) => {}
            }
        }
    }

    fn pass(&mut self, span: u64, hears: &dyn Fn(usize, usize) -> bool) {
        for _ in 0..span / 10 {
            self.now += 10;
            for i in 0..self.members.len() {
                let mut out = Vec::new();
                if let Some(member) = &mut self.members[i] {
                    member.tick(self.now, &mut out);
                }
                self.deliver(i, out, hears);
            }
        }
    }

    fn living(&self, i: usize) -> usize {
        self.members[i].as_ref().map_or(0, |m| m.living().len())
    }
}

const ALL: &dyn Fn(usize, usize) -> bool = &|_, _| true;

#[test]
fn all_find_each_other_and_notice_who_dies_leaves_or_returns() {
    let mut net = Net::new(6);
    net.pass(2_000, ALL);
    assert_eq!((0..6).map(|i| net.living(i)).collect::<Vec<_>>(), [6; 6]);
    net.members[5] = None;
    net.pass(3_000, ALL);
    assert_eq!(net.living(0), 5);
    // Who leaves is gone at once, without any suspicion.
    let mut out = Vec::new();
    let now = net.now;
    net.members[4].as_mut().expect("it lives").leave(now, &mut out);
    net.deliver(4, out, ALL);
    net.members[4] = None;
    net.pass(300, ALL);
    assert_eq!((0..4).map(|i| net.living(i)).collect::<Vec<_>>(), [4; 4]);
    // A restart under the same name and address counts at once, though the others remember it as dead.
    net.members[5] = Some(Membership::new(config(5, 2), keys("ab")));
    net.pass(2_000, ALL);
    assert_eq!(net.living(0), 5);
}

#[test]
fn a_split_heals() {
    let mut net = Net::new(6);
    net.pass(2_000, ALL);
    let side = |a: usize, b: usize| (a < 3) == (b < 3);
    net.pass(4_000, &side);
    assert_eq!((net.living(0), net.living(5)), (3, 3));
    net.pass(6_000, ALL);
    assert_eq!((0..6).map(|i| net.living(i)).collect::<Vec<_>>(), [6; 6]);
}

#[test]
fn news_reach_all_and_an_older_version_never_overtakes() {
    let mut net = Net::new(5);
    net.pass(2_000, ALL);
    for (version, heard) in [(7, 4), (3, 0), (7, 0), (8, 4)] {
        net.news.clear();
        let mut out = Vec::new();
        let now = net.now;
        net.members[1].as_mut().expect("it lives").tell(now, "d", version, b"down", &mut out);
        net.deliver(1, out, ALL);
        net.pass(1_000, ALL);
        assert_eq!(net.news.iter().filter(|(_, t, v)| t == "d" && *v == version).count(), heard, "{version}");
    }
}

#[test]
fn topics_are_bounded() {
    let mut net = Net::new(2);
    net.pass(1_000, ALL);
    for i in 0..20 {
        let (mut out, now) = (Vec::new(), net.now);
        net.members[0].as_mut().expect("it lives").tell(now, &format!("d{i}"), 1, b"", &mut out);
        net.deliver(0, out, ALL);
    }
    net.pass(1_000, ALL);
    assert_eq!(net.news.len(), 8);
    let member = net.members[0].as_mut().expect("it lives");
    assert_eq!(member.counts().over, 12);
    member.retain_topics(|topic| topic == "d1");
    let mut out = Vec::new();
    member.tell(net.now, "e", 1, b"", &mut out);
    assert!(out.iter().any(|o| matches!(o, Output::Send(..))), "there is room again");
}

#[test]
fn who_has_another_key_is_not_heard() {
    let mut net = Net::new(3);
    net.members[2] = Some(Membership::new(config(2, 1), keys("cd")));
    net.pass(3_000, ALL);
    assert_eq!((net.living(0), net.living(2)), (2, 1));
    assert!(net.members[0].as_ref().expect("it lives").counts().strange > 0);
}

#[test]
fn garbage_is_dropped_though_it_is_sealed() {
    let mut out = Vec::new();
    let mut member = Membership::new(config(0, 1), keys("ab"));
    Membership::new(config(1, 1), keys("ab")).tick(0, &mut out);
    let Some(Output::Send(_, valid)) = out.first().cloned() else { panic!("no announcement") };
    let valid = keys("ab").open(&valid).expect("sealed").to_vec();
    let state = std::cell::RefCell::new(&mut member);
    cuts::survives_garbage(&valid, |pieces| {
        let data = pieces.concat();
        let mut out = Vec::new();
        state.borrow_mut().datagram(0, &data, &mut out);
        state.borrow_mut().datagram(0, &keys("ab").seal(&data), &mut out);
    });
    let counts = member.counts();
    assert!(counts.strange >= 512 && counts.unusable > 0, "{counts:?}");
}

#[test]
fn who_is_reached_by_a_third_is_not_taken_for_dead() {
    // 0 and 1 hear nothing of each other, or one does not hear the other; 2 and 3 reach both.
    let apart: &dyn Fn(usize, usize) -> bool = &|a, b| a.max(b) > 1;
    let one_way: &dyn Fn(usize, usize) -> bool = &|a, b| (a, b) != (0, 1);
    for hears in [apart, one_way] {
        let mut net = Net::new(4);
        net.pass(2_000, ALL);
        for _ in 0..50 {
            net.pass(100, hears);
            assert_eq!((0..4).map(|i| net.living(i)).collect::<Vec<_>>(), [4; 4]);
        }
    }
}

#[test]
fn one_that_stood_still_for_a_minute_is_back_in_seconds() {
    let mut net = Net::new(6);
    net.pass(2_000, ALL);
    let still = net.members[3].take();
    net.pass(60_000, ALL);
    assert_eq!(net.living(0), 5);
    net.members[3] = still;
    net.pass(2_000, ALL);
    assert_eq!((0..6).map(|i| net.living(i)).collect::<Vec<_>>(), [6; 6]);
}

#[test]
fn keys_are_changed_while_split_and_all_agree_when_it_heals() {
    let mut net = Net::new(6);
    net.pass(2_000, ALL);
    let side = |a: usize, b: usize| (a < 3) == (b < 3);
    let set = |net: &mut Net, who: std::ops::Range<usize>, text: &str| {
        let keys = Keys::parse(text).expect("keys");
        net.members[who].iter_mut().flatten().for_each(|m| m.set_keys(keys.clone()));
    };
    let (old, new) = ("ab".repeat(32), "cd".repeat(32));
    // Both are valid everywhere before the new one seals anywhere; one side is a step ahead while they are apart.
    set(&mut net, 0..6, &format!("{old}\n{new}"));
    net.pass(4_000, &side);
    set(&mut net, 0..3, &format!("{new}\n{old}"));
    net.pass(1_000, &side);
    net.pass(6_000, ALL);
    assert_eq!((0..6).map(|i| net.living(i)).collect::<Vec<_>>(), [6; 6]);
    set(&mut net, 3..6, &format!("{new}\n{old}"));
    set(&mut net, 0..6, &new);
    net.pass(4_000, ALL);
    assert_eq!((0..6).map(|i| net.living(i)).collect::<Vec<_>>(), [6; 6]);
    assert!(net.members.iter().flatten().all(|m| m.counts().strange == 0), "no datagram was turned down");
}

#[test]
fn two_of_one_name_are_two_members_and_told() {
    let mut net = Net::new(4);
    assert!(net.members[0].as_ref().expect("it lives").twins().is_empty());
    let twin = Config { me: Member { name: "m1".into(), ..config(3, 1).me }, ..config(3, 1) };
    net.members[3] = Some(Membership::new(twin, keys("ab")));
    net.pass(2_000, ALL);
    for member in net.members.iter().flatten() {
        assert_eq!((member.count(), member.twins()), (4, vec!["m1".to_owned()]));
    }
    net.members[3] = None;
    net.pass(3_000, ALL);
    assert!(net.members.iter().flatten().all(|m| m.twins().is_empty()));
}

/// Guards against deaths that only the gossip's own updates tell: 80 of 160 were then not known to all after 40 s.
#[test]
fn half_of_many_die_and_all_know_in_seconds() {
    let mut net = Net::new(0);
    let room = |i| Config { most_members: 256, ..config(i, 1) };
    net.members = (0..160).map(|i| Some(Membership::new(room(i), keys("ab")))).collect();
    let turn = std::cell::Cell::new(0u64);
    // One datagram in ten is lost.
    let lossy: &dyn Fn(usize, usize) -> bool = &|_, _| {
        turn.set(turn.get().wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407));
        turn.get() >> 33 & 0x3ff > 102
    };
    net.pass(6_000, lossy);
    (0..80).for_each(|i| net.members[i] = None);
    let knows = |net: &Net| (80..160).all(|i| net.living(i) == 80);
    let took = (0..100).find(|_| {
        net.pass(100, lossy);
        knows(&net)
    });
    assert!(took.is_some_and(|tenths| tenths < 30), "{took:?}");
}
