//! This program's own registration with its agent: registered, its TTL check kept passing, registered anew when the agent
//! forgot it, and taken back at the end.

/// What to ask of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// `PUT /v1/agent/service/register`.
    Register,
    /// `PUT /v1/agent/check/pass/service:ID`.
    Pass,
    /// `PUT /v1/agent/service/deregister/ID`.
    Deregister,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// 200.
    Done,
    /// The agent knows no such check: 404, or 500 as older agents say.
    Unknown,
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
    pub fn next(&self, now: u64) -> Option<Ask> {
        (now >= self.due).then_some(if self.registered { Ask::Pass } else { Ask::Register })
    }

    /// When something is due.
    pub fn due(&self) -> u64 {
        self.due
    }

    /// Takes in what came of it. Tells whether this is a change worth a line: registered, or not any more.
    pub fn told(&mut self, now: u64, ask: Ask, told: Told) -> Option<bool> {
        let before = self.registered;
        match (ask, told) {
            (Ask::Register, Told::Done) => {
                (self.registered, self.failures) = (true, 0);
                // The check begins critical: it is told that all is well at once.
                self.due = now;
            }
            (Ask::Pass, Told::Done) => {
                self.failures = 0;
                self.due = now + self.ttl / 3;
            }
            (Ask::Pass, Told::Unknown) => {
                self.registered = false;
                self.due = now;
            }
            (_, Told::Failed | Told::Unknown) => {
                self.failures += 1;
                // Soon enough for a second try within the TTL; an agent that is away is not pressed.
                self.due = now + (self.ttl / 6).min(250 << self.failures.min(6));
            }
            (Ask::Deregister, Told::Done) => {
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
        assert_eq!(registration.next(0), Some(Ask::Register));
        assert_eq!(registration.told(0, Ask::Register, Told::Done), Some(true));
        assert_eq!(registration.next(0), Some(Ask::Pass));
        assert_eq!(registration.told(5, Ask::Pass, Told::Done), None);
        assert_eq!(registration.next(3_004), None);
        assert_eq!(registration.next(3_005), Some(Ask::Pass));
        assert_eq!(registration.told(3_005, Ask::Pass, Told::Unknown), Some(false));
        assert_eq!(registration.next(3_005), Some(Ask::Register));
    }

    #[test]
    fn an_agent_that_is_away_is_tried_again_within_the_ttl_and_not_pressed() {
        let mut registration = Registration::new(9_000);
        registration.told(0, Ask::Register, Told::Done);
        let (mut now, mut tries) = (0, 0);
        while now < 9_000 {
            now = registration.due().max(now + 1);
            if let Some(ask) = registration.next(now) {
                tries += 1;
                assert_eq!(registration.told(now, ask, Told::Failed), None);
            }
        }
        assert!((4..=12).contains(&tries), "{tries}");
    }
}
