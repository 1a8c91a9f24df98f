//! Frames on disk: a length, a checksum and the data. The checksum also covers the frame's number, so that a misplaced frame is
//! not taken for an intact one.

/// The format identifier at the beginning of each file.
pub(super) const FORMAT: &[u8; 8] = b"sf-log 1";
/// Size of the length field, which is little-endian, in bytes.
const LENGTH_BYTES: usize = 4;
/// Size of the checksum in bytes. The checksum is a prefix of the BLAKE3 hash of the frame's number and its data.
const CHECKSUM_BYTES: usize = 16;
/// Size of the header in front of a frame's data, in bytes.
pub(super) const HEADER_BYTES: usize = LENGTH_BYTES + CHECKSUM_BYTES;
/// Maximum size of a frame's data in bytes: 64 texts of the maximum length.
const MAX_DATA_BYTES: usize = 64 * replicated_config::MAX_TEXT_BYTES;

fn checksum(number: u64, data: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&number.to_le_bytes()).update(data);
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

/// Encodes a frame. Frames are numbered from 0 in each file.
pub(super) fn encode(number: u64, data: &[u8]) -> Vec<u8> {
    let length = (data.len() as u32).to_le_bytes();
    [&length[..], &checksum(number, data), data].concat()
}

/// Returns the data of the intact frames at the beginning of a file, or `None` if the file has another format.
pub(super) fn decode_all(file: &[u8]) -> Option<Vec<&[u8]>> {
    let mut rest = file.strip_prefix(FORMAT)?;
    let mut frames = Vec::new();
    while let Some(frame) = split_frame(rest, frames.len() as u64) {
        frames.push(frame.data);
        rest = frame.rest;
    }
    Some(frames)
}

/// A frame that was split off the beginning of a file's remaining bytes.
struct SplitFrame<'a> {
    data: &'a [u8],
    /// The bytes after the frame.
    rest: &'a [u8],
}

/// Splits off the first frame. Returns `None` if it is truncated, damaged or not the frame of this number.
fn split_frame(bytes: &[u8], number: u64) -> Option<SplitFrame<'_>> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let (length, expected_checksum) = header.split_first_chunk::<LENGTH_BYTES>()?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_DATA_BYTES {
        return None;
    }
    let (data, rest) = rest.split_at_checked(length)?;
    (expected_checksum == checksum(number, data)).then_some(SplitFrame { data, rest })
}
