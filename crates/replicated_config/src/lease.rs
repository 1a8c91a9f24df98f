//! Until when a gatekeeper may act on what it knows, and when a leader may put a version in force. Time is milliseconds of each
//! one's own monotonic clock.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Gatekeepers whose questions a leader remembers.
const MOST_ASKERS: usize = 4_096;

/// Part of T after which a voter that has not answered is thought to be away.
const PATIENCE: u64 = 15;

/// How far a version is.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Stage {
    /// Proposed: to be acted on together with the one before it, by the stricter of both.
    #[default]
    Proposed,
    /// In force: to be acted on alone.
    InForce,
}

/// What a leader answers, once a majority has confirmed after the question came that it leads.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// The asker's own number of its question.
    pub question: u64,
    /// The last version.
    pub version: u64,
    /// How far it is.
    pub stage: Stage,
}

/// A gatekeeper's lease.
#[derive(Clone, Debug)]
pub struct Asker {
    /// T: an answer holds for so long from its question on.
    span: u64,
    /// The voter to ask, as its place among all.
    to: usize,
    /// The question that is out, and when it was asked.
    open: Option<(u64, u64)>,
    next: u64,
    known: Option<(u64, Stage)>,
    until: u64,
}

impl Asker {
    /// One without a lease. `span`: T. `first`: a number that no earlier life of this gatekeeper has used.
    pub fn new(span: u64, first: u64) -> Self {
        Self { span, to: 0, open: None, next: first, known: None, until: 0 }
    }

    /// A new question, which replaces the one before: its number, and the place of the voter that it goes to. One that said
    /// nothing to the last question is not asked again before all others.
    pub fn ask(&mut self, now: u64, voters: usize) -> (u64, usize) {
        if self.open.is_some_and(|open| now >= open.1 + self.span / PATIENCE) {
            self.to += 1;
        }
        self.to %= voters.max(1);
        let question = self.next;
        self.next += 1;
        self.open = Some((question, now));
        (question, self.to)
    }

    /// The voter that was asked this question does not lead; this one does, as far as it knows. Tells whether to ask that one at
    /// once.
    pub fn elsewhere(&mut self, question: u64, leads: Option<usize>) -> bool {
        if self.open.take_if(|open| open.0 == question).is_none() {
            return false;
        }
        // Nobody leads, or nobody whom it knows: the next one is asked, in time.
        let moved = leads.is_some_and(|leads| leads != self.to);
        self.to = leads.unwrap_or(self.to + 1);
        moved
    }

    /// Takes an answer; tells whether it was one to the question that is out.
    pub fn answered(&mut self, answer: Answer) -> bool {
        let Some((_, asked)) = self.open.take_if(|open| open.0 == answer.question) else { return false };
        let last = (answer.version, answer.stage);
        // Answers are linearizable, so none is older than the one before it; what is not so is no answer to trust.
        if self.known.is_some_and(|known| known > last) {
            return false;
        }
        self.known = Some(last);
        self.until = self.until.max(asked + self.span);
        true
    }

    /// The last version and its stage, while the lease lasts.
    pub fn holds(&self, now: u64) -> Option<(u64, Stage)> {
        self.known.filter(|_| now < self.until)
    }

    /// When the lease ends, or ended.
    pub fn until(&self) -> u64 {
        self.until
    }

    /// What was known last, lease or no lease.
    pub fn known(&self) -> Option<(u64, Stage)> {
        self.known
    }
}

/// A lease that a gatekeeper may hold.
#[derive(Clone, Copy, Debug)]
struct Given {
    /// The question that was answered last.
    question: u64,
    /// It has ended by then.
    until: u64,
    /// It is on this version at the least.
    knew: u64,
}

/// What a leader knows of the leases on a version before the one that is proposed.
#[derive(Clone, Debug)]
pub struct Leader {
    span: u64,
    /// Leases that an earlier leader gave have ended by then.
    blind_until: u64,
    given: BTreeMap<String, Given>,
}

impl Leader {
    /// One that has led since now.
    pub fn new(now: u64, span: u64) -> Self {
        Self { span, blind_until: now + span, given: BTreeMap::new() }
    }

    /// This question of a gatekeeper is answered, now. `knew`: the last version that it knew when it asked. The answer itself may
    /// be lost, and an earlier one hold on, so that only what it says itself is known of it. False: it may not be answered, as
    /// there is no room to remember it, or as a later one was.
    pub fn answers(&mut self, now: u64, who: &str, question: u64, knew: u64) -> bool {
        if self.given.get(who).is_some_and(|given| question < given.question && now < given.until) {
            return false;
        }
        if self.given.len() >= MOST_ASKERS && !self.given.contains_key(who) {
            self.given.retain(|_, given| given.until > now);
            if self.given.len() >= MOST_ASKERS {
                return false;
            }
        }
        // Asked before now, so its lease ends before this.
        self.given.insert(who.to_owned(), Given { question, until: now + self.span, knew });
        true
    }

    /// Whether nobody holds a lease on a version before this one any more.
    pub fn may_force(&self, now: u64, version: u64) -> bool {
        now >= self.blind_until
            && self.given.values().all(|given| given.knew >= version || now >= given.until)
    }

    /// All who may hold a lease that was given here.
    pub fn holders(&self, now: u64) -> impl Iterator<Item = &str> {
        self.given.iter().filter(move |(_, g)| now < g.until).map(|(who, _)| who.as_str())
    }

    /// Who still holds a lease on an earlier one.
    pub fn behind(&self, now: u64, version: u64) -> impl Iterator<Item = &str> {
        self.given.iter().filter(move |(_, g)| g.knew < version && now < g.until).map(|(who, _)| who.as_str())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const T: u64 = 3_000;

    fn answer(question: u64, version: u64, stage: Stage) -> Answer {
        Answer { question, version, stage }
    }

    #[test]
    fn a_lease_lasts_from_its_question_on_and_only_the_last_question_is_answered() {
        let mut asker = Asker::new(T, 7);
        let first = asker.ask(1_000, 3).0;
        let second = asker.ask(1_500, 3).0;
        assert!(!asker.answered(answer(first, 1, Stage::InForce)));
        assert!(asker.answered(answer(second, 1, Stage::InForce)));
        assert!(!asker.answered(answer(second, 2, Stage::InForce)), "it comes twice");
        assert_eq!(asker.holds(4_499), Some((1, Stage::InForce)));
        assert_eq!((asker.holds(4_500), asker.known()), (None, Some((1, Stage::InForce))));
    }

    #[test]
    fn who_says_nothing_is_not_asked_again_before_all_others() {
        let mut asker = Asker::new(T, 0);
        let to: Vec<usize> = (0..5).map(|i| asker.ask(i * 250, 3).1).collect();
        assert_eq!(to, [0, 1, 2, 0, 1]);
        assert!(!asker.elsewhere(0, Some(2)), "of an earlier question");
        assert!(asker.elsewhere(4, Some(2)));
        let (question, to) = asker.ask(1_300, 3);
        assert_eq!(to, 2);
        assert!(asker.answered(answer(question, 1, Stage::InForce)));
        assert_eq!(asker.ask(1_500, 3).1, 2);
        assert!(!asker.elsewhere(6, None));
        assert_eq!(asker.ask(2_000, 3).1, 0);
    }

    #[test]
    fn an_answer_never_leads_back() {
        let mut asker = Asker::new(T, 0);
        let question = asker.ask(0, 3).0;
        assert!(asker.answered(answer(question, 2, Stage::InForce)));
        let question = asker.ask(10, 3).0;
        assert!(!asker.answered(answer(question, 2, Stage::Proposed)));
        assert_eq!(asker.holds(2_999), Some((2, Stage::InForce)));
        assert_eq!(asker.holds(3_000), None);
    }

    #[test]
    fn a_version_waits_for_all_leases_on_the_one_before() {
        let mut leader = Leader::new(0, T);
        assert!(leader.answers(3_500, "a", 1, 1));
        assert!(leader.answers(4_000, "b", 1, 1));
        assert!(leader.answers(4_100, "a", 2, 2));
        assert!(!leader.may_force(4_200, 2));
        assert_eq!(leader.behind(4_200, 2).collect::<Vec<_>>(), ["b"]);
        assert!(leader.answers(4_300, "b", 2, 2));
        assert!(leader.may_force(4_300, 2));
        // A question that was overtaken says nothing of what its gatekeeper knows.
        assert!(!leader.answers(4_350, "b", 1, 1) && leader.may_force(4_350, 2));
        // One that is never heard of again holds it up for a span.
        assert!(leader.answers(4_400, "c", 1, 1));
        assert!(!leader.may_force(7_399, 2) && leader.may_force(7_400, 2));
    }

    #[test]
    fn a_new_leader_waits_for_leases_that_another_gave() {
        let leader = Leader::new(1_000, T);
        assert!(!leader.may_force(3_999, 2) && leader.may_force(4_000, 2));
    }

    #[test]
    fn who_is_remembered_is_bounded_and_who_is_not_gets_no_lease() {
        let mut leader = Leader::new(0, T);
        assert!((0..MOST_ASKERS).all(|i| leader.answers(0, &i.to_string(), 1, 1)));
        assert!(!leader.answers(2_999, "one more", 1, 1));
        assert!(leader.answers(3_000, "one more", 1, 1), "the others' have ended");
    }
}
