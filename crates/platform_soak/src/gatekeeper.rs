//! One gatekeeper over all its processes: starts, signals, and what it writes.

use crate::history::{GatekeeperIndex, Moment, ProcessEvent, ProcessRecord, Recorder};
use crate::lock;
use crate::stand_ins::spawn;
use fault_shim_control::{CONTROL_VARIABLE, Control};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// What a process logs once it serves.
const READY_TEXT: &str = "serving on ";
/// What it logs where an invariant is broken.
const VIOLATION_TEXT: &str = "invariant violated";
/// What it writes where it panics or ends by itself.
const PANIC_TEXTS: [&str; 2] = ["panicked at", "fatal:"];
/// Clients may make new connections for so long after SIGTERM.
const CONNECTS_AFTER_TERMINATION: Duration = Duration::from_millis(300);
/// The longest wait for a process to serve.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The files that a gatekeeper's processes are started with.
#[derive(Clone, Debug)]
pub struct Program {
    /// The gatekeeper's binary.
    pub path: PathBuf,
    /// The preloaded library.
    pub shim: PathBuf,
    /// The fault that a build with seeded faults has.
    pub seeded_fault: Option<String>,
}

/// A process of a gatekeeper.
#[derive(Debug)]
struct Process {
    number: usize,
    pid: Pid,
    ready: Option<Moment>,
    terminated: Option<Moment>,
    killed: bool,
    exited: bool,
}

/// A gatekeeper.
#[derive(Debug)]
pub struct Gatekeeper {
    /// Its number.
    pub index: GatekeeperIndex,
    /// Where its clients connect.
    pub address: SocketAddr,
    /// The faults of its processes.
    pub control: Control,
    program: Program,
    config_path: PathBuf,
    directory: PathBuf,
    recorder: Recorder,
    processes: Mutex<Vec<Process>>,
    changed: Condvar,
    /// Held while a process takes the place of another: what replaces one waits for what replaces it already.
    replacing: Mutex<()>,
}

impl Gatekeeper {
    /// A gatekeeper without a process yet. Its files lie in this directory.
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
        let directory = directory.join(format!("n{index}"));
        std::fs::create_dir_all(&directory)?;
        Ok(Arc::new(Self {
            index,
            address,
            control: Control::create(&directory.join("faults"))?,
            program,
            config_path: directory.join("config.json"),
            directory,
            recorder: recorder.clone(),
            processes: Mutex::default(),
            changed: Condvar::new(),
            replacing: Mutex::default(),
        }))
    }

    /// Writes its configuration file.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write_config(&self, text: &str) -> io::Result<()> {
        std::fs::write(&self.config_path, text)
    }

    fn record(&self, process: usize, event: ProcessEvent) {
        let record = ProcessRecord { at: self.recorder.now(), gatekeeper: self.index, process, event };
        self.recorder.record(|history| history.processes.push(record));
    }

    /// Starts a process with its wall clock so far off.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start(self: &Arc<Self>, clock_offset_us: i64) -> io::Result<()> {
        self.control.set_clock_offset(clock_offset_us)?;
        let number = lock(&self.processes).len();
        self.record(number, ProcessEvent::Started { clock_offset_us });
        let mut command = Command::new(&self.program.path);
        command
            .env("BALANCER_CONFIG", &self.config_path)
            .env("BALANCER_OPERATOR", "127.0.0.1:0")
            .env("TMPDIR", &self.directory)
            .env("LD_PRELOAD", &self.program.shim)
            .env(CONTROL_VARIABLE, self.control.path())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        if let Some(fault) = &self.program.seeded_fault {
            command.env("SNOWFIELD_WEAKENED", fault);
        }
        let mut child = command.spawn()?;
        let pid = Pid::from_child(&child);
        lock(&self.processes).push(Process {
            number,
            pid,
            ready: None,
            terminated: None,
            killed: false,
            exited: false,
        });
        if let Some(output) = child.stdout.take() {
            self.follow_output(number, output)?;
        }
        if let Some(output) = child.stderr.take() {
            self.follow_output(number, output)?;
        }
        let gatekeeper = self.clone();
        spawn(move || gatekeeper.wait_for_exit(number, child))?;
        Ok(())
    }

    fn follow_output(self: &Arc<Self>, number: usize, output: impl Read + Send + 'static) -> io::Result<()> {
        let gatekeeper = self.clone();
        spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                gatekeeper.take_line(number, line);
            }
        })?;
        Ok(())
    }

    fn take_line(&self, number: usize, line: String) {
        if line.contains(READY_TEXT) {
            let now = self.recorder.now();
            self.record(number, ProcessEvent::Ready);
            let mut processes = lock(&self.processes);
            processes[number].ready = Some(now);
            self.changed.notify_all();
        } else if line.contains(VIOLATION_TEXT) {
            self.record(number, ProcessEvent::Violation { line });
        } else if PANIC_TEXTS.iter().any(|text| line.contains(text)) {
            self.record(number, ProcessEvent::Panicked { line });
        }
    }

    fn wait_for_exit(&self, number: usize, mut child: Child) {
        let status = child.wait().ok().and_then(|status| status.code());
        lock(&self.processes)[number].exited = true;
        self.record(number, ProcessEvent::Exited { status });
        self.changed.notify_all();
    }

    /// Waits until the newest process serves, or has ended. Returns whether it serves.
    pub fn wait_until_ready(&self) -> bool {
        let processes = lock(&self.processes);
        let is_undecided = |processes: &mut Vec<Process>| {
            processes.last().is_some_and(|process| process.ready.is_none() && !process.exited)
        };
        let waited = self.changed.wait_timeout_while(processes, START_TIMEOUT, is_undecided);
        let (processes, _) = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
        processes.last().is_some_and(|process| process.ready.is_some() && !process.exited)
    }

    /// Waits until a process has ended, for so long at the most. Returns whether it has.
    fn wait_until_exited(&self, number: usize, time: Duration) -> bool {
        let processes = lock(&self.processes);
        let runs = |processes: &mut Vec<Process>| !processes[number].exited;
        let waited = self.changed.wait_timeout_while(processes, time, runs);
        let (processes, _) = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
        processes[number].exited
    }

    /// The number of the newest process.
    fn newest(&self) -> Option<usize> {
        lock(&self.processes).len().checked_sub(1)
    }

    fn signal(&self, number: usize, signal: Signal) {
        let pid = lock(&self.processes).get(number).filter(|process| !process.exited).map(|p| p.pid);
        if let Some(pid) = pid {
            // It may have ended just now.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM to a process; returns whether it ended within this time, after which it is killed.
    fn terminate(&self, number: usize, time: Duration) -> bool {
        {
            let now = self.recorder.now();
            let mut processes = lock(&self.processes);
            processes[number].terminated.get_or_insert(now);
        }
        self.record(number, ProcessEvent::Terminated);
        self.signal(number, Signal::TERM);
        let has_exited = self.wait_until_exited(number, time);
        if !has_exited {
            self.kill_process(number);
        }
        has_exited
    }

    fn kill_process(&self, number: usize) {
        {
            let mut processes = lock(&self.processes);
            if processes[number].exited {
                return;
            }
            processes[number].killed = true;
        }
        self.record(number, ProcessEvent::Killed);
        self.signal(number, Signal::KILL);
        self.wait_until_exited(number, START_TIMEOUT);
    }

    /// Ends the newest process by SIGTERM, and by SIGKILL after this time, and starts another one.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn restart(self: &Arc<Self>, kill_after: Duration, clock_offset_us: i64) -> io::Result<()> {
        let _replacing = lock(&self.replacing);
        if let Some(number) = self.newest() {
            self.terminate(number, kill_after);
        }
        self.start(clock_offset_us)?;
        self.wait_until_ready();
        Ok(())
    }

    /// Kills the newest process and starts another one after a pause.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn crash(self: &Arc<Self>, pause: Duration, clock_offset_us: i64) -> io::Result<()> {
        let _replacing = lock(&self.replacing);
        if let Some(number) = self.newest() {
            self.kill_process(number);
        }
        std::thread::sleep(pause);
        self.start(clock_offset_us)?;
        self.wait_until_ready();
        Ok(())
    }

    /// Starts another process beside the newest one, which hands over to it and ends.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn upgrade(self: &Arc<Self>, kill_after: Duration, clock_offset_us: i64) -> io::Result<()> {
        let _replacing = lock(&self.replacing);
        let predecessor = self.newest();
        self.start(clock_offset_us)?;
        self.wait_until_ready();
        if let Some(number) = predecessor {
            self.terminate(number, kill_after);
        }
        Ok(())
    }

    /// Sends SIGHUP to the newest process.
    pub fn reload(&self) {
        if let Some(number) = self.newest() {
            self.signal(number, Signal::HUP);
        }
    }

    /// Suspends the newest process for this time.
    pub fn suspend(&self, time: Duration) {
        let Some(number) = self.newest() else { return };
        let from = self.recorder.now();
        self.signal(number, Signal::STOP);
        std::thread::sleep(time);
        self.signal(number, Signal::CONT);
        self.record(number, ProcessEvent::Suspended { from });
    }

    /// Ends all processes: the newest by SIGTERM.
    pub fn stop(&self, kill_after: Duration) {
        let _replacing = lock(&self.replacing);
        if let Some(number) = self.newest() {
            self.terminate(number, kill_after);
        }
        let numbers: Vec<usize> = lock(&self.processes).iter().map(|process| process.number).collect();
        numbers.into_iter().for_each(|number| self.kill_process(number));
    }

    /// Whether clients may make new connections now.
    pub fn accepts_connections(&self) -> bool {
        let now = self.recorder.now();
        lock(&self.processes).iter().any(|process| {
            let is_ending = process.terminated.is_some_and(|at| now >= at + CONNECTS_AFTER_TERMINATION);
            process.ready.is_some() && !process.killed && !process.exited && !is_ending
        })
    }
}
