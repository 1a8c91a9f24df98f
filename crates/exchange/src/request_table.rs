//! The state behind the exchange's lock: the policy, the requests in flight, the counter calls in flight and the timers.

mod attempts;
mod backends;
mod counter_calls;
mod repeat_guard;
#[cfg(test)]
mod tests;

use crate::counts::{AnswerCounts, AnswerKind, OutcomeCounts, Status};
use crate::fleet_clock::FleetClock;
use crate::in_flight::InFlightRequest;
use crate::request::{Admission, AttemptId, FailureReason, FinalAnswer, Reply, Request};
use crate::side_effect::SideEffect;
use crate::timers::{Timer, Timers};
use counter_calls::InFlightCall;
use policy::{
    Action, BackendId, Event, FleetSummary, Micros, Outcome, Policy, RequestId, Settings, SettingsError,
    Timestamp,
};
use repeat_guard::RepeatRule;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// How many ticks before its deadline a request that is given up counts as out of time.
const DEADLINE_TICKS: Micros = 4;
/// One request in so many is treated wrongly by a build for the checkers of the fault-injection harness.
const SEEDED_FAULT_PERIOD: u32 = 50;
/// Bytes that such a build leaks with it.
const SEEDED_FAULT_LEAK: usize = 32 << 20;

/// Told of each admission before it is forwarded.
pub(crate) type AdmissionListener = Box<dyn Fn(Admission) + Send>;

pub(crate) struct RequestTable<Q, A> {
    policy: Policy,
    max_attempts: usize,
    counter_timeout: Micros,
    /// Timers that expire within this time of each other may run together: the tick of the policy.
    pub(crate) tick: Micros,
    /// When requests of each class may be sent once more.
    repeat_rules: Vec<RepeatRule>,
    /// The service of each class, and of each known backend.
    class_services: Vec<u16>,
    backend_services: HashMap<BackendId, u16>,
    requests: HashMap<RequestId, InFlightRequest<Q, A>>,
    next_request: u32,
    counter_calls: HashMap<u64, InFlightCall>,
    /// Where tenants' counts are shared with other gatekeepers, once it is started.
    fleet_clock: Option<FleetClock>,
    /// Gatekeepers that share the counter; 1 without one.
    counting_gatekeepers: u32,
    seed: u64,
    next_counter_call: u64,
    status: Status,
    counts: OutcomeCounts,
    /// Classes of the requests whose answers are streaming, by the attempt that brings them.
    streams: HashMap<AttemptId, u16>,
    /// Set while another process could go on in the place of this one.
    pub(crate) admission_listener: Option<AdmissionListener>,
    pub(crate) side_effects: VecDeque<SideEffect<Q, A>>,
    /// A caller is carrying out side effects.
    pub(crate) is_performing: bool,
    /// No request has a later deadline.
    latest_deadline: Timestamp,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    pub(crate) timers: Timers,
    /// When the thread that runs the timers wakes by itself.
    pub(crate) wakes_at: Option<Timestamp>,
}

impl<Q, A> RequestTable<Q, A> {
    pub(crate) fn new(settings: Settings, seed: u64, now: Timestamp) -> Result<Self, SettingsError> {
        let class_services: Vec<u16> = settings.classes.iter().map(|class| class.service).collect();
        let classes = vec![AnswerCounts::default(); class_services.len()];
        let counting_gatekeepers = if settings.shared_counter { settings.gatekeepers } else { 1 };
        Ok(Self {
            repeat_rules: settings.classes.iter().map(RepeatRule::of).collect(),
            class_services,
            backend_services: HashMap::new(),
            max_attempts: settings.max_attempts as usize,
            counter_timeout: settings.counter_timeout,
            tick: settings.tick,
            policy: Policy::new(settings, seed, now)?,
            requests: HashMap::new(),
            next_request: 0,
            counter_calls: HashMap::new(),
            fleet_clock: None,
            counting_gatekeepers,
            seed,
            next_counter_call: 0,
            status: Status::default(),
            counts: OutcomeCounts { classes, ..OutcomeCounts::default() },
            streams: HashMap::new(),
            admission_listener: None,
            side_effects: VecDeque::new(),
            is_performing: false,
            latest_deadline: Timestamp::MAX,
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: Timers::default(),
            wakes_at: None,
        })
    }

    pub(crate) fn submit(&mut self, now: Timestamp, request: Request<Q>, reply: Reply<A>) -> RequestId {
        let id = self.free_id();
        let Request { class, plan, tenant, tenant_gatekeepers, units, client_retry, .. } = request;
        let deadline = now.saturating_add(request.time_left).min(self.latest_deadline);
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
            is_streaming: false,
        };
        self.counts.pending += 1;
        self.requests.insert(id, in_flight);
        self.timers.set(deadline, Timer::Deadline(id));
        let event =
            Event::Request { id, class, plan, tenant, time_left, tenant_gatekeepers, units, client_retry };
        self.feed(now, event);
        id
    }

    fn free_id(&mut self) -> RequestId {
        while self.requests.contains_key(&RequestId(self.next_request)) {
            self.next_request = self.next_request.wrapping_add(1);
        }
        let id = RequestId(self.next_request);
        self.next_request = self.next_request.wrapping_add(1);
        id
    }

    /// What is taken from now on is over by then.
    pub(crate) fn set_latest_deadline(&mut self, deadline: Timestamp) {
        self.latest_deadline = deadline;
    }

    /// Hands one event to the policy and carries out its actions; events that follow at once are handed over too.
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
            Action::Reject { id, retry_after, reason } => {
                self.counts.rejections[reason as usize] += 1;
                let reason = self.failure_reason(now, id);
                self.answer(id, FinalAnswer::Rejected { retry_after, reason });
            }
            Action::Fail { id } => {
                let reason = self.failure_reason(now, id);
                self.answer(id, FinalAnswer::Failed(reason));
            }
            Action::Timer { after, token } => self.timers.set(now + after, Timer::Policy(token)),
            Action::CounterAdd { name, units, ttl } => self.call_quota_counter(now, name, units, ttl),
            Action::Log(notice) => self.side_effects.push_back(SideEffect::Log(notice)),
            // Discovery is watched from the start, and sites with active health checks are not served.
            Action::PollEndpoints | Action::HealthCheck { .. } => {}
        }
    }

    /// Gives the one final answer, if none was given.
    fn answer(&mut self, id: RequestId, answer: FinalAnswer<A>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(reply) = request.reply.take() else { return };
        let (class, is_streaming) = (request.class, request.is_streaming);
        let kind = AnswerKind::of(&answer);
        self.status.answers.add(kind);
        if !is_streaming {
            self.counts.pending -= 1;
            self.count(class, kind);
        }
        // Before the answer goes out: what is not written yet must not be forwarded after it.
        self.withdraw_open_attempts(id);
        let has_seeded_fault =
            seeded_faults::ENABLED && id.0 % SEEDED_FAULT_PERIOD == SEEDED_FAULT_PERIOD - 1;
        if has_seeded_fault && seeded_faults::is_active("holds") {
            // Used by nothing else: without the black box the compiler leaves it out.
            std::mem::forget(std::hint::black_box(vec![1u8; SEEDED_FAULT_LEAK]));
        }
        if !has_seeded_fault || !seeded_faults::is_active("answers") {
            self.side_effects.push_back(SideEffect::Answer(reply, answer));
        }
        self.remove_if_over(id);
    }

    fn count(&mut self, class: u16, kind: AnswerKind) {
        if let Some(counts) = self.counts.classes.get_mut(usize::from(class)) {
            counts.add(kind);
        }
    }

    /// A front rejected a request of this class by itself.
    pub(crate) fn count_rejection(&mut self, class: u16) {
        self.count(class, AnswerKind::Rejected);
    }

    pub(crate) fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        let (max_attempts, tick) = (settings.max_attempts as usize, settings.tick);
        let counter_timeout = settings.counter_timeout;
        let class_services: Vec<u16> = settings.classes.iter().map(|class| class.service).collect();
        let repeat_rules: Vec<RepeatRule> = settings.classes.iter().map(RepeatRule::of).collect();
        self.policy.update_settings(settings)?;
        // Classes keep their numbers: those that the new settings lack stay as they were, for requests in flight.
        let replaced = repeat_rules.len().min(self.repeat_rules.len());
        self.repeat_rules.splice(..replaced, repeat_rules);
        self.max_attempts = max_attempts;
        self.counter_timeout = counter_timeout;
        self.tick = tick;
        let classes = self.counts.classes.len().max(class_services.len());
        self.counts.classes.resize(classes, AnswerCounts::default());
        self.class_services = class_services;
        Ok(())
    }

    pub(crate) fn policy(&mut self) -> &mut Policy {
        &mut self.policy
    }

    pub(crate) fn outcome_counts(&self) -> (OutcomeCounts, FleetSummary) {
        (self.counts.clone(), self.policy.fleet_summary())
    }

    /// Why the policy gives a request up now.
    fn failure_reason(&self, now: Timestamp, id: RequestId) -> FailureReason {
        let Some(request) = self.requests.get(&id) else { return FailureReason::NoCapacity };
        if now + DEADLINE_TICKS * self.tick >= request.deadline {
            return FailureReason::DeadlineExceeded;
        }
        match request.last_outcome {
            None if !self.has_ready_backend(request.service) => FailureReason::NoBackend,
            None | Some(Outcome::Rejected | Outcome::NotStarted | Outcome::NotSent) => {
                FailureReason::NoCapacity
            }
            Some(Outcome::ConnectFailed) => FailureReason::NoBackend,
            Some(Outcome::Timeout) => FailureReason::DeadlineExceeded,
            Some(Outcome::Ok | Outcome::Error | Outcome::Reset | Outcome::Cancelled) => {
                FailureReason::BackendFailed
            }
        }
    }

    pub(crate) fn client_gone(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_over()) else { return };
        request.reply = None;
        self.counts.pending -= 1;
        self.feed(now, Event::ClientGone { id });
        self.cancel_open_attempts(now, id, Outcome::Cancelled);
        self.remove_if_over(id);
    }

    /// A request stays until it is over and all its attempts have ended, so that late outcomes find it.
    fn remove_if_over(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.is_over() && !request.has_open_attempts()) {
            self.requests.remove(&id);
        }
    }

    pub(crate) fn run_due_timers(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Policy(token) => self.feed(now, Event::Timer { token }),
                Timer::CounterCall(id) => self.counter_call_ended(now, id, Outcome::Timeout, 0.0),
                Timer::Attempt(attempt) => {
                    self.cancel_attempt(now, attempt, Outcome::Timeout);
                    self.run_events(now);
                    self.remove_if_over(attempt.request);
                }
                Timer::StartBy(attempt) => {
                    self.side_effects.push_back(SideEffect::EndUnwritten(attempt));
                }
                Timer::Deadline(id) => self.deadline_expired(now, id),
                Timer::FleetClock => self.call_for_fleet_clock(now),
            }
        }
    }

    fn deadline_expired(&mut self, now: Timestamp, id: RequestId) {
        self.cancel_open_attempts(now, id, Outcome::Timeout);
        // The policy answers before this. Were it ever not to, the request still gets its answer.
        if self.requests.get(&id).is_some_and(|request| !request.is_over()) {
            self.answer(id, FinalAnswer::Failed(FailureReason::DeadlineExceeded));
            self.feed(now, Event::ClientGone { id });
        }
        self.remove_if_over(id);
    }

    pub(crate) fn unanswered(&self) -> usize {
        self.requests.values().filter(|request| !request.is_over()).count()
    }

    pub(crate) fn status(&self) -> Status {
        Status { unanswered: self.unanswered(), ..self.status.clone() }
    }
}
