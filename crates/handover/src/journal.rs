//! The admission journal: what a successor admits while its predecessor still lives. Each entry is written before the request
//! is forwarded, so that the predecessor can continue from there if the successor dies.
//!
//! Entries go through a socket, because what was written to a socket outlives its writer. Writes do not block: a predecessor
//! that is suspended must not delay its successor. An entry that finds the socket full is lost; a reader that finds many
//! entries at once therefore reports that some may be missing.

use std::io::{self, ErrorKind, Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Bytes of an encoded entry.
const ENTRY_BYTES: usize = 28;
/// Entries that may wait at once without any being lost. A socket holds 270 of this size with Linux' default buffer, each with
/// the kernel's overhead.
const MAX_WAITING_ENTRIES: usize = 64;
/// Numbers of gatekeepers that make sense in an entry.
const GATEKEEPERS: std::ops::RangeInclusive<f64> = 1.0..=1e6;
/// Units that make sense in an entry.
const UNITS: std::ops::RangeInclusive<f64> = 0.0..=1e9;
/// How long a reader may take to read the rest of a journal whose writer is gone.
pub const JOURNAL_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// One admitted request, as it counts against its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// The tenant's number.
    pub tenant: u64,
    /// The plan's number at the reader.
    pub plan: u32,
    /// Number of gatekeepers that the tenant's requests come through.
    pub tenant_gatekeepers: f64,
    /// Units that it takes from the quota.
    pub units: f64,
}

impl Admission {
    /// All fields in order, little-endian.
    fn encode(&self) -> [u8; ENTRY_BYTES] {
        let mut bytes = [0; ENTRY_BYTES];
        bytes[..8].copy_from_slice(&self.tenant.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.plan.to_le_bytes());
        bytes[12..20].copy_from_slice(&self.tenant_gatekeepers.to_le_bytes());
        bytes[20..].copy_from_slice(&self.units.to_le_bytes());
        bytes
    }

    /// `None` where the bytes are too few or a number is out of range.
    fn decode(bytes: &[u8]) -> Option<Self> {
        let (tenant, rest) = bytes.split_first_chunk::<8>()?;
        let (plan, rest) = rest.split_first_chunk::<4>()?;
        let (tenant_gatekeepers, rest) = rest.split_first_chunk::<8>()?;
        let (units, _) = rest.split_first_chunk::<8>()?;
        let admission = Self {
            tenant: u64::from_le_bytes(*tenant),
            plan: u32::from_le_bytes(*plan),
            tenant_gatekeepers: f64::from_le_bytes(*tenant_gatekeepers),
            units: f64::from_le_bytes(*units),
        };
        let valid = GATEKEEPERS.contains(&admission.tenant_gatekeepers) && UNITS.contains(&admission.units);
        valid.then_some(admission)
    }
}

/// The writing end of a journal.
#[derive(Debug)]
pub struct AdmissionJournal(UnixStream);

impl AdmissionJournal {
    /// A new journal, and the descriptor for [`read_journal`].
    ///
    /// # Errors
    ///
    /// As `socketpair(2)`.
    pub fn open() -> io::Result<(Self, OwnedFd)> {
        let (writer, reader) = UnixStream::pair()?;
        writer.set_nonblocking(true)?;
        Ok((Self(writer), reader.into()))
    }

    /// Appends an entry. It never blocks; an entry that finds the socket full is lost.
    pub fn append(&self, admission: &Admission) {
        // The reader detects a possible loss by the number of entries that wait.
        let _ = (&self.0).write(&admission.encode());
    }
}

/// How much of a journal was read when its writer was gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalEnd {
    /// Every entry was read.
    Complete,
    /// Entries may be missing, or the last one was cut short.
    Incomplete,
}

/// Reads a journal until its writer is gone, and passes on each entry as it comes.
pub fn read_journal(reader: OwnedFd, mut on_entry: impl FnMut(Admission)) -> JournalEnd {
    let mut reader = UnixStream::from(reader);
    let mut buffer = [0; ENTRY_BYTES * MAX_WAITING_ENTRIES];
    // Bytes of an entry that is not yet complete, at the front of the buffer.
    let mut partial = 0;
    let mut complete = true;
    loop {
        match reader.read(&mut buffer[partial..]) {
            Ok(0) if complete && partial == 0 => return JournalEnd::Complete,
            Ok(0) => return JournalEnd::Incomplete,
            Ok(count) => {
                let filled = partial + count;
                complete &= filled < buffer.len();
                for entry in buffer[..filled].chunks_exact(ENTRY_BYTES) {
                    match Admission::decode(entry) {
                        Some(admission) => on_entry(admission),
                        None => complete = false,
                    }
                }
                partial = filled % ENTRY_BYTES;
                buffer.copy_within(filled - partial..filled, 0);
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return JournalEnd::Incomplete,
        }
    }
}

#[cfg(test)]
mod tests;
