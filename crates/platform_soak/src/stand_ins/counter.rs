//! The quota counter, which all gatekeepers share.

use fault_harness::connections::serve_connections;
use fault_harness::stand_ins::{CounterFailure, QuotaCounter};
use fault_harness::sync::lock;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Delay of the answers of a slow counter.
const SLOW_ANSWER: Duration = Duration::from_millis(25);

/// How the counter answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CounterMode {
    /// At once.
    #[default]
    Healthy,
    /// Late.
    Slow,
    /// Not at all, though it applies the calls.
    Silent,
    /// It rejects every call.
    Rejecting,
    /// It applies a call and resets the connection.
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

/// The quota counter. Clones share its totals and its mode.
#[derive(Clone, Default)]
pub struct Counter {
    core: QuotaCounter,
    mode: Arc<Mutex<CounterMode>>,
}

impl Counter {
    /// Listens at this address.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let counter = Self::default();
        let served = counter.clone();
        serve_connections(address, move |stream| {
            served.core.serve(stream, || lock(&served.mode).failure(), |_| ());
        })?;
        Ok(counter)
    }

    /// Changes how it answers.
    pub fn set_mode(&self, mode: CounterMode) {
        *lock(&self.mode) = mode;
    }
}
