//! Size limits that replicas and clients share.

/// Maximum length of a version's text in bytes.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;

/// Maximum size of an encoded [`Message`](crate::Message) in bytes: two texts, and 64 KiB for the other fields.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_TEXT_BYTES + 64 * 1024;
