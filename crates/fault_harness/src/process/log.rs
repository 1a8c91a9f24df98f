//! Reads the log of a process, and waits for log lines and for the exit.

use super::ProcessObserver;
use crate::sync::lock;
use crate::thread::spawn;
use crate::wait::STEP_TIMEOUT;
use serde_json::{Map, Value};
use std::io::{self, BufRead};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

#[derive(Debug, Default)]
struct State {
    lines: Vec<String>,
    has_exited: bool,
}

/// The log lines of a process so far, and whether it has exited.
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
        lock(&self.state).has_exited = true;
        self.changed.notify_all();
    }

    /// Acts on the process unless its exit has been recorded, because afterwards its id may belong to another process. The lock
    /// is held meanwhile, so the exit is not recorded before `act` returns.
    pub(super) fn if_running<T>(&self, act: impl FnOnce() -> T) -> Option<T> {
        let state = lock(&self.state);
        (!state.has_exited).then(act)
    }

    fn wait_while(
        &self,
        timeout: Duration,
        condition: impl FnMut(&mut State) -> bool,
    ) -> MutexGuard<'_, State> {
        let result = self.changed.wait_timeout_while(lock(&self.state), timeout, condition);
        result.map_or_else(|e| e.into_inner().0, |(state, _)| state)
    }

    pub(super) fn has_exited(&self) -> bool {
        lock(&self.state).has_exited
    }

    /// Waits up to `timeout` for the exit of the process. Returns whether it has exited.
    pub(super) fn wait_for_exit(&self, timeout: Duration) -> bool {
        self.wait_while(timeout, |state| !state.has_exited).has_exited
    }
}

/// Handle of the log of a process. Clones share one log.
#[derive(Clone, Debug)]
pub struct Log(Arc<Progress>);

impl Log {
    pub(super) fn new(progress: Arc<Progress>) -> Self {
        Self(progress)
    }

    /// Number of lines so far that contain `text`.
    pub fn count(&self, text: &str) -> usize {
        lock(&self.0.state).lines.iter().filter(|line| line.contains(text)).count()
    }

    /// Waits up to [`STEP_TIMEOUT`] for a line that contains `text`. Returns whether there was one before the process exited.
    pub fn wait_for(&self, text: &str) -> bool {
        self.wait_for_within(text, STEP_TIMEOUT)
    }

    /// Waits up to `timeout` for a line that contains `text`. Returns whether there was one before the process exited.
    pub fn wait_for_within(&self, text: &str, timeout: Duration) -> bool {
        let contains = |state: &State| state.lines.iter().any(|line| line.contains(text));
        let state = self.0.wait_while(timeout, |state| !state.has_exited && !contains(state));
        contains(&state)
    }
}

/// Reads the output of a process line by line in a thread until it ends.
pub(super) fn spawn_reader(
    output: impl BufRead + Send + 'static,
    observer: &Arc<dyn ProcessObserver>,
    progress: &Arc<Progress>,
) -> io::Result<JoinHandle<()>> {
    let (observer, progress) = (observer.clone(), progress.clone());
    spawn(move || {
        for line in output.lines().map_while(Result::ok) {
            let line = LogLine::parse(line);
            let text = line.text.clone();
            observer.logged(line);
            progress.push(text);
        }
    })
}

/// A line that a process wrote. A line that is not in the JSON format, such as a plain log line or a panic, is kept unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When the line was logged, in microseconds of the monotonic clock; none if the line is not in the JSON format.
    pub at_us: Option<u64>,
    /// The message of a JSON line; otherwise the whole line.
    pub text: String,
    /// The fields of a JSON line beside time, level, target and message; otherwise empty.
    pub fields: Map<String, Value>,
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
