//! The exchange: entry points of both sides, and the order in which side effects are carried out.

use crate::clock::Clock;
use crate::counts::{OutcomeCounts, Status};
use crate::ports::{Backends, QuotaCounter};
use crate::request::{Admission, AttemptEnd, AttemptId, Reply, Request, StreamEnd};
use crate::request_table::{AdmissionListener, RequestTable};
use crate::side_effect::SideEffect;
use policy::{
    BackendEntry, BackendId, Event, FleetSummary, ListKind, Micros, Outcome, PolicySnapshot, RequestId,
    Settings, SettingsError,
};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

/// Where the client side and the backend side meet.
pub struct Exchange<Q, A> {
    clock: Clock,
    table: Mutex<RequestTable<Q, A>>,
    backends: OnceLock<Arc<dyn Backends<Q>>>,
    counter: OnceLock<Arc<dyn QuotaCounter>>,
    timer_waker: OnceLock<Box<dyn Fn() + Send + Sync>>,
}

impl<Q: Send + Sync + 'static, A: Send + 'static> Exchange<Q, A> {
    /// An exchange without any backend yet.
    ///
    /// # Errors
    ///
    /// The settings cannot be used.
    pub fn new(settings: Settings, seed: u64, clock: Clock) -> Result<Arc<Self>, SettingsError> {
        let table = Mutex::new(RequestTable::new(settings, seed, clock.now())?);
        let (backends, counter, timer_waker) = (OnceLock::new(), OnceLock::new(), OnceLock::new());
        Ok(Arc::new(Self { clock, table, backends, counter, timer_waker }))
    }

    /// Sets the backend side and the counter client. A second call has no effect.
    pub fn connect(&self, backends: Arc<dyn Backends<Q>>, counter: Option<Arc<dyn QuotaCounter>>) {
        // Already set: the first stays.
        let _ = self.backends.set(backends);
        if let Some(counter) = counter {
            let _ = self.counter.set(counter);
        }
    }

    /// The time, as the times of attempts are given.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Asks the counter for the fleet's time, and goes by that where this process's clock is off. To be called once the counter
    /// client is set; without one there is nothing to ask.
    pub fn start_fleet_clock(&self) {
        self.drive(RequestTable::start_fleet_clock);
    }

    /// Whether the counter has been asked for the fleet's time and has replied, or has failed to.
    pub fn has_read_fleet_clock(&self) -> bool {
        self.lock().has_read_fleet_clock()
    }

    /// Sets what wakes the caller of [`Exchange::run_due_timers`] when a timer expires before the time that this returned last.
    pub fn set_timer_waker(&self, waker: Box<dyn Fn() + Send + Sync>) {
        // Already set: the first stays.
        let _ = self.timer_waker.set(waker);
    }

    /// Submits a request. `reply` is called once, possibly before this returns, unless the client disconnects.
    pub fn submit(&self, request: Request<Q>, reply: Reply<A>) -> RequestId {
        let mut id = RequestId(0);
        self.drive(|table, now| id = table.submit(now, request, reply));
        id
    }

    /// The process will shut down: what is submitted from now on has its final answer within this time, however long its client
    /// would wait.
    pub fn answer_all_within(&self, time: Duration) {
        self.drive(|table, now| table.set_latest_deadline(now + time.as_micros() as Micros));
    }

    /// How many answers are streaming.
    pub fn open_streams(&self) -> usize {
        self.lock().open_streams()
    }

    /// The client of this request disconnected: it needs no answer, and its attempts are cancelled.
    pub fn client_gone(&self, id: RequestId) {
        if seeded_faults::is_active("gone") {
            return;
        }
        self.drive(|table, now| table.client_gone(now, id));
    }

    /// An attempt ended. One that was cancelled, or has ended before, is ignored.
    pub fn attempt_ended(&self, id: AttemptId, end: AttemptEnd<A>) {
        self.drive(|table, now| table.attempt_ended(now, id, end));
    }

    /// A streaming answer ended. For the policy its attempt has ended long before.
    pub fn stream_ended(&self, id: AttemptId, end: StreamEnd) {
        self.lock().stream_ended(id, end);
    }

    /// A counter call ended. One that has timed out before is ignored.
    pub fn counter_call_ended(&self, id: u64, outcome: Outcome, total: f64) {
        self.drive(|table, now| table.counter_call_ended(now, id, outcome, total));
    }

    /// Applies an update of the endpoint list.
    pub fn update_endpoints(&self, kind: ListKind, entries: Vec<BackendEntry>) {
        self.drive(|table, now| {
            table.note_endpoints(kind, &entries);
            table.feed(now, Event::Endpoints { kind, entries });
        });
    }

    /// Operators eject a backend, or admit it again. When this returns, nothing new is decided for an ejected one; the backend side
    /// must have been told before, lest it still carries out what was decided earlier.
    pub fn set_operator_ejection(&self, backend: BackendId, ejected: bool) {
        self.drive(|table, now| table.feed(now, Event::OperatorEjection { backend, ejected }));
    }

    /// Continues with other settings, in which classes and plans have the numbers that they had.
    ///
    /// # Errors
    ///
    /// The settings cannot be used; nothing has changed.
    pub fn update_settings(&self, settings: Settings) -> Result<(), SettingsError> {
        self.lock().update_settings(settings)
    }

    /// Hands what the policy knows to the successor of this process. Fronts must admit nothing any more.
    pub fn hand_over(&self) -> PolicySnapshot {
        self.lock().policy().hand_over()
    }

    /// Continues where the predecessor of this process stopped.
    pub fn take_over(&self, snapshot: PolicySnapshot) {
        let now = self.clock.now();
        self.lock().policy().take_over(now, snapshot);
    }

    /// Sets who is told of each request that is forwarded for the first time, before it is: a process that would go on should
    /// this one die. `None` ends that.
    pub fn set_admission_listener(&self, listener: Option<AdmissionListener>) {
        self.lock().admission_listener = listener;
    }

    /// The successor of this process has admitted this.
    pub fn mirror_admission(&self, admission: Admission) {
        let Admission { tenant, plan, tenant_gatekeepers, units } = admission;
        let now = self.clock.now();
        self.lock().policy().mirror_admission(now, tenant, plan as usize, tenant_gatekeepers, units);
    }

    /// Goes on after the successor of this process ended. `knows_all_admissions`: all that it admitted was mirrored.
    pub fn resume(&self, knows_all_admissions: bool) {
        self.lock().policy().resume(knows_all_admissions);
    }

    /// A front rejected a request of this class by itself.
    pub fn count_rejection(&self, class: u16) {
        self.lock().count_rejection(class);
    }

    /// How requests ended, and a summary of the backends.
    pub fn outcome_counts(&self) -> (OutcomeCounts, FleetSummary) {
        self.lock().outcome_counts()
    }

    /// Runs the timers that have expired and returns how long until it is to be called again, if any timer is set. No timer runs
    /// more than a tick of the policy late, and many run together.
    pub fn run_due_timers(&self) -> Option<Micros> {
        self.drive(RequestTable::run_due_timers);
        let mut table = self.lock();
        let now = self.clock.now();
        table.wakes_at = table.timers.next().map(|expires_at| expires_at.max(now + table.tick));
        table.wakes_at.map(|wakes_at| wakes_at - now)
    }

    /// Figures for the console.
    pub fn status(&self) -> Status {
        self.lock().status()
    }

    /// Requests without a final answer.
    pub fn unanswered(&self) -> usize {
        self.lock().unanswered()
    }

    fn lock(&self) -> MutexGuard<'_, RequestTable<Q, A>> {
        // A panic of the policy leaves the table half-changed. Going on could break a rule in silence.
        self.table.lock().unwrap_or_else(|_| {
            eprintln!("fatal: a panic left the request table half-changed");
            std::process::abort()
        })
    }

    /// Changes the table under its lock, then carries out the side effects. One caller at a time carries them out, in order, also
    /// those that others add meanwhile: were two to do so, an attempt could be cancelled before it was started.
    fn drive(&self, change: impl FnOnce(&mut RequestTable<Q, A>, Micros)) {
        let mut table = self.lock();
        change(&mut table, self.clock.now());
        self.wake_timers(&mut table);
        if std::mem::replace(&mut table.is_performing, true) {
            return;
        }
        let guard = AbortOnPanic;
        while let Some(side_effect) = table.side_effects.pop_front() {
            drop(table);
            self.perform(side_effect);
            table = self.lock();
        }
        table.is_performing = false;
        std::mem::forget(guard);
    }

    /// Wakes the timer thread if a timer expires before it wakes by itself.
    fn wake_timers(&self, table: &mut RequestTable<Q, A>) {
        let Some(next) = table.timers.next() else { return };
        if table.wakes_at.is_none_or(|wakes_at| next + table.tick < wakes_at) {
            table.wakes_at = Some(next);
            if let Some(wake) = self.timer_waker.get() {
                wake();
            }
        }
    }

    fn perform(&self, side_effect: SideEffect<Q, A>) {
        match side_effect {
            SideEffect::Start(attempt) => match self.backends.get() {
                Some(backends) => backends.start(attempt),
                None => self.attempt_ended(attempt.id, AttemptEnd::without_answer(Outcome::ConnectFailed)),
            },
            SideEffect::Cancel(attempt) => {
                if let Some(backends) = self.backends.get() {
                    backends.cancel(attempt);
                }
            }
            SideEffect::Withdraw(attempt) => {
                if let Some(backends) = self.backends.get() {
                    backends.withdraw(attempt);
                }
            }
            SideEffect::EndUnwritten(attempt) => {
                if let Some(backends) = self.backends.get() {
                    backends.end_unwritten(attempt);
                }
            }
            SideEffect::Answer(reply, answer) => reply(answer),
            SideEffect::CallCounter(call) => match self.counter.get() {
                Some(counter) => counter.call(call),
                None => self.counter_call_ended(call.id, Outcome::ConnectFailed, 0.0),
            },
            SideEffect::Log(notice) => tracing::info!("{notice}"),
            SideEffect::LogClockOffset(offset) => {
                tracing::warn!(
                    offset_ms = offset / 1_000,
                    "clock offset found, shared counts use the fleet's clock"
                );
            }
        }
    }
}

/// Dropped only by a panic while side effects are carried out: nobody would carry out any more.
struct AbortOnPanic;

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        eprintln!("fatal: a panic while side effects of the request table were carried out");
        std::process::abort();
    }
}
