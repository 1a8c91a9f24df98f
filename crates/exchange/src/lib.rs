//! Where the client side and the backend side meet.
//!
//! [`Exchange`] owns the policy's state machine, the table of open requests, the timers and the calls to the quota counter. It knows
//! no wire protocol and no socket: what a front forwards (`Q`) and what a backend answers (`A`) are opaque here. Everything that
//! happens becomes one [`policy::Event`]; the side effects that follow are carried out after the lock is released, so that either
//! side may call back at once.
//!
//! | module | holds |
//! | --- | --- |
//! | `request` | what fronts submit, attempts, and final answers |
//! | `ports` | the traits that the backend side and the counter client implement |
//! | `exchange` | the entry points, and the order in which side effects are carried out |
//! | `request_table` | the state behind the lock |
//! | `fleet_clock` | by how much the clock is off the fleet's |
//! | `counts` | counters for operators |
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

pub use crate::clock::Clock;
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
