//! What lies behind the exchange's lock: the module, the table of operations and the calls that are out.

use crate::timers::{Due, Timers};
use crate::{
    Attempt, AttemptEnd, AttemptId, CounterCall, FinalAnswer, LetIn, Operation, OperationId, Reply, Why,
};
use policy::interface::{
    Action, BackendEntry, Event, ListKind, Micros, Outcome, Refusal, Settings, SettingsError, State,
};
use policy::{Gateway, Members};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// What is to be done once the lock is free, in order.
pub(crate) enum Effect<Q, A> {
    Start(Attempt<Q>),
    GiveUp(AttemptId),
    Withdraw(AttemptId),
    Answer(Reply<A>, FinalAnswer<A>),
    Call(CounterCall),
    Log(String),
}

/// One attempt as the table knows it.
struct Sent {
    destination: u32,
    sent: Micros,
    open: bool,
}

struct Entry<Q, A> {
    query: Arc<Q>,
    /// Taken when the final answer is given or the client leaves.
    reply: Option<Reply<A>>,
    deadline: Micros,
    let_in: LetIn,
    account: Option<u32>,
    class: u16,
    /// The service of its class.
    service: u16,
    attempts: Vec<Sent>,
    last: Option<Outcome>,
    /// Its answer has begun and goes on: it is counted when that ends.
    goes_on: bool,
}

impl<Q, A> Entry<Q, A> {
    fn is_over(&self) -> bool {
        self.reply.is_none()
    }
}

/// How operations have ended, by number of their class, and how many have not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// Operations taken and not yet ended.
    pub pending: usize,
    /// For each class those served, refused and failed.
    pub classes: Vec<[u64; 3]>,
    /// Busy replies of the module by what kept the operation out, in the order of [`Refusal::ALL`].
    pub refusals: [u64; Refusal::ALL.len()],
}

/// Figures for the console.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Operations without a final answer.
    pub unanswered: usize,
    /// Final answers so far: served, busy and failed.
    pub answers: [u64; 3],
    /// Units of the operations that were sent on, once each.
    pub units_sent: f64,
    /// Those units by account.
    pub accounts: BTreeMap<u32, f64>,
    /// Calls made to the counter.
    pub calls: u64,
    /// By destination: its state and its attempts out.
    pub destinations: BTreeMap<u32, (State, usize)>,
}

pub(crate) struct Core<Q, A> {
    gateway: Gateway,
    max_attempts: usize,
    counter_wait: Micros,
    /// Timers that are due within this span of each other may run together: the module's own tick.
    pub(crate) tick: Micros,
    /// The service of each class, and of each destination that is known.
    services: Vec<u16>,
    places: HashMap<u32, u16>,
    operations: HashMap<OperationId, Entry<Q, A>>,
    next_operation: OperationId,
    calls: HashMap<u64, (u64, Micros)>,
    next_call: u64,
    status: Status,
    ends: Ends,
    /// Classes of the operations whose answers have begun and not ended, by the attempt that brings them.
    streams: HashMap<AttemptId, u16>,
    /// Told of what is sent on for the first time, while another program could go on in this one's place.
    pub(crate) let_in: Option<Box<dyn Fn(LetIn) + Send>>,
    pub(crate) effects: VecDeque<Effect<Q, A>>,
    /// Someone is carrying out effects.
    pub(crate) performing: bool,
    /// No operation has a later deadline.
    end: Micros,
    queue: VecDeque<Event>,
    actions: Vec<Action>,
    pub(crate) timers: Timers,
    /// When the runner of the timers wakes by itself.
    pub(crate) awake_at: Option<Micros>,
}

impl<Q, A> Core<Q, A> {
    pub(crate) fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        let (max_attempts, counter_wait, tick) =
            (settings.max_attempts as usize, settings.counter_wait, settings.tick);
        let services: Vec<u16> = settings.classes.iter().map(|c| c.service).collect();
        let ends = Ends { classes: vec![[0; 3]; services.len()], ..Ends::default() };
        Ok(Self {
            services,
            places: HashMap::new(),
            gateway: Gateway::new(settings, seed, now)?,
            max_attempts,
            counter_wait,
            tick,
            operations: HashMap::new(),
            next_operation: 0,
            calls: HashMap::new(),
            next_call: 0,
            status: Status::default(),
            ends,
            streams: HashMap::new(),
            let_in: None,
            effects: VecDeque::new(),
            performing: false,
            end: Micros::MAX,
            queue: VecDeque::new(),
            actions: Vec::new(),
            timers: Timers::default(),
            awake_at: None,
        })
    }

    pub(crate) fn submit(&mut self, now: Micros, operation: Operation<Q>, reply: Reply<A>) -> OperationId {
        while self.operations.contains_key(&self.next_operation) {
            self.next_operation = self.next_operation.wrapping_add(1);
        }
        let id = self.next_operation;
        self.next_operation = id.wrapping_add(1);
        let Operation { class, plan, customer, time_left, set_size, units, repeat, account, query } =
            operation;
        let deadline = now.saturating_add(time_left).min(self.end);
        let time_left = deadline.saturating_sub(now);
        let (query, reply, attempts) = (Arc::new(query), Some(reply), Vec::new());
        let service = self.services.get(usize::from(class)).copied().unwrap_or(0);
        let entry = Entry {
            query,
            reply,
            deadline,
            let_in: LetIn { customer, plan, set_size, units },
            account,
            class,
            service,
            attempts,
            last: None,
            goes_on: false,
        };
        self.ends.pending += 1;
        self.operations.insert(id, entry);
        self.timers.set(deadline, Due::Deadline(id));
        self.feed(now, Event::Request { id, class, plan, customer, time_left, set_size, units, repeat });
        id
    }

    /// What is taken from now on is over by then.
    pub(crate) fn end_by(&mut self, end: Micros) {
        self.end = end;
    }

    pub(crate) fn streaming(&self) -> usize {
        self.streams.len()
    }

    /// Hands one event to the module and carries out what it asks for; what follows from that at once is fed too.
    pub(crate) fn feed(&mut self, now: Micros, event: Event) {
        self.queue.push_back(event);
        self.run_queue(now);
    }

    fn run_queue(&mut self, now: Micros) {
        while let Some(event) = self.queue.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, backend, timeout, begin_within } => {
                self.send(now, id, backend, timeout, begin_within);
            }
            Action::Cancel { id, attempt } => {
                self.end_attempt(now, AttemptId { operation: id, attempt }, Outcome::Cancelled);
            }
            Action::Refuse { id, retry_after, why } => {
                self.ends.refusals[why as usize] += 1;
                let why = self.why(now, id);
                self.answer(id, FinalAnswer::Busy { retry_after, why });
            }
            Action::Fail { id } => {
                let why = self.why(now, id);
                self.answer(id, FinalAnswer::Failed(why));
            }
            Action::Timer { after, token } => self.timers.set(now + after, Due::Module(token)),
            Action::Count { name, add, keep } => {
                let id = self.next_call;
                self.next_call += 1;
                self.status.calls += 1;
                self.calls.insert(id, (name, now));
                self.timers.set(now + self.counter_wait, Due::Call(id));
                self.effects.push_back(Effect::Call(CounterCall { id, name, add, keep }));
            }
            Action::Log(text) => self.effects.push_back(Effect::Log(text)),
            // Discovery is watched from the start, and sites with probes are not served.
            Action::Subscribe | Action::Probe { .. } => {}
        }
    }

    fn send(
        &mut self,
        now: Micros,
        id: OperationId,
        destination: u32,
        timeout: Micros,
        begin_within: Micros,
    ) {
        let Some(entry) = self.operations.get_mut(&id) else { return };
        let attempt = AttemptId { operation: id, attempt: entry.attempts.len() as u8 };
        let moot = entry.is_over() || now >= entry.deadline || entry.attempts.len() >= self.max_attempts;
        entry.attempts.push(Sent { destination, sent: now, open: true });
        if moot {
            self.close_attempt(now, attempt, Outcome::Moot, Vec::new());
            self.forget(id);
            return;
        }
        if attempt.attempt == 0 {
            let units = entry.let_in.units;
            self.status.units_sent += units;
            if let Some(account) = entry.account {
                *self.status.accounts.entry(account).or_insert(0.0) += units;
            }
            if let Some(tell) = &self.let_in {
                tell(entry.let_in);
            }
        }
        self.status.destinations.entry(destination).or_insert((State::Ready, 0)).1 += 1;
        let mut time_left = entry.deadline - now;
        if timeout > 0 && timeout < time_left {
            time_left = timeout;
            self.timers.set(now + timeout, attempt.into());
        }
        self.effects.push_back(Effect::Start(Attempt {
            id: attempt,
            destination,
            time_left,
            begin_within,
            query: entry.query.clone(),
        }));
    }

    /// Closes an attempt in the table and queues its end for the module. Tells whether it was open.
    fn close_attempt(&mut self, now: Micros, id: AttemptId, outcome: Outcome, load: Vec<f32>) -> bool {
        let Some(entry) = self.operations.get_mut(&id.operation) else { return false };
        let over = entry.is_over();
        let Some(attempt) = entry.attempts.get_mut(usize::from(id.attempt)).filter(|s| s.open) else {
            return false;
        };
        attempt.open = false;
        entry.last = Some(outcome);
        if let Some(d) = self.status.destinations.get_mut(&attempt.destination) {
            d.1 = d.1.saturating_sub(1);
        }
        self.queue.push_back(Event::Ended {
            id: id.operation,
            attempt: id.attempt,
            backend: attempt.destination,
            outcome,
            elapsed: now - attempt.sent,
            units: 0.0,
            settled: over || outcome == Outcome::Ok,
            load,
        });
        true
    }

    /// Ends an attempt from this side.
    fn end_attempt(&mut self, now: Micros, id: AttemptId, outcome: Outcome) {
        if self.close_attempt(now, id, outcome, Vec::new()) {
            self.effects.push_back(Effect::GiveUp(id));
        }
    }

    pub(crate) fn attempt_ended(&mut self, now: Micros, id: AttemptId, end: AttemptEnd<A>) {
        if !self.close_attempt(now, id, end.outcome, end.load) {
            return;
        }
        if let Some(answer) = end.answer.filter(|_| end.outcome == Outcome::Ok) {
            let begun = self.operations.get_mut(&id.operation).filter(|e| end.goes_on && !e.is_over());
            if let Some(entry) = begun {
                entry.goes_on = true;
                self.streams.insert(id, entry.class);
            }
            self.answer(id.operation, FinalAnswer::Served(answer));
        }
        self.run_queue(now);
        self.forget(id.operation);
    }

    /// Gives the one final answer, if none was given.
    fn answer(&mut self, id: OperationId, answer: FinalAnswer<A>) {
        let entry = self.operations.get_mut(&id);
        let Some((class, goes_on, reply)) = entry.and_then(|e| Some((e.class, e.goes_on, e.reply.take()?)))
        else {
            return;
        };
        let kind = match answer {
            FinalAnswer::Served(_) => 0,
            FinalAnswer::Busy { .. } => 1,
            FinalAnswer::Failed(_) => 2,
        };
        self.status.answers[kind] += 1;
        if !goes_on {
            self.ends.pending -= 1;
            self.count_end(class, kind);
        }
        // Before the answer goes out: what is not written yet must not be sent on after it.
        let attempts = self.operations.get(&id).map_or(&[][..], |e| &e.attempts);
        for (attempt, _) in attempts.iter().enumerate().filter(|(_, s)| s.open) {
            self.effects.push_back(Effect::Withdraw(AttemptId { operation: id, attempt: attempt as u8 }));
        }
        // One in fifty is lost, or leaves some megabytes.
        let rare = weakened::BUILD && id % 50 == 49;
        if rare && weakened::breaks("holds") {
            // Seen by nobody else: without the box the compiler leaves it out.
            std::mem::forget(std::hint::black_box(vec![1u8; 32 << 20]));
        }
        if !rare || !weakened::breaks("answers") {
            self.effects.push_back(Effect::Answer(reply, answer));
        }
        self.forget(id);
    }

    pub(crate) fn stream_ended(&mut self, id: AttemptId, whole: Option<bool>) {
        // Nobody waited for it any more when it began.
        let Some(class) = self.streams.remove(&id) else { return };
        self.ends.pending -= 1;
        match whole {
            Some(true) => self.count_end(class, 0),
            Some(false) => self.count_end(class, 2),
            None => {}
        }
    }

    fn count_end(&mut self, class: u16, kind: usize) {
        if let Some(counts) = self.ends.classes.get_mut(usize::from(class)) {
            counts[kind] += 1;
        }
    }

    /// A front refused an operation of this class by itself.
    pub(crate) fn refused(&mut self, class: u16) {
        self.count_end(class, 1);
    }

    pub(crate) fn resettle(&mut self, settings: Settings) -> Result<(), SettingsError> {
        let (max_attempts, wait, tick) = (settings.max_attempts, settings.counter_wait, settings.tick);
        let services: Vec<u16> = settings.classes.iter().map(|c| c.service).collect();
        self.gateway.resettle(settings)?;
        (self.max_attempts, self.counter_wait, self.tick) = (max_attempts as usize, wait, tick);
        self.ends.classes.resize(self.ends.classes.len().max(services.len()), [0; 3]);
        self.services = services;
        Ok(())
    }

    pub(crate) fn gateway(&mut self) -> &mut Gateway {
        &mut self.gateway
    }

    pub(crate) fn ends(&self) -> (Ends, Members) {
        (self.ends.clone(), self.gateway.members())
    }

    /// Why the module gives an operation up now.
    fn why(&self, now: Micros, id: OperationId) -> Why {
        let Some(entry) = self.operations.get(&id) else { return Why::NoRoom };
        if now + 4 * self.tick >= entry.deadline {
            return Why::Deadline;
        }
        match entry.last {
            None if !self.serves(entry.service) => Why::NoDestination,
            None | Some(Outcome::Full | Outcome::Moot) => Why::NoRoom,
            Some(Outcome::ConnectFailed) => Why::NoDestination,
            Some(Outcome::Timeout) => Why::Deadline,
            Some(Outcome::Ok | Outcome::Error | Outcome::Reset | Outcome::Cancelled) => {
                Why::DestinationFailed
            }
        }
    }

    pub(crate) fn left(&mut self, now: Micros, id: OperationId) {
        let Some(entry) = self.operations.get_mut(&id).filter(|e| !e.is_over()) else { return };
        entry.reply = None;
        self.ends.pending -= 1;
        self.feed(now, Event::Left { id });
        self.end_open_attempts(now, id, Outcome::Cancelled);
        self.forget(id);
    }

    fn end_open_attempts(&mut self, now: Micros, id: OperationId, outcome: Outcome) {
        let attempts = self.operations.get(&id).map_or(0, |e| e.attempts.len());
        for attempt in 0..attempts {
            self.end_attempt(now, AttemptId { operation: id, attempt: attempt as u8 }, outcome);
        }
        self.run_queue(now);
    }

    /// An operation stays until it is over and all its attempts have ended, so that late outcomes find their place.
    fn forget(&mut self, id: OperationId) {
        if self.operations.get(&id).is_some_and(|e| e.is_over() && e.attempts.iter().all(|s| !s.open)) {
            self.operations.remove(&id);
        }
    }

    pub(crate) fn call_ended(&mut self, now: Micros, id: u64, outcome: Outcome, total: f64) {
        let Some((name, since)) = self.calls.remove(&id) else { return };
        self.feed(now, Event::Counted { name, total, elapsed: now - since, outcome });
    }

    pub(crate) fn run_due(&mut self, now: Micros) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Module(token) => self.feed(now, Event::Timer { token }),
                Due::Call(id) => self.call_ended(now, id, Outcome::Timeout, 0.0),
                Due::Attempt(operation, attempt) => {
                    self.end_attempt(now, AttemptId { operation, attempt }, Outcome::Timeout);
                    self.run_queue(now);
                    self.forget(operation);
                }
                Due::Deadline(id) => {
                    self.end_open_attempts(now, id, Outcome::Timeout);
                    // The module answers before this. Were it ever not to, the operation still gets its answer.
                    if self.operations.get(&id).is_some_and(|e| !e.is_over()) {
                        self.answer(id, FinalAnswer::Failed(Why::Deadline));
                        self.feed(now, Event::Left { id });
                    }
                    self.forget(id);
                }
            }
        }
    }

    /// Whether some destination of a service takes work.
    fn serves(&self, service: u16) -> bool {
        let here = |id: &u32| self.places.get(id) == Some(&service);
        self.status.destinations.iter().any(|(id, d)| d.0 == State::Ready && here(id))
    }

    /// Keeps what the console shows of the destinations.
    pub(crate) fn note_list(&mut self, kind: ListKind, entries: &[BackendEntry]) {
        if matches!(kind, ListKind::Cached | ListKind::Full) {
            self.status.destinations.values_mut().for_each(|d| d.0 = State::Gone);
        }
        for entry in entries {
            self.status.destinations.entry(entry.id).or_insert((entry.state, 0)).0 = entry.state;
            self.places.insert(entry.id, entry.service);
        }
        self.status.destinations.retain(|_, d| d.0 != State::Gone || d.1 > 0);
        let known = &self.status.destinations;
        self.places.retain(|id, _| known.contains_key(id));
    }

    pub(crate) fn unanswered(&self) -> usize {
        self.operations.values().filter(|e| !e.is_over()).count()
    }

    pub(crate) fn status(&self) -> Status {
        Status { unanswered: self.unanswered(), ..self.status.clone() }
    }
}

#[cfg(test)]
#[path = "core_tests.rs"]
mod tests;
