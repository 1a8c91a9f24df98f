//! The state behind the exchange's lock: the policy, the requests in flight, the counter calls in flight and the timers.
//!
//! | module | content |
//! | --- | --- |
//! | `answers` | final answers: when a request is over, and why it failed |
//! | `attempts` | attempts: start, end, cancellation |
//! | `backends` | the backends of the endpoint list |
//! | `counter_calls` | counter calls in flight, and the fleet's clock |
//! | `repeat_guard` | the check on retries and hedged attempts |
//! | `statistics` | counts for the operators' console and metrics |
//! | `streams` | answers that are streaming |

mod answers;
mod attempts;
mod backends;
mod counter_calls;
mod repeat_guard;
mod statistics;
mod streams;
#[cfg(test)]
mod tests;

use crate::counts::{AnswerKind, OutcomeCounts, Status};
use crate::in_flight::InFlightRequest;
use crate::request::{Admission, AttemptId, Reply, Request};
use crate::shutdown::{ShutdownBounds, StartedShutdown};
use crate::side_effect::{SideEffect, SideEffects};
use crate::timers::{Timer, Timers};
use backends::KnownBackends;
use counter_calls::{CounterCalls, SharedClock};
use policy::{
    Action, BackendEntry, Event, FleetSummary, ListKind, Outcome, Policy, RequestClass, RequestId, Settings,
    SettingsError, Timestamp,
};
use repeat_guard::RepeatRules;
use statistics::Statistics;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use streams::OpenStreams;

/// The callback that gets each admission before the request is forwarded for the first time.
pub(crate) type AdmissionListener = Box<dyn Fn(Admission) + Send>;

pub(crate) struct RequestTable<Q, A> {
    policy: Policy,
    /// Events that the policy has yet to handle. Applying an action may append events.
    events: VecDeque<Event>,
    /// Buffer for the policy's actions, reused to avoid allocations; empty between two events.
    actions: Vec<Action>,
    requests: HashMap<RequestId, InFlightRequest<Q, A>>,
    next_request_id: u32,
    max_attempts: usize,
    /// The number of the service that serves each class, indexed by the number of the class.
    class_services: Vec<u16>,
    repeat_rules: RepeatRules,
    /// The graceful shutdown that has started; `None` while the process serves normally.
    shutdown: Option<StartedShutdown>,
    backends: KnownBackends,
    streams: OpenStreams,
    counter_calls: CounterCalls,
    shared_clock: SharedClock,
    statistics: Statistics,
    /// Callback for admissions; `None` except during a hot restart, while the predecessor of this process could still resume.
    admission_listener: Option<AdmissionListener>,
    pub(crate) side_effects: SideEffects<Q, A>,
    pub(crate) timers: Timers,
}

impl<Q, A> RequestTable<Q, A> {
    pub(crate) fn new(settings: Settings, seed: u64, now: Timestamp) -> Result<Self, SettingsError> {
        Ok(Self {
            events: VecDeque::new(),
            actions: Vec::new(),
            requests: HashMap::new(),
            next_request_id: 0,
            max_attempts: settings.max_attempts as usize,
            class_services: services_of(&settings.classes),
            repeat_rules: RepeatRules::of_classes(&settings.classes),
            shutdown: None,
            backends: KnownBackends::default(),
            streams: OpenStreams::default(),
            counter_calls: CounterCalls::new(settings.counter_timeout),
            shared_clock: SharedClock::new(&settings, seed),
            statistics: Statistics::new(settings.classes.len()),
            admission_listener: None,
            side_effects: SideEffects::default(),
            timers: Timers::new(settings.tick),
            policy: Policy::new(settings, seed, now)?,
        })
    }

    /// Replaces the settings. Classes must have the same numbers in the new settings.
    pub(crate) fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        let (max_attempts, tick) = (settings.max_attempts as usize, settings.tick);
        let counter_timeout = settings.counter_timeout;
        let class_services = services_of(&settings.classes);
        let repeat_rules = RepeatRules::of_classes(&settings.classes);
        self.policy.update_settings(settings)?;
        self.repeat_rules.replace_rules(repeat_rules);
        self.max_attempts = max_attempts;
        self.counter_calls.set_timeout(counter_timeout);
        self.timers.set_tick(tick);
        self.statistics.add_classes(class_services.len());
        self.class_services = class_services;
        Ok(())
    }

    pub(crate) fn submit(&mut self, now: Timestamp, request: Request<Q>, reply: Reply<A>) -> RequestId {
        let id = self.unused_id();
        let Request { class, plan, tenant, tenant_gatekeepers, units, client_retry, .. } = request;
        let own_deadline = now.saturating_add(request.time_left);
        let deadline = self.shutdown.map_or(own_deadline, |shutdown| shutdown.limit_deadline(own_deadline));
        let time_left = deadline.saturating_since(now);
        let in_flight = InFlightRequest {
            payload: Arc::new(request.payload),
            reply: Some(reply),
            deadline,
            admission: Admission { tenant, plan, tenant_gatekeepers, units },
            account: request.account,
            class,
            service: self.class_services.get(usize::from(class)).copied().unwrap_or(0),
            attempts: Vec::new(),
            last_outcome: None,
            may_stream: self.shutdown.is_none_or(|shutdown| shutdown.allows_stream(now)),
            is_streaming: false,
        };
        self.statistics.request_submitted();
        self.requests.insert(id, in_flight);
        self.timers.set(deadline, Timer::Deadline(id));
        let event =
            Event::Request { id, class, plan, tenant, time_left, tenant_gatekeepers, units, client_retry };
        self.feed(now, event);
        id
    }

    /// Returns an id that no request in flight has.
    fn unused_id(&mut self) -> RequestId {
        while self.requests.contains_key(&RequestId(self.next_request_id)) {
            self.next_request_id = self.next_request_id.wrapping_add(1);
        }
        let id = RequestId(self.next_request_id);
        self.next_request_id = self.next_request_id.wrapping_add(1);
        id
    }

    /// Applies the bounds of a graceful shutdown to the requests that are submitted from now on.
    pub(crate) fn start_shutdown(&mut self, now: Timestamp, bounds: ShutdownBounds) {
        self.shutdown = Some(StartedShutdown::new(now, bounds));
    }

    /// Passes an event to the policy and applies the resulting actions, and repeats this for the events that the actions queue.
    pub(crate) fn feed(&mut self, now: Timestamp, event: Event) {
        self.events.push_back(event);
        self.run_events(now);
    }

    fn run_events(&mut self, now: Timestamp) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action);
            }
            self.actions = actions;
        }
    }

    fn apply_action(&mut self, now: Timestamp, action: Action) {
        match action {
            Action::Send { id, backend, timeout, max_start_delay } => {
                self.send(now, id, backend, timeout, max_start_delay);
            }
            Action::Cancel { id, attempt } => {
                self.cancel_attempt(now, AttemptId { request: id, attempt }, Outcome::Cancelled);
            }
            Action::Reject { id, retry_after, reason } => self.reject(now, id, retry_after, reason),
            Action::Fail { id } => self.fail(now, id),
            Action::Timer { after, token } => self.timers.set(now + after, Timer::Policy(token)),
            Action::CounterAdd { name, units, ttl } => self.call_quota_counter(now, name, units, ttl),
            Action::Log(notice) => self.side_effects.push(SideEffect::Log(notice)),
            // Discovery refreshes the endpoint list by itself, and the policy's active health checks are not supported here.
            Action::PollEndpoints | Action::HealthCheck { .. } => {}
        }
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn update_endpoints(&mut self, now: Timestamp, kind: ListKind, entries: Vec<BackendEntry>) {
        self.backends.apply_list_update(kind, &entries);
        self.feed(now, Event::Endpoints { kind, entries });
    }

    pub(crate) fn run_due_timers(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::Policy(token) => self.feed(now, Event::Timer { token }),
                Timer::CounterCall(id) => self.counter_call_ended(now, id, Outcome::Timeout, 0.0),
                Timer::Attempt(attempt) => self.attempt_timed_out(now, attempt),
                Timer::WriteDeadline(attempt) => self.side_effects.push(SideEffect::EndUnwritten(attempt)),
                Timer::Deadline(id) => self.deadline_expired(now, id),
                Timer::FleetClock => self.call_for_fleet_clock(now),
            }
        }
    }

    pub(crate) fn set_admission_listener(&mut self, listener: Option<AdmissionListener>) {
        self.admission_listener = listener;
    }

    pub(crate) fn policy(&mut self) -> &mut Policy {
        &mut self.policy
    }

    /// Counts a request that a front rejected without submitting it.
    pub(crate) fn count_rejection(&mut self, class: u16) {
        self.statistics.count_answer(class, AnswerKind::Rejected);
    }

    pub(crate) fn outcome_counts(&self) -> (OutcomeCounts, FleetSummary) {
        (self.statistics.outcomes().clone(), self.policy.fleet_summary())
    }

    /// Number of requests that wait for their final answer.
    pub(crate) fn unanswered(&self) -> usize {
        self.requests.values().filter(|request| !request.is_over()).count()
    }

    pub(crate) fn status(&self) -> Status {
        Status {
            unanswered: self.unanswered(),
            answers: self.statistics.answers(),
            units_forwarded: self.statistics.units_forwarded(),
            accounts: self.statistics.units_by_account().clone(),
            counter_calls: self.counter_calls.call_count(),
            backends: self.backends.statuses().clone(),
        }
    }
}

/// The number of the service that serves each class, indexed by the number of the class.
fn services_of(classes: &[RequestClass]) -> Vec<u16> {
    classes.iter().map(|class| class.service).collect()
}
