//! How a gatekeeper process is started.

use std::path::Path;
use std::process::{Command, Stdio};

/// The format in which a gatekeeper writes its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line, with fields and the time of the monotonic clock.
    #[default]
    Json,
    /// Plain text. Each line is kept unchanged, without fields or a time.
    Plain,
}

/// Program, arguments and environment of a process.
#[derive(Clone, Debug)]
pub struct Launch<'a> {
    /// Name of the process in the history.
    pub name: &'a str,
    /// Path of the executable.
    pub build: &'a Path,
    /// Command line arguments after the path of the executable.
    pub arguments: &'a [&'a str],
    /// Environment variables that are added to those of the harness.
    pub variables: &'a [(&'a str, String)],
    /// Format in which the process writes its log.
    pub log_format: LogFormat,
}

impl<'a> Launch<'a> {
    /// Launches `build` without arguments or additional variables, with a log in JSON.
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
