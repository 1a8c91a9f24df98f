//! The steps of the scenario and their times, by which the history is evaluated at the end.

use fault_injection::history::{Span, now_us};
use std::thread::sleep;
use std::time::Duration;

/// Sleeps for this number of seconds. Returns the span.
pub(crate) fn pause(seconds: f64) -> Span {
    let from_us = now_us();
    sleep(Duration::from_secs_f64(seconds));
    Span::since(from_us)
}

/// A backend that was drained: from the change of the catalogue until it was listed again.
pub(crate) struct Drain {
    pub(crate) backend: String,
    pub(crate) span: Span,
}

/// An outage of Consul.
pub(crate) struct Outage {
    pub(crate) kind: &'static str,
    pub(crate) span: Span,
}

/// Some backends that changed their state each second.
pub(crate) struct Flapping {
    pub(crate) backends: usize,
    pub(crate) span: Span,
}

/// What a catalogue of some size costs.
pub(crate) struct SizeCost {
    pub(crate) instances: usize,
    /// The share of a core.
    pub(crate) cpu_share: f64,
    pub(crate) memory_kb: u64,
}

/// Resident memory before and after many ids were replaced, kB.
#[derive(Clone, Copy, Default)]
pub(crate) struct MemoryGrowth {
    pub(crate) before_kb: u64,
    pub(crate) after_kb: u64,
}

/// The steps of the scenario and their times.
#[derive(Default)]
pub(crate) struct Timeline {
    pub(crate) calm: Span,
    pub(crate) drains: Vec<Drain>,
    pub(crate) outages: Vec<Outage>,
    /// A drain while the first agent is away.
    pub(crate) failover: Span,
    pub(crate) flapping: Vec<Flapping>,
    pub(crate) wiped: Span,
    pub(crate) truncated: Span,
    pub(crate) index_back: Span,
    pub(crate) replaced: Span,
    pub(crate) weighted: Span,
    pub(crate) restart: Span,
    /// The status page after the restart.
    pub(crate) status: String,
    pub(crate) torn: Span,
    pub(crate) load: Span,
    pub(crate) sizes: Vec<SizeCost>,
    pub(crate) memory: MemoryGrowth,
}
