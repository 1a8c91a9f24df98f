//! Texts of the status report.

/// `consul::watch`: the endpoint list in use comes from the cache file. The age of the file follows the text.
pub const CACHED_LIST: &str = "the list on disk";
