//! Messages of log events. An event's values are fields beside its message.

/// `snowfield::platform::startup`: the process accepts connections. The address follows.
pub const SERVING: &str = "serving on ";

/// `consul::watch`: the endpoint list of a service has changed. Fields: `listed`, `eligible_count`.
pub const ENDPOINT_LIST_CHANGED: &str = "endpoint list changed";

/// `consul::watch`: a backend may get requests again. Field: `backend`.
pub const ENDPOINT_ELIGIBLE: &str = "endpoint eligible";

/// `consul::watch`: a backend gets no more requests. Fields: `backend`, `reason`.
pub const ENDPOINT_NOT_ELIGIBLE: &str = "endpoint not eligible";

/// The field `reason` of [`ENDPOINT_NOT_ELIGIBLE`] if a health check of the backend is critical.
pub const REASON_CRITICAL: &str = "it is critical";

/// `consul::watch`: the process has started with the endpoint list of its cache file. Fields: `count`, `age_seconds`.
pub const CACHED_LIST_IN_USE: &str = "cached endpoint list in use until Consul answers";

/// `consul::cache_file`: the cache file of the endpoint list is damaged or too old. Field: `error`.
pub const CACHE_NOT_USABLE: &str = "endpoint cache not usable";

/// `cluster::coordinator`: an instance finds in the store the lease whose response was lost. Fields: `job`, `run`.
pub const LEASE_RECOVERED: [&str; 2] =
    ["lease confirmed after its response was lost", "holds, though the response was lost"];

/// `snowfield::hot_restart::predecessor`: the predecessor has handed its clients over to its successor.
pub const HANDED_OVER: [&str; 2] = ["successor serves, draining", "another program serves now"];

/// `snowfield::hot_restart::successor`: the successor has started without the state of its predecessor, or without a part of it.
/// Field: `error`.
pub const STARTED_WITHOUT_STATE: [&str; 3] = [
    "starting without the state of the predecessor",
    "not readable, starting without it",
    "; starting without it",
];
