//! The history of a run: one list of observations, all timed by one clock, and its file of JSON lines.

mod observation;
mod recorder;

#[cfg(test)]
mod tests;

pub use observation::{Observation, Outcome, Record};
pub use recorder::Recorder;

use std::io::{self, Write};

/// A history file that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// A line holds no record.
    #[error("line {line}: {source}")]
    Line {
        /// The line's number, from 1.
        line: usize,
        /// What is wrong with it.
        #[source]
        source: serde_json::Error,
    },
}

/// Microseconds of the system's monotonic clock, which all processes of a machine share.
pub fn now_us() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Writes a history as JSON lines.
///
/// # Errors
///
/// It cannot be written.
pub fn write(records: &[Record], to: &mut impl Write) -> io::Result<()> {
    for record in records {
        serde_json::to_writer(&mut *to, record)?;
        to.write_all(b"\n")?;
    }
    Ok(())
}

/// Reads what [`write()`] has written.
///
/// # Errors
///
/// A line holds no record.
pub fn read(text: &str) -> Result<Vec<Record>, HistoryError> {
    let record = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|source| HistoryError::Line { line: index + 1, source })
    };
    text.lines().enumerate().map(record).collect()
}
