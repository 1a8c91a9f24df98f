//! Rendezvous hashing (Thaler and Ravishankar, 1998) ranks the live members for each job. When a member leaves, only its
//! own jobs move, and they spread over all others.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns a hash that is the same in every build, because instances of different versions must agree on the ranking.
pub(crate) fn stable_hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// The hash of a job's name, the same in every build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobHash(pub u64);

impl JobHash {
    /// Hashes the name of a job.
    pub fn from_name(name: &str) -> Self {
        Self(stable_hash(name))
    }
}

/// The hash of a member's name, the same in every build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberHash(pub u64);

impl MemberHash {
    /// Hashes the name of a member, which is its instance name.
    pub fn from_name(name: &str) -> Self {
        Self(stable_hash(name))
    }
}

/// The live members by the hash of their names.
#[derive(Clone, Debug, Default)]
pub struct Members {
    names: BTreeMap<MemberHash, String>,
}

/// The members that differ between two successive sets of live members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChange {
    /// The members that are only in the later set.
    pub joined: Vec<MemberHash>,
    /// The members that are only in the earlier set.
    pub left: Vec<MemberHash>,
}

impl MembershipChange {
    /// Whether both sets have the same members.
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty() && self.left.is_empty()
    }
}

impl Members {
    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns the name of a live member. `None` if no live member has this hash.
    pub fn name(&self, member: MemberHash) -> Option<&str> {
        self.names.get(&member).map(String::as_str)
    }

    /// Replaces the set of live members. Returns which members joined and left.
    pub fn replace(&mut self, names: impl IntoIterator<Item = String>) -> MembershipChange {
        let after: BTreeMap<MemberHash, String> =
            names.into_iter().map(|name| (MemberHash::from_name(&name), name)).collect();
        let joined = after.keys().filter(|member| !self.names.contains_key(member)).copied().collect();
        let left = self.names.keys().filter(|member| !after.contains_key(member)).copied().collect();
        self.names = after;
        MembershipChange { joined, left }
    }
}

/// A member and its weight for one job. The candidate that compares greatest has rank 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    weight: u64,
    member: MemberHash,
}

impl Candidate {
    fn new(job: JobHash, member: MemberHash) -> Self {
        Self { weight: xxh3_64_with_seed(&job.0.to_le_bytes(), member.0), member }
    }
}

/// The first members for one job, ordered by decreasing weight. A member's position is its rank.
#[derive(Clone, Debug)]
pub struct Ranking {
    job: JobHash,
    max_ranks: usize,
    /// The ranked members in the order of their ranks, at most `max_ranks`.
    candidates: Vec<Candidate>,
}

impl Ranking {
    /// Ranks all members for a job and keeps those with the first `max_ranks` ranks.
    pub fn new(job: JobHash, members: &Members, max_ranks: usize) -> Self {
        let mut ranking = Self { job, max_ranks, candidates: Vec::new() };
        ranking.rebuild(members);
        ranking
    }

    fn rebuild(&mut self, members: &Members) {
        self.candidates.clear();
        for &member in members.names.keys() {
            self.insert(member);
        }
    }

    fn insert(&mut self, member: MemberHash) {
        let candidate = Candidate::new(self.job, member);
        let rank = self.candidates.partition_point(|&other| other > candidate);
        if rank < self.max_ranks {
            self.candidates.insert(rank, candidate);
            self.candidates.truncate(self.max_ranks);
        }
    }

    /// Updates the ranking after the live members have changed. `members` is the set after the change. Returns whether the
    /// ranking has changed. The ranking is rebuilt only if a ranked member has left.
    pub fn update(&mut self, members: &Members, change: &MembershipChange) -> bool {
        let before = self.candidates.clone();
        if self.candidates.iter().any(|candidate| change.left.contains(&candidate.member)) {
            self.rebuild(members);
        } else {
            for &member in &change.joined {
                self.insert(member);
            }
        }
        self.candidates != before
    }

    /// Returns the rank of a member. `None` if the member is not among the first `max_ranks`.
    pub fn rank(&self, member: MemberHash) -> Option<usize> {
        self.candidates.iter().position(|candidate| candidate.member == member)
    }

    /// Returns the member with rank 0. `None` if there are no members.
    pub fn owner(&self) -> Option<MemberHash> {
        self.candidates.first().map(|candidate| candidate.member)
    }
}

#[cfg(test)]
mod tests;
