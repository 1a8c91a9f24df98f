//! Connects the observer interface of `fault_harness` to the history.

use super::{Observation, Recorder};
use fault_harness::process::{LogLine, ProcessExit, ProcessObserver};

/// Records the start, the log lines and the exit of a process.
pub(crate) struct RecordingObserver {
    process: String,
    recorder: Recorder,
}

impl RecordingObserver {
    /// An observer of the process with this name.
    pub(crate) fn new(process: &str, recorder: &Recorder) -> Self {
        Self { process: process.to_owned(), recorder: recorder.clone() }
    }
}

impl ProcessObserver for RecordingObserver {
    fn started(&self) {
        self.recorder.record(Observation::ProcessStarted { process: self.process.clone() });
    }

    fn logged(&self, line: LogLine) {
        let LogLine { at_us, text, fields } = line;
        let observation = Observation::LogLine { process: self.process.clone(), text, fields };
        match at_us {
            Some(at_us) => self.recorder.record_at(at_us, observation),
            None => self.recorder.record(observation),
        }
    }

    fn exited(&self, exit: ProcessExit) {
        self.recorder.record(Observation::ProcessExited {
            process: self.process.clone(),
            exit_code: exit.exit_code,
            requested: exit.is_requested(),
        });
    }
}
