//! A single gatekeeper that runs as a child process.

use fault_harness::process::{
    Launch, LogFormat, LogLine, Process, ProcessExit, ProcessObserver, ResourceUsage,
};
use fault_harness::sync::lock;
use fault_harness::wait::STEP_TIMEOUT;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Instant;

/// A running gatekeeper. Dropping this value kills the process.
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
        // Fails only while `Gatekeeper` is dropped: the receiver is then gone, and the line is no longer needed.
        let _ = lock(&self.log_lines).send(line.text);
    }

    fn exited(&self, exit: ProcessExit) {
        if !exit.is_requested() {
            eprintln!("the gatekeeper exited with {}", exit.exit_code);
        }
    }
}

/// Returns the path of the gatekeeper build in the folder of this program.
///
/// # Panics
///
/// Panics if there is no such build.
pub fn release_build() -> PathBuf {
    let path = std::env::current_exe().expect("the path of this program").with_file_name("snowfield");
    assert!(path.exists(), "{} is not built", path.display());
    path
}

impl Gatekeeper {
    /// Starts the build that [`release_build`] returns, with these arguments.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn start(arguments: &[&str]) -> Self {
        Self::start_build(&release_build(), arguments, &[])
    }

    /// Starts the given build with these arguments and environment variables.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn start_build(build: &Path, arguments: &[&str], variables: &[(&str, String)]) -> Self {
        let launch =
            Launch { arguments, variables, log_format: LogFormat::Plain, ..Launch::new("gatekeeper", build) };
        let (sender, log_lines) = channel();
        let forwarder = LogForwarder { log_lines: Mutex::new(sender) };
        let process = Process::start(&launch, forwarder).expect("starting the gatekeeper");
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
                panic!("no log line contains {text:?}; the last line was: {last_line}");
            };
            if let Some((_, rest)) = line.split_once(text) {
                return rest.to_owned();
            }
            last_line = line;
        }
    }

    /// Returns the current resource usage of the process.
    ///
    /// # Panics
    ///
    /// Panics if the process has exited.
    pub fn resource_usage(&self) -> ResourceUsage {
        self.process.resource_usage().expect("resource usage of a running gatekeeper")
    }
}
