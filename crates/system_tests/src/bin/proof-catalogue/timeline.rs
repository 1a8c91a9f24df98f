//! The steps of the scenario and their times, by which the report evaluates the history.

use fault_injection::history::{Span, now_us};
use std::thread::sleep;
use std::time::Duration;

/// Sleeps and returns the span of the sleep.
pub(crate) fn pause(duration: Duration) -> Span {
    let from_us = now_us();
    sleep(duration);
    Span::since(from_us)
}

/// The steps of the scenario and their times.
pub(crate) struct Timeline {
    /// The load, from its first to its last request.
    pub(crate) load: Span,
    /// No faults.
    pub(crate) calm: Span,
    pub(crate) drains: Vec<Drain>,
    pub(crate) outages: Vec<Outage>,
    /// A drain while the first Consul agent is down.
    pub(crate) failover: Span,
    pub(crate) flapping: Vec<Flapping>,
    pub(crate) damaged_responses: DamagedResponses,
    /// The instance of a backend is replaced at the same address.
    pub(crate) replaced: Span,
    /// The backends have weights from 1 to 3.
    pub(crate) weighted: Span,
    pub(crate) restarts: Restarts,
    pub(crate) sizes: Vec<SizeCost>,
    pub(crate) memory: MemoryGrowth,
}

/// A drained backend, from the change of the catalogue until it is listed as healthy again.
pub(crate) struct Drain {
    pub(crate) backend: String,
    pub(crate) span: Span,
}

/// An outage of both Consul agents, in which two backends die.
pub(crate) struct Outage {
    /// How the agents fail.
    pub(crate) kind: &'static str,
    pub(crate) span: Span,
}

/// Backends whose health changes each second.
pub(crate) struct Flapping {
    /// The number of these backends.
    pub(crate) backends: usize,
    pub(crate) span: Span,
}

/// Responses of Consul that the gatekeeper should not follow.
pub(crate) struct DamagedResponses {
    /// The catalogue is empty, and then restored.
    pub(crate) wiped: Span,
    /// Responses end too early.
    pub(crate) truncated: Span,
    /// The index of the catalogue goes back.
    pub(crate) index_back: Span,
}

/// Restarts of the gatekeeper while Consul does not respond.
pub(crate) struct Restarts {
    /// A restart with the cache file of the endpoint list intact.
    pub(crate) with_cache: Span,
    /// The status report after this restart.
    pub(crate) status_report: String,
    /// A restart with a truncated cache file.
    pub(crate) with_truncated_cache: Span,
}

/// What a catalogue of some size costs while it changes.
pub(crate) struct SizeCost {
    pub(crate) instances: usize,
    /// Processor time of the gatekeeper, as a share of one core.
    pub(crate) cpu_share: f64,
    pub(crate) memory_kb: u64,
}

/// Resident memory of the gatekeeper before and after many ids were replaced, kB.
pub(crate) struct MemoryGrowth {
    pub(crate) before_kb: u64,
    pub(crate) after_kb: u64,
}
