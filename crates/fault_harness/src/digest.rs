//! Digests by which tests notice a change of texts that must stay the same in every version.

/// Parameters of the 64-bit FNV-1a hash.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash of a text.
pub fn digest(text: &str) -> u64 {
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
