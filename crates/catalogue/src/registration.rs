//! This program's own registration with its agent: registered, its TTL check kept passing, registered anew when the agent
//! forgot it, and taken back at the end.

/// What to ask of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationRequest {
    /// `PUT /v1/agent/service/register`.
    Register,
    /// `PUT /v1/agent/check/pass/service:ID`.
    Heartbeat,
    /// `PUT /v1/agent/service/deregister/ID`.
    Deregister,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// 200.
    Accepted,
    /// The agent knows no such check: 404, or 500 as older agents say.
    UnknownCheck,
    /// No answer, or another.
    Failed,
}

/// The registration.
#[derive(Clone, Debug)]
pub struct Registration {
    ttl: u64,
    registered: bool,
    due: u64,
    failures: u32,
}

impl Registration {
    /// Not registered yet; the check is to pass every third of `ttl` milliseconds.
    pub fn new(ttl: u64) -> Self {
        Self { ttl, registered: false, due: 0, failures: 0 }
    }

    /// What is due, if anything.
    pub fn next_request(&self, now: u64) -> Option<RegistrationRequest> {
        (now >= self.due).then_some(if self.registered {
            RegistrationRequest::Heartbeat
        } else {
            RegistrationRequest::Register
        })
    }

    /// When something is due.
    pub fn next_due(&self) -> u64 {
        self.due
    }

    /// Takes in what came of it. Tells whether this is a change worth a line: registered, or not any more.
    pub fn handle_outcome(
        &mut self,
        now: u64,
        ask: RegistrationRequest,
        told: RegistrationOutcome,
    ) -> Option<bool> {
        let before = self.registered;
        match (ask, told) {
            (RegistrationRequest::Register, RegistrationOutcome::Accepted) => {
                (self.registered, self.failures) = (true, 0);
                // The check begins critical: it is told that all is well at once.
                self.due = now;
            }
            (RegistrationRequest::Heartbeat, RegistrationOutcome::Accepted) => {
                self.failures = 0;
                self.due = now + self.ttl / 3;
            }
            (RegistrationRequest::Heartbeat, RegistrationOutcome::UnknownCheck) => {
                self.registered = false;
                self.due = now;
            }
            (_, RegistrationOutcome::Failed | RegistrationOutcome::UnknownCheck) => {
                self.failures += 1;
                // Soon enough for a second try within the TTL; an agent that is away is not pressed.
                self.due = now + (self.ttl / 6).min(250 << self.failures.min(6));
            }
            (RegistrationRequest::Deregister, RegistrationOutcome::Accepted) => {
                self.registered = false;
                self.due = u64::MAX;
            }
        }
        (before != self.registered).then_some(self.registered)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_is_registered_kept_passing_and_registered_anew_when_forgotten() {
        let mut registration = Registration::new(9_000);
        assert_eq!(registration.next_request(0), Some(RegistrationRequest::Register));
        assert_eq!(
            registration.handle_outcome(0, RegistrationRequest::Register, RegistrationOutcome::Accepted),
            Some(true)
        );
        assert_eq!(registration.next_request(0), Some(RegistrationRequest::Heartbeat));
        assert_eq!(
            registration.handle_outcome(5, RegistrationRequest::Heartbeat, RegistrationOutcome::Accepted),
            None
        );
        assert_eq!(registration.next_request(3_004), None);
        assert_eq!(registration.next_request(3_005), Some(RegistrationRequest::Heartbeat));
        assert_eq!(
            registration.handle_outcome(
                3_005,
                RegistrationRequest::Heartbeat,
                RegistrationOutcome::UnknownCheck
            ),
            Some(false)
        );
        assert_eq!(registration.next_request(3_005), Some(RegistrationRequest::Register));
    }

    #[test]
    fn an_agent_that_is_away_is_tried_again_within_the_ttl_and_not_pressed() {
        let mut registration = Registration::new(9_000);
        registration.handle_outcome(0, RegistrationRequest::Register, RegistrationOutcome::Accepted);
        let (mut now, mut tries) = (0, 0);
        while now < 9_000 {
            now = registration.next_due().max(now + 1);
            if let Some(ask) = registration.next_request(now) {
                tries += 1;
                assert_eq!(registration.handle_outcome(now, ask, RegistrationOutcome::Failed), None);
            }
        }
        assert!((4..=12).contains(&tries), "{tries}");
    }
}
