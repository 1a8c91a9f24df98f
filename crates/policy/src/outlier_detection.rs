//! Outlier detection: ejects backends that are silent or fail, for the classes concerned, and backs off from
//! those that reject requests or refuse connections. An ejected backend gets trial requests at intervals.

use crate::settings::Settings;
use crate::stored::{StoredBackend, StoredClassHealth};
use crate::time::{Micros, Timestamp};
use std::collections::BTreeMap;

/// Silence timeout as a fraction of the latency objective. A backend is ejected if an attempt is unanswered
/// for this long and the backend has sent no answer since the attempt was sent.
const SILENCE_TIMEOUT_FRACTION: f64 = 0.6;
/// Mean microseconds between the trial requests that all gatekeepers together send to one ejected backend.
const FLEET_TRIAL_INTERVAL: Micros = 200_000;
/// Maximum microseconds between the trial requests that one gatekeeper sends to an ejected backend, and
/// maximum connect backoff in microseconds. Faults last tens of seconds.
const MAX_TRIAL_INTERVAL: Micros = 20_000_000;
/// Microseconds of the pause after a rejection and of the first connect backoff, multiplied by the number of
/// gatekeepers.
const REJECTION_PAUSE: Micros = 10_000;

/// Microseconds between the trial requests that this gatekeeper sends to an ejected backend. The interval
/// grows with the number of gatekeepers, so that the rate of trials by all gatekeepers together stays the
/// same.
pub(crate) fn trial_interval(settings: &Settings) -> Micros {
    (FLEET_TRIAL_INTERVAL * u64::from(settings.gatekeepers)).min(MAX_TRIAL_INTERVAL)
}

/// Microseconds for which this gatekeeper sends a backend no requests of a class and plan that it rejected.
pub(crate) fn rejection_pause(settings: &Settings) -> Micros {
    REJECTION_PAUSE * u64::from(settings.gatekeepers)
}

/// Microseconds for which an attempt may be unanswered before its backend counts as silent.
pub(crate) fn silence_timeout(latency_objective: Micros) -> Micros {
    (latency_objective as f64 * SILENCE_TIMEOUT_FRACTION) as Micros
}

/// Last answer of one backend to requests of one class, and the ejection of the backend for that class.
#[derive(Clone, Copy, Debug)]
struct ClassHealth {
    last_answer: Timestamp,
    /// Time of the next trial; `None` unless the backend is ejected for this class.
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

/// Exponential backoff after failures to connect to a backend.
#[derive(Clone, Copy, Debug, Default)]
struct ConnectBackoff {
    until: Timestamp,
    /// Duration of the last backoff in microseconds; 0 once the backend has answered since.
    last_duration: Micros,
}

/// Ejections, rejection pauses and connect backoff of one backend, and the times of its answers.
#[derive(Clone, Debug)]
pub(crate) struct BackendHealth {
    last_answer: Timestamp,
    /// Health of the backend for each class, indexed by class.
    classes: Vec<ClassHealth>,
    /// End of the pause after a rejection, by class and plan.
    rejects_until: BTreeMap<(usize, usize), Timestamp>,
    connect_backoff: ConnectBackoff,
}

impl BackendHealth {
    pub(crate) fn new(now: Timestamp, class_count: usize) -> Self {
        Self {
            last_answer: now,
            classes: vec![ClassHealth::new(now); class_count],
            rejects_until: BTreeMap::new(),
            connect_backoff: ConnectBackoff::default(),
        }
    }

    pub(crate) fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Changes the number of classes. The backend counts as healthy for each added class.
    pub(crate) fn resize_classes(&mut self, class_count: usize, now: Timestamp) {
        self.classes.resize(class_count, ClassHealth::new(now));
    }

    /// Whether the backend is ejected for every class, so that only a trial can show that it has recovered.
    pub(crate) fn is_ejected(&self) -> bool {
        self.classes.iter().all(|class| class.ejected_until.is_some())
    }

    /// Time of the next trial; `None` unless the backend is ejected for this class.
    pub(crate) fn ejected_until(&self, class: usize) -> Option<Timestamp> {
        self.classes.get(class).and_then(|class| class.ejected_until)
    }

    /// Whether the backend is ejected for every class, and trial requests are to be of this class: the class
    /// that the backend answered last.
    pub(crate) fn is_trial_class(&self, class: usize) -> bool {
        let last_answer = self.classes[class].last_answer;
        self.is_ejected() && self.classes.iter().all(|class| class.last_answer <= last_answer)
    }

    /// Records that an attempt of this class is sent. If the backend is ejected for the class, the attempt is
    /// a trial, and postpones the next trial of every class for which the backend is ejected.
    pub(crate) fn record_send(&mut self, class: usize, next_trial: Timestamp) {
        if self.ejected_until(class).is_none() {
            return;
        }
        for ejected_until in self.classes.iter_mut().filter_map(|class| class.ejected_until.as_mut()) {
            *ejected_until = next_trial;
        }
    }

    /// Whether the backend has answered an attempt of any class after `time`.
    pub(crate) fn has_answered_since(&self, time: Timestamp) -> bool {
        self.last_answer > time
    }

    pub(crate) fn is_in_connect_backoff(&self, now: Timestamp) -> bool {
        now < self.connect_backoff.until
    }

    /// Whether the backend recently rejected a request of this class and plan, so that requests of this class
    /// and plan are not sent to it for now.
    pub(crate) fn is_in_rejection_pause(&self, class: usize, plan: usize, now: Timestamp) -> bool {
        self.rejects_until.get(&(class, plan)).is_some_and(|&until| now < until)
    }

    pub(crate) fn record_success(&mut self, class: usize, now: Timestamp) {
        self.connect_backoff.last_duration = 0;
        self.last_answer = now;
        self.classes[class] = ClassHealth::new(now);
    }

    pub(crate) fn record_error(&mut self, class: usize, now: Timestamp, next_trial: Timestamp) {
        self.last_answer = now;
        self.classes[class].ejected_until.get_or_insert(next_trial);
    }

    /// Records that the backend rejected a request. Only requests of the same class and plan are paused, as
    /// the backend may serve others.
    pub(crate) fn record_rejection(&mut self, class: usize, plan: usize, until: Timestamp) {
        self.rejects_until.insert((class, plan), until);
    }

    /// Starts the connect backoff, or doubles it. The backoff applies to all classes, because the backend is
    /// down or accepts no more connections. Gatekeepers with an established connection see no connect
    /// failure, so a backend at its connection limit is avoided only by gatekeepers that cannot use it.
    pub(crate) fn record_connect_failure(&mut self, first_backoff: Micros, now: Timestamp) {
        let backoff = (2 * self.connect_backoff.last_duration).clamp(first_backoff, MAX_TRIAL_INTERVAL);
        self.connect_backoff = ConnectBackoff { until: now + backoff, last_duration: backoff };
    }

    /// Ejects the backend because of an attempt that is unanswered for too long. It is ejected for the class
    /// of the attempt, or for all classes if it has answered no class since the attempt was sent: a backend
    /// may fail one class and serve the others. Returns whether it was newly ejected for any class.
    pub(crate) fn eject_if_silent(
        &mut self,
        class: usize,
        sent_at: Timestamp,
        next_trial: Timestamp,
    ) -> bool {
        let is_silent_for_all = self.last_answer < sent_at;
        let mut was_ejected = false;
        for (index, health) in self.classes.iter_mut().enumerate() {
            let is_affected = is_silent_for_all || index == class;
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
        stored.connect_backoff = self.connect_backoff.last_duration;
    }

    pub(crate) fn restore(stored: StoredBackend) -> Self {
        let connect_backoff =
            ConnectBackoff { until: stored.connect_backoff_until, last_duration: stored.connect_backoff };
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
