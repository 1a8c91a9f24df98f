//! Sleep for coroutines, by a thread of its own.
//!
//! `may` runs a coroutine whose sleep is over in its timer thread, beside the worker, and its parks with a time-out may
//! never end. Here a coroutine parks without one and is woken like by any other event, so it goes on on the worker.

use crate::locked;
use may::coroutine::{self, Coroutine};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// Who sleeps, by when and in the order of falling asleep.
type Sleepers = Mutex<(u64, BTreeMap<(Instant, u64), Coroutine>)>;

struct Alarm {
    sleepers: Arc<Sleepers>,
    thread: Thread,
}

static ALARM: OnceLock<Alarm> = OnceLock::new();

fn start() -> Alarm {
    let sleepers = Arc::new(Sleepers::default());
    let shared = sleepers.clone();
    let thread = thread::spawn(move || {
        loop {
            let next = locked(&shared).1.first_key_value().map(|(&(at, _), _)| at);
            match next.map(|at| at.saturating_duration_since(Instant::now())) {
                Some(Duration::ZERO) => {
                    let sleeper = locked(&shared).1.pop_first();
                    if let Some((_, coroutine)) = sleeper {
                        coroutine.unpark();
                    }
                }
                Some(span) => thread::park_timeout(span),
                None => thread::park(),
            }
        }
    });
    Alarm { sleepers, thread: thread.thread().clone() }
}

/// Lets other coroutines run for this long.
pub fn sleep(span: Duration) {
    let until = Instant::now() + span;
    let alarm = ALARM.get_or_init(start);
    {
        let mut sleepers = locked(&alarm.sleepers);
        sleepers.0 += 1;
        let key = (until, sleepers.0);
        sleepers.1.insert(key, coroutine::current());
    }
    alarm.thread.unpark();
    while Instant::now() < until {
        coroutine::park();
    }
}
