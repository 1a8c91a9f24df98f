//! The exchange between clients and backends.
//!
//! [`Exchange`] owns the policy's state machine, the table of requests in flight, the timers and the calls to the quota counter. It
//! knows no wire protocol and no socket: what a front forwards (`Q`) and what a backend answers (`A`) are opaque here. Everything that
//! happens becomes one [`policy::Event`]. The side effects that follow are performed after the lock is released, so that either side
//! may call back immediately.
//!
//! | module | holds |
//! | --- | --- |
//! | `request` | requests as fronts submit them, attempts, and final answers |
//! | `ports` | the traits that the backend side and the counter client implement |
//! | `exchange` | the entry points, and the order in which side effects are performed |
//! | `request_table` | the state behind the lock |
//! | `in_flight` | a request in the table, and its attempts |
//! | `side_effect` | what the table asks the exchange to do, and the queue of it |
//! | `timers` | the queue of timers, and the wake-ups of the timer thread |
//! | `fleet_clock` | the estimate of the clock offset from the fleet's clock |
//! | `clock` | the process's clock |
//! | `counts` | the figures that operators read |
//! | `stream` | an answer that is passed on while it arrives |

mod clock;
mod counts;
mod exchange;
mod fleet_clock;
mod in_flight;
mod ports;
mod request;
mod request_table;
mod side_effect;
mod stream;
mod timers;

pub use crate::clock::{Clock, MAX_SCHEDULING_DELAY};
pub use crate::counts::{AnswerCounts, BackendStatus, OutcomeCounts, Status};
pub use crate::exchange::Exchange;
pub use crate::ports::{Backends, CounterCall, QuotaCounter};
pub use crate::request::{
    Admission, Attempt, AttemptEnd, AttemptId, FailureReason, FinalAnswer, Reply, Request, StreamEnd,
};
pub use crate::stream::{
    AnswerBody, Notify, ReadResult, StreamBudget, StreamReader, StreamWriter, open_stream,
};
pub use policy::{BackendId, FleetSummary, PolicySnapshot, RequestId, TenantId};
