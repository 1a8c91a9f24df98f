//! Size limits that replicas and clients share.

/// Longest text of a version, in bytes.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;

/// Largest encoded [`Message`](crate::Message), in bytes: two texts and 64 KiB for the fields around them.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_TEXT_BYTES + 64 * 1024;
