//! Texts that the programs search for in the gatekeeper's log, in its status report and in the errors of `snowfield check`.
//!
//! When a text changes in the gatekeeper, it must change here too. Otherwise a check that counts log events with that text counts
//! none, and an upper bound on the count always holds. A program that also runs older builds needs the texts of all of them: such
//! a constant is an array with the newest text first.

pub mod log_events;
pub mod settings_errors;
pub mod status_report;
