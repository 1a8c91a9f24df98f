//! Notifications of the start, the log lines and the exit of a process.

use super::{KILLED, LogLine};

/// How the harness has asked a process to exit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExitRequest {
    /// Not at all.
    #[default]
    None,
    /// By SIGTERM.
    ShutDown,
    /// By SIGKILL.
    Kill,
}

/// The end of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// Its exit code, or the negative number of the signal that ended it.
    pub exit_code: i32,
    /// How the harness had asked for it.
    pub request: ExitRequest,
}

impl ProcessExit {
    /// Whether the harness asked for an exit of this kind: one that is asked to shut down and is killed by another was not.
    pub fn is_requested(self) -> bool {
        match self.request {
            ExitRequest::None => false,
            ExitRequest::ShutDown => self.exit_code != KILLED,
            ExitRequest::Kill => true,
        }
    }
}

/// Is notified of the start, the log lines and the exit of a process, by threads of the harness.
pub trait ProcessObserver: Send + Sync + 'static {
    /// The process was started. This comes before all else.
    fn started(&self) {}

    /// The process wrote a line.
    fn logged(&self, line: LogLine);

    /// The process has ended, and all its lines were observed. This comes last.
    fn exited(&self, exit: ProcessExit);
}
