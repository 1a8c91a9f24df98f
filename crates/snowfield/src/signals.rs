//! How the program ends: it serves the overlap, closes front sockets between requests, and answers what it took.

use link::Door;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::time::{Duration, Instant};

/// After SIGTERM new connections still come for up to 0.4 s.
const OVERLAP: Duration = Duration::from_millis(500);
/// Past the longest deadline nothing can be unanswered.
const LAST_CALL: Duration = Duration::from_millis(300);

/// Signals are caught from here on, so that one during the start is not lost.
///
/// # Errors
///
/// The system takes no handler.
pub fn catch() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))
}

/// Waits for a signal and ends in good order. `close` has the front close each socket once it is between requests, and
/// `open` tells how many are left; none can have work after `longest`.
pub fn serve_until(
    mut signals: Signals,
    door: &Door,
    longest: Duration,
    close: impl Fn(),
    open: impl Fn() -> usize,
) {
    let signal = signals.forever().next();
    println!("signal {}: serving the overlap, then finishing", signal.unwrap_or(0));
    std::thread::sleep(OVERLAP);
    door.shut();
    close();
    let begun = Instant::now();
    while open() > 0 && begun.elapsed() < longest + LAST_CALL {
        std::thread::sleep(Duration::from_millis(5));
    }
    println!("stopped with {} front sockets open", open());
}
