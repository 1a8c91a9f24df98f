//! Several real programs on loopback with faults between them, a history of what they did, and checkers of the rules.
//!
//! [`site`] starts programs of the release build and the stand-ins around them; all that one sends to another passes a link
//! of [`net`]. A [`schedule`] says which faults come when; [`play`] plays it under the steady load of [`load`] and judges the
//! [`history`] by the pure functions of [`checks`]. docs/design/faults.md has the reasons.
//!
//! The rig needs no privileges and stays on 127.0.0.0/8, where each site takes a net of its own.

pub mod builds;
pub mod checks;
pub mod history;
pub mod load;
pub mod net;
pub mod play;
pub mod process;
pub mod schedule;
pub mod site;
pub mod stand_ins;
pub mod torn;
pub mod wire;
