//! Fault injection: several real gatekeepers on loopback with faults between them, a history of each run, and checkers of the
//! rules.
//!
//! [`site`] starts gatekeepers and the stand-ins around them; all that one node sends to another passes a link of [`network`].
//! A [`schedule`] says which faults come when; the [`runner`] injects them under the steady load of [`load`] and judges the
//! [`history`] by the pure functions of [`checkers`]. docs/design/faults.md has the reasons.
//!
//! Processes, the quota counter, the endpoint list, the clock and the rules that every site keeps are those of `fault_harness`.
//!
//! The harness needs no privileges and stays on 127.0.0.0/8, where each site reserves a network.

pub mod builds;
pub mod checkers;
mod error;
pub mod history;
pub mod load;
pub mod network;
pub mod runner;
pub mod schedule;
pub mod site;
pub mod stand_ins;
pub mod torn_writes;

pub use error::Error;
