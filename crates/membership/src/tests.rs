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
