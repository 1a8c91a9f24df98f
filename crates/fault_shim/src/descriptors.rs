//! Kinds of the process's descriptors: outbound connections, and files that it writes.

use std::sync::atomic::{AtomicU8, Ordering};

/// Descriptors from this on have no recorded kind.
const MAX_DESCRIPTORS: usize = 65_536;

/// The kind of a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Kind {
    /// Any other descriptor.
    Other = 0,
    /// A connection that this process has made.
    Outbound = 1,
    /// A file that is written.
    WrittenFile = 2,
}

static KINDS: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(0) }; MAX_DESCRIPTORS];

/// Records the kind of a descriptor.
pub(crate) fn set_kind(descriptor: i32, kind: Kind) {
    if let Some(known) = usize::try_from(descriptor).ok().and_then(|index| KINDS.get(index)) {
        known.store(kind as u8, Ordering::Relaxed);
    }
}

/// Whether a descriptor is of this kind.
pub(crate) fn has_kind(descriptor: i32, kind: Kind) -> bool {
    let known = usize::try_from(descriptor).ok().and_then(|index| KINDS.get(index));
    known.is_some_and(|known| known.load(Ordering::Relaxed) == kind as u8)
}
