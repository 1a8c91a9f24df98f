//! Digests of texts that must stay the same from version to version.

/// The offset basis and the prime of FNV-1a with 64 bits.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a with 64 bits.
pub fn digest(text: &str) -> u64 {
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
