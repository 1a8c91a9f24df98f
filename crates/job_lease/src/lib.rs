//! The claim that makes a round of a duty exclusive.
//!
//! Gossip only says who should try a round. What makes it exclusive is one key for each duty in a store that is
//! linearizable for a single key: the key holds the last round that anybody has claimed, and a claim replaces it only
//! where nobody has replaced it since it was read (check-and-set). [`protocol`] is that protocol for one key, without
//! I/O, and the same code is checked by the model in `tests/model.rs`. [`consul`] turns it into requests of Consul's HTTP
//! API and reads the answers; [`local`] keeps the keys in the process, for one box alone.
//!
//! Invariants:
//!
//! - The round under a key only grows while the store lives.
//! - A claim is made in a session, and a session belongs to one life of the store. A claim from before the store came
//!   back empty therefore never takes hold, even where an index happens to be the same again.
//! - An absent key is never claimed but seeded: with a round that no instance, its clock being within the stated bound,
//!   can have claimed in the store's life before.

pub mod consul;
pub mod local;
pub mod protocol;

pub use protocol::{Found, Held, Record, Step, Want, step};

use std::fmt;

/// A session with the store: claims made in it are void once it is gone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    /// The store's name for it.
    pub id: String,
    /// The key that it holds, by which a claim checks that it still lives.
    pub key: String,
}

/// Why a call to the store brought nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was applied: it was refused before, or never sent.
    NotApplied(String),
    /// It may have been applied, or may yet be.
    Unknown(String),
}

impl Failure {
    /// What the store or the system said.
    pub fn reason(&self) -> &str {
        let (Self::NotApplied(reason) | Self::Unknown(reason)) = self;
        reason
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotApplied(reason) => write!(f, "{reason}"),
            Self::Unknown(reason) => write!(f, "{reason}; it may have been applied"),
        }
    }
}

impl std::error::Error for Failure {}

/// What came of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Put {
    /// It holds, at this index.
    Won {
        /// The key's index from now on.
        index: u64,
    },
    /// Somebody has replaced the record since it was read.
    Lost,
    /// The session in which it was made is gone: nothing was applied, and nothing known of the store's keys holds.
    SessionGone,
    /// No answer that tells.
    Failed(Failure),
}

/// What a read found: for each name its record, where there is one, and the store's index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// By name.
    pub held: Vec<(String, Found)>,
    /// The store's index at the time of reading.
    pub index: u64,
}
