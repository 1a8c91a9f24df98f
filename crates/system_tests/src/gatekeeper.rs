//! A real gatekeeper as a child process.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Longer than any log line or answer may take.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Among the fields of `/proc/PID/stat` behind the name (proc(5)): user and system time, in ticks.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];
/// Among the same: resident memory, in pages.
const RESIDENT_FIELD: usize = 21;
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_KB: u64 = 4;

/// What a process has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// Processor time so far, s.
    pub cpu_s: f64,
    /// Resident memory now, kB.
    pub memory_kb: u64,
}

/// A running gatekeeper. It is killed when this is dropped.
pub struct Gatekeeper {
    child: Child,
    lines: Receiver<String>,
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
    pub fn start_build(build: &Path, arguments: &[&str], variables: &[(&str, &str)]) -> Self {
        let mut child = Command::new(build)
            .args(arguments)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (sender, lines) = channel();
        let output = BufReader::new(child.stdout.take().expect("a pipe"));
        std::thread::spawn(move || {
            output.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok())
        });
        Self { child, lines }
    }

    /// Waits for a log line that contains this text and returns what follows the text.
    ///
    /// # Panics
    ///
    /// None comes.
    pub fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).unwrap_or_else(|_| panic!("no line holds {text:?}"));
            if let Some((_, rest)) = line.split_once(text) {
                return rest.to_owned();
            }
        }
    }

    /// What it has used so far.
    pub fn usage(&self) -> ProcessUsage {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let number = |field: usize| fields.get(field).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let ticks: u64 = CPU_TIME_FIELDS.map(number).iter().sum();
        ProcessUsage { cpu_s: ticks as f64 / TICKS_PER_SECOND, memory_kb: number(RESIDENT_FIELD) * PAGE_KB }
    }
}

impl Drop for Gatekeeper {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
