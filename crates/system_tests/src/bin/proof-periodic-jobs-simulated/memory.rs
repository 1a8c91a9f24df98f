//! Memory usage of this process.

const PAGE_BYTES: u64 = 4_096;
/// Index of the field with the number of resident pages in `/proc/self/statm`.
const RESIDENT_FIELD: usize = 1;

/// Returns the resident memory of this process in bytes, or 0 if `/proc/self/statm` cannot be read.
pub(crate) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(RESIDENT_FIELD).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
