//! Soak test of gatekeepers of the platform (`snowfield run`: RESP2 front with discovery agent and quota counter). A few dozen
//! real gatekeepers run on loopback with stand-ins for clients, backends, discovery and the quota counter, and with faults that
//! overlap in time. A recorder collects the history of a run, and checkers compare the history with the invariants.
//!
//! | module | content |
//! | --- | --- |
//! | `settings` | the settings of a site, drawn from the seed |
//! | `schedule` | the faults of a run and their times, drawn from the seed |
//! | `site` | the processes and stand-ins of one schedule |
//! | `gatekeeper` | a gatekeeper and the processes that run it one after another |
//! | `stand_ins` | backends, discovery and the quota counter |
//! | `client` | clients, which can misbehave |
//! | `fault_runner` | injects the faults of a schedule |
//! | `run` | runs one schedule and checks its history |
//! | `history` | records of all events of a run |
//! | `checkers` | checks the history against the invariants |

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
