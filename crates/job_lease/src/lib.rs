//! The lease that makes each run of a periodic job exclusive.
//!
//! Gossip determines only which instance should attempt a run. Exclusivity comes from one key per job in a store that is
//! linearizable for a single key. The key holds a record of the last acquired run. An instance acquires the next run by
//! compare-and-set, which fails if the record has changed since it was read. [`decide`] is that protocol for one key,
//! without I/O, and the model checker in `tests/model.rs` checks the same code. [`consul`] builds requests to Consul's HTTP
//! API and parses its responses. [`LocalStore`] holds the keys in memory, for a single instance.
//!
//! A run is settled once the record holds it or a later one: it can no longer be acquired. A seed is a record that settles
//! runs without a lease holder.
//!
//! Invariants:
//!
//! - The run under a key never decreases while the store keeps its data.
//! - A compare-and-set is bound to a session, and a session to one incarnation of the store. After a store has lost its data,
//!   a delayed write from before the loss therefore never takes effect, even if the key's index matches again.
//! - An absent key is never acquired directly. It is first seeded with a run that is at least as late as any run that an
//!   instance whose clock is within the maximum skew can have acquired before the store lost its data.

pub mod consul;
mod decision;
mod error;
mod local;
mod record;
mod store;

pub use decision::{AcquireRequest, Decision, decide};
pub use error::{StoreError, StoreErrorCause};
pub use local::LocalStore;
pub use record::{LeaseRecord, RunId, StoredLease};
pub use store::{ABSENT_KEY_INDEX, CompareAndSetOutcome, LeaseListing, ListedLease, Session};
