//! The time-out and hedging rules of a class: whether what a file states can be kept, and the course of its worst case. No
//! file, clock or socket is in here, so that every rule can be tested by itself.
//!
//! In the worst case each attempt is silent for all of its time, the establishment of its connection included. What a file
//! promises must be over by then before the client gives up.

mod class_timing;
mod rules;
mod timeline;
mod violation;

pub use class_timing::ClassTiming;
pub use timeline::TimelineEntry;
pub use violation::{TimingRule, TimingViolation};
