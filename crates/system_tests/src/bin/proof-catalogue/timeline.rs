//! Spans and results of the steps of the scenario, within which the report evaluates the history.

use fault_injection::history::{Span, now_us};
use std::thread::sleep;
use std::time::Duration;

/// Sleeps for the duration and returns the span of the sleep.
pub(crate) fn pause(duration: Duration) -> Span {
    let from_us = now_us();
    sleep(duration);
    Span::since(from_us)
}

/// The results of one run of the scenario, from which the report is calculated.
pub(crate) struct Timeline {
    /// The span from the start of the load to its stop.
    pub(crate) load: Span,
    /// The span without faults.
    pub(crate) fault_free: Span,
    pub(crate) drains: Vec<Drain>,
    pub(crate) outages: Vec<Outage>,
    /// The drain of a backend while the first Consul agent is down.
    pub(crate) failover: Span,
    pub(crate) flapping: Vec<Flapping>,
    pub(crate) damaged_responses: DamagedResponses,
    /// The span after the instance of a backend was replaced by another one at the same address.
    pub(crate) replaced: Span,
    /// The span in which the backends have weights from 1 to 3.
    pub(crate) weighted: Span,
    pub(crate) restarts: Restarts,
    pub(crate) sizes: Vec<SizeCost>,
    pub(crate) memory: MemoryGrowth,
}

/// A drained backend, and the span from the change of the catalogue until the backend is listed as healthy again.
pub(crate) struct Drain {
    pub(crate) backend: String,
    pub(crate) span: Span,
}

/// An outage of both Consul agents, during which two backends die.
pub(crate) struct Outage {
    /// How the agents fail.
    pub(crate) kind: &'static str,
    pub(crate) span: Span,
}

/// Backends whose health changes every second.
pub(crate) struct Flapping {
    /// The number of backends whose health changes.
    pub(crate) backends: usize,
    pub(crate) span: Span,
}

/// Spans in which Consul sends responses that the gatekeeper should not act on.
pub(crate) struct DamagedResponses {
    /// The catalogue is empty for a while and is then restored.
    pub(crate) wiped: Span,
    /// Responses are truncated.
    pub(crate) truncated: Span,
    /// The index of the catalogue goes back.
    pub(crate) index_back: Span,
}

/// Spans of restarts of the gatekeeper while Consul does not respond.
pub(crate) struct Restarts {
    /// A restart with the cache file of the endpoint list intact.
    pub(crate) with_cache: Span,
    /// The status report of the gatekeeper after the restart with the cache file.
    pub(crate) status_report: String,
    /// A restart with a truncated cache file.
    pub(crate) with_truncated_cache: Span,
}

/// The cost of a catalogue of one size while it changes.
pub(crate) struct SizeCost {
    /// Number of instances in the catalogue, including the backends.
    pub(crate) instances: usize,
    /// Processor time of the gatekeeper, as a share of one core.
    pub(crate) cpu_share: f64,
    pub(crate) memory_kb: u64,
}

/// Resident memory of the gatekeeper before and after the replacement of many ids, kB.
pub(crate) struct MemoryGrowth {
    pub(crate) before_kb: u64,
    pub(crate) after_kb: u64,
}
