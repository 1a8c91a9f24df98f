//! Notifications of the start, the log lines and the exit of a process.

use super::{KILLED, LogLine};

/// How the harness has asked a process to exit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExitRequest {
    /// The harness has not asked for an exit.
    #[default]
    None,
    /// The harness has asked for a graceful shutdown by SIGTERM.
    ShutDown,
    /// The harness has sent SIGKILL.
    Kill,
}

/// How a process has exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// Exit code, or the negative number of the signal that ended the process.
    pub exit_code: i32,
    /// How the harness had asked for the exit.
    pub request: ExitRequest,
}

impl ProcessExit {
    /// Whether the harness asked for an exit of this kind. It did not if it only asked for a shutdown and SIGKILL from elsewhere
    /// ended the process.
    pub fn is_requested(self) -> bool {
        match self.request {
            ExitRequest::None => false,
            ExitRequest::ShutDown => self.exit_code != KILLED,
            ExitRequest::Kill => true,
        }
    }
}

/// Receives the start, the log lines and the exit of a process. Threads of the harness call the methods.
pub trait ProcessObserver: Send + Sync + 'static {
    /// The process was started. Called before all other methods.
    fn started(&self) {}

    /// The process wrote a line to its standard output or standard error.
    fn logged(&self, line: LogLine);

    /// The process has exited. Called last, after [`ProcessObserver::logged`] for all lines.
    fn exited(&self, exit: ProcessExit);
}
