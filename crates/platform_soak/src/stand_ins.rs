//! Stand-ins of what gatekeepers speak to, each of which can be made to fail.

mod backend;
mod counter;
mod discovery;

pub use backend::{Backend, BackendMode};
pub use counter::{Counter, CounterMode};
pub use discovery::{Discovery, DiscoveryMode, SharedList};
