//! Signal handling. SIGHUP reloads the configuration. SIGTERM and SIGINT start a graceful shutdown: the process serves for an
//! overlap, closes client connections between requests, and answers all accepted requests.

use crate::error::Error;
use crate::start_retry::with_retries;
use exchange::PendingConnections;
use link::Listener;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::thread;
use std::time::{Duration, Instant};

/// Minimum time of service after SIGTERM. New connections arrive for up to 0.4 s after SIGTERM.
pub const MIN_OVERLAP: Duration = Duration::from_millis(500);
/// Time that a drain may last after the longest deadline, and after a client was last seen to wait: the machine may be busy, and
/// clients may still read their last answer.
const DRAIN_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which a shutdown checks whether the overlap must end and whether connections are still open.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The actions of a gatekeeper on signals.
pub trait SignalHandler {
    /// Reloads the configuration, at SIGHUP. Called on the thread of [`serve_until_shutdown`], not on the worker.
    fn reload(&self);
    /// Starts a shutdown, at SIGTERM or SIGINT. Returns the overlap: the time for which clients are still served.
    fn start_shutdown(&self) -> Duration {
        MIN_OVERLAP
    }
    /// Whether the overlap ends early. Checked once [`MIN_OVERLAP`] has passed.
    fn must_end_overlap(&self) -> bool {
        false
    }
    /// Starts closing client connections, each between two requests.
    fn close_connections(&self);
    /// Whether connections from the listener's backlog may still be accepted.
    fn is_accepting(&self) -> bool;
    /// Number of open client connections.
    fn open_connections(&self) -> usize;
    /// Counts the open client connections whose clients still wait for something. A drain waits for them.
    fn pending_connections(&self) -> PendingConnections;
    /// The longest deadline of all classes whose requests may be in flight.
    fn longest_deadline(&self) -> Duration;
}

/// Installs the signal handlers, so that a signal during the start is not lost, and SIGHUP never ends the process.
///
/// # Errors
///
/// The system cannot install a handler.
pub fn install_handlers() -> Result<Signals, Error> {
    with_retries(|| Signals::new([SIGTERM, SIGINT, SIGHUP])).map_err(Error::Signals)
}

/// Serves until SIGTERM or SIGINT, then shuts down gracefully. `listener` is closed after the overlap.
pub fn serve_until_shutdown(mut signals: Signals, listener: &Listener, handler: &impl SignalHandler) {
    for signal in signals.forever() {
        if signal != SIGHUP {
            tracing::info!(signal, "graceful shutdown started");
            break;
        }
        handler.reload();
    }
    serve_overlap(handler);
    listener.close();
    handler.close_connections();
    drain(handler);
    log_exit(handler);
}

fn log_exit(handler: &impl SignalHandler) {
    let PendingConnections { incomplete, unanswered, unsent } = handler.pending_connections();
    let count = handler.open_connections();
    tracing::info!(count, incomplete, unanswered, unsent, "stopped with open client connections");
}

fn serve_overlap(handler: &impl SignalHandler) {
    let started = Instant::now();
    let overlap = handler.start_shutdown();
    thread::sleep(MIN_OVERLAP.min(overlap));
    while started.elapsed() < overlap && !handler.must_end_overlap() {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until the listener's backlog is accepted and all client connections are closed. Clients may keep their connections open
/// once they have their answers. The drain then ends when the longest deadline and [`DRAIN_MARGIN`] have passed, and no client
/// has waited for anything for [`DRAIN_MARGIN`].
///
/// A request may be accepted during the drain, so the time since its start does not tell whether all are answered. The front
/// bounds the time of each request and answer, and thereby the drain.
fn drain(handler: &impl SignalHandler) {
    let longest_deadline_passes_at = Instant::now() + handler.longest_deadline() + DRAIN_MARGIN;
    let mut ends_at = longest_deadline_passes_at;
    let mut is_wait_logged = false;
    while handler.is_accepting() || handler.open_connections() > 0 {
        let now = Instant::now();
        let pending = handler.pending_connections();
        if pending.is_empty() {
            if now >= ends_at {
                return;
            }
        } else {
            ends_at = ends_at.max(now + DRAIN_MARGIN);
            if now >= longest_deadline_passes_at && !std::mem::replace(&mut is_wait_logged, true) {
                log_wait(pending);
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn log_wait(pending: PendingConnections) {
    let PendingConnections { incomplete, unanswered, unsent } = pending;
    tracing::info!(incomplete, unanswered, unsent, "graceful shutdown waits for clients");
}

#[cfg(test)]
mod tests;
