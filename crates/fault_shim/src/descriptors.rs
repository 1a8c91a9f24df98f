//! Records which file descriptors of the process are outbound connections or files opened for writing.

use std::sync::atomic::{AtomicU8, Ordering};

/// Number of descriptors whose kind is recorded; higher descriptors count as no kind.
const MAX_DESCRIPTORS: usize = 65_536;

/// The kind of a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Kind {
    /// Any other descriptor.
    Other = 0,
    /// A connection that this process opened.
    Outbound = 1,
    /// A file that is open for writing.
    WrittenFile = 2,
}

static KINDS: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(0) }; MAX_DESCRIPTORS];

/// Records the kind of a descriptor. Invalid descriptors are ignored.
pub(crate) fn set_kind(descriptor: i32, kind: Kind) {
    if let Some(recorded_kind) = usize::try_from(descriptor).ok().and_then(|index| KINDS.get(index)) {
        recorded_kind.store(kind as u8, Ordering::Relaxed);
    }
}

/// Whether a descriptor is of this kind.
pub(crate) fn has_kind(descriptor: i32, kind: Kind) -> bool {
    let recorded_kind = usize::try_from(descriptor).ok().and_then(|index| KINDS.get(index));
    recorded_kind.is_some_and(|recorded_kind| recorded_kind.load(Ordering::Relaxed) == kind as u8)
}
