//! The real gatekeeper as a child process.

use crate::configuration::Configuration;
use crate::error::Error;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{self, File};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A gatekeeper answers its requests in flight before it ends. The longest deadline in the example is 2.5 s.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running gatekeeper. It is killed when this is dropped.
#[derive(Debug)]
pub struct Gatekeeper {
    /// The program.
    pub program: PathBuf,
    child: Child,
    log: PathBuf,
}

impl Gatekeeper {
    /// Starts `snowfield serve` with a configuration. The program is the one beside this one.
    ///
    /// # Errors
    ///
    /// It is not built, or its log cannot be written.
    pub fn start(configuration: &Configuration) -> Result<Self, Error> {
        let program = std::env::current_exe().map_err(Error::Wait)?.with_file_name("snowfield");
        let log = configuration.log.clone();
        let output = File::create(&log).map_err(|source| Error::File { path: log.clone(), source })?;
        let errors = output.try_clone().map_err(|source| Error::File { path: log.clone(), source })?;
        let child = Command::new(&program)
            .arg("serve")
            .arg(&configuration.file)
            // In a process group of its own, Ctrl-C reaches the quickstart alone, which then stops the gatekeeper.
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|source| Error::Start { path: program.clone(), source })?;
        Ok(Self { program, child, log })
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Checks that it has not ended by itself.
    ///
    /// # Errors
    ///
    /// It has.
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
    /// It failed, or did not end in time and was killed.
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
