//! The core: where the front and the destination side meet.
//!
//! [`Exchange`] owns the decision module, the table of operations, the timers and the calls to the quota counter. It
//! knows no wire and no socket: what a front passes on (`Q`) and what a destination answers (`A`) are opaque here.
//! Everything that happens becomes one [`Event`] for the module; what the module asks for is carried out after the
//! lock is free, so either side may call back at once.

mod core;
mod stream;
mod timers;

use policy::interface::{BackendEntry, Event, ListKind, Micros, Outcome, Settings, SettingsError};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use crate::core::{Ends, Status};
pub use crate::stream::{Budget, StreamIn, StreamOut, Taken, Told, Value, stream};
pub use policy::{Carried, Members};

/// The number of an operation at this gatekeeper.
pub type OperationId = u32;

/// What a front hands in.
#[derive(Debug)]
pub struct Operation<Q> {
    /// Number of its class in the settings.
    pub class: u16,
    /// Number of its customer's plan in the settings.
    pub plan: u32,
    /// Its customer.
    pub customer: u64,
    /// How long until it must have its final answer.
    pub time_left: Micros,
    /// How many gatekeepers its customer's operations come through.
    pub set_size: f64,
    /// Units that it takes from the quota.
    pub units: f64,
    /// A client's marked repeat.
    pub repeat: bool,
    /// Where its units are booked in [`Status::accounts`] when it is first sent on.
    pub account: Option<u32>,
    /// What goes on to a destination.
    pub query: Q,
}

/// One attempt of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The operation.
    pub operation: OperationId,
    /// Attempts count from 0.
    pub attempt: u8,
}

/// An attempt to be made.
#[derive(Debug)]
pub struct Attempt<Q> {
    /// Its number.
    pub id: AttemptId,
    /// The destination that the module chose.
    pub destination: u32,
    /// How long its answer is waited for.
    pub time_left: Micros,
    /// Nothing of it may be written later than this span from now.
    pub begin_within: Micros,
    /// What goes on.
    pub query: Arc<Q>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd<A> {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer to pass back, with [`Outcome::Ok`].
    pub answer: Option<A>,
    /// The load report, by the settings' columns; empty if none.
    pub load: Vec<f32>,
    /// The answer has begun and goes on: [`Exchange::stream_ended`] follows.
    pub goes_on: bool,
}

impl<A> AttemptEnd<A> {
    /// An end that brought nothing but its outcome.
    pub fn plain(outcome: Outcome) -> Self {
        Self { outcome, answer: None, load: Vec::new(), goes_on: false }
    }
}

/// Why an operation was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Quota, ceiling or load have no room for it.
    NoRoom,
    /// No destination could be had.
    NoDestination,
    /// A destination failed.
    DestinationFailed,
    /// Its time ran out.
    Deadline,
}

/// The one answer that each operation gets.
#[derive(Debug)]
pub enum FinalAnswer<A> {
    /// A destination's answer.
    Served(A),
    /// The busy reply: trying again is harmless.
    Busy {
        /// When to come back; 0 for no advice.
        retry_after: Micros,
        /// The reason.
        why: Why,
    },
    /// Failed, with no promise on its effect.
    Failed(Why),
}

/// What an operation takes from its customer's store when it is first sent on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LetIn {
    /// The customer.
    pub customer: u64,
    /// The number of its plan.
    pub plan: u32,
    /// Gatekeepers that its requests come through.
    pub set_size: f64,
    /// Units.
    pub units: f64,
}

/// Where a final answer goes.
pub type Reply<A> = Box<dyn FnOnce(FinalAnswer<A>) + Send>;

/// The destination side as the core sees it. No call may wait.
pub trait Destinations<Q>: Send + Sync {
    /// Makes an attempt; its end is told with [`Exchange::attempt_ended`], maybe at once.
    fn start(&self, attempt: Attempt<Q>);
    /// Stops waiting for an attempt; its end is not told any more.
    fn give_up(&self, attempt: AttemptId);
    /// Its operation has its final answer: an attempt of which nothing is written yet ends with
    /// [`Outcome::Cancelled`]; one that is under way goes on.
    fn withdraw(&self, attempt: AttemptId);
}

/// A call to the quota counter.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    /// Its number, for [`Exchange::call_ended`].
    pub id: u64,
    /// The count's name.
    pub name: u64,
    /// What to add.
    pub add: f64,
    /// How long a new name lives.
    pub keep: Micros,
}

/// The counter as the core sees it. No call may wait.
pub trait QuotaCounter: Send + Sync {
    /// Makes a call; its end is told with [`Exchange::call_ended`], maybe at once.
    fn call(&self, call: CounterCall);
}

/// The machine's clock in microseconds since 1970, steady after its start. All gatekeepers read about the same, which
/// the names of counts need.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the wall clock once.
    pub fn start() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Self { base, start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }
}

/// Where the front and the destination side meet.
pub struct Exchange<Q, A> {
    clock: Clock,
    core: Mutex<core::Core<Q, A>>,
    destinations: OnceLock<Arc<dyn Destinations<Q>>>,
    counter: OnceLock<Arc<dyn QuotaCounter>>,
    waker: OnceLock<Box<dyn Fn() + Send + Sync>>,
}

impl<Q: Send + Sync + 'static, A: Send + 'static> Exchange<Q, A> {
    /// An exchange that knows no destination yet.
    ///
    /// # Errors
    ///
    /// The settings cannot be used.
    pub fn new(settings: Settings, seed: u64, clock: Clock) -> Result<Arc<Self>, SettingsError> {
        let core = Mutex::new(core::Core::new(settings, seed, clock.now())?);
        let (destinations, counter, waker) = (OnceLock::new(), OnceLock::new(), OnceLock::new());
        Ok(Arc::new(Self { clock, core, destinations, counter, waker }))
    }

    /// Names the two sides that carry out what the module asks for.
    pub fn connect(&self, destinations: Arc<dyn Destinations<Q>>, counter: Option<Arc<dyn QuotaCounter>>) {
        // Connected twice, the first stays.
        let _ = self.destinations.set(destinations);
        if let Some(counter) = counter {
            let _ = self.counter.set(counter);
        }
    }

    /// Names who is to call [`Exchange::run_due`] when a timer is set that is due before the time that it told last.
    pub fn wake_with(&self, waker: Box<dyn Fn() + Send + Sync>) {
        let _ = self.waker.set(waker);
    }

    /// Takes an operation in. `reply` is called once, maybe before this returns, unless the client leaves.
    pub fn submit(&self, operation: Operation<Q>, reply: Reply<A>) -> OperationId {
        let mut id = 0;
        self.drive(|core, now| id = core.submit(now, operation, reply));
        id
    }

    /// The process will end: what is taken from now on has its final answer within this span, however long its client would wait.
    pub fn end_within(&self, span: Duration) {
        self.drive(|core, now| core.end_by(now + span.as_micros() as Micros));
    }

    /// How many answers are being passed on.
    pub fn streaming(&self) -> usize {
        self.lock().streaming()
    }

    /// The client of this operation has gone away: it needs no answer, and its attempts are given up.
    pub fn left(&self, id: OperationId) {
        self.drive(|core, now| core.left(now, id));
    }

    /// An attempt ended. One that was given up, or has ended before, is passed over.
    pub fn attempt_ended(&self, id: AttemptId, end: AttemptEnd<A>) {
        self.drive(|core, now| core.attempt_ended(now, id, end));
    }

    /// An answer that went on has ended: whole, broken off, or `None` where its client left. For the module its attempt has ended
    /// long before.
    pub fn stream_ended(&self, id: AttemptId, whole: Option<bool>) {
        self.lock().stream_ended(id, whole);
    }

    /// A call to the counter ended. One that was given up before is passed over.
    pub fn call_ended(&self, id: u64, outcome: Outcome, total: f64) {
        self.drive(|core, now| core.call_ended(now, id, outcome, total));
    }

    /// News of the destinations.
    pub fn listed(&self, kind: ListKind, entries: Vec<BackendEntry>) {
        self.drive(|core, now| {
            core.note_list(kind, &entries);
            core.feed(now, Event::Backends { kind, entries });
        });
    }

    /// Operators take a destination out, or call it back. When this returns, nothing new is decided for one that is out; the
    /// destination side must have been told before, lest it still carries out what was decided earlier.
    pub fn hold(&self, destination: u32, held: bool) {
        self.drive(|core, now| core.feed(now, Event::Held { backend: destination, held }));
    }

    /// Goes on by other settings, in which classes and plans have the numbers that they had.
    ///
    /// # Errors
    ///
    /// The settings cannot be used; nothing has changed.
    pub fn resettle(&self, settings: Settings) -> Result<(), SettingsError> {
        self.lock().resettle(settings)
    }

    /// Gives what the module knows to the program that takes this one's place. Fronts must let nothing in any more.
    pub fn hand_over(&self) -> Carried {
        self.lock().gateway().hand_over()
    }

    /// Takes the place of the program that gave this away.
    pub fn take_over(&self, carried: Carried) {
        self.lock().gateway().take_over(carried);
    }

    /// Tells each operation that is sent on for the first time, before it is: to a program that would go on should this one
    /// end unheard. `None` ends that.
    pub fn tell_let_in(&self, tell: Option<Box<dyn Fn(LetIn) + Send>>) {
        self.lock().let_in = tell;
    }

    /// The program that has taken this one's place has let this in.
    pub fn mirror(&self, let_in: LetIn) {
        let LetIn { customer, plan, set_size, units } = let_in;
        let now = self.clock.now();
        self.lock().gateway().mirror(now, customer, plan as usize, set_size, units);
    }

    /// Goes on after all: the program that was to take this one's place has ended. Whether all that it let in was told.
    pub fn take_back(&self, whole: bool) {
        self.lock().gateway().take_back(whole);
    }

    /// A front has refused an operation of this class by itself.
    pub fn refused_by_front(&self, class: u16) {
        self.lock().refused(class);
    }

    /// How operations have ended, and what the module thinks of the members.
    pub fn ends(&self) -> (Ends, Members) {
        self.lock().ends()
    }

    /// Runs the timers that are due and tells how long until it is to be called again, if any timer is set. No timer runs
    /// more than a tick of the module late, and many run together.
    pub fn run_due(&self) -> Option<Micros> {
        self.drive(core::Core::run_due);
        let mut core = self.lock();
        let now = self.clock.now();
        core.awake_at = core.timers.next().map(|at| at.max(now + core.tick));
        core.awake_at.map(|at| at - now)
    }

    /// What is in hand, for the console.
    pub fn status(&self) -> Status {
        self.lock().status()
    }

    /// Operations that have no final answer yet.
    pub fn unanswered(&self) -> usize {
        self.lock().unanswered()
    }

    fn lock(&self) -> MutexGuard<'_, core::Core<Q, A>> {
        // A panic of the module leaves the table half-changed. Going on could break a rule in silence.
        self.core.lock().unwrap_or_else(|_| {
            eprintln!("fatal: a panic left the exchange half-changed");
            std::process::abort()
        })
    }

    /// Changes the core under its lock, then carries out what came of it. One caller at a time carries out, in order,
    /// also what others add meanwhile: were two to do so, an attempt could be given up before it was started.
    fn drive(&self, change: impl FnOnce(&mut core::Core<Q, A>, Micros)) {
        let mut core = self.lock();
        change(&mut core, self.clock.now());
        let next = core.timers.next();
        if next.is_some_and(|at| core.awake_at.is_none_or(|awake| at + core.tick < awake)) {
            core.awake_at = next;
            if let Some(waker) = self.waker.get() {
                waker();
            }
        }
        if std::mem::replace(&mut core.performing, true) {
            return;
        }
        let performing = Performing;
        while let Some(effect) = core.effects.pop_front() {
            drop(core);
            self.perform(effect);
            core = self.lock();
        }
        core.performing = false;
        std::mem::forget(performing);
    }

    fn perform(&self, effect: core::Effect<Q, A>) {
        match effect {
            core::Effect::Start(attempt) => match self.destinations.get() {
                Some(side) => side.start(attempt),
                None => self.attempt_ended(attempt.id, AttemptEnd::plain(Outcome::ConnectFailed)),
            },
            core::Effect::GiveUp(attempt) => {
                if let Some(side) = self.destinations.get() {
                    side.give_up(attempt);
                }
            }
            core::Effect::Withdraw(attempt) => {
                if let Some(side) = self.destinations.get() {
                    side.withdraw(attempt);
                }
            }
            core::Effect::Answer(reply, answer) => reply(answer),
            core::Effect::Call(call) => match self.counter.get() {
                Some(counter) => counter.call(call),
                None => self.call_ended(call.id, Outcome::ConnectFailed, 0.0),
            },
            core::Effect::Log(text) => tracing::info!("decisions: {text}"),
        }
    }
}

/// Dropped only by a panic while effects are carried out: nobody would carry out any more.
struct Performing;

impl Drop for Performing {
    fn drop(&mut self) {
        eprintln!("fatal: a panic while the exchange carried out what was decided");
        std::process::abort();
    }
}
