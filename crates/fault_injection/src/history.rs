//! The history of a run: one list of observations with times of one clock, stored as JSON lines.

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
/// The writer fails.
pub fn write(records: &[Record], to: &mut impl Write) -> io::Result<()> {
    for record in records {
        serde_json::to_writer(&mut *to, record)?;
        to.write_all(b"\n")?;
    }
    Ok(())
}

/// Reads the JSON lines that [`write()`] writes.
///
/// # Errors
///
/// A line is not a valid record; the error has its number.
pub fn read(text: &str) -> Result<Vec<Record>, Error> {
    let record = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|source| Error::HistoryLine { line: index + 1, source })
    };
    text.lines().enumerate().map(record).collect()
}
