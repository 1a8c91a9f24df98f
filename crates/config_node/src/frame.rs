//! Frames on disk: a length, a checksum and the data. The checksum covers the frame's number too, so that no frame can stand for
//! another.

/// The first bytes of each file: its format.
pub(crate) const FORMAT: &[u8; 8] = b"sf-log 1";
/// Bytes of the length, little-endian.
const LENGTH_BYTES: usize = 4;
/// Bytes of the checksum: the beginning of a BLAKE3 hash of the frame's number and its data.
const CHECKSUM_BYTES: usize = 16;
/// Bytes in front of a frame's data.
pub(crate) const HEADER_BYTES: usize = LENGTH_BYTES + CHECKSUM_BYTES;
/// No frame holds more: a state with that many versions and their texts.
const MAX_DATA_BYTES: usize = 64 * replicated_config::MAX_TEXT_BYTES;

fn checksum(number: u64, data: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&number.to_le_bytes()).update(data);
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

/// Encodes the frame of this number, counted from 0 in its file.
pub(crate) fn encode(number: u64, data: &[u8]) -> Vec<u8> {
    let length = (data.len() as u32).to_le_bytes();
    [&length[..], &checksum(number, data), data].concat()
}

/// The data of the intact frames at the beginning of a file; none where the file has another format.
pub(crate) fn decode_all(file: &[u8]) -> Option<Vec<&[u8]>> {
    let mut rest = file.strip_prefix(FORMAT)?;
    let mut frames = Vec::new();
    while let Some((data, behind)) = split_frame(rest, frames.len() as u64) {
        frames.push(data);
        rest = behind;
    }
    Some(frames)
}

/// Splits the frame of this number off the beginning of these bytes, where it is intact.
fn split_frame(bytes: &[u8], number: u64) -> Option<(&[u8], &[u8])> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let (length, expected_checksum) = header.split_first_chunk::<LENGTH_BYTES>()?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_DATA_BYTES {
        return None;
    }
    let (data, behind) = rest.split_at_checked(length)?;
    (expected_checksum == checksum(number, data)).then_some((data, behind))
}
