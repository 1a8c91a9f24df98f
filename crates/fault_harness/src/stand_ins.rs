//! Stand-ins for the peers of gatekeepers: backends, the quota counter and discovery agents. Each can be made to fail.

mod backend_server;
mod endpoint_list;
mod quota_counter;
mod watch_server;

pub use backend_server::{
    AnswerMode, Arrival, AttemptOutcome, BackendProtocol, BackendServer, BackendSite, IdleMode,
};
pub use endpoint_list::{
    EndpointList, HEARTBEAT_INTERVAL, ListUpdate, ListedBackend, ListedChange, ListedState, write_watch_head,
    write_watch_line,
};
pub use quota_counter::{Addition, CounterFailure, QuotaCounter};
pub use watch_server::{ChangeForm, WatchMode, WatchSite, serve_watch};
