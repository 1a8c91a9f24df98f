//! What a program lets in while the one before it still lives, told to that one before anything is sent: so that it can go on
//! from there, should its successor die unheard.
//!
//! The entries go through a socket, since what was written to one outlives its writer. They are written without waiting: an
//! old program that stands still must not hold the new one up. Where the socket has no room an entry is lost, so a reader
//! that finds much at once says that something may be missing.

use std::io::{self, ErrorKind, Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Bytes of an entry.
const ENTRY: usize = 28;
/// Entries that wait at most where none can be missing: a socket holds 270 of this size by Linux' default, each with its overhead.
const MOST_WAITING: usize = 64;

/// An operation that was let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LetIn {
    /// Whose store its units come from.
    pub customer: u64,
    /// The number that its plan has at the reader.
    pub plan: u32,
    /// Gatekeepers that the customer's requests come through.
    pub set: f64,
    /// Units.
    pub units: f64,
}

impl LetIn {
    fn put(&self) -> [u8; ENTRY] {
        let mut bytes = [0; ENTRY];
        bytes[..8].copy_from_slice(&self.customer.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.plan.to_le_bytes());
        bytes[12..20].copy_from_slice(&self.set.to_le_bytes());
        bytes[20..].copy_from_slice(&self.units.to_le_bytes());
        bytes
    }

    /// None where a figure makes no sense.
    fn take(bytes: &[u8]) -> Option<Self> {
        let (customer, rest) = bytes.split_first_chunk::<8>()?;
        let (plan, rest) = rest.split_first_chunk::<4>()?;
        let (set, rest) = rest.split_first_chunk::<8>()?;
        let (units, _) = rest.split_first_chunk::<8>()?;
        let (set, units) = (f64::from_le_bytes(*set), f64::from_le_bytes(*units));
        let sound = (1.0..=1e6).contains(&set) && (0.0..=1e9).contains(&units);
        let (customer, plan) = (u64::from_le_bytes(*customer), u32::from_le_bytes(*plan));
        sound.then_some(Self { customer, plan, set, units })
    }
}

/// The side that lets in.
#[derive(Debug)]
pub struct Ledger(UnixStream);

impl Ledger {
    /// One, and what its reader gets.
    ///
    /// # Errors
    ///
    /// The system has no such sockets.
    pub fn open() -> io::Result<(Self, OwnedFd)> {
        let (writes, reads) = UnixStream::pair()?;
        writes.set_nonblocking(true)?;
        Ok((Self(writes), reads.into()))
    }

    /// Enters this. It does not wait, and an entry that finds no room is lost.
    pub fn enter(&self, entry: &LetIn) {
        // The reader sees by what waits that something may be missing.
        let _ = (&self.0).write(&entry.put());
    }
}

/// Reads a ledger until its writer is gone, and tells each entry as it comes. Whether all were told: no entry can be missing.
pub fn follow(reads: OwnedFd, mut tell: impl FnMut(LetIn)) -> bool {
    let mut reads = UnixStream::from(reads);
    let mut buffer = [0; ENTRY * MOST_WAITING];
    let (mut begun, mut whole) = (0, true);
    loop {
        match reads.read(&mut buffer[begun..]) {
            Ok(0) => return whole && begun == 0,
            Ok(n) => {
                let filled = begun + n;
                whole &= filled < buffer.len();
                for entry in buffer[..filled].chunks_exact(ENTRY) {
                    match LetIn::take(entry) {
                        Some(entry) => tell(entry),
                        None => whole = false,
                    }
                }
                begun = filled % ENTRY;
                buffer.copy_within(filled - begun..filled, 0);
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
}

/// How long a reader may need for what is left of a ledger whose writer is gone.
pub const LAST_ENTRIES: Duration = Duration::from_secs(1);

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(n: u32) -> LetIn {
        LetIn { customer: u64::from(n), plan: n % 3, set: 2.0, units: f64::from(n) }
    }

    #[test]
    fn what_was_entered_outlives_its_writer() {
        let (ledger, reads) = Ledger::open().expect("a pair");
        (0..20).for_each(|n| ledger.enter(&entry(n)));
        drop(ledger);
        let mut told = Vec::new();
        assert!(follow(reads, |e| told.push(e)), "nothing can be missing");
        assert_eq!(told, (0..20).map(entry).collect::<Vec<_>>());
    }

    #[test]
    fn a_reader_that_stood_still_knows_that_entries_may_be_missing() {
        let (ledger, reads) = Ledger::open().expect("a pair");
        (0..100_000).for_each(|n| ledger.enter(&entry(n)));
        drop(ledger);
        let mut told = 0;
        assert!(!follow(reads, |_| told += 1));
        assert!(told < 100_000, "the socket does not hold all");
    }

    #[test]
    fn garbage_and_half_entries_are_no_whole_ledger() {
        for bytes in [&[0xff; ENTRY][..], &[0; ENTRY / 2][..]] {
            let (ledger, reads) = Ledger::open().expect("a pair");
            (&ledger.0).write_all(bytes).expect("there is room");
            drop(ledger);
            assert!(!follow(reads, |_| ()));
        }
    }
}
