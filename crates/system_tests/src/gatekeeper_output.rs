//! Texts of the gatekeeper that the programs look for: in its log, in its status report and in the errors of `snowfield check`.
//!
//! A text that a gatekeeper changes is changed here too. A check that counts lines with a text then still counts them; with the
//! old text it would count none, and an upper bound on them would hold without a cause. Where builds of different ages run
//! together, a constant holds the texts of all of them, the newest first.

pub mod log_events;
pub mod settings_errors;
pub mod status_report;
