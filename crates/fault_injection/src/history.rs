//! The history of a run: one list of observations, all timed by one clock, and its file of JSON lines.

mod observation;
mod recorder;

#[cfg(test)]
mod tests;

pub use observation::{Observation, Outcome, Record};
pub use recorder::Recorder;

use crate::Error;
use std::io::{self, Write};

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
pub fn read(text: &str) -> Result<Vec<Record>, Error> {
    let record = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|source| Error::HistoryLine { line: index + 1, source })
    };
    text.lines().enumerate().map(record).collect()
}
