//! Names and limits of the formats that this package reads: the service metadata, the health response and the cache file.

/// Maximum number of instances in one health response. A larger response is rejected.
pub const MAX_INSTANCES: usize = 65_536;

/// Maximum number of bytes that are read from the cache file. A larger file is rejected as corrupt.
pub const MAX_FILE_BYTES: usize = 64 * 1024 * 1024;

/// Key in `Service.Meta` whose value scales the weight of the instance.
pub(crate) const CAPACITY_KEY: &str = "snowfield-capacity";

/// Key in `Service.Meta` whose value is the start time of the instance in Unix milliseconds.
pub(crate) const STARTED_KEY: &str = "snowfield-started-ms";

/// Version of the cache file format.
pub(crate) const CACHE_VERSION: &str = "1";
