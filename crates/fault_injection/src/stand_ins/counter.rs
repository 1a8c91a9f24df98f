//! The stand-in for the quota counter, which each gatekeeper reaches at an address of its own.

use super::{Addition, CounterFailure, FailureSwitch, QuotaCounter, SLOW_ANSWER, listen};
use crate::history::{Observation, Recorder};
use crate::network::Network;
use crate::schedule::FailureMode;
use std::net::{IpAddr, SocketAddr};

/// The quota counter of a site. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    core: QuotaCounter,
    /// Switches the failure mode of the counter.
    pub failure: FailureSwitch,
}

impl Counter {
    /// Listens at a free port for the connections of one gatekeeper.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn open(
        &self,
        network: &Network,
        host: IpAddr,
        gatekeeper: &str,
        recorder: &Recorder,
    ) -> std::io::Result<SocketAddr> {
        let (counter, gatekeeper, recorder) = (self.clone(), gatekeeper.to_owned(), recorder.clone());
        listen(network, host, move |stream| {
            let observe = |Addition { name, amount, total }: Addition<'_>| {
                let (counter, gatekeeper) = (name.to_owned(), gatekeeper.clone());
                recorder.record(Observation::CounterAdded { counter, amount, total, gatekeeper });
            };
            counter.core.serve(stream, || counter.failure.mode().and_then(counter_failure), observe);
        })
    }

    /// Deletes all counts, like a counter that restarts without its state.
    pub fn clear(&self) {
        self.core.clear();
    }

    /// Number of calls since the start of the site.
    pub fn calls(&self) -> u64 {
        self.core.calls()
    }
}

/// The failure of the counter in this mode. A counter that restarted with empty state answers normally.
fn counter_failure(mode: FailureMode) -> Option<CounterFailure> {
    match mode {
        FailureMode::Silent => Some(CounterFailure::Silent),
        FailureMode::Slow => Some(CounterFailure::Slow(SLOW_ANSWER)),
        FailureMode::Error => Some(CounterFailure::Rejecting),
        FailureMode::ResponseLost => Some(CounterFailure::ResponseLost),
        FailureMode::ResponseTruncated => Some(CounterFailure::ResponseTruncated),
        FailureMode::Closed => Some(CounterFailure::Closed),
        FailureMode::RestartedEmpty => None,
    }
}
