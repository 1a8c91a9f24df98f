//! A gatekeeper and the processes that run it one after another: starting, replacing and ending them, and recording their events.

use crate::history::{GatekeeperIndex, Moment, ProcessEvent, ProcessRecord, Recorder, gatekeeper_name};
use fault_harness::process::{Launch, LogFormat, LogLine, Process, ProcessExit, ProcessObserver};
use fault_harness::sync::lock;
use fault_shim_control::Control;
use seeded_faults::FAULT_VARIABLE;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Start of the message that a process logs once it serves.
const READY_TEXT: &str = "serving on ";
/// Text that a process logs when one of its invariants is violated.
const VIOLATION_TEXT: &str = "invariant violated";
/// Texts that a process writes when it panics or ends on a fatal error.
const PANIC_TEXTS: [&str; 2] = ["panicked at", "fatal:"];
/// Time after SIGTERM for which a process still accepts new connections.
const ACCEPTS_AFTER_TERMINATION: Duration = Duration::from_millis(300);
/// Maximum time that the harness waits until a process serves.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The program of all gatekeepers, with the fault shim and an optional seeded fault.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the gatekeeper's binary.
    pub path: PathBuf,
    /// Path of the fault shim, a library that is preloaded into each process.
    pub shim: PathBuf,
    /// The seeded fault that is enabled in a build with the feature `weakened`.
    pub seeded_fault: Option<String>,
}

/// State of a process as far as the harness has seen or caused it.
#[derive(Clone, Copy, Debug, Default)]
struct Lifecycle {
    ready: Option<Moment>,
    terminated: Option<Moment>,
    was_killed: bool,
}

/// One of the processes that run a gatekeeper one after another.
#[derive(Debug)]
struct Incarnation {
    /// Number of the process among the gatekeeper's processes, from 0.
    number: usize,
    process: Process,
    lifecycle: Arc<Mutex<Lifecycle>>,
}

impl Incarnation {
    /// Whether the process should accept new connections from clients.
    fn accepts_connections(&self, now: Moment) -> bool {
        let Lifecycle { ready, terminated, was_killed } = *lock(&self.lifecycle);
        let is_ending = terminated.is_some_and(|at| now >= at + ACCEPTS_AFTER_TERMINATION);
        ready.is_some() && !was_killed && !is_ending && !self.process.has_exited()
    }

    /// Waits until the process serves or has exited. Returns whether it serves.
    fn wait_until_ready(&self) -> bool {
        self.process.log().wait_for_within(READY_TEXT, START_TIMEOUT) && !self.process.has_exited()
    }
}

/// Records the events of one process.
struct IncarnationObserver {
    recorder: Recorder,
    gatekeeper: GatekeeperIndex,
    number: usize,
    lifecycle: Arc<Mutex<Lifecycle>>,
}

impl IncarnationObserver {
    fn record(&self, event: ProcessEvent) {
        record_event(&self.recorder, self.gatekeeper, self.number, event);
    }
}

impl ProcessObserver for IncarnationObserver {
    fn logged(&self, line: LogLine) {
        let line = line.text;
        if line.contains(READY_TEXT) {
            let now = self.recorder.now();
            self.record(ProcessEvent::Ready);
            lock(&self.lifecycle).ready = Some(now);
        } else if line.contains(VIOLATION_TEXT) {
            self.record(ProcessEvent::Violation { line });
        } else if PANIC_TEXTS.iter().any(|text| line.contains(text)) {
            self.record(ProcessEvent::Panicked { line });
        }
    }

    fn exited(&self, exit: ProcessExit) {
        self.record(ProcessEvent::Exited { exit_code: exit.exit_code, request: exit.request });
    }
}

fn record_event(recorder: &Recorder, gatekeeper: GatekeeperIndex, process: usize, event: ProcessEvent) {
    let record = ProcessRecord { at: recorder.now(), gatekeeper, process, event };
    recorder.record(|history| history.processes.push(record));
}

/// A gatekeeper with all processes that have run it.
#[derive(Debug)]
pub struct Gatekeeper {
    /// Number of the gatekeeper in the site, from 0.
    pub index: GatekeeperIndex,
    /// Address at which the gatekeeper's clients connect.
    pub address: SocketAddr,
    /// The control block by which the harness sets the faults of the shim in this gatekeeper's processes.
    pub control: Control,
    program: Program,
    config_path: PathBuf,
    directory: PathBuf,
    recorder: Recorder,
    /// All processes of the gatekeeper so far, in the order of their starts.
    incarnations: Mutex<Vec<Arc<Incarnation>>>,
    /// Held while a process is replaced, so that replacements do not overlap.
    replacement_lock: Mutex<()>,
}

impl Gatekeeper {
    /// Creates a gatekeeper without a process. Its files are written to a subdirectory of `directory`.
    ///
    /// # Errors
    ///
    /// The directory cannot be written.
    pub fn new(
        index: GatekeeperIndex,
        address: SocketAddr,
        program: Program,
        directory: &Path,
        recorder: &Recorder,
    ) -> io::Result<Arc<Self>> {
        let directory = directory.join(gatekeeper_name(index));
        std::fs::create_dir_all(&directory)?;
        Ok(Arc::new(Self {
            index,
            address,
            control: Control::create(&directory.join("faults"))?,
            program,
            config_path: directory.join("config.json"),
            directory,
            recorder: recorder.clone(),
            incarnations: Mutex::default(),
            replacement_lock: Mutex::default(),
        }))
    }

    /// Writes the configuration file that the gatekeeper's processes read.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write_config(&self, text: &str) -> io::Result<()> {
        std::fs::write(&self.config_path, text)
    }

    fn record(&self, incarnation: &Incarnation, event: ProcessEvent) {
        record_event(&self.recorder, self.index, incarnation.number, event);
    }

    /// Starts a process whose wall clock is ahead by `clock_offset_us` microseconds.
    ///
    /// # Errors
    ///
    /// The gatekeeper's program cannot be started.
    pub fn start(&self, clock_offset_us: i64) -> io::Result<()> {
        self.control.set_clock_offset(clock_offset_us)?;
        let mut incarnations = lock(&self.incarnations);
        let (number, lifecycle) = (incarnations.len(), Arc::default());
        record_event(&self.recorder, self.index, number, ProcessEvent::Started { clock_offset_us });
        let (name, variables) = (gatekeeper_name(self.index), self.environment());
        let launch = Launch {
            variables: &variables,
            log_format: LogFormat::Plain,
            ..Launch::new(&name, &self.program.path)
        };
        let observer = IncarnationObserver {
            recorder: self.recorder.clone(),
            gatekeeper: self.index,
            number,
            lifecycle: Arc::clone(&lifecycle),
        };
        let process = Process::start(&launch, observer)?;
        incarnations.push(Arc::new(Incarnation { number, process, lifecycle }));
        Ok(())
    }

    /// The environment variables of the gatekeeper's processes.
    fn environment(&self) -> Vec<(&'static str, String)> {
        let mut variables = vec![
            ("BALANCER_CONFIG", self.config_path.display().to_string()),
            ("BALANCER_OPERATOR", "127.0.0.1:0".to_owned()),
            ("TMPDIR", self.directory.display().to_string()),
        ];
        variables.extend(self.control.environment(&self.program.shim));
        variables.extend(self.program.seeded_fault.clone().map(|fault| (FAULT_VARIABLE, fault)));
        variables
    }

    /// Waits until the newest process serves or has exited. Returns whether it serves.
    pub fn wait_until_ready(&self) -> bool {
        self.newest().is_some_and(|newest| newest.wait_until_ready())
    }

    fn newest(&self) -> Option<Arc<Incarnation>> {
        lock(&self.incarnations).last().cloned()
    }

    /// Sends SIGTERM to a process, and SIGKILL if it has not exited after `kill_after`.
    fn terminate(&self, incarnation: &Incarnation, kill_after: Duration) {
        let now = self.recorder.now();
        lock(&incarnation.lifecycle).terminated.get_or_insert(now);
        self.record(incarnation, ProcessEvent::Terminated);
        incarnation.process.shut_down();
        if !incarnation.process.wait_for_exit(kill_after) {
            self.kill(incarnation);
        }
    }

    fn kill(&self, incarnation: &Incarnation) {
        if incarnation.process.has_exited() {
            return;
        }
        lock(&incarnation.lifecycle).was_killed = true;
        self.record(incarnation, ProcessEvent::Killed);
        incarnation.process.kill();
    }

    /// Ends the newest process by SIGTERM, or by SIGKILL after `kill_after`, and starts another one.
    ///
    /// # Errors
    ///
    /// The gatekeeper's program cannot be started.
    pub fn restart(&self, kill_after: Duration, clock_offset_us: i64) -> io::Result<()> {
        let _guard = lock(&self.replacement_lock);
        if let Some(newest) = self.newest() {
            self.terminate(&newest, kill_after);
        }
        self.start(clock_offset_us)?;
        self.wait_until_ready();
        Ok(())
    }

    /// Kills the newest process and starts another one after a pause.
    ///
    /// # Errors
    ///
    /// The gatekeeper's program cannot be started.
    pub fn crash(&self, pause: Duration, clock_offset_us: i64) -> io::Result<()> {
        let _guard = lock(&self.replacement_lock);
        if let Some(newest) = self.newest() {
            self.kill(&newest);
        }
        std::thread::sleep(pause);
        self.start(clock_offset_us)?;
        self.wait_until_ready();
        Ok(())
    }

    /// Starts a successor beside the newest process, waits until it serves, and then terminates the predecessor.
    ///
    /// # Errors
    ///
    /// The gatekeeper's program cannot be started.
    pub fn upgrade(&self, kill_after: Duration, clock_offset_us: i64) -> io::Result<()> {
        let _guard = lock(&self.replacement_lock);
        let predecessor = self.newest();
        self.start(clock_offset_us)?;
        self.wait_until_ready();
        if let Some(predecessor) = predecessor {
            self.terminate(&predecessor, kill_after);
        }
        Ok(())
    }

    /// Makes the newest process reload its configuration, by SIGHUP.
    pub fn reload(&self) {
        if let Some(newest) = self.newest() {
            newest.process.reload();
        }
    }

    /// Suspends the newest process for `time`.
    pub fn suspend(&self, time: Duration) {
        let Some(newest) = self.newest() else { return };
        let from = self.recorder.now();
        newest.process.suspend();
        std::thread::sleep(time);
        newest.process.resume();
        self.record(&newest, ProcessEvent::Suspended { from });
    }

    /// Ends all processes: the newest by SIGTERM, or by SIGKILL after `kill_after`, and then the others by SIGKILL.
    pub fn stop(&self, kill_after: Duration) {
        let _guard = lock(&self.replacement_lock);
        if let Some(newest) = self.newest() {
            self.terminate(&newest, kill_after);
        }
        let all = lock(&self.incarnations).clone();
        all.iter().for_each(|incarnation| self.kill(incarnation));
    }

    /// Whether one of the processes should accept new connections now.
    pub fn accepts_connections(&self) -> bool {
        let now = self.recorder.now();
        lock(&self.incarnations).iter().any(|incarnation| incarnation.accepts_connections(now))
    }
}
