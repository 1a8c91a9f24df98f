//! Texts of the gatekeeper that the programs look for: in its log, in its status report and in the errors of `snowfield check`.
//!
//! Whoever changes a text of the gatekeeper changes it here too. A check that counts the log events with an old text would count
//! none, and an upper bound on them would then always hold. Where builds of different ages run together, a constant holds the texts
//! of all of them, the newest first.

pub mod log_events;
pub mod settings_errors;
pub mod status_report;
