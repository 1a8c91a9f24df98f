//! The client of the discovery agent: a watch over HTTP/1.1 that resumes at the version that it last had.
//!
//! [`Watch`] runs in a coroutine and reports each endpoint list as a [`WatchEvent`]. [`PollBackoff`] says how soon a watch that
//! ended is requested again.

mod error;
mod poll_backoff;
mod response;
mod watch;

pub use poll_backoff::{PollBackoff, SILENCE_TIMEOUT};
pub use watch::{Watch, WatchEvent};
