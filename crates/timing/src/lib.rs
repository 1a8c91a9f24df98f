//! Rules for the timeouts and hedging of a class of requests, and the timeline of its worst case. The package uses no file, clock
//! or socket, so that each rule can be tested alone.
//!
//! In the worst case no attempt gets a response before its timeout, which includes the time for connecting. All attempts must
//! have ended by the client's deadline.

mod class_timing;
mod rules;
mod timeline;
mod violation;

pub use class_timing::ClassTiming;
pub use timeline::TimelineEntry;
pub use violation::{TimingRule, TimingViolation};
