//! Compares a digest of all actions that a state machine returns in a test with a recorded one.
//!
//! The tests are deterministic, with fixed seeds and times. `tests/fixtures/actions.txt` has a line for each
//! state machine of each test: the name of the test with the number of the recorder, the number of actions,
//! and their digest. A refactoring must not change this file. After an intended change of decisions,
//! `RECORD_ACTIONS=FILE cargo test` appends the new lines to a file.

use policy::{Action, Notice, Timestamp};
use std::cell::Cell;
use std::collections::HashMap;
use std::ffi::OsStr;
use std::fs::OpenOptions;
use std::io::Write;

const RECORDED: &str = include_str!("../fixtures/actions.txt");
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

thread_local! {
    /// Number of recorders that this thread has created. Each test has a thread of its own, unless all tests
    /// run on the main thread.
    static CREATED: Cell<u32> = const { Cell::new(0) };
}

/// Computes a digest of the actions of one state machine in order. When the recorder is dropped, it compares
/// the digest with the recorded digest.
#[derive(Debug)]
pub struct Recorder {
    /// The key of the recorded line in the fixture.
    name: String,
    action_count: u64,
    hash: u64,
}

impl Recorder {
    pub fn new() -> Self {
        let index = CREATED.get() + 1;
        CREATED.set(index);
        let thread = std::thread::current();
        let name = format!("{}#{index}", thread.name().unwrap_or("main"));
        Self { name, action_count: 0, hash: FNV_OFFSET_BASIS }
    }

    pub fn record(&mut self, now: Timestamp, actions: &[Action]) {
        for action in actions {
            self.action_count += 1;
            self.hash_value(now.as_micros());
            for value in stable_encoding(action) {
                self.hash_value(value);
            }
        }
    }

    /// Adds the bytes of one value to the FNV-1a hash.
    fn hash_value(&mut self, value: u64) {
        for byte in value.to_le_bytes() {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// Encodes an action as numbers that do not depend on names in the code.
fn stable_encoding(action: &Action) -> Vec<u64> {
    match *action {
        Action::Send { id, backend, timeout, max_start_delay } => {
            vec![0, u64::from(id.0), u64::from(backend.0), timeout, max_start_delay]
        }
        Action::Cancel { id, attempt } => vec![1, u64::from(id.0), u64::from(attempt)],
        Action::Reject { id, retry_after, reason } => vec![2, u64::from(id.0), retry_after, reason as u64],
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
        let line = format!("{} {} {:016x}", self.name, self.action_count, self.hash);
        if let Some(path) = std::env::var_os("RECORD_ACTIONS") {
            append_line(&path, &line);
            return;
        }
        // If all tests run on the main thread, the names of recorders differ from those in the fixture.
        if self.name.starts_with("main#") {
            return;
        }
        assert_eq!(
            recorded_line(&self.name),
            Some(line.as_str()),
            "the actions differ from the recorded ones"
        );
    }
}

fn append_line(path: &OsStr, line: &str) {
    let file = OpenOptions::new().create(true).append(true).open(path);
    file.and_then(|mut file| file.write_all(format!("{line}\n").as_bytes()))
        .expect("the line is appended to the file of RECORD_ACTIONS");
}

fn recorded_line(name: &str) -> Option<&'static str> {
    let lines: HashMap<&str, &str> =
        RECORDED.lines().filter_map(|line| Some((line.split(' ').next()?, line))).collect();
    lines.get(name).copied()
}
