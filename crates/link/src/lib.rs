//! Coroutines, and TCP connections that never make their writers wait.
//!
//! All sockets of the program are driven by one `may` worker. Each [`Connection`] has one coroutine that waits on it; any other
//! coroutine or thread may queue bytes on it, wake it or close it without ever blocking.

mod connect_error;
mod connection;
mod fairness;
mod listener;
mod lock;
mod runtime;
mod socket;
mod tcp_info;
mod timer;

pub use connect_error::ConnectError;
pub use connection::{Connection, Incoming};
pub use listener::Listener;
pub use lock::locked;
pub use runtime::{LARGE_STACK, STACK, set_up, spawn, spawn_with};
pub use timer::sleep;
