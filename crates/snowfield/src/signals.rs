//! Signals: SIGHUP reloads the configuration while the program serves; SIGTERM and SIGINT start a graceful shutdown, which
//! serves an overlap, closes client connections between requests, and answers what was accepted.

use crate::error::Error;
use crate::start_retry::with_retries;
use link::Listener;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::time::{Duration, Instant};

/// New connections still arrive for up to 0.4 s after SIGTERM.
pub const OVERLAP: Duration = Duration::from_millis(500);
/// For a busy machine, and for clients that still read their last answer.
const DEADLINE_MARGIN: Duration = Duration::from_millis(300);
/// How often the end of the overlap, and of the last requests, is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What signals act on.
pub trait SignalHandler {
    /// SIGHUP: reads the configuration again. Runs on the caller's thread, off the worker.
    fn reload(&self);
    /// SIGTERM or SIGINT has arrived. Returns for how long clients are still served as before.
    fn start_shutdown(&self) -> Duration {
        OVERLAP
    }
    /// Whether connections must be closed now, before that time is over.
    fn must_close(&self) -> bool {
        false
    }
    /// Closes each client connection once it is between requests.
    fn close_connections(&self);
    /// How many client connections are left.
    fn open_connections(&self) -> usize;
    /// How many requests have no final answer, where some may wait for longer than the longest deadline.
    fn unanswered(&self) -> usize {
        0
    }
    /// No request can usually be unanswered for longer than this.
    fn longest_deadline(&self) -> Duration;
}

/// Starts catching signals, so that one during the start is not lost, and a reload never ends the process.
///
/// # Errors
///
/// The system refuses a handler.
pub fn catch() -> Result<Signals, Error> {
    with_retries(|| Signals::new([SIGTERM, SIGINT, SIGHUP])).map_err(Error::Signals)
}

/// Serves until a signal asks for the end, then shuts down gracefully. `listener` is closed after the overlap.
pub fn serve_until_end(mut signals: Signals, listener: &Listener, handler: &impl SignalHandler) {
    for signal in signals.forever() {
        if signal != SIGHUP {
            tracing::info!(signal, "graceful shutdown started");
            break;
        }
        handler.reload();
    }
    let (started, overlap) = (Instant::now(), handler.start_shutdown());
    std::thread::sleep(OVERLAP.min(overlap));
    while started.elapsed() < overlap && !handler.must_close() {
        std::thread::sleep(CHECK_INTERVAL);
    }
    listener.close();
    handler.close_connections();
    let (started, longest) = (Instant::now(), handler.longest_deadline() + DEADLINE_MARGIN);
    // A client may wait for longer than its class's deadline: its answer is owed all the same.
    let is_needed = || started.elapsed() < longest || handler.unanswered() > 0;
    while handler.open_connections() > 0 && is_needed() {
        std::thread::sleep(CHECK_INTERVAL);
    }
    tracing::info!(count = handler.open_connections(), "stopped with open client connections");
}
