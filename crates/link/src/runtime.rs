//! Coroutines on the one worker of `may`.

use may::coroutine::{Builder, JoinHandle};

/// Bytes of stack of an ordinary coroutine. Pages are touched only when used; the room above what the program needs
/// is for the text of a panic.
pub const STACK: usize = 128 * 1024;
/// Bytes of stack where JSON is parsed.
pub const LARGE_STACK: usize = 1024 * 1024;
/// Sets `may` up for one core: one worker, not pinned, since other programs may share the core.
pub fn set_up() {
    may::config().set_workers(1).set_stack_size(words(STACK)).set_pool_capacity(64).set_worker_pin(false);
}

fn words(bytes: usize) -> usize {
    bytes / size_of::<usize>()
}

/// Starts a coroutine with [`STACK`] bytes of stack.
pub fn spawn<F: FnOnce() + Send + 'static>(f: F) -> JoinHandle<()> {
    spawn_with(STACK, f)
}

/// Starts a coroutine with this many bytes of stack.
///
/// # Panics
///
/// Panics where the system has no memory for the stack.
#[allow(unsafe_code)]
pub fn spawn_with<F: FnOnce() + Send + 'static>(stack: usize, f: F) -> JoinHandle<()> {
    // SAFETY: `may` asks for two things. No coroutine here keeps a reference into thread-local storage over a point
    // where it waits, and with one worker none ever moves to another thread. Each stack ends in a guard page and is
    // far larger than what runs on it: parsers don't recurse, and JSON is read on `LARGE_STACK`.
    unsafe { Builder::new().stack_size(words(stack)).spawn(f) }.expect("memory for a coroutine's stack")
}
