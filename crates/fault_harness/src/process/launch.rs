//! Program, arguments and environment of a process.

use std::path::Path;
use std::process::{Command, Stdio};

/// The format in which a gatekeeper writes its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line, with fields and the time of the monotonic clock.
    #[default]
    Json,
    /// Plain text.
    Plain,
}

/// Program, arguments and environment of a process.
#[derive(Clone, Debug)]
pub struct Launch<'a> {
    /// The process's name in the history.
    pub name: &'a str,
    /// The program.
    pub build: &'a Path,
    /// Its arguments.
    pub arguments: &'a [&'a str],
    /// Variables that are added to its environment.
    pub variables: &'a [(&'a str, String)],
    /// The format of its log.
    pub log_format: LogFormat,
}

impl<'a> Launch<'a> {
    /// A build without arguments that logs in JSON.
    pub fn new(name: &'a str, build: &'a Path) -> Self {
        Self { name, build, arguments: &[], variables: &[], log_format: LogFormat::default() }
    }

    pub(super) fn command(&self) -> Command {
        let mut command = Command::new(self.build);
        if self.log_format == LogFormat::Json {
            command.env("SNOWFIELD_LOG", "json");
        }
        command
            .args(self.arguments)
            .envs(self.variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command
    }
}
