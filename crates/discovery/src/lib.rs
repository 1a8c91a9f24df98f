//! Client of the discovery agent: a watch over HTTP/1.1 that resumes from the version of its last list.
//!
//! [`Watch`] runs in a coroutine and reports each endpoint list as a [`WatchEvent`]. [`PollBackoff`] decides how long it waits
//! before it requests the watch again after a failure.

mod error;
mod poll_backoff;
mod response;
mod watch;

pub use poll_backoff::{AgentMode, PollBackoff, SILENCE_TIMEOUT};
pub use watch::{Watch, WatchEvent};
