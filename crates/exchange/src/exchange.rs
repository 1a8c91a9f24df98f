//! The exchange: the calls for fronts and for the backend side, and the order in which side effects are performed.

use crate::clock::Clock;
use crate::counts::{OutcomeCounts, Status};
use crate::ports::{Backends, QuotaCounter};
use crate::request::{Admission, AttemptEnd, AttemptId, Reply, Request, StreamEnd};
use crate::request_table::{AdmissionListener, RequestTable};
use crate::shutdown::ShutdownBounds;
use crate::side_effect::SideEffect;
use policy::{
    BackendEntry, BackendId, Event, FleetSummary, ListKind, Micros, Outcome, PolicySnapshot, RequestId,
    Settings, SettingsError, Timestamp,
};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

/// Connects the client side with the backend side: accepts requests from fronts, and has attempts sent to backends as the policy
/// decides.
pub struct Exchange<Q, A> {
    clock: Clock,
    table: Mutex<RequestTable<Q, A>>,
    backends: OnceLock<Arc<dyn Backends<Q>>>,
    counter: OnceLock<Arc<dyn QuotaCounter>>,
    timer_waker: OnceLock<Box<dyn Fn() + Send + Sync>>,
}

impl<Q: Send + Sync + 'static, A: Send + 'static> Exchange<Q, A> {
    /// Creates an exchange without backends. `seed` seeds the random choices of the policy and the fleet clock.
    ///
    /// # Errors
    ///
    /// Returns the error of the first setting that is out of its range.
    pub fn new(settings: Settings, seed: u64, clock: Clock) -> Result<Arc<Self>, SettingsError> {
        let table = Mutex::new(RequestTable::new(settings, seed, clock.now())?);
        let (backends, counter, timer_waker) = (OnceLock::new(), OnceLock::new(), OnceLock::new());
        Ok(Arc::new(Self { clock, table, backends, counter, timer_waker }))
    }

    /// Sets the backend side, and the client of the quota counter if the gatekeeper uses one. A value that is already set stays.
    pub fn connect(&self, backends: Arc<dyn Backends<Q>>, counter: Option<Arc<dyn QuotaCounter>>) {
        // `set` fails if a value is already set. The first value stays.
        let _ = self.backends.set(backends);
        if let Some(counter) = counter {
            let _ = self.counter.set(counter);
        }
    }

    /// The current time, on the clock of [`Attempt::decided_at`](crate::Attempt::decided_at).
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Starts to estimate the offset of this process's clock from the fleet's clock, a time that gatekeepers share through the
    /// quota counter. From then on, the names of shared counts are derived from the fleet's time. Must be called after
    /// [`Exchange::connect`]. Has no effect unless, by the settings, several gatekeepers share a counter.
    pub fn start_fleet_clock(&self) {
        self.change_table(RequestTable::start_fleet_clock);
    }

    /// Whether the first read of the fleet's clock has succeeded or failed, or is not needed.
    pub fn has_read_fleet_clock(&self) -> bool {
        self.lock().has_read_fleet_clock()
    }

    /// Sets the callback that wakes the timer thread when a timer expires before the time that [`Exchange::run_due_timers`]
    /// returned. A second call has no effect.
    pub fn set_timer_waker(&self, waker: Box<dyn Fn() + Send + Sync>) {
        // `set` fails if a value is already set. The first value stays.
        let _ = self.timer_waker.set(waker);
    }

    /// Submits a request. `reply` is called once with the final answer, possibly before this returns, unless the client
    /// disconnects.
    pub fn submit(&self, request: Request<Q>, reply: Reply<A>) -> RequestId {
        let mut id = RequestId(0);
        self.change_table(|table, now| id = table.submit(now, request, reply));
        id
    }

    /// Starts a graceful shutdown: these bounds apply to the requests that are submitted from now on.
    pub fn start_shutdown(&self, bounds: ShutdownBounds) {
        self.change_table(|table, now| table.start_shutdown(now, bounds));
    }

    /// The number of streamed answers that have begun and not ended.
    pub fn open_streams(&self) -> usize {
        self.lock().open_streams()
    }

    /// The number of requests that failed because their answer would have been streamed too late in a shutdown.
    pub fn refused_streams(&self) -> usize {
        self.lock().refused_streams()
    }

    /// Reports that the client of a request has disconnected. The request needs no answer, and its attempts are cancelled.
    pub fn client_gone(&self, id: RequestId) {
        if seeded_faults::is_active("gone") {
            return;
        }
        self.change_table(|table, now| table.client_gone(now, id));
    }

    /// Reports the end of an attempt. The end of an attempt that was cancelled or has already ended is ignored.
    pub fn attempt_ended(&self, id: AttemptId, end: AttemptEnd<A>) {
        self.change_table(|table, now| table.attempt_ended(now, id, end));
    }

    /// Reports the end of a streamed answer. For the policy, the attempt ended when the answer began.
    pub fn stream_ended(&self, id: AttemptId, end: StreamEnd) {
        self.lock().stream_ended(id, end);
    }

    /// Reports the end of a counter call. The end of a call that has timed out is ignored. `total` is the sum of the count after
    /// the call, valid only with [`Outcome::Ok`].
    pub fn counter_call_ended(&self, id: u64, outcome: Outcome, total: f64) {
        self.change_table(|table, now| table.counter_call_ended(now, id, outcome, total));
    }

    /// Passes an update of the endpoint list to the policy. `kind` tells whether `entries` is the whole list or only changes.
    pub fn update_endpoints(&self, kind: ListKind, entries: Vec<BackendEntry>) {
        self.change_table(|table, now| table.update_endpoints(now, kind, entries));
    }

    /// Sets or clears the operators' ejection of a backend. Once this returns, the policy no longer selects an ejected backend.
    /// The backend side must be notified before this call, so that it refuses attempts that were decided earlier.
    pub fn set_operator_ejection(&self, backend: BackendId, ejected: bool) {
        self.change_table(|table, now| table.feed(now, Event::OperatorEjection { backend, ejected }));
    }

    /// Replaces the settings. Classes and plans must have the same numbers in the new settings.
    ///
    /// # Errors
    ///
    /// Returns the error of the first setting that is out of its range. The previous settings then stay in effect.
    pub fn update_settings(&self, settings: Settings) -> Result<(), SettingsError> {
        self.lock().update_settings(settings)
    }

    /// Returns the policy's state, for the process that succeeds this one in a hot restart. Fronts must have stopped submitting
    /// requests.
    pub fn hand_over(&self) -> PolicySnapshot {
        self.lock().policy().hand_over()
    }

    /// Applies the policy state of the process that preceded this one in a hot restart.
    pub fn take_over(&self, snapshot: PolicySnapshot) {
        let now = self.clock.now();
        self.lock().policy().take_over(now, snapshot);
    }

    /// Sets the listener that is called before each request is forwarded for the first time, or removes it (`None`). With the
    /// reported admissions, the predecessor of this process can resume if this process dies during a hot restart.
    pub fn set_admission_listener(&self, listener: Option<AdmissionListener>) {
        self.lock().set_admission_listener(listener);
    }

    /// Charges the tenant's quota in this process for a request that the successor of this process has admitted.
    pub fn mirror_admission(&self, admission: Admission) {
        let Admission { tenant, plan, tenant_gatekeepers, units } = admission;
        let now = self.clock.now();
        self.lock().policy().mirror_admission(now, tenant, plan as usize, tenant_gatekeepers, units);
    }

    /// Prepares the policy for serving again after the successor of this process has ended. `knows_all_admissions` tells whether
    /// all its admissions were passed to [`Exchange::mirror_admission`]; if not, all token buckets start empty.
    pub fn resume(&self, knows_all_admissions: bool) {
        self.lock().policy().resume(knows_all_admissions);
    }

    /// Counts a request of this class that a front rejected without submitting it.
    pub fn count_rejection(&self, class: u16) {
        self.lock().count_rejection(class);
    }

    /// The outcomes of requests, and a summary of the backends' state, for metrics.
    pub fn outcome_counts(&self) -> (OutcomeCounts, FleetSummary) {
        self.lock().outcome_counts()
    }

    /// Runs the expired timers. Returns the time after which to call this again, or `None` if no timer is set. Timers that expire
    /// within one tick (a setting of the policy) run together, so a timer runs up to one tick late.
    pub fn run_due_timers(&self) -> Option<Micros> {
        self.change_table(RequestTable::run_due_timers);
        let mut table = self.lock();
        table.timers.schedule_wake_up(self.clock.now())
    }

    /// Counts since the start of the process and the present load, for the operators' console.
    pub fn status(&self) -> Status {
        self.lock().status()
    }

    fn lock(&self) -> MutexGuard<'_, RequestTable<Q, A>> {
        // The lock is poisoned: a panic left the table half-changed. Continuing could violate an invariant unnoticed.
        self.table.lock().unwrap_or_else(|_| {
            eprintln!("fatal: a panic left the request table half-changed");
            std::process::abort()
        })
    }

    /// Changes the table under its lock, then performs the queued side effects without the lock. Only one caller at a time
    /// performs side effects, in order, including those that other callers queue meanwhile: if two callers did, an attempt could
    /// be cancelled before it starts.
    fn change_table(&self, change: impl FnOnce(&mut RequestTable<Q, A>, Timestamp)) {
        let mut table = self.lock();
        change(&mut table, self.clock.now());
        self.wake_timers(&mut table);
        if !table.side_effects.start_draining() {
            return;
        }
        let guard = AbortOnPanic;
        while let Some(side_effect) = table.side_effects.next() {
            drop(table);
            self.perform(side_effect);
            table = self.lock();
        }
        std::mem::forget(guard);
    }

    /// Wakes the timer thread if a timer expires before its scheduled wake-up.
    fn wake_timers(&self, table: &mut RequestTable<Q, A>) {
        if table.timers.take_early_wake_up()
            && let Some(wake) = self.timer_waker.get()
        {
            wake();
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
                    backends.cancel_unwritten(attempt);
                }
            }
            SideEffect::EndUnwritten(attempt) => {
                if let Some(backends) = self.backends.get() {
                    backends.expire_unwritten(attempt);
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
                    offset_ms = offset.as_micros() / 1_000,
                    "clock offset found, shared counts use the fleet's clock"
                );
            }
        }
    }
}

/// Guard that aborts the process if performing a side effect panics, and is forgotten when the queue has been drained. After a
/// panic the queue would stay marked as being drained, so that no caller would perform any further side effect.
struct AbortOnPanic;

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        eprintln!("fatal: a panic while side effects of the request table were carried out");
        std::process::abort();
    }
}
