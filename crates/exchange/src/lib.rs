//! The exchange between clients and backends.
//!
//! [`Exchange`] owns the policy's state machine, the table of requests in flight, the timers and the calls to the quota counter.
//! The exchange knows no wire protocol and no socket: a request's payload (`Q`) and an answer (`A`) are opaque. Each change that
//! concerns the policy is passed to it as a [`policy::Event`]. The resulting side effects are performed after the lock is
//! released, so that fronts and the backend side may call the exchange from within them.
//!
//! | module | content |
//! | --- | --- |
//! | `request` | requests as fronts submit them, attempts, and final answers |
//! | `ports` | the traits that the backend side and the counter client implement |
//! | `exchange` | the calls for fronts and for the backend side, and the order in which side effects are performed |
//! | `request_table` | the state that the exchange's lock protects |
//! | `in_flight` | a request in the table, and its attempts |
//! | `shutdown` | what a graceful shutdown changes for later requests |
//! | `side_effect` | the queue of actions that the table asks the exchange to perform |
//! | `timers` | the queue of timers, and the wake-ups of the timer thread |
//! | `fleet_clock` | the estimate of the clock offset from the fleet's clock |
//! | `clock` | the process's clock |
//! | `counts` | counts of requests and answers for the operators' console and metrics |
//! | `pending_connections` | the client connections that a front may not close yet |
//! | `stream` | the buffer of an answer that is forwarded to the client while it arrives |

mod clock;
mod counts;
mod exchange;
mod fleet_clock;
mod in_flight;
mod pending_connections;
mod ports;
mod request;
mod request_table;
mod shutdown;
mod side_effect;
mod stream;
mod timers;

pub use crate::clock::{Clock, MAX_SCHEDULING_DELAY};
pub use crate::counts::{AnswerCounts, BackendStatus, OutcomeCounts, Status};
pub use crate::exchange::Exchange;
pub use crate::pending_connections::{PendingConnections, PendingWork};
pub use crate::ports::{Backends, CounterCall, QuotaCounter};
pub use crate::request::{
    Admission, Attempt, AttemptEnd, AttemptId, FailureReason, FinalAnswer, Reply, Request, StreamEnd,
};
pub use crate::shutdown::ShutdownBounds;
pub use crate::stream::{
    AnswerBody, Notify, ReadResult, StreamBudget, StreamReader, StreamWriter, open_stream,
};
pub use policy::{BackendId, FleetSummary, PolicySnapshot, RequestId, TenantId};
