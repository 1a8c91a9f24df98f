//! Coroutines, and TCP connections whose writers never block.
//!
//! One `may` worker drives all sockets of the program. Each [`Connection`] has one coroutine that reads it; any other coroutine or
//! thread may send on it, wake it or close it without blocking.

mod accept_state;
mod connect_error;
mod connection;
mod fairness;
mod listener;
mod lock;
mod read_state;
mod runtime;
mod send_buffer;
mod socket;
mod tcp_info;
mod timer;

pub use connect_error::ConnectError;
pub use connection::{Connection, Incoming};
pub use listener::Listener;
pub use lock::lock_or_abort;
pub use runtime::{DEFAULT_STACK_BYTES, JSON_STACK_BYTES, set_up, spawn, spawn_with};
pub use timer::sleep;
