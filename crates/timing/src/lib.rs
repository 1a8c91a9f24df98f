//! Rules for the time-outs and hedging of a class of requests, and the timeline of its worst case. The package uses no file, clock
//! or socket, so that each rule can be tested alone.
//!
//! In the worst case each attempt gets no response until its time-out, which includes connecting. All attempts must be over before
//! the client's deadline.

mod class_timing;
mod rules;
mod timeline;
mod violation;

pub use class_timing::ClassTiming;
pub use timeline::TimelineEntry;
pub use violation::{TimingRule, TimingViolation};
