//! What the gateway tells of its backends: a reading, no decision.

use super::Gateway;
use crate::interface::State;

/// Backends on the list, and those of them that get no work now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// On the list, ready or draining.
    pub listed: usize,
    /// Of these, held by hand, draining, shut, or thought lost for every class.
    pub avoided: usize,
}

impl Gateway {
    /// Counts the members of all services.
    pub fn members(&self) -> Members {
        let mut members = Members::default();
        for (id, b) in self.backends.iter().filter(|(_, b)| b.entry.state != State::Gone) {
            members.listed += 1;
            let lost = b.is_sick() && !self.fleet.sickness_is_shared;
            let avoided =
                b.entry.state != State::Ready || self.held.contains(id) || self.now < b.shut || lost;
            members.avoided += usize::from(avoided);
        }
        members
    }
}
