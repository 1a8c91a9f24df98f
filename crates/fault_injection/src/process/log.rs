//! What a process has logged, and whether it has ended.

use crate::history::{Observation, Recorder};
use crate::sync::lock;
use crate::wait::STEP_TIMEOUT;
use serde_json::{Map, Value};
use std::io::BufRead;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

#[derive(Debug, Default)]
struct State {
    lines: Vec<String>,
    has_ended: bool,
}

/// How far a process has come.
#[derive(Debug, Default)]
pub(super) struct Progress {
    state: Mutex<State>,
    changed: Condvar,
}

impl Progress {
    fn push(&self, line: String) {
        lock(&self.state).lines.push(line);
        self.changed.notify_all();
    }

    pub(super) fn end(&self) {
        lock(&self.state).has_ended = true;
        self.changed.notify_all();
    }

    /// Acts on the process unless it has ended: its id may be another's once its end was waited for, and is not before this
    /// returns.
    pub(super) fn if_running<T>(&self, act: impl FnOnce() -> T) -> Option<T> {
        let state = lock(&self.state);
        (!state.has_ended).then(act)
    }

    fn wait_while(
        &self,
        timeout: Duration,
        condition: impl FnMut(&mut State) -> bool,
    ) -> MutexGuard<'_, State> {
        let done = self.changed.wait_timeout_while(lock(&self.state), timeout, condition);
        done.map_or_else(|e| e.into_inner().0, |(state, _)| state)
    }

    /// Waits for the end of the process; tells whether it came in time.
    pub(super) fn wait_for_end(&self, timeout: Duration) -> bool {
        self.wait_while(timeout, |state| !state.has_ended).has_ended
    }
}

/// What a process has logged.
#[derive(Clone, Debug)]
pub struct Log(Arc<Progress>);

impl Log {
    pub(super) fn new(progress: Arc<Progress>) -> Self {
        Self(progress)
    }

    /// How many lines so far contain this text.
    pub fn count(&self, text: &str) -> usize {
        lock(&self.0.state).lines.iter().filter(|line| line.contains(text)).count()
    }

    /// Waits for a line that contains this text; tells whether one came before the end of the process and in time.
    pub fn wait_for(&self, text: &str) -> bool {
        let contains = |state: &State| state.lines.iter().any(|line| line.contains(text));
        let state = self.0.wait_while(STEP_TIMEOUT, |state| !state.has_ended && !contains(state));
        contains(&state)
    }
}

/// Reads the lines of a process in a thread, until its output ends.
pub(super) fn spawn_reader(
    process: &str,
    output: impl BufRead + Send + 'static,
    recorder: &Recorder,
    progress: &Arc<Progress>,
) -> thread::JoinHandle<()> {
    let (process, recorder, progress) = (process.to_owned(), recorder.clone(), progress.clone());
    thread::spawn(move || {
        for line in output.lines().map_while(Result::ok) {
            let LogLine { at_us, text, fields } = LogLine::parse(line);
            let observation = Observation::LogLine { process: process.clone(), text: text.clone(), fields };
            match at_us {
                Some(at_us) => recorder.record_at(at_us, observation),
                None => recorder.record(observation),
            }
            progress.push(text);
        }
    })
}

/// A line of the JSON log. What is none, as the panic of a program that gives up, is taken as it is.
#[derive(Debug, PartialEq)]
pub(super) struct LogLine {
    /// Microseconds of the monotonic clock.
    pub(super) at_us: Option<u64>,
    pub(super) text: String,
    pub(super) fields: Map<String, Value>,
}

impl LogLine {
    pub(super) fn parse(line: String) -> Self {
        let Ok(Value::Object(mut fields)) = serde_json::from_str(&line) else {
            return Self { at_us: None, text: line, fields: Map::new() };
        };
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(value)) => value,
            _ => String::new(),
        };
        let (at_us, text) = (take("timestamp").parse().ok(), take("message"));
        drop((take("level"), take("target")));
        Self { at_us, text, fields }
    }
}
