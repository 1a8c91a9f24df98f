//! A replica's log on disk: a file of frames with checksums, and a second file with the count of frames that were written.
//!
//! A frame that was being written when the program was killed is discarded: nothing that depends on it was sent. Frames that were
//! counted and are missing mean that the log cannot be used: the replica may have voted in a way that the log no longer shows.

use crate::error::Error;
use crate::frame;
use replicated_config::{DurableState, LogRecord};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A log is compacted when it is larger than this and than twice its size after the last compaction.
const COMPACTION_BYTES: u64 = 4 << 20;
/// Extension of the file that counts the frames.
const COUNT_EXTENSION: &str = "count";
/// Extension of a file that is being written and not yet renamed.
const TEMPORARY_EXTENSION: &str = "new";

/// An open log.
#[derive(Debug)]
pub struct ReplicaLog {
    path: PathBuf,
    file: File,
    /// Size of the file.
    bytes: u64,
    /// Size of the file when it was opened or last compacted.
    compacted_bytes: u64,
    frames: u64,
    state: DurableState,
}

impl ReplicaLog {
    /// Creates an empty log.
    ///
    /// # Errors
    ///
    /// [`Error::LogExists`] where there is a log, or a frame count, at this path; [`Error::File`].
    pub fn create(path: &Path) -> Result<(), Error> {
        if path.exists() || count_path(path).exists() {
            return Err(Error::LogExists { path: path.to_owned() });
        }
        let create = || {
            path.parent().map_or(Ok(()), std::fs::create_dir_all)?;
            write_file(path, frame::FORMAT)?;
            write_count(path, 0)
        };
        create().map_err(|source| Error::File { path: path.to_owned(), source })
    }

    /// Opens a log and reads its state. Discards an unfinished frame at its end.
    ///
    /// # Errors
    ///
    /// [`Error::File`] where there is none; [`Error::DamagedFrameCount`], [`Error::UnknownLogFormat`],
    /// [`Error::MissingFrames`], [`Error::Records`] or [`Error::UnusableLog`] where it is cut or damaged.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let read =
            |path: &Path| std::fs::read(path).map_err(|source| Error::File { path: path.to_owned(), source });
        let content = read(path)?;
        let counted = decode_count(&read(&count_path(path))?)
            .ok_or_else(|| Error::DamagedFrameCount { path: count_path(path) })?;
        let frames =
            frame::decode_all(&content).ok_or_else(|| Error::UnknownLogFormat { path: path.to_owned() })?;
        let found = frames.len() as u64;
        if found < counted {
            return Err(Error::MissingFrames { path: path.to_owned(), found, counted });
        }
        let state = replay(path, &frames)?;
        let bytes = intact_bytes(&frames);
        let file =
            open_truncated(path, bytes).map_err(|source| Error::File { path: path.to_owned(), source })?;
        Ok(Self { path: path.to_owned(), file, bytes, compacted_bytes: bytes, frames: found, state })
    }

    /// What the log's records add up to.
    pub fn state(&self) -> &DurableState {
        &self.state
    }

    /// Appends these records. They are on disk when this returns.
    ///
    /// # Errors
    ///
    /// [`Error::File`], [`Error::Records`] or [`Error::UnusableLog`]: what is on disk is not known. The log must not be used any
    /// more until it is opened again.
    pub fn append(&mut self, records: Vec<LogRecord>) -> Result<(), Error> {
        if records.is_empty() {
            return Ok(());
        }
        let data = postcard::to_stdvec(&records)
            .map_err(|source| Error::Records { path: self.path.clone(), source })?;
        apply_all(&self.path, &mut self.state, records)?;
        self.append_frame(&data).map_err(|source| Error::File { path: self.path.clone(), source })
    }

    fn append_frame(&mut self, data: &[u8]) -> io::Result<()> {
        let frame = frame::encode(self.frames, data);
        self.file.write_all(&frame)?;
        self.file.sync_data()?;
        self.frames += 1;
        self.bytes += frame.len() as u64;
        write_count(&self.path, self.frames)?;
        if self.bytes > COMPACTION_BYTES && self.bytes > 2 * self.compacted_bytes {
            self.compact()?;
        }
        Ok(())
    }

    /// Replaces the file by one with a single frame that holds the present state.
    fn compact(&mut self) -> io::Result<()> {
        let DurableState { hard_state, snapshot, entries } = self.state.clone();
        let records = vec![
            LogRecord::Snapshot(snapshot),
            LogRecord::Entries(entries),
            LogRecord::HardState(hard_state),
        ];
        let data = postcard::to_stdvec(&records).map_err(io::Error::other)?;
        // The count comes first: one frame is no more than either file holds.
        write_count(&self.path, 1)?;
        let content = [&frame::FORMAT[..], &frame::encode(0, &data)].concat();
        write_file(&self.path, &content)?;
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        self.frames = 1;
        self.bytes = content.len() as u64;
        self.compacted_bytes = self.bytes;
        Ok(())
    }
}

/// The state after the records of all frames.
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

/// Size of a file with these frames.
fn intact_bytes(frames: &[&[u8]]) -> u64 {
    let frame_bytes = |data: &&[u8]| (frame::HEADER_BYTES + data.len()) as u64;
    frame::FORMAT.len() as u64 + frames.iter().map(frame_bytes).sum::<u64>()
}

/// Opens a file to append to it, cut off at this size.
fn open_truncated(path: &Path, bytes: u64) -> io::Result<File> {
    let file = OpenOptions::new().append(true).open(path)?;
    file.set_len(bytes)?;
    file.sync_all()?;
    Ok(file)
}

fn count_path(log: &Path) -> PathBuf {
    log.with_extension(COUNT_EXTENSION)
}

fn encode_count(frames: u64) -> Vec<u8> {
    [&frame::FORMAT[..], &frame::encode(0, &frames.to_le_bytes())].concat()
}

fn decode_count(content: &[u8]) -> Option<u64> {
    match frame::decode_all(content)?[..] {
        [count] => Some(u64::from_le_bytes(count.try_into().ok()?)),
        _ => None,
    }
}

fn write_count(log: &Path, frames: u64) -> io::Result<()> {
    write_file(&count_path(log), &encode_count(frames))
}

/// Replaces a file in one step.
fn write_file(path: &Path, content: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    // The rename is on disk only with the directory.
    path.parent().map_or(Ok(()), |directory| File::open(directory)?.sync_all())
}

#[cfg(test)]
mod tests;
