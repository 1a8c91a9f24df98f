//! The admission journal: a write-ahead log of the requests that a successor admits while its predecessor is alive. Each entry is
//! written before its request is forwarded, so that the predecessor can take over with complete quotas if the successor fails.
//!
//! Entries go through a socket, whose buffer outlives the writing process. Writes do not block, so a suspended predecessor cannot
//! delay its successor. An entry that does not fit in the buffer is lost. A reader that finds many unread entries therefore
//! reports the journal as incomplete.

use std::io::{self, ErrorKind, Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Bytes of an encoded entry.
const ENTRY_BYTES: usize = 28;
/// Number of unread entries above which entries may have been lost. Linux's default socket buffer holds 270 entries of
/// [`ENTRY_BYTES`] with the kernel's overhead.
const MAX_UNREAD_ENTRIES: usize = 64;
/// Accepted values of [`Admission::tenant_gatekeepers`].
const VALID_TENANT_GATEKEEPER_COUNTS: std::ops::RangeInclusive<f64> = 1.0..=1e6;
/// Accepted values of [`Admission::units`].
const VALID_UNITS: std::ops::RangeInclusive<f64> = 0.0..=1e9;
/// Timeout for reading the rest of a journal whose writer has ended. The caller of [`read_journal`] applies it.
pub const JOURNAL_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// An entry of the journal: one admitted request, as it is charged to its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Number of the tenant whose quota is charged.
    pub tenant: u64,
    /// The plan's number in the predecessor, which reads the journal.
    pub plan: u32,
    /// Number of gatekeepers that serve the tenant.
    pub tenant_gatekeepers: f64,
    /// Units that are taken from the quota.
    pub units: f64,
}

impl Admission {
    /// Encodes all fields in order, little-endian.
    fn encode(&self) -> [u8; ENTRY_BYTES] {
        let mut bytes = [0; ENTRY_BYTES];
        bytes[..8].copy_from_slice(&self.tenant.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.plan.to_le_bytes());
        bytes[12..20].copy_from_slice(&self.tenant_gatekeepers.to_le_bytes());
        bytes[20..].copy_from_slice(&self.units.to_le_bytes());
        bytes
    }

    /// Decodes an entry. Returns `None` if there are too few bytes or a number is out of range.
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
        let is_valid = VALID_TENANT_GATEKEEPER_COUNTS.contains(&admission.tenant_gatekeepers)
            && VALID_UNITS.contains(&admission.units);
        is_valid.then_some(admission)
    }
}

/// The writing end of an admission journal. The successor appends to it what the predecessor must charge.
#[derive(Debug)]
pub struct AdmissionJournal(UnixStream);

impl AdmissionJournal {
    /// Opens a journal, and returns it with the descriptor for [`read_journal`].
    ///
    /// # Errors
    ///
    /// Fails as `socketpair(2)` does.
    pub fn open() -> io::Result<(Self, OwnedFd)> {
        let (writer, reader) = UnixStream::pair()?;
        writer.set_nonblocking(true)?;
        Ok((Self(writer), reader.into()))
    }

    /// Appends an entry. Never blocks; an entry that does not fit in the socket's buffer is lost.
    pub fn append(&self, admission: &Admission) {
        // The reader detects a possible loss by the number of unread entries.
        let _ = (&self.0).write(&admission.encode());
    }
}

/// Whether a journal was read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalEnd {
    /// Every entry was read.
    Complete,
    /// Entries may be missing, or one is invalid or truncated.
    Incomplete,
}

/// Reads a journal until its writer has ended, and calls `on_entry` for each entry as it arrives.
pub fn read_journal(reader: OwnedFd, mut on_entry: impl FnMut(Admission)) -> JournalEnd {
    let mut reader = UnixStream::from(reader);
    let mut buffer = [0; ENTRY_BYTES * MAX_UNREAD_ENTRIES];
    // Number of bytes of an incomplete entry at the front of the buffer.
    let mut partial = 0;
    let mut is_complete = true;
    loop {
        match reader.read(&mut buffer[partial..]) {
            Ok(0) if is_complete && partial == 0 => return JournalEnd::Complete,
            Ok(0) => return JournalEnd::Incomplete,
            Ok(count) => {
                let filled = partial + count;
                is_complete &= filled < buffer.len();
                for entry in buffer[..filled].chunks_exact(ENTRY_BYTES) {
                    match Admission::decode(entry) {
                        Some(admission) => on_entry(admission),
                        None => is_complete = false,
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
