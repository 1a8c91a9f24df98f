//! The tail of a batch: the texts and lists that its records refer to.

use super::error::RecordError;

/// The bytes behind the records of a batch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tail<'a>(pub(super) &'a [u8]);

impl<'a> Tail<'a> {
    /// The bytes of `items` items of `item_bytes` each, from `offset` on.
    pub(super) fn slice(self, offset: u32, items: u32, item_bytes: usize) -> Result<&'a [u8], RecordError> {
        let start = offset as usize;
        let length = (items as usize).checked_mul(item_bytes);
        let end = length.and_then(|length| length.checked_add(start));
        let beyond_tail = RecordError::BeyondTail { offset, items, tail: self.0.len() };
        end.and_then(|end| self.0.get(start..end)).ok_or(beyond_tail)
    }

    /// The text at an offset. Invalid UTF-8 is replaced by replacement characters.
    pub(super) fn text(self, offset: u32, length: u32) -> Result<String, RecordError> {
        Ok(String::from_utf8_lossy(self.slice(offset, length, 1)?).into_owned())
    }
}
