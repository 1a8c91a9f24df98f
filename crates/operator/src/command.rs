//! Commands, as operators write them.

/// Limit on a line in bytes, without its end. A backend's id takes a few bytes.
pub const MAX_LINE_BYTES: usize = 512;

/// The words of the commands.
const READY: &str = "readyz";
const METRICS: &str = "telemetry";
const EJECT: &str = "exclude";
const RESTORE: &str = "include";

/// One command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `readyz`: whether this process can serve.
    Ready,
    /// `telemetry`: the metrics.
    Metrics,
    /// `exclude ID`: eject the backend with this id.
    Eject(String),
    /// `include ID`: use the backend with this id again.
    Restore(String),
}

/// Why a line is no command. The text is sent to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// It is longer than [`MAX_LINE_BYTES`].
    #[error("the line is too long")]
    LineTooLong,
    /// It is not UTF-8.
    #[error("the line is no text")]
    NotUtf8,
    /// It holds no word.
    #[error("an empty line")]
    Empty,
    /// It holds more words than any command has.
    #[error("too many words")]
    TooManyWords,
    /// An id follows a command that takes none.
    #[error("this call takes no id")]
    UnexpectedId,
    /// No id follows a command that takes one.
    #[error("this call takes the id of a loan server")]
    MissingId,
    /// The first word is no command.
    #[error("unknown call; known are {READY}, {METRICS}, {EJECT} ID and {RESTORE} ID")]
    Unknown,
}

impl Command {
    /// Parses a line, without its end.
    ///
    /// # Errors
    ///
    /// The line is no command.
    pub fn parse(line: &[u8]) -> Result<Self, CommandError> {
        if line.len() > MAX_LINE_BYTES {
            return Err(CommandError::LineTooLong);
        }
        let text = std::str::from_utf8(line).map_err(|_| CommandError::NotUtf8)?;
        let mut tokens = text.split_ascii_whitespace();
        let (name, id) = (tokens.next(), tokens.next());
        if tokens.next().is_some() {
            return Err(CommandError::TooManyWords);
        }
        match (name, id) {
            (None, _) => Err(CommandError::Empty),
            (Some(READY), None) => Ok(Self::Ready),
            (Some(METRICS), None) => Ok(Self::Metrics),
            (Some(READY | METRICS), Some(_)) => Err(CommandError::UnexpectedId),
            (Some(EJECT), Some(id)) => Ok(Self::Eject(id.to_owned())),
            (Some(RESTORE), Some(id)) => Ok(Self::Restore(id.to_owned())),
            (Some(EJECT | RESTORE), None) => Err(CommandError::MissingId),
            (Some(_), _) => Err(CommandError::Unknown),
        }
    }
}

#[cfg(test)]
mod tests;
