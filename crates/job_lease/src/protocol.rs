//! The protocol for one key.

use serde::{Deserialize, Serialize};

/// What stands under a duty's key: the last round that was claimed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The round. All rounds up to it are settled.
    pub round: u64,
    /// Who claimed it; empty for a seed.
    pub by: String,
    /// Distinguishes this claim from any other, also from one by the same instance before its restart; 0 for a seed.
    pub id: u64,
}

/// A record with the index at which it was written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    /// The record.
    pub record: Record,
    /// The store's index of its last change (Consul's `ModifyIndex`).
    pub index: u64,
}

/// What was found under a key; `None` where the key does not exist.
pub type Found = Option<Held>;

/// A round that an instance wants.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Want {
    /// The round.
    pub round: u64,
    /// The claim's id, the same for all tries of one instance at one round; never 0.
    pub id: u64,
    /// The round that seeds an absent key: the round of the instance's clock put forward by the most that two clocks may
    /// differ. No round after it can have been claimed by anybody.
    pub seed: u64,
}

/// What to do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The round is settled, by somebody else or by a seed: leave it.
    Taken,
    /// It was claimed with this very id: the answer must have been lost. Run it if there is time.
    Mine,
    /// Write a seed where there must still be no key. Nothing is run.
    Seed,
    /// Write the claim where the key's index must still be this one.
    Put {
        /// The index.
        index: u64,
    },
}

/// What to do about a round, by what was found under its key.
pub fn step(found: &Found, want: &Want) -> Step {
    match found {
        None => Step::Seed,
        Some(held) if held.record.round == want.round && held.record.id == want.id => Step::Mine,
        Some(held) if held.record.round >= want.round && !weakened::breaks("rounds") => Step::Taken,
        Some(held) => Step::Put { index: held.index },
    }
}

impl Want {
    /// The record that claims the round.
    pub fn claim(&self, by: &str) -> Record {
        Record { round: self.round, by: by.to_owned(), id: self.id }
    }

    /// The record that seeds an absent key.
    pub fn seed(&self) -> Record {
        Record { round: self.seed.max(self.round), by: String::new(), id: 0 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn held(round: u64, id: u64) -> Found {
        Some(Held { record: Record { round, by: "b".into(), id }, index: 40 + round })
    }

    const WANT: Want = Want { round: 7, id: 3, seed: 8 };

    #[test]
    fn only_a_settled_earlier_round_is_replaced() {
        assert_eq!(step(&held(6, 9), &WANT), Step::Put { index: 46 });
        assert_eq!(step(&held(7, 9), &WANT), Step::Taken);
        assert_eq!(step(&held(8, 9), &WANT), Step::Taken, "its clock is behind, or it slept");
    }

    #[test]
    fn a_claim_whose_answer_was_lost_is_known_again_but_not_one_from_before_a_restart() {
        assert_eq!(step(&held(7, 3), &WANT), Step::Mine);
        assert_eq!(step(&held(7, 4), &WANT), Step::Taken);
        assert_eq!(step(&held(6, 3), &WANT), Step::Put { index: 46 });
    }

    #[test]
    fn an_absent_key_is_seeded_past_any_clock_and_never_claimed() {
        assert_eq!(step(&None, &WANT), Step::Seed);
        assert_eq!(WANT.seed(), Record { round: 8, by: String::new(), id: 0 });
        assert_eq!(Want { seed: 2, ..WANT }.seed().round, 7, "never behind the round itself");
    }
}
