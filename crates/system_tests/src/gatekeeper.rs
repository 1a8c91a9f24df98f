//! A real gatekeeper as a child process.

use fault_injection::process::{
    Launch, LogFormat, LogLine, Process, ProcessExit, ProcessObserver, ResourceUsage,
};
use fault_injection::sync::lock;
use fault_injection::wait::STEP_TIMEOUT;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Instant;

/// A running gatekeeper. It is killed when this is dropped.
pub struct Gatekeeper {
    process: Process,
    lines: Receiver<String>,
}

/// Sends on each line of a process.
struct LineSender(Mutex<Sender<String>>);

impl ProcessObserver for LineSender {
    fn logged(&self, line: LogLine) {
        // The test may have stopped listening.
        let _ = lock(&self.0).send(line.text);
    }

    fn exited(&self, exit: ProcessExit) {
        if !exit.is_requested() {
            eprintln!("the gatekeeper exited with {}", exit.exit_code);
        }
    }
}

/// The release build of the gatekeeper beside this program.
///
/// # Panics
///
/// It is not there.
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
    /// It cannot be started.
    pub fn start(arguments: &[&str]) -> Self {
        Self::start_build(&release_build(), arguments, &[])
    }

    /// Starts another build, with these variables in its environment.
    ///
    /// # Panics
    ///
    /// It cannot be started.
    pub fn start_build(build: &Path, arguments: &[&str], variables: &[(&str, String)]) -> Self {
        let launch =
            Launch { arguments, variables, log_format: LogFormat::Plain, ..Launch::new("gatekeeper", build) };
        let (sender, lines) = channel();
        let process = Process::start_observed(&launch, LineSender(Mutex::new(sender)));
        Self { process: process.expect("the program starts"), lines }
    }

    /// Waits for a log line that contains this text and returns what follows the text.
    ///
    /// # Panics
    ///
    /// None comes.
    pub fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + STEP_TIMEOUT;
        let mut last_line = String::new();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = self.lines.recv_timeout(left) else {
                panic!("no line holds {text:?}; the last one: {last_line}");
            };
            if let Some((_, rest)) = line.split_once(text) {
                return rest.to_owned();
            }
            last_line = line;
        }
    }

    /// The resources that it uses now.
    ///
    /// # Panics
    ///
    /// It has exited.
    pub fn usage(&self) -> ResourceUsage {
        self.process.resource_usage().expect("the gatekeeper runs")
    }
}
