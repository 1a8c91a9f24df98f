//! A stand-in for Consul's HTTP API with fault injection, written from Consul's public documentation.
//!
//! The stand-in implements the parts that snowfield uses: the KV store with check-and-set, session locks and `recurse`; sessions
//! with a TTL and a lock delay; transactions; blocking queries with `X-Consul-Index`; the health and catalog endpoints of
//! services; and the agent's endpoints that register services. One [`Consul`] may have several [`Listener`]s, each with its own [`Fault`], so that
//! a store can be reachable from one side of a network partition only.
//!
//! The stand-in is meant for tests, system tests and the emulator: it uses a thread for each connection, is not hardened against
//! hostile clients, and listens on loopback only.

mod consul;
mod fault;
mod listener;
mod server;
mod service;
mod state;
mod store;

pub use consul::Consul;
pub use fault::Fault;
pub use listener::Listener;
pub use service::{CheckStatus, Registration, Service, Weights};
pub use state::State;
