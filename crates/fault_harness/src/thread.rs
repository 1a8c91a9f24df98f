//! Threads with small stacks, as one site of a harness runs hundreds of threads.

use std::io;
use std::thread::{Builder, JoinHandle};

/// Stack size of a thread that serves one connection or observes one process.
const STACK_BYTES: usize = 128 * 1024;

/// Runs a closure in a new thread with a small stack.
///
/// # Errors
///
/// The system cannot create a thread.
pub fn spawn(run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().stack_size(STACK_BYTES).spawn(run)
}
