//! Fault injection: several real gatekeepers on loopback with faults between them, a history of each run, and checkers of the
//! rules.
//!
//! [`site`] starts gatekeepers and the stand-ins around them; all that one node sends to another passes a link of [`network`].
//! A [`schedule`] says which faults come when; the [`runner`] injects them under the steady load of [`load`] and judges the
//! [`history`] by the pure functions of [`checkers`]. docs/design/faults.md has the reasons.
//!
//! The parts that other harnesses share are [`process`], [`connections`], [`clock`], [`wire`], the core of [`stand_ins`], and
//! [`checkers::rules`]; the package `platform_soak` builds sites of its own on them.
//!
//! The harness needs no privileges and stays on 127.0.0.0/8, where each site reserves a network.

pub mod builds;
pub mod checkers;
pub mod clock;
pub mod connections;
pub mod digest;
mod error;
pub mod history;
pub mod load;
pub mod network;
pub mod ports;
pub mod process;
pub mod runner;
pub mod schedule;
pub mod site;
pub mod stand_ins;
pub mod sync;
pub mod test_directory;
pub mod thread;
pub mod torn_writes;
pub mod wait;
pub mod wire;

pub use error::Error;
