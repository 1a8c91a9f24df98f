//! The history of a run: one list of observations, all timed by one clock, and its file of JSON lines.

mod observation;
mod process_observer;
mod recorder;
mod span;

#[cfg(test)]
mod tests;

pub use fault_harness::outcome::Outcome;
pub use observation::{Observation, Record};
pub(crate) use process_observer::RecordingObserver;
pub use recorder::Recorder;
pub use span::Span;

pub use fault_harness::clock::now_us;

use crate::Error;
use std::io::{self, Write};

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
pub fn read(text: &str) -> Result<Vec<Record>, Error> {
    let record = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|source| Error::HistoryLine { line: index + 1, source })
    };
    text.lines().enumerate().map(record).collect()
}
