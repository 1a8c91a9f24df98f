//! The lease that makes each run of a periodic job exclusive.
//!
//! Gossip only says which instance should try a run. What makes the run exclusive is one key for each job in a store that
//! is linearizable for a single key: the key holds the last run that anybody has acquired, and a new record replaces it
//! only if nobody has replaced it since it was read (compare-and-set). [`decide`] is that protocol for one key, without
//! I/O; the same code is checked by the model in `tests/model.rs`. [`consul`] turns it into requests to Consul's HTTP API
//! and parses the responses; [`LocalStore`] keeps the keys in the process, for a single instance.
//!
//! Invariants:
//!
//! - The run under a key only grows while the store keeps its data.
//! - A compare-and-set is bound to a session, and a session to one incarnation of the store. A write from before the store
//!   came back empty therefore never takes effect, even where an index happens to be the same again.
//! - An absent key is never acquired but seeded: with a run that no instance, its clock being within the stated bound, can
//!   have acquired in the store's earlier incarnation.

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
pub use store::{CompareAndSetOutcome, LeaseListing, ListedLease, Session};
