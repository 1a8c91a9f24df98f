//! Messages of log events. The values of an event are in the fields named here, not in its message.

/// `snowfield::platform::startup`: the process accepts connections. The address follows the text.
pub const SERVING: &str = "serving on ";

/// `consul::watch`: the endpoint list of a service has changed. Fields: `listed`, `eligible_count`.
pub const ENDPOINT_LIST_CHANGED: &str = "endpoint list changed";

/// `consul::watch`: a backend has become eligible for requests. Field: `backend`.
pub const ENDPOINT_ELIGIBLE: &str = "endpoint eligible";

/// `consul::watch`: a backend is no longer eligible for requests. Fields: `backend`, `reason`.
pub const ENDPOINT_NOT_ELIGIBLE: &str = "endpoint not eligible";

/// Value of the field `reason` of [`ENDPOINT_NOT_ELIGIBLE`] if a health check of the backend is critical.
pub const REASON_CRITICAL: &str = "it is critical";

/// `consul::watch`: the process has started with the endpoint list from its cache file. Fields: `count`, `age_seconds`.
pub const CACHED_LIST_IN_USE: &str = "cached endpoint list in use until Consul answers";

/// `consul::cache_file`: the cache file of the endpoint list is damaged or too old. Field: `error`.
pub const CACHE_NOT_USABLE: &str = "endpoint cache not usable";

/// `cluster::coordinator`: the response to a lease request was lost, and the lease store shows that the lease was granted.
/// Fields: `job`, `run`.
pub const LEASE_RECOVERED: [&str; 2] =
    ["lease confirmed after its response was lost", "holds, though the response was lost"];

/// `snowfield::hot_restart::predecessor`: the predecessor has handed its clients over to its successor.
pub const HANDED_OVER: [&str; 2] = ["successor serves, draining", "another program serves now"];

/// `snowfield::hot_restart::successor`: the successor has started without all or part of its predecessor's state.
/// Field: `error`.
pub const STARTED_WITHOUT_STATE: [&str; 3] = [
    "starting without the state of the predecessor",
    "not readable, starting without it",
    "; starting without it",
];
