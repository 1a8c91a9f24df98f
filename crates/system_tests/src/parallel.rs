//! Running several jobs at a time.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Returns how many schedules run at a time: twice the number of cores, as a site is a dozen processes that mostly wait.
pub fn default_parallelism() -> usize {
    2 * std::thread::available_parallelism().map_or(1, |cores| cores.get())
}

/// Calls `work` with each item and its index, for up to `parallelism` items at a time, in their order. Raises the limit on open
/// descriptors, since a site of twelve gatekeepers takes some thousand.
pub(crate) fn for_each_parallel<T: Sync>(items: &[T], parallelism: usize, work: impl Fn(usize, &T) + Sync) {
    raise_descriptor_limit();
    let next_index = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..parallelism.min(items.len()) {
            scope.spawn(|| {
                loop {
                    let index = next_index.fetch_add(1, Ordering::Relaxed);
                    let Some(item) = items.get(index) else { return };
                    work(index, item);
                }
            });
        }
    });
}

fn raise_descriptor_limit() {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let _ = setrlimit(Resource::Nofile, Rlimit { current: maximum, maximum });
}
