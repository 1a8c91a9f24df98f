//! Injects the faults of a schedule, each at its time.

use crate::clock::ScheduleClock;
use std::thread::{self, Builder};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Injects each fault in a thread of its own at its time `start` on the clock, so that faults may overlap. Returns the results in
/// the order of the faults once all faults are over. A fault whose thread panicked or could not be started has no result.
pub fn inject_each<F: Sync, R: Send>(
    clock: ScheduleClock,
    faults: &[F],
    start: impl Fn(&F) -> Duration,
    inject: impl Fn(usize, &F) -> R + Sync,
) -> Vec<Option<R>> {
    let inject = &inject;
    thread::scope(|scope| {
        let spawn_injection = |(index, fault)| {
            let at = start(fault);
            Builder::new().spawn_scoped(scope, move || {
                clock.sleep_until(at);
                inject(index, fault)
            })
        };
        let threads: Vec<_> = faults.iter().enumerate().map(spawn_injection).collect();
        threads.into_iter().map(|started| started.ok()?.join().ok()).collect()
    })
}
