//! Texts of the status report.

/// `consul::watch`: the endpoint list in use is that of the cache file. The age of the file follows.
pub const CACHED_LIST: &str = "the list on disk";
