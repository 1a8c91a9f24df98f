//! Several runs at a time.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Works on each item, several at a time in their order, with as many descriptors as the system gives: a site of twelve
/// gatekeepers takes some thousand.
pub fn for_each_parallel<T: Sync>(items: &[T], parallel: usize, work: impl Fn(usize, &T) + Sync) {
    raise_descriptor_limit();
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..parallel.min(items.len()) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
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
