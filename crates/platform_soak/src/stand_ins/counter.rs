//! The quota counter that all gatekeepers share.

use fault_harness::connections::serve_connections;
use fault_harness::stand_ins::{CounterFailure, QuotaCounter};
use fault_harness::sync::lock;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Delay of each answer of a slow counter.
const SLOW_ANSWER: Duration = Duration::from_millis(25);

/// How the quota counter answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CounterMode {
    /// The counter answers at once.
    #[default]
    Healthy,
    /// The counter answers with a delay.
    Slow,
    /// The counter applies calls and never answers.
    Silent,
    /// The counter rejects calls without applying them.
    Rejecting,
    /// The counter applies a call and then resets the connection.
    Resetting,
}

impl CounterMode {
    fn failure(self) -> Option<CounterFailure> {
        match self {
            Self::Healthy => None,
            Self::Slow => Some(CounterFailure::Slow(SLOW_ANSWER)),
            Self::Silent => Some(CounterFailure::ResponseLost),
            Self::Rejecting => Some(CounterFailure::Rejecting),
            Self::Resetting => Some(CounterFailure::Resetting),
        }
    }
}

/// Handle of the quota counter. Clones share its counts and its mode.
#[derive(Clone, Default)]
pub struct Counter {
    quota_counter: QuotaCounter,
    mode: Arc<Mutex<CounterMode>>,
}

impl Counter {
    /// Starts a quota counter that listens at `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let counter = Self::default();
        let served = counter.clone();
        serve_connections(address, move |stream| {
            served.quota_counter.serve(stream, || lock(&served.mode).failure(), |_| ());
        })?;
        Ok(counter)
    }

    /// Changes how the counter answers calls from now on, on open connections too.
    pub fn set_mode(&self, mode: CounterMode) {
        *lock(&self.mode) = mode;
    }
}
