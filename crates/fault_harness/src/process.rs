//! Runs a real gatekeeper as a child process: its log, its signals, its resources and its exit.

mod launch;
mod log;
mod observer;
mod usage;

#[cfg(test)]
mod tests;

pub use launch::{Launch, LogFormat};
pub use log::{Log, LogLine};
pub use observer::{ExitRequest, ProcessExit, ProcessObserver};
pub use usage::ResourceUsage;

use crate::sync::lock;
use crate::thread::spawn;
use crate::wait::STEP_TIMEOUT;
use log::{Progress, spawn_reader};
use rustix::process::{Pid, Signal, kill_process};
use std::ffi::OsString;
use std::io::{self, BufReader};
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, ExitStatus};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Maximum duration of a graceful shutdown: the longest deadline of a request is 0.7 s, and the machine may be slow.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);
/// The exit code of a process that was killed: the negative number of SIGKILL.
pub const KILLED: i32 = -9;
/// Time for which a throttled process runs between two suspensions.
const THROTTLED_RUN: Duration = Duration::from_millis(5);
/// Duration of each suspension of a throttled process.
const THROTTLED_SUSPENSION: Duration = Duration::from_millis(45);

/// A running gatekeeper process, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    /// File name of the program that the process runs.
    program: OsString,
    pid: Pid,
    progress: Arc<Progress>,
    exit_request: Arc<Mutex<ExitRequest>>,
    throttled: Arc<AtomicBool>,
}

impl Process {
    /// Starts a process and notifies the observer of its start, log lines and exit.
    ///
    /// # Errors
    ///
    /// The program cannot be started, or a thread for its output or its exit cannot be created.
    pub fn start(launch: &Launch<'_>, observer: impl ProcessObserver) -> io::Result<Self> {
        let mut child = launch.command().spawn()?;
        let process = Self {
            name: launch.name.to_owned(),
            program: launch.build.file_name().unwrap_or_default().to_owned(),
            pid: Pid::from_child(&child),
            progress: Arc::default(),
            exit_request: Arc::default(),
            throttled: Arc::default(),
        };
        let observer: Arc<dyn ProcessObserver> = Arc::new(observer);
        observer.started();
        let mut readers = Vec::new();
        if let Some(output) = child.stdout.take() {
            readers.push(spawn_reader(BufReader::new(output), &observer, &process.progress)?);
        }
        if let Some(output) = child.stderr.take() {
            readers.push(spawn_reader(BufReader::new(output), &observer, &process.progress)?);
        }
        process.spawn_waiter(child, readers, observer)?;
        Ok(process)
    }

    /// Waits for the exit of the process in a thread and notifies the observer.
    fn spawn_waiter(
        &self,
        mut child: Child,
        readers: Vec<JoinHandle<()>>,
        observer: Arc<dyn ProcessObserver>,
    ) -> io::Result<()> {
        let (progress, exit_request) = (self.progress.clone(), self.exit_request.clone());
        spawn(move || {
            let status = child.wait();
            // The observer gets all lines before the exit.
            readers.into_iter().for_each(|reader| drop(reader.join()));
            let exit_code = status.map_or(i32::MIN, exit_code);
            let request = *lock(&exit_request);
            observer.exited(ProcessExit { exit_code, request });
            progress.end();
        })?;
        Ok(())
    }

    /// Returns a handle of the log, on which a caller can wait while others act on the process.
    pub fn log(&self) -> Log {
        Log::new(self.progress.clone())
    }

    /// Waits up to `timeout` for the exit of the process. Returns whether it has exited.
    pub fn wait_for_exit(&self, timeout: Duration) -> bool {
        self.progress.wait_for_exit(timeout)
    }

    /// Whether the exit of the process has been recorded; true also after a kill from elsewhere.
    pub fn has_exited(&self) -> bool {
        self.progress.has_exited()
    }

    /// Waits for the exit of a process that was asked to shut down. A process that does not exit in time is killed, which counts
    /// as an exit without a request.
    pub fn wait_for_shutdown(&self) {
        if !self.progress.wait_for_exit(SHUTDOWN_TIMEOUT) {
            *lock(&self.exit_request) = ExitRequest::None;
            self.signal(Signal::KILL);
            self.progress.wait_for_exit(STEP_TIMEOUT);
        }
    }

    fn signal(&self, signal: Signal) {
        self.progress.if_running(|| {
            let _ = kill_process(self.pid, signal);
        });
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&self) {
        *lock(&self.exit_request) = ExitRequest::Kill;
        self.signal(Signal::KILL);
        self.progress.wait_for_exit(STEP_TIMEOUT);
    }

    /// Requests a graceful shutdown by SIGTERM.
    pub fn shut_down(&self) {
        *lock(&self.exit_request) = ExitRequest::ShutDown;
        self.signal(Signal::TERM);
    }

    /// Requests a reload of the settings by SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Suspends the process until [`Process::resume`].
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended or throttled process.
    pub fn resume(&self) {
        self.throttled.store(false, Ordering::Relaxed);
        self.signal(Signal::CONT);
    }

    /// Suspends the process for nine tenths of the time until [`Process::resume`].
    pub fn throttle(&self) {
        if self.throttled.swap(true, Ordering::Relaxed) {
            return;
        }
        let (throttled, progress, pid) = (self.throttled.clone(), self.progress.clone(), self.pid);
        thread::spawn(move || {
            let send = |signal| progress.if_running(|| kill_process(pid, signal).is_ok()).unwrap_or(false);
            while throttled.load(Ordering::Relaxed) && send(Signal::STOP) {
                thread::sleep(THROTTLED_SUSPENSION);
                if !send(Signal::CONT) {
                    return;
                }
                thread::sleep(THROTTLED_RUN);
            }
        });
    }

    /// The resources that the process uses now; none if it has exited or has not executed its program yet.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        self.progress.if_running(|| ResourceUsage::read(self.pid, &self.program))?
    }

    /// The process id, which the system may reuse after the exit.
    pub fn pid(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// The name of the process in histories.
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

/// The exit code, or the negative number of the signal that ended the process.
fn exit_code(status: ExitStatus) -> i32 {
    status.code().unwrap_or_else(|| -status.signal().unwrap_or(0))
}
