//! Sleep for coroutines, with a timer thread.
//!
//! `may`'s own sleep resumes a coroutine on `may`'s timer thread, in parallel to the worker, and its park with a timeout may
//! never return. Here a coroutine parks without a timeout and the timer thread unparks it, so it resumes on the worker.

use crate::lock::lock_or_abort;
use may::coroutine::{self, Coroutine};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// Sleeping coroutines, ordered by wake time; those with equal times in the order in which they began to sleep.
#[derive(Default)]
struct Sleepers {
    last_serial: u64,
    by_time: BTreeMap<SleepKey, Coroutine>,
}

/// Identifies a sleep. The order of the fields is the order of waking.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SleepKey {
    wakes_at: Instant,
    serial: u64,
}

impl Sleepers {
    fn insert(&mut self, wakes_at: Instant, coroutine: Coroutine) {
        self.last_serial += 1;
        self.by_time.insert(SleepKey { wakes_at, serial: self.last_serial }, coroutine);
    }

    fn next_wake(&self) -> Option<Instant> {
        self.by_time.first_key_value().map(|(key, _)| key.wakes_at)
    }
}

struct TimerThread {
    sleepers: Arc<Mutex<Sleepers>>,
    thread: Thread,
}

static TIMER_THREAD: OnceLock<TimerThread> = OnceLock::new();

fn start_timer_thread() -> TimerThread {
    let sleepers = Arc::new(Mutex::new(Sleepers::default()));
    let shared = sleepers.clone();
    let thread = thread::spawn(move || run_timer(&shared));
    TimerThread { sleepers, thread: thread.thread().clone() }
}

fn run_timer(sleepers: &Mutex<Sleepers>) {
    loop {
        let next_wake = lock_or_abort(sleepers).next_wake();
        match next_wake.map(|wakes_at| wakes_at.saturating_duration_since(Instant::now())) {
            Some(Duration::ZERO) => {
                let sleeper = lock_or_abort(sleepers).by_time.pop_first();
                if let Some((_, coroutine)) = sleeper {
                    coroutine.unpark();
                }
            }
            Some(remaining) => thread::park_timeout(remaining),
            None => thread::park(),
        }
    }
}

/// Suspends the current coroutine for a duration, while others run.
pub fn sleep(duration: Duration) {
    let wakes_at = Instant::now() + duration;
    let timer = TIMER_THREAD.get_or_init(start_timer_thread);
    lock_or_abort(&timer.sleepers).insert(wakes_at, coroutine::current());
    timer.thread.unpark();
    while Instant::now() < wakes_at {
        coroutine::park();
    }
}
