//! A replica's log on disk: a file of frames with checksums, and a second file with the number of frames that were written.
//!
//! A frame that was being written when the process was killed is discarded: no message that depends on it was sent. If frames
//! that were counted are missing, the log is unusable: the replica may have cast a vote that the log no longer records.

mod atomic_file;
mod frame;
mod frame_count;

use crate::error::Error;
use replicated_config::{DurableState, LogRecord};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Size in bytes that a log file must exceed to be compacted. The file must also be more than twice as large as after its last
/// compaction.
const COMPACTION_BYTES: u64 = 4 << 20;

/// A log that is open for appending.
#[derive(Debug)]
pub struct ReplicaLog {
    path: PathBuf,
    file: File,
    /// Size of the file in bytes.
    file_bytes: u64,
    /// Size of the file in bytes when it was opened or last compacted.
    compacted_file_bytes: u64,
    /// Number of frames in the file.
    frame_count: u64,
    state: DurableState,
}

impl ReplicaLog {
    /// Creates an empty log.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LogExists`] if a log or its frame count exists at this path, and [`Error::File`] if a file cannot be
    /// written.
    pub fn create(path: &Path) -> Result<(), Error> {
        if path.exists() || frame_count::path(path).exists() {
            return Err(Error::LogExists { path: path.to_owned() });
        }
        create_files(path).map_err(Error::file(path))
    }

    /// Opens a log and reads its state. Discards an unfinished frame at its end.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] if the log does not exist, and [`Error::DamagedFrameCount`], [`Error::UnknownLogFormat`],
    /// [`Error::MissingFrames`], [`Error::Records`] or [`Error::UnusableLog`] if it is truncated or damaged.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let content = std::fs::read(path).map_err(Error::file(path))?;
        let written = frame_count::read(path)?;
        let frames =
            frame::decode_all(&content).ok_or_else(|| Error::UnknownLogFormat { path: path.to_owned() })?;
        let intact = frames.len() as u64;
        if intact < written {
            return Err(Error::MissingFrames { path: path.to_owned(), intact, written });
        }
        let state = replay(path, &frames)?;
        let file_bytes = file_size(&frames);
        let file = open_truncated(path, file_bytes).map_err(Error::file(path))?;
        Ok(Self {
            path: path.to_owned(),
            file,
            file_bytes,
            compacted_file_bytes: file_bytes,
            frame_count: intact,
            state,
        })
    }

    /// Returns the durable state that results from applying the log's records in order.
    pub fn state(&self) -> &DurableState {
        &self.state
    }

    /// Appends records, which are on disk when `append` returns.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] if the records cannot be written, [`Error::Records`] if they cannot be encoded, and
    /// [`Error::UnusableLog`] if they leave a gap in the log. The content on disk is then unknown, and the log must not be used
    /// until it is opened again.
    pub fn append(&mut self, records: Vec<LogRecord>) -> Result<(), Error> {
        if records.is_empty() {
            return Ok(());
        }
        let data = postcard::to_stdvec(&records)
            .map_err(|source| Error::Records { path: self.path.clone(), source })?;
        apply_all(&self.path, &mut self.state, records)?;
        self.append_frame(&data).map_err(Error::file(&self.path))
    }

    fn append_frame(&mut self, data: &[u8]) -> io::Result<()> {
        let frame = frame::encode(self.frame_count, data);
        self.file.write_all(&frame)?;
        self.file.sync_data()?;
        self.frame_count += 1;
        self.file_bytes += frame.len() as u64;
        frame_count::write(&self.path, self.frame_count)?;
        if self.file_bytes > COMPACTION_BYTES && self.file_bytes > 2 * self.compacted_file_bytes {
            self.compact()?;
        }
        Ok(())
    }

    /// Replaces the file by one with a single frame that holds the current state.
    fn compact(&mut self) -> io::Result<()> {
        let DurableState { hard_state, snapshot, entries } = self.state.clone();
        let records = vec![
            LogRecord::Snapshot(snapshot),
            LogRecord::Entries(entries),
            LogRecord::HardState(hard_state),
        ];
        let data = postcard::to_stdvec(&records).map_err(io::Error::other)?;
        // The count of 1 is written before the file is replaced. Both the old and the new file hold at least one frame, so the
        // log is usable after a crash at any point.
        frame_count::write(&self.path, 1)?;
        let content = [&frame::FORMAT[..], &frame::encode(0, &data)].concat();
        atomic_file::replace(&self.path, &content)?;
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        self.frame_count = 1;
        self.file_bytes = content.len() as u64;
        self.compacted_file_bytes = self.file_bytes;
        Ok(())
    }
}

/// Creates the files of an empty log, and their directory if needed.
fn create_files(path: &Path) -> io::Result<()> {
    path.parent().map_or(Ok(()), std::fs::create_dir_all)?;
    atomic_file::replace(path, frame::FORMAT)?;
    frame_count::write(path, 0)
}

/// Returns the state that results from the records of all frames.
fn replay(path: &Path, frames: &[&[u8]]) -> Result<DurableState, Error> {
    let mut state = DurableState::default();
    for data in frames {
        let records =
            postcard::from_bytes(data).map_err(|source| Error::Records { path: path.to_owned(), source })?;
        apply_all(path, &mut state, records)?;
    }
    Ok(state)
}

fn apply_all(path: &Path, state: &mut DurableState, records: Vec<LogRecord>) -> Result<(), Error> {
    records
        .into_iter()
        .try_for_each(|record| state.apply(record))
        .map_err(|source| Error::UnusableLog { path: path.to_owned(), source })
}

/// Returns the size in bytes of a file with these frames.
fn file_size(frames: &[&[u8]]) -> u64 {
    let frame_bytes = |data: &&[u8]| (frame::HEADER_BYTES + data.len()) as u64;
    frame::FORMAT.len() as u64 + frames.iter().map(frame_bytes).sum::<u64>()
}

/// Truncates a file to this size and opens it for appending.
fn open_truncated(path: &Path, bytes: u64) -> io::Result<File> {
    let file = OpenOptions::new().append(true).open(path)?;
    file.set_len(bytes)?;
    file.sync_all()?;
    Ok(file)
}

#[cfg(test)]
mod tests;
