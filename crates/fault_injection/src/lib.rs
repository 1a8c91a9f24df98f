//! Fault injection: runs several real gatekeepers on loopback, injects faults between them, records a history of each run, and
//! checks the history against the rules.
//!
//! [`site`] starts the gatekeepers and the stand-ins around them; all traffic between nodes passes through the links of
//! [`network`]. A [`schedule`] lists the faults and their times; the [`runner`] injects them under the steady load of [`load`]
//! and checks the [`history`] with the pure functions of [`checkers`]. docs/design/faults.md explains the design.
//!
//! Process control, the quota counter, the endpoint list, the clock and the rules that all harnesses share come from
//! `fault_harness`.
//!
//! The harness needs no privileges and uses only 127.0.0.0/8, where each site reserves a network of its own.

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
