//! Fields at fixed offsets of a header, a record or a list entry.

use policy::{BackendId, Micros, RequestId};

/// The bytes of a header, a record or a list entry. All numbers are big-endian. An offset beyond the end causes a panic, so the
/// caller has to check the length.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fields<'a>(pub(super) &'a [u8]);

impl<'a> Fields<'a> {
    pub(super) fn bytes(self, offset: usize, length: usize) -> &'a [u8] {
        &self.0[offset..offset + length]
    }

    pub(super) fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }

    pub(super) fn u16(self, offset: usize) -> u16 {
        u16::from_be_bytes(self.array(offset))
    }

    pub(super) fn u32(self, offset: usize) -> u32 {
        u32::from_be_bytes(self.array(offset))
    }

    pub(super) fn u64(self, offset: usize) -> u64 {
        u64::from_be_bytes(self.array(offset))
    }

    pub(super) fn f32(self, offset: usize) -> f32 {
        f32::from_be_bytes(self.array(offset))
    }

    /// A duration in microseconds, which the wire has in 32 bits.
    pub(super) fn micros(self, offset: usize) -> Micros {
        Micros::from(self.u32(offset))
    }

    pub(super) fn request_id(self, offset: usize) -> RequestId {
        RequestId(self.u32(offset))
    }

    pub(super) fn backend_id(self, offset: usize) -> BackendId {
        BackendId(self.u32(offset))
    }

    fn array<const LENGTH: usize>(self, offset: usize) -> [u8; LENGTH] {
        self.bytes(offset, LENGTH).try_into().expect("the slice has LENGTH bytes")
    }
}
