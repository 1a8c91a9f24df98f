//! How the program is told to reload and to end: on SIGHUP it takes a new configuration while it serves; at the end it
//! serves the overlap, closes front sockets between requests, and answers what it took.

use link::Door;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::time::{Duration, Instant};

/// After SIGTERM new connections still come for up to 0.4 s.
const OVERLAP: Duration = Duration::from_millis(500);
/// Past the longest deadline nothing can be unanswered.
const LAST_CALL: Duration = Duration::from_millis(300);

/// Signals are caught from here on, so that one during the start is not lost and a reload never ends the program.
///
/// # Errors
///
/// The system takes no handler.
pub fn catch() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))
}

/// Calls `reload` at each SIGHUP, on this thread and so off the worker, until a signal says to end; then ends in good
/// order. `close` has the front close each socket once it is between requests, and `open` tells how many are left; none
/// can have work after `longest`.
pub fn serve_until(
    mut signals: Signals,
    door: &Door,
    longest: impl Fn() -> Duration,
    reload: impl Fn(),
    close: impl Fn(),
    open: impl Fn() -> usize,
) {
    for signal in signals.forever() {
        if signal != SIGHUP {
            println!("signal {signal}: serving the overlap, then finishing");
            break;
        }
        reload();
    }
    std::thread::sleep(OVERLAP);
    door.shut();
    close();
    let (begun, longest) = (Instant::now(), longest());
    while open() > 0 && begun.elapsed() < longest + LAST_CALL {
        std::thread::sleep(Duration::from_millis(5));
    }
    println!("stopped with {} front sockets open", open());
}
