//! A stand-in of Consul's HTTP API, written from its public documentation, that can be made to fail.
//!
//! It holds what snowfield uses: the KV store with check-and-set, locks by session and `recurse`, sessions with TTL and
//! lock delay, transactions of `cas`, `check-session` and the like, blocking queries with `X-Consul-Index`, and the
//! health and catalogue pages of services. One [`Consul`] may listen at several [`Listener`]s, each with faults of its own:
//! that is how a store is reached from one side of a network partition only.
//!
//! It is for tests, system tests and the emulator: threads, no bounds against hostile clients, and it listens on loopback only.

mod consul;
mod server;
mod service;
mod store;

pub use consul::{Consul, Fault, Listener, State};
pub use service::{CheckStatus, Registration, Service, Weights};
pub use store::{Entry, KeyOperation, KeyValue, Operation, OperationError, Session, SessionOptions, Store};
