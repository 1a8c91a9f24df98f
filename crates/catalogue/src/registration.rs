//! This program's own registration with its agent: registered, its TTL check kept passing by heartbeats, registered again when
//! the agent forgot it, and deregistered at the end.

use crate::Millis;

/// Heartbeats of one TTL, so that two may be lost.
const HEARTBEATS_PER_TTL: Millis = 3;
/// A failed request is repeated within this part of the TTL ...
const RETRIES_PER_TTL: Millis = 6;
/// ... and after this; doubles with each further failure, so that an agent that is down is not flooded.
const INITIAL_BACKOFF: Millis = 250;
const MAX_DOUBLINGS: u32 = 6;

/// A request to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationRequest {
    /// `PUT /v1/agent/service/register`.
    Register,
    /// `PUT /v1/agent/check/pass/service:ID`.
    Heartbeat,
    /// `PUT /v1/agent/service/deregister/ID`.
    Deregister,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// Status 200.
    Accepted,
    /// The agent knows no such check: status 404, or 500 as older agents respond.
    UnknownCheck,
    /// No response, or another.
    Failed,
}

/// A change of the registration that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationChange {
    /// The agent has accepted the registration.
    Registered,
    /// The agent has no registration of this program any more.
    Lost,
}

/// The registration.
#[derive(Clone, Debug)]
pub struct Registration {
    ttl: Millis,
    is_registered: bool,
    next_due: Millis,
    consecutive_failures: u32,
}

impl Registration {
    /// Not registered yet. The check expires `ttl` after the last heartbeat.
    pub fn new(ttl: Millis) -> Self {
        Self { ttl, is_registered: false, next_due: 0, consecutive_failures: 0 }
    }

    /// The request that is due, if any.
    pub fn next_request(&self, now: Millis) -> Option<RegistrationRequest> {
        let request =
            if self.is_registered { RegistrationRequest::Heartbeat } else { RegistrationRequest::Register };
        (now >= self.next_due).then_some(request)
    }

    /// When the next request is due.
    pub fn next_due(&self) -> Millis {
        self.next_due
    }

    /// Records how a request ended, and returns a change that is worth a line in the log.
    pub fn handle_outcome(
        &mut self,
        now: Millis,
        request: RegistrationRequest,
        outcome: RegistrationOutcome,
    ) -> Option<RegistrationChange> {
        let was_registered = self.is_registered;
        match (request, outcome) {
            (RegistrationRequest::Register, RegistrationOutcome::Accepted) => {
                self.is_registered = true;
                self.consecutive_failures = 0;
                // A new check is critical until its first heartbeat.
                self.next_due = now;
            }
            (RegistrationRequest::Heartbeat, RegistrationOutcome::Accepted) => {
                self.consecutive_failures = 0;
                self.next_due = now + self.ttl / HEARTBEATS_PER_TTL;
            }
            (RegistrationRequest::Heartbeat, RegistrationOutcome::UnknownCheck) => {
                self.is_registered = false;
                self.next_due = now;
            }
            (RegistrationRequest::Deregister, RegistrationOutcome::Accepted) => {
                self.is_registered = false;
                self.next_due = Millis::MAX;
            }
            (_, RegistrationOutcome::Failed | RegistrationOutcome::UnknownCheck) => self.back_off(now),
        }
        match (was_registered, self.is_registered) {
            (false, true) => Some(RegistrationChange::Registered),
            (true, false) => Some(RegistrationChange::Lost),
            _ => None,
        }
    }

    fn back_off(&mut self, now: Millis) {
        self.consecutive_failures += 1;
        let backoff = INITIAL_BACKOFF << self.consecutive_failures.min(MAX_DOUBLINGS);
        self.next_due = now + (self.ttl / RETRIES_PER_TTL).min(backoff);
    }
}

#[cfg(test)]
mod tests;
