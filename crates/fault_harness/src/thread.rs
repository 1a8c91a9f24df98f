//! Threads of the harness, of which one site runs hundreds.

use std::io;
use std::thread::{Builder, JoinHandle};

/// Stack of a thread that serves one connection or follows one process.
const STACK_BYTES: usize = 128 * 1024;

/// Runs this in a thread with a small stack.
///
/// # Errors
///
/// The system has no thread.
pub fn spawn(run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().stack_size(STACK_BYTES).spawn(run)
}
