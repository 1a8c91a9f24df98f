//! The quota counter as the gatekeepers of a site reach it, each at an address of its own.

use super::{Addition, CounterFailure, FailureSwitch, QuotaCounter, SLOW_ANSWER, listen};
use crate::history::{Observation, Recorder};
use crate::network::Network;
use crate::schedule::FailureMode;
use std::net::{IpAddr, SocketAddr};

/// The quota counter of a site. Clones share their totals.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    core: QuotaCounter,
    /// How it fails.
    pub failure: FailureSwitch,
}

impl Counter {
    /// Listens for a gatekeeper.
    ///
    /// # Errors
    ///
    /// There is no port.
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

    /// Forgets all totals, as a counter does that restarts without its state.
    pub fn clear(&self) {
        self.core.clear();
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.core.calls()
    }
}

/// How the counter fails in this mode. One that has restarted empty answers.
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
