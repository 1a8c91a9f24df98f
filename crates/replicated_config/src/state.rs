//! What the entries of the log say: a pure state machine, the same at each voter after the same entries.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Versions whose texts are kept, the one in force last: what can be shown, compared and gone back to.
const MOST_HISTORY: usize = 16;
/// Proposals whose outcomes are kept. One that comes again later than that many others is a new one.
const MOST_OUTCOMES: usize = 256;

/// A version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Version {
    /// Grows by one with each that is agreed.
    pub number: u64,
    /// Who asked for it.
    pub by: String,
    /// What it says.
    pub text: String,
}

/// What somebody wants changed.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The proposer's own, so that one whose answer was lost and that comes again is taken once.
    pub id: u64,
    /// Who asks.
    pub by: String,
    /// The version that this is to follow; none where any will do.
    pub expect: Option<u64>,
    /// What the new version says.
    pub text: String,
}

/// An entry of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Entry {
    /// A version is proposed.
    Propose(Change),
    /// The proposed version of this number is in force: none who holds a lease acts on the one before alone.
    Force(u64),
}

/// What became of a proposal.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// It is the version of this number.
    Taken(u64),
    /// Another version is the last: its number, and who asked for it.
    Other(u64, String),
    /// The one of this number, asked for by this one, is proposed and not yet in force.
    Busy(u64, String),
    /// It is too large.
    TooLarge,
    /// The voter that leads cannot use it, and says why; nothing is agreed.
    Refused(String),
}

/// What all entries so far amount to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Versions {
    /// Those that were in force, the last one is.
    history: VecDeque<Version>,
    proposed: Option<Version>,
    /// By a proposal's id.
    outcomes: VecDeque<(u64, Outcome)>,
}

impl Versions {
    /// The version in force.
    pub fn in_force(&self) -> Option<&Version> {
        self.history.back()
    }

    /// The one that is to follow it.
    pub fn proposed(&self) -> Option<&Version> {
        self.proposed.as_ref()
    }

    /// The versions that are kept, the one in force last.
    pub fn history(&self) -> impl Iterator<Item = &Version> {
        self.history.iter()
    }

    /// What became of the proposal with this id, if it is known.
    pub fn outcome(&self, id: u64) -> Option<&Outcome> {
        self.outcomes.iter().find(|o| o.0 == id).map(|o| &o.1)
    }

    /// The number of the last version, in force or proposed; 0 before the first.
    pub fn last(&self) -> u64 {
        self.proposed.as_ref().or(self.in_force()).map_or(0, |v| v.number)
    }

    /// Takes the next entry; the outcome where it is a proposal.
    pub fn take(&mut self, entry: Entry) -> Option<Outcome> {
        match entry {
            Entry::Propose(change) => {
                let id = change.id;
                if let Some(known) = self.outcome(id) {
                    return Some(known.clone());
                }
                let outcome = self.propose(change);
                self.outcomes.push_back((id, outcome.clone()));
                if self.outcomes.len() > MOST_OUTCOMES {
                    self.outcomes.pop_front();
                }
                Some(outcome)
            }
            Entry::Force(number) => {
                if let Some(version) = self.proposed.take_if(|v| v.number == number) {
                    self.history.push_back(version);
                    if self.history.len() > MOST_HISTORY {
                        self.history.pop_front();
                    }
                }
                None
            }
        }
    }

    fn propose(&mut self, change: Change) -> Outcome {
        if change.text.len() > crate::MOST_TEXT {
            return Outcome::TooLarge;
        }
        let last = self.in_force().map_or((0, String::new()), |v| (v.number, v.by.clone()));
        if let Some(open) = &self.proposed {
            return Outcome::Busy(open.number, open.by.clone());
        }
        if change.expect.is_some_and(|expect| expect != last.0) {
            return Outcome::Other(last.0, last.1);
        }
        let number = last.0 + 1;
        self.proposed = Some(Version { number, by: change.by, text: change.text });
        Outcome::Taken(number)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(id: u64, expect: Option<u64>) -> Entry {
        Entry::Propose(Change { id, by: format!("p{id}"), expect, text: format!("text {id}") })
    }

    #[test]
    fn of_two_proposals_one_wins_and_the_other_hears_which() {
        let mut versions = Versions::default();
        assert_eq!(versions.take(change(1, Some(0))), Some(Outcome::Taken(1)));
        assert_eq!(versions.take(change(2, Some(0))), Some(Outcome::Busy(1, "p1".into())));
        assert_eq!(versions.take(Entry::Force(1)), None);
        assert_eq!(versions.take(change(3, Some(0))), Some(Outcome::Other(1, "p1".into())));
        assert_eq!(versions.take(change(4, Some(1))), Some(Outcome::Taken(2)));
        assert_eq!(versions.take(Entry::Force(7)), None, "no such proposal");
        assert_eq!((versions.in_force().map(|v| v.number), versions.last()), (Some(1), 2));
    }

    #[test]
    fn one_that_comes_again_is_taken_once() {
        let mut versions = Versions::default();
        assert_eq!(versions.take(change(1, None)), Some(Outcome::Taken(1)));
        versions.take(Entry::Force(1));
        assert_eq!(versions.take(change(1, None)), Some(Outcome::Taken(1)));
        assert_eq!((versions.last(), versions.proposed()), (1, None));
    }

    #[test]
    fn what_is_kept_is_bounded_and_too_large_a_text_is_refused() {
        let mut versions = Versions::default();
        let large = Change { id: 0, by: "p".into(), expect: None, text: "x".repeat(crate::MOST_TEXT + 1) };
        assert_eq!(versions.take(Entry::Propose(large)), Some(Outcome::TooLarge));
        for id in 1..=1_000 {
            versions.take(change(id, None));
            versions.take(Entry::Force(id));
        }
        assert_eq!(versions.history().count(), MOST_HISTORY);
        assert_eq!(versions.outcomes.len(), MOST_OUTCOMES);
        assert_eq!(versions.in_force().map(|v| v.number), Some(1_000));
    }
}
