//! Stand-ins for the peers of gatekeepers: backends, discovery agents and the quota counter. Each can be made to fail.

mod backend;
mod counter;
mod discovery;

pub use backend::{Backend, BackendMode};
pub use counter::{Counter, CounterMode};
pub use discovery::{Discovery, DiscoveryMode, SharedList};
