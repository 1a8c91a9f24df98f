//! Parsing of the operators' commands.

/// Maximum length of a line in bytes, without its line break. A command has one word and at most one backend id.
pub const MAX_LINE_BYTES: usize = 512;

/// First word of [`Command::Ready`].
const READY: &str = "readyz";
/// First word of [`Command::Metrics`].
const METRICS: &str = "telemetry";
/// First word of [`Command::Eject`].
const EJECT: &str = "exclude";
/// First word of [`Command::Restore`].
const RESTORE: &str = "include";

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `readyz`: report whether this process accepts clients.
    Ready,
    /// `telemetry`: report the metrics.
    Metrics,
    /// `exclude ID`: send no new attempt to the backend with this id.
    Eject(String),
    /// `include ID`: use the backend with this id again.
    Restore(String),
}

/// Why a line is not a valid command. The text is sent to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the line is too long")]
    LineTooLong,
    /// The line is not UTF-8.
    #[error("the line is no text")]
    NotUtf8,
    /// The line is empty or has only white space.
    #[error("an empty line")]
    Empty,
    /// The line has more words than any command.
    #[error("too many words")]
    TooManyWords,
    /// The command takes no backend id, but a word follows it.
    #[error("this call takes no id")]
    UnexpectedId,
    /// The command takes a backend id, but no id follows it.
    #[error("this call takes the id of a loan server")]
    MissingId,
    /// The first word is not a command.
    #[error("unknown call; known are {READY}, {METRICS}, {EJECT} ID and {RESTORE} ID")]
    Unknown,
}

impl Command {
    /// Parses a line without its line break. The words are separated by ASCII white space.
    ///
    /// # Errors
    ///
    /// Fails if the line is not a valid command.
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
