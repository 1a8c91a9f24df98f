//! A gatekeeper as a child process.

use fault_harness::process::{
    Launch, LogFormat, LogLine, Process, ProcessExit, ProcessObserver, ResourceUsage,
};
use fault_harness::sync::lock;
use fault_harness::wait::STEP_TIMEOUT;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Instant;

/// A running gatekeeper, which is killed when this is dropped.
pub struct Gatekeeper {
    process: Process,
    log_lines: Receiver<String>,
}

/// Forwards the log lines of a process to a channel.
struct LogForwarder {
    log_lines: Mutex<Sender<String>>,
}

impl ProcessObserver for LogForwarder {
    fn logged(&self, line: LogLine) {
        // The receiver is gone while the process is being killed.
        let _ = lock(&self.log_lines).send(line.text);
    }

    fn exited(&self, exit: ProcessExit) {
        if !exit.is_requested() {
            eprintln!("the gatekeeper exited with {}", exit.exit_code);
        }
    }
}

/// Returns the path of the gatekeeper's release build beside this program.
///
/// # Panics
///
/// Panics if there is none.
pub fn release_build() -> PathBuf {
    let path = std::env::current_exe().expect("a path").with_file_name("snowfield");
    assert!(path.exists(), "{} is not built", path.display());
    path
}

impl Gatekeeper {
    /// Starts the release build with these arguments.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn start(arguments: &[&str]) -> Self {
        Self::start_build(&release_build(), arguments, &[])
    }

    /// Starts any build, with these arguments and environment variables.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn start_build(build: &Path, arguments: &[&str], variables: &[(&str, String)]) -> Self {
        let launch =
            Launch { arguments, variables, log_format: LogFormat::Plain, ..Launch::new("gatekeeper", build) };
        let (sender, log_lines) = channel();
        let forwarder = LogForwarder { log_lines: Mutex::new(sender) };
        let process = Process::start(&launch, forwarder).expect("the gatekeeper starts");
        Self { process, log_lines }
    }

    /// Waits for a log line that contains this text, and returns the part of the line after the text.
    ///
    /// # Panics
    ///
    /// Panics if there is no such line within [`STEP_TIMEOUT`].
    pub fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + STEP_TIMEOUT;
        let mut last_line = String::new();
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = self.log_lines.recv_timeout(time_left) else {
                panic!("no line contains {text:?}; the last one: {last_line}");
            };
            if let Some((_, rest)) = line.split_once(text) {
                return rest.to_owned();
            }
            last_line = line;
        }
    }

    /// Returns the resources that the process uses now.
    ///
    /// # Panics
    ///
    /// Panics if the process has exited.
    pub fn resource_usage(&self) -> ResourceUsage {
        self.process.resource_usage().expect("the gatekeeper runs")
    }
}
