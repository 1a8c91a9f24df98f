//! Outlier detection: backends that do not answer, fail or refuse connections are ejected for the classes
//! concerned, and get a trial now and then.

use crate::settings::Settings;
use crate::stored::{StoredBackend, StoredClassHealth};
use crate::time::{Micros, Timestamp};
use std::collections::BTreeMap;

/// Part of its latency objective for which an attempt may be unanswered, with no answer of its backend since,
/// before the backend is ejected.
const SILENCE_PART: f64 = 0.6;
/// Microseconds between trials of an ejected backend by all gatekeepers together, and the longest pause of
/// one gatekeeper: faults last tens of seconds.
const EJECTION_TIME: Micros = 200_000;
const MAX_EJECTION_TIME: Micros = 20_000_000;
/// Microseconds of pause after a rejection, and of the first connect backoff, for each gatekeeper.
const REJECTION_PAUSE: Micros = 10_000;

/// How long this gatekeeper leaves an ejected backend alone, so that all gatekeepers together try it now and
/// then.
pub(crate) fn ejection_time(settings: &Settings) -> Micros {
    (EJECTION_TIME * u64::from(settings.gatekeepers)).min(MAX_EJECTION_TIME)
}

/// How long this gatekeeper sends a backend nothing of a kind that it rejected.
pub(crate) fn rejection_pause(settings: &Settings) -> Micros {
    REJECTION_PAUSE * u64::from(settings.gatekeepers)
}

/// How long an attempt may be unanswered before its backend counts as silent.
pub(crate) fn silence_timeout(latency_objective: Micros) -> Micros {
    (latency_objective as f64 * SILENCE_PART) as Micros
}

/// How one class fares at one backend.
#[derive(Clone, Copy, Debug)]
struct ClassHealth {
    last_answer: Timestamp,
    /// Set while the backend is ejected for this class: the moment of the next trial.
    ejected_until: Option<Timestamp>,
}

impl ClassHealth {
    fn new(now: Timestamp) -> Self {
        Self { last_answer: now, ejected_until: None }
    }

    fn store(self) -> StoredClassHealth {
        StoredClassHealth { last_answer: self.last_answer, ejected_until: self.ejected_until }
    }

    fn restore(stored: StoredClassHealth) -> Self {
        Self { last_answer: stored.last_answer, ejected_until: stored.ejected_until }
    }
}

/// Exponential backoff of connections to a backend that accepts none.
#[derive(Clone, Copy, Debug, Default)]
struct ConnectBackoff {
    until: Timestamp,
    /// The last backoff; 0 after an answer.
    last: Micros,
}

/// What outlier detection knows of one backend.
#[derive(Clone, Debug)]
pub(crate) struct BackendHealth {
    last_answer: Timestamp,
    /// By class.
    classes: Vec<ClassHealth>,
    /// By class and plan: until when it gets none of these after it rejected one.
    rejects_until: BTreeMap<(usize, usize), Timestamp>,
    connect_backoff: ConnectBackoff,
}

impl BackendHealth {
    pub(crate) fn new(now: Timestamp, classes: usize) -> Self {
        Self {
            last_answer: now,
            classes: vec![ClassHealth::new(now); classes],
            rejects_until: BTreeMap::new(),
            connect_backoff: ConnectBackoff::default(),
        }
    }

    /// The number of classes.
    pub(crate) fn classes(&self) -> usize {
        self.classes.len()
    }

    /// Adds classes that are new, as healthy.
    pub(crate) fn add_classes(&mut self, classes: usize, now: Timestamp) {
        self.classes.resize(classes, ClassHealth::new(now));
    }

    /// Whether it is ejected for every class, so that only a trial can show that it has recovered.
    pub(crate) fn is_ejected(&self) -> bool {
        self.classes.iter().all(|class| class.ejected_until.is_some())
    }

    /// The moment of the next trial if it is ejected for this class.
    pub(crate) fn ejected_until(&self, class: usize) -> Option<Timestamp> {
        self.classes.get(class).and_then(|class| class.ejected_until)
    }

    /// Whether this class is the one for its trial: the last that it answered.
    pub(crate) fn wants_trial(&self, class: usize) -> bool {
        let last_answer = self.classes[class].last_answer;
        self.is_ejected() && self.classes.iter().all(|class| class.last_answer <= last_answer)
    }

    /// An attempt of this class is sent. A trial of one class is a trial for all classes for which the
    /// backend is ejected.
    pub(crate) fn record_send(&mut self, class: usize, next_trial: Timestamp) {
        if self.ejected_until(class).is_none() {
            return;
        }
        for ejected_until in self.classes.iter_mut().filter_map(|class| class.ejected_until.as_mut()) {
            *ejected_until = next_trial;
        }
    }

    /// Whether it has answered an attempt of any class since this moment.
    pub(crate) fn has_answered_since(&self, moment: Timestamp) -> bool {
        self.last_answer > moment
    }

    pub(crate) fn is_in_connect_backoff(&self, now: Timestamp) -> bool {
        now < self.connect_backoff.until
    }

    /// Whether it pauses after it rejected a request of this class and plan.
    pub(crate) fn pauses_after_rejection(&self, class: usize, plan: usize, now: Timestamp) -> bool {
        self.rejects_until.get(&(class, plan)).is_some_and(|&until| now < until)
    }

    pub(crate) fn record_served(&mut self, class: usize, now: Timestamp) {
        self.connect_backoff.last = 0;
        self.last_answer = now;
        self.classes[class] = ClassHealth::new(now);
    }

    pub(crate) fn record_error(&mut self, class: usize, now: Timestamp, next_trial: Timestamp) {
        self.last_answer = now;
        self.classes[class].ejected_until.get_or_insert(next_trial);
    }

    /// One plan or class may be rejected where others are served: only that pair pauses.
    pub(crate) fn record_rejection(&mut self, class: usize, plan: usize, until: Timestamp) {
        self.rejects_until.insert((class, plan), until);
    }

    /// It is dead, or out of connections: nothing of any class gets in here. A gatekeeper that holds a
    /// connection never sees this, so a crowded backend is left alone by those only that cannot use it.
    pub(crate) fn record_connect_failure(&mut self, first_backoff: Micros, now: Timestamp) {
        let backoff = (2 * self.connect_backoff.last).clamp(first_backoff, MAX_EJECTION_TIME);
        self.connect_backoff = ConnectBackoff { until: now + backoff, last: backoff };
    }

    /// Ejects it for the classes that an unanswered attempt speaks against: this class, and all if it has
    /// answered none since the attempt was sent. A backend may fail one class and serve the others. Returns
    /// whether it was ejected for any.
    pub(crate) fn eject_if_silent(
        &mut self,
        class: usize,
        sent_at: Timestamp,
        next_trial: Timestamp,
    ) -> bool {
        let answers_none = self.last_answer < sent_at;
        let mut was_ejected = false;
        for (index, health) in self.classes.iter_mut().enumerate() {
            let is_affected = answers_none || index == class;
            if health.last_answer < sent_at && is_affected && health.ejected_until.is_none() {
                health.ejected_until = Some(next_trial);
                was_ejected = true;
            }
        }
        was_ejected
    }

    pub(crate) fn store(&self, stored: &mut StoredBackend) {
        stored.last_answer = self.last_answer;
        stored.classes = self.classes.iter().map(|class| class.store()).collect();
        stored.rejects_until.clone_from(&self.rejects_until);
        stored.connect_backoff_until = self.connect_backoff.until;
        stored.connect_backoff = self.connect_backoff.last;
    }

    pub(crate) fn restore(stored: StoredBackend) -> Self {
        let connect_backoff =
            ConnectBackoff { until: stored.connect_backoff_until, last: stored.connect_backoff };
        Self {
            last_answer: stored.last_answer,
            classes: stored.classes.into_iter().map(ClassHealth::restore).collect(),
            rejects_until: stored.rejects_until,
            connect_backoff,
        }
    }
}

#[cfg(test)]
mod tests;
