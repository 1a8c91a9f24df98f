//! Client of the discovery agent: a watch on the endpoint list over HTTP/1.1, which resumes from the version of its last list.
//!
//! [`Watch`] runs in a coroutine and reports each endpoint list as a [`WatchEvent`]. [`PollBackoff`] determines how long the
//! watch waits after a failure until it sends the next request.

mod error;
mod poll_backoff;
mod response;
mod watch;

pub use poll_backoff::{AgentMode, PollBackoff, SILENCE_TIMEOUT};
pub use watch::{Watch, WatchEvent};
