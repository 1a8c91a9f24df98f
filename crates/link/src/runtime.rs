//! The coroutine runtime: `may` with one worker.

use may::coroutine::{Builder, JoinHandle};

/// Default stack size of a coroutine in bytes. Only pages that are touched take memory. The reserve beyond the program's own need
/// is for formatting a panic message.
pub const DEFAULT_STACK_BYTES: usize = 128 * 1024;
/// Stack size in bytes of a coroutine that parses JSON, whose parser is recursive.
pub const JSON_STACK_BYTES: usize = 1024 * 1024;
/// Number of stacks that `may` keeps for reuse.
const STACK_POOL_CAPACITY: usize = 64;

/// Configures `may` with one worker thread. The thread is not pinned to a core, since other programs may share the core. Call
/// this before the first coroutine is spawned.
pub fn set_up() {
    may::config()
        .set_workers(1)
        .set_stack_size(bytes_to_words(DEFAULT_STACK_BYTES))
        .set_pool_capacity(STACK_POOL_CAPACITY)
        .set_worker_pin(false);
}

/// Converts a size in bytes to machine words, the unit of `may`.
fn bytes_to_words(bytes: usize) -> usize {
    bytes / size_of::<usize>()
}

/// Spawns a coroutine with a stack of [`DEFAULT_STACK_BYTES`].
pub fn spawn<F: FnOnce() + Send + 'static>(f: F) -> JoinHandle<()> {
    spawn_with(DEFAULT_STACK_BYTES, f)
}

/// Spawns a coroutine with `stack` bytes of stack.
///
/// # Panics
///
/// Panics if the system cannot allocate the stack.
#[allow(unsafe_code)]
pub fn spawn_with<F: FnOnce() + Send + 'static>(stack: usize, f: F) -> JoinHandle<()> {
    // SAFETY: `may` requires that thread-local references do not cross a suspension point, and that stacks do not overflow. No
    // coroutine here keeps such a reference while it waits, and with one worker none ever migrates to another thread. Each stack
    // ends in a guard page and is far larger than its use: parsers do not recurse, and JSON has `JSON_STACK_BYTES`.
    unsafe { Builder::new().stack_size(bytes_to_words(stack)).spawn(f) }
        .expect("the system allocates a coroutine's stack")
}
