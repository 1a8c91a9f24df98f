//! Lanes: independent connections to the counter.

use crate::connection::{CounterConnection, MAX_PENDING_CALLS};
use exchange::CounterCall;
use std::sync::Arc;

/// Lanes of a client, each with a connection of its own. A count keeps to one lane, so that its answers come in order. A slow
/// part of the counter delays only the lanes that call it.
pub(crate) const LANES: usize = 4;

/// A lane's connection, or the calls that wait for it.
#[derive(Default)]
pub(crate) struct Lane {
    pub(crate) connection: Option<Arc<CounterConnection>>,
    /// Calls that wait for a connection that is being opened; none while no connection is.
    pub(crate) waiting: Option<Vec<CounterCall>>,
}

/// The lane of the count of this name.
pub(crate) fn index_of(count_name: u64) -> usize {
    (count_name % LANES as u64) as usize
}

/// What becomes of a call that is to wait for a lane's connection.
pub(crate) enum Queued {
    /// The connection is being opened.
    Waits,
    /// The call is the first to wait: the connection must be opened.
    MustConnect,
    /// Too many calls wait; this one does not.
    Full,
}

impl Lane {
    /// Lets a call wait for the lane's connection.
    pub(crate) fn enqueue(&mut self, call: CounterCall) -> Queued {
        match &mut self.waiting {
            Some(waiting) if waiting.len() < MAX_PENDING_CALLS => {
                waiting.push(call);
                Queued::Waits
            }
            Some(_) => Queued::Full,
            None => {
                self.waiting = Some(vec![call]);
                Queued::MustConnect
            }
        }
    }
}
