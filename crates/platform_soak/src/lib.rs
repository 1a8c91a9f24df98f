//! Soak test of the platform path: a few dozen real gatekeepers (`run`, RESP2) on loopback with stand-ins for clients, backends,
//! discovery and the quota counter, and faults that overlap in time. A recorder collects the history, which checkers then judge by
//! invariants.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `settings` | the settings of a site, drawn from the seed |
//! | `schedule` | which faults begin when, drawn from the seed |
//! | `site` | the processes and stand-ins of one schedule |
//! | `gatekeeper` | one gatekeeper over all its processes |
//! | `stand_ins` | backends, discovery, the counter |
//! | `client` | clients, well and badly behaved |
//! | `fault_runner` | injecting the faults of a schedule |
//! | `history` | what happened |
//! | `checkers` | the invariants |

pub mod checkers;
pub mod client;
pub mod fault_runner;
pub mod gatekeeper;
pub mod history;
pub mod run;
pub mod schedule;
pub mod settings;
pub mod site;
pub mod stand_ins;
