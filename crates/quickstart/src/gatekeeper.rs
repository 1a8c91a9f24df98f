//! The gatekeeper, run as a child process.

use crate::configuration::Configuration;
use crate::error::Error;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{self, File};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The time that the gatekeeper has for its shutdown. It answers its requests in flight before it ends, and the longest deadline
/// in the example is 2.5 s.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running gatekeeper. Dropping it kills the process.
#[derive(Debug)]
pub struct Gatekeeper {
    /// The path of the gatekeeper's program.
    pub program: PathBuf,
    child: Child,
    log: PathBuf,
}

impl Gatekeeper {
    /// Starts `snowfield serve` with a configuration. The program `snowfield` is in the directory of the quickstart's own
    /// program.
    ///
    /// # Errors
    ///
    /// Fails if the program is not built or the log file cannot be created.
    pub fn start(configuration: &Configuration) -> Result<Self, Error> {
        let program = std::env::current_exe().map_err(Error::Wait)?.with_file_name("snowfield");
        let log = configuration.log.clone();
        let output = File::create(&log).map_err(|source| Error::File { path: log.clone(), source })?;
        let errors = output.try_clone().map_err(|source| Error::File { path: log.clone(), source })?;
        let child = Command::new(&program)
            .arg("serve")
            .arg(&configuration.file)
            // With a separate process group for the gatekeeper, Ctrl-C reaches the quickstart only, which then stops the
            // gatekeeper.
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|source| Error::Start { path: program.clone(), source })?;
        Ok(Self { program, child, log })
    }

    /// Returns what the gatekeeper has logged so far; an empty string if its log cannot be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Checks that the process is still running.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn check_running(&mut self) -> Result<(), Error> {
        match self.child.try_wait().map_err(Error::Wait)? {
            None => Ok(()),
            Some(status) => Err(Error::GatekeeperEnded { status, log: self.log() }),
        }
    }

    /// Sends SIGTERM and waits for the end of the graceful shutdown.
    ///
    /// # Errors
    ///
    /// Fails if the process ended with a failure, or did not end in time and was killed.
    pub fn stop(mut self) -> Result<(), Error> {
        let _ = kill_process(Pid::from_child(&self.child), Signal::TERM);
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().map_err(Error::Wait)? {
                return if status.success() {
                    Ok(())
                } else {
                    Err(Error::GatekeeperEnded { status, log: self.log() })
                };
            }
            if Instant::now() >= deadline {
                return Err(Error::ShutdownTimedOut { timeout: SHUTDOWN_TIMEOUT, log: self.log() });
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Gatekeeper {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
