//! Processing several items in parallel.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Returns how many schedules run in parallel by default: twice the number of cores, since a site consists of about a dozen
/// processes that are idle most of the time.
pub fn default_parallelism() -> usize {
    2 * std::thread::available_parallelism().map_or(1, |cores| cores.get())
}

/// Calls `work` with the index of each item and the item, starting them in order and running up to `parallelism` at a time.
/// Raises the limit on open file descriptors first, since a site of twelve gatekeepers uses a few thousand.
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
