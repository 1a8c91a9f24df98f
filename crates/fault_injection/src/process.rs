//! A real gatekeeper as a child process, with its log, its signals and its end.

mod log;

#[cfg(test)]
mod tests;

pub use log::Log;

use crate::history::{Observation, Recorder};
use crate::wait::STEP_TIMEOUT;
use log::{Progress, spawn_reader};
use rustix::process::{Pid, Signal, kill_process};
use std::ffi::OsString;
use std::io::BufReader;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// A graceful shutdown takes no longer: the longest deadline, 0.7 s, and a slow machine.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);
/// A throttled process runs for this ...
const THROTTLED_RUN: Duration = Duration::from_millis(5);
/// ... and is then suspended for this.
const THROTTLED_PAUSE: Duration = Duration::from_millis(45);
/// Linux counts processor time in ticks of so many ms here (proc(5)).
const TICK_MS: u64 = 10;
/// User and system time among the fields of `/proc/PID/stat` behind the name (fields 14 and 15 of proc(5)).
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// The resources that a process uses at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Resident memory, kB.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Threads.
    pub threads: u64,
    /// Processor time since its start, ms.
    pub cpu_ms: u64,
}

/// A running gatekeeper. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    /// The file name of its build.
    build: OsString,
    pid: Pid,
    progress: Arc<Progress>,
    /// The harness has asked for its end.
    end_requested: Arc<AtomicBool>,
    throttled: Arc<AtomicBool>,
}

impl Process {
    /// Starts a build. All that it writes goes into the history.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn start(
        name: &str,
        build: &Path,
        arguments: &[&str],
        variables: &[(&str, String)],
        recorder: &Recorder,
    ) -> std::io::Result<Self> {
        let mut child = Command::new(build)
            .args(arguments)
            .env("SNOWFIELD_LOG", "json")
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let process = Self {
            name: name.to_owned(),
            build: build.file_name().unwrap_or_default().to_owned(),
            pid: Pid::from_child(&child),
            progress: Arc::default(),
            end_requested: Arc::default(),
            throttled: Arc::default(),
        };
        recorder.record(Observation::ProcessStarted { process: name.to_owned() });
        let mut readers = Vec::new();
        if let Some(out) = child.stdout.take() {
            readers.push(spawn_reader(name, BufReader::new(out), recorder, &process.progress));
        }
        if let Some(out) = child.stderr.take() {
            readers.push(spawn_reader(name, BufReader::new(out), recorder, &process.progress));
        }
        process.spawn_waiter(child, readers, recorder.clone());
        Ok(process)
    }

    /// Waits for the end in a thread and records it.
    fn spawn_waiter(&self, mut child: Child, readers: Vec<thread::JoinHandle<()>>, recorder: Recorder) {
        let (progress, end_requested) = (self.progress.clone(), self.end_requested.clone());
        let process = self.name.clone();
        thread::spawn(move || {
            let status = child.wait();
            // What it wrote last is in the history before its end.
            readers.into_iter().for_each(|reader| drop(reader.join()));
            let exit_code = status.map_or(i32::MIN, exit_code);
            let requested = end_requested.load(Ordering::Relaxed);
            recorder.record(Observation::ProcessExited { process, exit_code, requested });
            progress.end();
        });
    }

    /// Its log, which can be waited on while others act on the process.
    pub fn log(&self) -> Log {
        Log::new(self.progress.clone())
    }

    /// Waits for the end of a process that was asked to shut down. One that does not is killed, and counts as one that
    /// ended unasked.
    pub fn wait_for_shutdown(&self) {
        if !self.progress.wait_for_end(SHUTDOWN_TIMEOUT) {
            self.end_requested.store(false, Ordering::Relaxed);
            self.signal(Signal::KILL);
            self.progress.wait_for_end(STEP_TIMEOUT);
        }
    }

    fn signal(&self, signal: Signal) {
        self.progress.if_running(|| {
            let _ = kill_process(self.pid, signal);
        });
    }

    /// Kills it and waits for its end.
    pub fn kill(&self) {
        self.end_requested.store(true, Ordering::Relaxed);
        self.signal(Signal::KILL);
        self.progress.wait_for_end(STEP_TIMEOUT);
    }

    /// Asks for a graceful shutdown.
    pub fn shut_down(&self) {
        self.end_requested.store(true, Ordering::Relaxed);
        self.signal(Signal::TERM);
    }

    /// Asks it to reload its settings.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Suspends it until [`Process::resume`].
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// It runs again, at full speed.
    pub fn resume(&self) {
        self.throttled.store(false, Ordering::Relaxed);
        self.signal(Signal::CONT);
    }

    /// Suspends it nine tenths of the time until [`Process::resume`].
    pub fn throttle(&self) {
        if self.throttled.swap(true, Ordering::Relaxed) {
            return;
        }
        let (throttled, progress, pid) = (self.throttled.clone(), self.progress.clone(), self.pid);
        thread::spawn(move || {
            let send = |signal| progress.if_running(|| kill_process(pid, signal).is_ok()).unwrap_or(false);
            while throttled.load(Ordering::Relaxed) && send(Signal::STOP) {
                thread::sleep(THROTTLED_PAUSE);
                if !send(Signal::CONT) {
                    return;
                }
                thread::sleep(THROTTLED_RUN);
            }
        });
    }

    /// The resources that it uses now; none where it has ended, or is not yet the program.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        self.progress.if_running(|| self.read_resource_usage())?
    }

    fn read_resource_usage(&self) -> Option<ResourceUsage> {
        let folder = PathBuf::from(format!("/proc/{}", self.pid.as_raw_nonzero()));
        // Just before it becomes the program it is a copy of the harness.
        if std::fs::read_link(folder.join("exe")).ok()?.file_name()? != self.build {
            return None;
        }
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let figure = |name: &str| -> Option<u64> {
            status.lines().find_map(|l| l.strip_prefix(name))?.split_whitespace().next()?.parse().ok()
        };
        let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count() as u64;
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
        let [user, system] = CPU_TIME_FIELDS.map(ticks);
        Some(ResourceUsage {
            memory_kb: figure("VmRSS:")?,
            descriptors,
            threads: figure("Threads:")?,
            cpu_ms: TICK_MS * (user? + system?),
        })
    }

    /// Its process id.
    pub fn pid(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.throttled.store(false, Ordering::Relaxed);
        self.kill();
    }
}

/// The exit code, or the negative number of the signal that ended it.
fn exit_code(status: ExitStatus) -> i32 {
    status.code().unwrap_or_else(|| -status.signal().unwrap_or(0))
}
