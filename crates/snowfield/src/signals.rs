//! How the program is told to reload and to end: on SIGHUP it takes a new configuration while it serves; at the end it
//! serves the overlap, closes client connections between requests, and answers what it took.

use link::Listener;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::time::{Duration, Instant};

/// After SIGTERM new connections still come for up to 0.4 s.
pub const OVERLAP: Duration = Duration::from_millis(500);
/// Past the longest deadline nothing can be unanswered.
const LAST_CALL: Duration = Duration::from_millis(300);
/// Between two looks whether all is answered.
const LOOK: Duration = Duration::from_millis(5);

/// What the signals act on.
pub trait Serving {
    /// SIGHUP: takes the file anew. Runs on the caller's thread, off the worker.
    fn reload(&self);
    /// SIGTERM or SIGINT has come. Tells for how long clients are still served as before.
    fn begin_end(&self) -> Duration {
        OVERLAP
    }
    /// Whether closing has to begin now, though that time is not over.
    fn must_close(&self) -> bool {
        false
    }
    /// Has the front close each socket once it is between requests.
    fn close(&self);
    /// How many client connections are left.
    fn open(&self) -> usize;
    /// No operation can be unanswered for longer than this.
    fn longest(&self) -> Duration;
}

/// Signals are caught from here on, so that one during the start is not lost and a reload never ends the program.
///
/// # Errors
///
/// The system takes no handler.
pub fn catch() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))
}

/// Serves until a signal says to end; then ends in good order, and shuts `door` meanwhile.
pub fn serve_until(mut signals: Signals, door: &Listener, serving: &impl Serving) {
    for signal in signals.forever() {
        if signal != SIGHUP {
            tracing::info!("signal {signal}: serving the overlap, then finishing");
            break;
        }
        serving.reload();
    }
    let (begun, overlap) = (Instant::now(), serving.begin_end());
    std::thread::sleep(OVERLAP.min(overlap));
    while begun.elapsed() < overlap && !serving.must_close() {
        std::thread::sleep(LOOK);
    }
    door.close();
    serving.close();
    let (begun, longest) = (Instant::now(), serving.longest());
    while serving.open() > 0 && begun.elapsed() < longest + LAST_CALL {
        std::thread::sleep(LOOK);
    }
    tracing::info!("stopped with {} client connections open", serving.open());
}
