//! State machine of this process's registration with its Consul agent. It registers the service, keeps the TTL check passing with
//! heartbeats, registers again when the agent no longer knows the check, and deregisters at shutdown.

use crate::ExponentialBackoff;
use std::time::Duration;
use timestamps::MonotonicTime;

/// Heartbeats per TTL. Two consecutive heartbeats may be lost before the check expires.
const HEARTBEATS_PER_TTL: u32 = 3;
/// The backoff after a failed request is at most the TTL divided by this number.
const RETRIES_PER_TTL: u32 = 6;
/// Backoff after the first failed request.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Upper bound of the backoff for a long TTL.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// A request to the agent's service or check API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationRequest {
    /// `PUT /v1/agent/service/register`.
    Register,
    /// `PUT /v1/agent/check/pass/service:ID`.
    Heartbeat,
    /// `PUT /v1/agent/service/deregister/ID`.
    Deregister,
}

/// The outcome of a registration request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// The agent executed the request: status 200.
    Accepted,
    /// The agent does not know the check: status 404, or 500 from older agents.
    UnknownCheck,
    /// The agent did not respond, or responded with another status.
    Failed,
}

/// A change of the registration's state, reported for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationChange {
    /// The agent has accepted the registration.
    Registered,
    /// The agent has lost the registration, or has deregistered the service on request.
    Lost,
}

/// State of the registration, which decides which request is due next. The caller sends that request and reports the outcome.
#[derive(Clone, Debug)]
pub struct Registration {
    ttl: Duration,
    is_registered: bool,
    next_request_at: MonotonicTime,
    consecutive_failures: u32,
}

impl Registration {
    /// Starts unregistered, with a request due at once. The TTL check becomes critical `ttl` after the last heartbeat.
    pub fn new(ttl: Duration) -> Self {
        Self { ttl, is_registered: false, next_request_at: MonotonicTime::ZERO, consecutive_failures: 0 }
    }

    /// The request that is due at `now`; `None` if none is due yet, and after a deregistration.
    pub fn next_request(&self, now: MonotonicTime) -> Option<RegistrationRequest> {
        let request =
            if self.is_registered { RegistrationRequest::Heartbeat } else { RegistrationRequest::Register };
        (now >= self.next_request_at).then_some(request)
    }

    /// When the next request is due; never after a deregistration.
    pub fn next_request_at(&self) -> MonotonicTime {
        self.next_request_at
    }

    /// Records the outcome of a request, and returns the change to log, if any.
    pub fn handle_outcome(
        &mut self,
        now: MonotonicTime,
        request: RegistrationRequest,
        outcome: RegistrationOutcome,
    ) -> Option<RegistrationChange> {
        let was_registered = self.is_registered;
        match (request, outcome) {
            (RegistrationRequest::Register, RegistrationOutcome::Accepted) => {
                self.is_registered = true;
                self.consecutive_failures = 0;
                // A new TTL check is critical until its first heartbeat, so the heartbeat is due at once.
                self.next_request_at = now;
            }
            (RegistrationRequest::Heartbeat, RegistrationOutcome::Accepted) => {
                self.consecutive_failures = 0;
                self.next_request_at = now + self.ttl / HEARTBEATS_PER_TTL;
            }
            (RegistrationRequest::Heartbeat, RegistrationOutcome::UnknownCheck) => {
                self.is_registered = false;
                self.next_request_at = now;
            }
            (RegistrationRequest::Deregister, RegistrationOutcome::Accepted) => {
                self.is_registered = false;
                self.next_request_at = MonotonicTime::NEVER;
            }
            (_, RegistrationOutcome::Failed | RegistrationOutcome::UnknownCheck) => self.back_off(now),
        }
        match (was_registered, self.is_registered) {
            (false, true) => Some(RegistrationChange::Registered),
            (true, false) => Some(RegistrationChange::Lost),
            _ => None,
        }
    }

    fn back_off(&mut self, now: MonotonicTime) {
        let max = MAX_BACKOFF.min(self.ttl / RETRIES_PER_TTL);
        let backoff = ExponentialBackoff { initial: INITIAL_BACKOFF, max };
        self.next_request_at = now + backoff.after(self.consecutive_failures);
        self.consecutive_failures += 1;
    }
}

#[cfg(test)]
mod tests;
