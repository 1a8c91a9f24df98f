//! Many deaths at once, known to all in seconds.
//!
//! SWIM asks one member after the other whether it lives, and spreads each death as an update of its own with what is sent
//! anyway. That is too slow twice where half of a large cluster dies: some of the dead are asked by nobody for many
//! rounds, and each of hundreds of updates has to be drawn for each of hundreds of hearers. So while many are under suspicion
//! or have just died, questions follow each other [`FASTER`] times as fast, and once in a round of gossip a member drawn
//! at random is told the sum of the deaths that this one knows. Where its own sum differs it answers with what it knows, eight
//! bytes for each death, and what both know grows as fast as a rumour, whatever else the gossip has to tell.
//!
//! On calm days none of it is sent.

use crate::Member;
use foca::Timer;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// While the alarm is on, questions and what waits for their answers are so many times as fast.
pub(crate) const FASTER: u64 = 4;
/// The alarm is on where so few, suspected or just dead, are many: a small cluster's gossip tells three by itself ...
const FEW: usize = 3;
/// ... and where they are one in so many of the living: two to three times what a tenth of lost datagrams brings under suspicion.
/// With one in eight, half of 1,000 members were known to be dead after 13 s instead of 7 s.
const PART: usize = 16;
/// Spans of news for which it is on at most; then it rests until there are fewer. More than a mass death needs. Hurried questions
/// bring more members under suspicion where datagrams are lost, and must not keep the alarm on by that.
const MOST_SPANS: u64 = 5;
/// The first byte of a datagram of this module's. The gossip's own begin with a version of IP, 0 or 1.
const MARK: u8 = 0xFF;
/// Deaths told in a datagram: eight bytes each, and its head, within what one holds.
const MOST_TOLD: usize = 160;
/// Datagrams that an answer has at most ...
const MOST_DATAGRAMS: usize = 4;
/// ... and answers in a round of gossip, when more than one was drawn to be asked here.
const MOST_ANSWERS: u32 = 4;
/// Deaths that are remembered here at most.
const MOST_KNOWN: usize = 4_096;

/// What is told.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Word {
    /// The sum of the deaths that this one has learned of lately, and where to answer.
    Sum(SocketAddr, u64),
    /// Deaths, by [`mark`].
    Gone(Vec<[u8; 8]>),
}

impl Word {
    /// The bytes of a datagram, not yet sealed.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![MARK]).unwrap_or_default()
    }

    /// What a datagram holds, if it is one of these; `Some(Err)` where it only begins like one.
    pub(crate) fn read(data: &[u8]) -> Option<Result<Self, postcard::Error>> {
        data.strip_prefix(&[MARK]).map(postcard::from_bytes)
    }
}

/// What stands for one life of a member.
pub(crate) fn mark(member: &Member) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&postcard::to_stdvec(member).unwrap_or_default())
}

/// What is known of a mass death.
#[derive(Debug)]
pub(crate) struct Alarm {
    /// ms between two looks: a round of gossip.
    round: u64,
    /// ms; the alarm is on for so long after the last news.
    news: u64,
    /// Deaths learned of lately, by mark, and when.
    known: HashMap<u64, u64>,
    /// The same in the order of time.
    order: VecDeque<u64>,
    /// All marks of `known` by exclusive or.
    sum: u64,
    /// Since when it is on, if it is, or rests.
    began: Option<u64>,
    until: u64,
    next: u64,
    answers: u32,
}

impl Alarm {
    /// One for gossip with this round and this span from suspicion to death, both in ms.
    pub(crate) fn new(round: u64, suspect: u64) -> Self {
        let (known, order) = (HashMap::new(), VecDeque::new());
        Self { round, news: 2 * suspect, known, order, sum: 0, began: None, until: 0, next: 0, answers: 0 }
    }

    /// Whether it is on.
    pub(crate) fn on(&self, now: u64) -> bool {
        now < self.until
    }

    /// When [`Alarm::look`] wants to be called.
    pub(crate) fn next_due(&self) -> u64 {
        self.next
    }

    /// Someone has died.
    pub(crate) fn died(&mut self, now: u64, mark: u64) {
        if self.known.len() < MOST_KNOWN && self.known.insert(mark, now).is_none() {
            self.order.push_back(mark);
            self.sum ^= mark;
        }
    }

    /// Looks how many there are, once in a round; the sum to tell a member drawn at random where the alarm is on.
    pub(crate) fn look(&mut self, now: u64, suspects: usize, living: usize) -> Option<u64> {
        if now < self.next {
            return None;
        }
        self.next = now + self.round;
        self.answers = 0;
        // Kept for longer than the alarm lasts, so that sums differ by what is not known to one, not by what it forgot.
        while let Some(oldest) = self.order.front()
            && self.known[oldest] + 10 * self.news < now
        {
            self.sum ^= *oldest;
            self.known.remove(oldest);
            self.order.pop_front();
        }
        let lately = self.order.iter().rev().take_while(|&m| self.known[m] + self.news >= now).count();
        let many = suspects + lately >= FEW.max(living / PART);
        if !many && !self.on(now) {
            self.began = None;
        } else if many {
            self.keep_on(now);
        }
        self.on(now).then_some(self.sum)
    }

    /// Someone has told this sum: what to answer, from `start` on where it is more than one answer holds.
    pub(crate) fn heard(&mut self, now: u64, sum: u64, start: usize) -> Vec<Word> {
        // Who asks has its reasons: those who ask each other find each other's deaths.
        self.keep_on(now);
        if sum == self.sum || self.order.is_empty() || self.answers >= MOST_ANSWERS {
            return Vec::new();
        }
        self.answers += 1;
        let start = start % self.order.len();
        let all: Vec<[u8; 8]> =
            self.order.iter().cycle().skip(start).take(self.order.len()).map(|m| m.to_be_bytes()).collect();
        all.chunks(MOST_TOLD).take(MOST_DATAGRAMS).map(|part| Word::Gone(part.to_vec())).collect()
    }

    fn keep_on(&mut self, now: u64) {
        let most = self.began.get_or_insert(now).saturating_add(MOST_SPANS * self.news);
        self.until = (now + self.news).min(most);
    }

    /// When a timer of the gossip is due that was asked for after this span.
    pub(crate) fn span(&self, now: u64, after: u64, timer: &Timer<Member>) -> u64 {
        let question = matches!(timer, Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. });
        if question && self.on(now) { (after / FASTER).max(1) } else { after }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_is_on_while_many_are_suspected_or_have_died_and_sums_agree_on_the_same_deaths() {
        let mut one = Alarm::new(100, 1_000);
        assert_eq!(one.look(0, 2, 6), None, "two are few");
        assert_eq!(one.look(100, 61, 1_000), None, "61 of 1,000 are what losses bring");
        assert_eq!(one.look(200, 62, 1_000), Some(0));
        assert_eq!(one.look(250, 500, 1_000), None, "once in a round");
        let mut two = Alarm::new(100, 1_000);
        (0..500).for_each(|m| one.died(300, m * 7919 + 1));
        (0..500).rev().for_each(|m| two.died(400, m * 7919 + 1));
        let sum = one.look(400, 0, 500);
        assert!(sum.is_some() && sum == two.look(400, 0, 500));
        assert_eq!(one.look(2_400, 0, 500), None, "nothing new for two spans of suspicion");
    }

    #[test]
    fn it_rests_after_a_while_whatever_is_suspected_or_asked() {
        let mut alarm = Alarm::new(100, 1_000);
        let on = (0..400).filter(|round| {
            let now = round * 100;
            alarm.heard(now, 1, 0);
            alarm.look(now, 500, 1_000).is_some()
        });
        assert_eq!(on.count(), 100, "ten seconds");
        assert_eq!(alarm.look(40_000, 0, 1_000), None);
        assert!(alarm.look(40_100, 500, 1_000).is_some(), "and again when it was over");
    }

    #[test]
    fn an_answer_is_bounded_and_given_only_where_the_sums_differ() {
        let mut alarm = Alarm::new(100, 1_000);
        (1..=1_000).for_each(|m| alarm.died(0, m));
        let sum = alarm.look(0, 0, 1_000).expect("it is on");
        assert!(alarm.heard(0, sum, 0).is_empty());
        let told = alarm.heard(0, 0, 990);
        assert_eq!(told.len(), MOST_DATAGRAMS);
        assert!(told.iter().all(|w| w.bytes().len() + crate::seal::OVERHEAD <= crate::LARGEST));
        (1..MOST_ANSWERS).for_each(|_| assert!(!alarm.heard(0, 0, 0).is_empty()));
        assert!(alarm.heard(0, 0, 0).is_empty(), "no more than so many in a round");
        alarm.look(100, 0, 1_000);
        assert!(!alarm.heard(100, 0, 0).is_empty());
    }

    #[test]
    fn only_questions_are_hurried() {
        let mut alarm = Alarm::new(100, 1_000);
        let question = Timer::SendIndirectProbe {
            probed_id: Member { address: ([127, 0, 0, 1], 1).into(), name: "a".into(), generation: 1 },
            token: 0,
        };
        assert_eq!(alarm.span(0, 400, &question), 400);
        alarm.look(0, 100, 100);
        assert_eq!(alarm.span(1, 400, &question), 100);
        assert_eq!(alarm.span(1, 400, &Timer::PeriodicGossip(0)), 400);
    }
}
