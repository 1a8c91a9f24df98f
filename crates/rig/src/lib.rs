//! Several real programs on loopback with faults between them.

pub mod checks;
pub mod history;
pub mod net;
pub mod process;
pub mod schedule;
