//! A digest of all actions that a state machine gives in a test, compared with the recorded one.
//!
//! The tests are deterministic: seeds and times are fixed. `tests/fixtures/actions.txt` has one line for each state machine of
//! each test, written before the module was split: a change that is meant to move code only must leave it as it is. After an
//! intended change of decisions `RECORD_ACTIONS=FILE cargo test` appends the new lines to a file.

use policy::{Action, Micros, Notice};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::Write;

const RECORDED: &str = include_str!("../fixtures/actions.txt");

thread_local! {
    /// How many recorders each test has made; with one thread for all tests they are counted together.
    static MADE: RefCell<u32> = const { RefCell::new(0) };
}

/// Digests actions in order. Compared when it is dropped.
#[derive(Debug)]
pub struct Recorder {
    name: String,
    actions: u64,
    hash: u64,
}

impl Recorder {
    pub fn new() -> Self {
        let index = MADE.with_borrow_mut(|made| {
            *made += 1;
            *made
        });
        let thread = std::thread::current();
        let name = format!("{}#{index}", thread.name().unwrap_or("main"));
        Self { name, actions: 0, hash: 0xcbf2_9ce4_8422_2325 }
    }

    pub fn record(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            self.actions += 1;
            self.add(now);
            for value in values_of(action) {
                self.add(value);
            }
        }
    }

    /// FNV-1a over the bytes of one value.
    fn add(&mut self, value: u64) {
        for byte in value.to_le_bytes() {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// A stable form of an action, independent of names in the code.
fn values_of(action: &Action) -> Vec<u64> {
    match *action {
        Action::Send { id, backend, timeout, max_start_delay } => {
            vec![0, u64::from(id.0), u64::from(backend.0), timeout, max_start_delay]
        }
        Action::Cancel { id, attempt } => vec![1, u64::from(id.0), u64::from(attempt)],
        Action::Reject { id, retry_after, reason: why } => vec![2, u64::from(id.0), retry_after, why as u64],
        Action::Fail { id } => vec![3, u64::from(id.0)],
        Action::Timer { after, token } => vec![4, after, token],
        Action::HealthCheck { backend } => vec![5, u64::from(backend.0)],
        Action::CounterAdd { name, units, ttl } => vec![6, name, units.to_bits(), ttl],
        Action::PollEndpoints => vec![7],
        Action::Log(notice) => vec![8, u64::from(notice == Notice::CounterSilent)],
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        let line = format!("{} {} {:016x}", self.name, self.actions, self.hash);
        if let Some(path) = std::env::var_os("RECORD_ACTIONS") {
            let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
            file.and_then(|mut file| file.write_all(format!("{line}\n").as_bytes()))
                .expect("the line is written");
            return;
        }
        // One thread for all tests: their numbers are not those that were recorded.
        if self.name.starts_with("main#") {
            return;
        }
        let recorded: HashMap<&str, &str> =
            RECORDED.lines().filter_map(|l| Some((l.split(' ').next()?, l))).collect();
        assert_eq!(recorded.get(self.name.as_str()), Some(&line.as_str()), "other actions than recorded");
    }
}
