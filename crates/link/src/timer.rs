//! Sleep for coroutines, by a thread of its own.
//!
//! `may` runs a coroutine whose sleep is over in its timer thread, beside the worker, and its parks with a timeout may never end.
//! Here a coroutine parks without one and is unparked like by any other event, so it continues on the worker.

use crate::lock::locked;
use may::coroutine::{self, Coroutine};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// Sleeping coroutines by the time at which they wake, and in the order in which they fell asleep.
#[derive(Default)]
struct Sleepers {
    last_serial: u64,
    by_time: BTreeMap<(Instant, u64), Coroutine>,
}

struct TimerThread {
    sleepers: Arc<Mutex<Sleepers>>,
    thread: Thread,
}

static TIMER_THREAD: OnceLock<TimerThread> = OnceLock::new();

fn start() -> TimerThread {
    let sleepers = Arc::new(Mutex::new(Sleepers::default()));
    let shared = sleepers.clone();
    let thread = thread::spawn(move || run(&shared));
    TimerThread { sleepers, thread: thread.thread().clone() }
}

fn run(sleepers: &Mutex<Sleepers>) {
    loop {
        let next = locked(sleepers).by_time.first_key_value().map(|(&(wakes_at, _), _)| wakes_at);
        match next.map(|wakes_at| wakes_at.saturating_duration_since(Instant::now())) {
            Some(Duration::ZERO) => {
                let sleeper = locked(sleepers).by_time.pop_first();
                if let Some((_, coroutine)) = sleeper {
                    coroutine.unpark();
                }
            }
            Some(time) => thread::park_timeout(time),
            None => thread::park(),
        }
    }
}

/// Lets other coroutines run for this long.
pub fn sleep(time: Duration) {
    let wakes_at = Instant::now() + time;
    let timer = TIMER_THREAD.get_or_init(start);
    {
        let mut sleepers = locked(&timer.sleepers);
        sleepers.last_serial += 1;
        let key = (wakes_at, sleepers.last_serial);
        sleepers.by_time.insert(key, coroutine::current());
    }
    timer.thread.unpark();
    while Instant::now() < wakes_at {
        coroutine::park();
    }
}
