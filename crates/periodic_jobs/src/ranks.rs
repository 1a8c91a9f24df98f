//! Who comes first for a duty: rendezvous hashing (Thaler and Ravishankar, 1998). When a member goes, only its own duties
//! move, and they spread over all others.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A hash that is the same in every build: instances of different versions must agree.
pub fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The weight of a member for a duty.
fn weight(duty: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&duty.to_le_bytes(), member)
}

/// The living, by the hash of their names.
#[derive(Clone, Debug, Default)]
pub struct Members {
    names: BTreeMap<u64, String>,
}

impl Members {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The name behind a hash.
    pub fn name(&self, member: u64) -> Option<&str> {
        self.names.get(&member).map(String::as_str)
    }

    /// Replaces them; brings the hashes of who is new and who is gone.
    pub fn set(&mut self, names: impl IntoIterator<Item = String>) -> (Vec<u64>, Vec<u64>) {
        let after: BTreeMap<u64, String> = names.into_iter().map(|n| (hash(&n), n)).collect();
        let new = after.keys().filter(|h| !self.names.contains_key(h)).copied().collect();
        let gone = self.names.keys().filter(|h| !after.contains_key(h)).copied().collect();
        self.names = after;
        (new, gone)
    }
}

/// The first few members for one duty, best first.
#[derive(Clone, Debug, Default)]
pub struct Top {
    best: Vec<(u64, u64)>,
}

impl Top {
    /// Orders all members anew and keeps the first `most`.
    pub fn build(&mut self, duty: u64, members: &Members, most: usize) {
        self.best.clear();
        for &member in members.names.keys() {
            self.add(duty, member, most);
        }
    }

    fn add(&mut self, duty: u64, member: u64, most: usize) {
        let entry = (weight(duty, member), member);
        let at = self.best.partition_point(|&other| other > entry);
        if at < most {
            self.best.insert(at, entry);
            self.best.truncate(most);
        }
    }

    /// Takes in changes; tells whether the order may have changed. Only a duty that loses one of its first members is
    /// ordered anew.
    pub fn change(&mut self, duty: u64, members: &Members, new: &[u64], gone: &[u64], most: usize) -> bool {
        let before = self.best.clone();
        if self.best.iter().any(|(_, m)| gone.contains(m)) {
            self.build(duty, members, most);
        } else {
            for &member in new {
                self.add(duty, member, most);
            }
        }
        self.best != before
    }

    /// The place of a member, from 0.
    pub fn rank(&self, member: u64) -> Option<usize> {
        self.best.iter().position(|&(_, m)| m == member)
    }

    /// Who comes first.
    pub fn first(&self) -> Option<u64> {
        self.best.first().map(|&(_, m)| m)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(count: usize) -> Members {
        let mut members = Members::default();
        members.set((0..count).map(|i| format!("m{i}")));
        members
    }

    #[test]
    fn only_the_duties_of_who_is_gone_move_and_they_spread() {
        let mut living = members(8);
        let duties: Vec<u64> = (0..800).map(|i| hash(&format!("d{i}"))).collect();
        let mut tops: Vec<Top> = duties.iter().map(|_| Top::default()).collect();
        for (top, &duty) in tops.iter_mut().zip(&duties) {
            top.build(duty, &living, 4);
        }
        let before: Vec<_> = tops.iter().map(Top::first).collect();
        let (new, gone) = living.set((1..8).map(|i| format!("m{i}")));
        assert_eq!((new.len(), gone.len()), (0, 1));
        let mut taken = BTreeMap::new();
        for (i, top) in tops.iter_mut().enumerate() {
            top.change(duties[i], &living, &new, &gone, 4);
            if before[i] == Some(gone[0]) {
                *taken.entry(top.first()).or_insert(0) += 1;
            } else {
                assert_eq!(top.first(), before[i]);
            }
        }
        assert_eq!(taken.len(), 7, "each of the others takes some over");
    }

    #[test]
    fn changes_give_the_same_order_as_ordering_anew() {
        let mut living = members(20);
        for duty in (0..50).map(|i| hash(&format!("d{i}"))) {
            let mut top = Top::default();
            top.build(duty, &living, 4);
            for round in 0..10 {
                let (new, gone) = living.set((round..20 + 2 * round).map(|i| format!("m{i}")));
                top.change(duty, &living, &new, &gone, 4);
                let mut anew = Top::default();
                anew.build(duty, &living, 4);
                assert_eq!(top.best, anew.best);
            }
        }
    }
}
