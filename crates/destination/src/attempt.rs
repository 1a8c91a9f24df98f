//! Starts and cancels attempts on the connections of the pools.

use crate::pooled_connection::PooledConnection;
use crate::pools::BackendPools;
use crate::pools_state::{Assignment, Checkout, WritePermission};
use crate::protocol::Protocol;
use exchange::{Attempt, AttemptId, Backends, MAX_SCHEDULING_DELAY};
use invariants::Guard;
use link::{ConnectError, Connection, spawn};
use policy::{Micros, Outcome};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Instant;

/// Microseconds that the seeded fault `deadlines` adds to the remaining time that the request states to the backend.
const SEEDED_DEADLINE_EXTENSION: Micros = 400_000;
/// Initial capacity in bytes of the buffer for an encoded request. Most requests fit in it.
const REQUEST_CAPACITY: usize = 512;

/// The error of a write: nothing of the request was written, and the connection carries no attempt.
struct NothingWritten;

/// How an attempt continues once its new connection is established.
enum AfterConnect {
    /// The attempt is still wanted and in time, so its request is written.
    Write,
    /// The attempt ends with this outcome.
    Fail(Outcome),
    /// The attempt was cancelled.
    Cancelled,
}

impl<P: Protocol> Backends<P::Payload> for BackendPools<P> {
    fn start(&self, attempt: Attempt<P::Payload>) {
        loop {
            let checkout = self.state().check_out(attempt.id, attempt.backend);
            match checkout {
                Some(Checkout::Idle(connection)) => {
                    if self.start_on_idle(&connection, &attempt).is_break() {
                        return;
                    }
                }
                Some(Checkout::New(address)) => {
                    if let Some(pools) = self.weak_self.upgrade() {
                        spawn(move || pools.run_new_connection(&attempt, address));
                    }
                    return;
                }
                None => return self.attempt_failed(attempt.id, Outcome::NotStarted),
            }
        }
    }

    fn cancel_unwritten(&self, attempt: AttemptId) {
        self.end_unwritten_with(attempt, Outcome::Cancelled);
    }

    fn expire_unwritten(&self, attempt: AttemptId) {
        self.end_unwritten_with(attempt, Outcome::NotStarted);
    }

    fn cancel(&self, attempt: AttemptId) {
        let assignment = self.state().unassign(attempt);
        if let Some(Assignment::Connected(connection)) = assignment {
            connection.abort();
        }
    }
}

impl<P: Protocol> BackendPools<P> {
    /// Ends an attempt whose request is not written completely, and closes its connection if it has one. A backend never runs an
    /// incomplete request.
    fn end_unwritten_with(&self, attempt: AttemptId, outcome: Outcome) {
        let assignment = self.state().unassign_unwritten(attempt);
        let Some(assignment) = assignment else { return };
        if let Assignment::Connected(connection) = assignment {
            connection.abort();
        }
        self.attempt_failed(attempt, outcome);
    }

    /// Starts an attempt on an idle connection. Returns [`ControlFlow::Continue`] if nothing was written and the attempt is still
    /// wanted, so that the caller tries another connection.
    fn start_on_idle(
        &self,
        connection: &Arc<PooledConnection<P::Payload>>,
        attempt: &Attempt<P::Payload>,
    ) -> ControlFlow<()> {
        if is_late(attempt, self.elapsed(attempt)) {
            if self.unassign(attempt.id) {
                self.state().check_in(connection);
                self.attempt_failed(attempt.id, Outcome::NotStarted);
            }
            return ControlFlow::Break(());
        }
        if self.write(connection, attempt).is_ok() {
            return ControlFlow::Break(());
        }
        connection.socket.close();
        let is_wanted = self.unassign(attempt.id);
        if is_wanted { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
    }

    /// Establishes a connection, starts the attempt on it if it is still wanted, and serves the connection until it ends.
    fn run_new_connection(&self, attempt: &Attempt<P::Payload>, address: SocketAddr) {
        let (started_at, timeout) = (Instant::now(), self.timeouts().connect);
        match Connection::connect(address, timeout) {
            Ok(socket) => {
                let is_slow = started_at.elapsed() > timeout;
                let connection = Arc::new(PooledConnection::new(socket, attempt.backend, address));
                self.start_on_new(&connection, attempt, is_slow);
                self.serve(&connection);
            }
            Err(error) => self.connect_failed(attempt.id, &error),
        }
    }

    fn connect_failed(&self, attempt: AttemptId, error: &ConnectError) {
        let is_wanted = {
            let mut state = self.state();
            state.connect_failed();
            state.unassign(attempt).is_some()
        };
        if is_wanted {
            let outcome = if error.is_local() { Outcome::NotStarted } else { Outcome::ConnectFailed };
            self.attempt_failed(attempt, outcome);
        }
    }

    fn start_on_new(
        &self,
        connection: &Arc<PooledConnection<P::Payload>>,
        attempt: &Attempt<P::Payload>,
        is_slow: bool,
    ) {
        match self.after_connect(connection, attempt, is_slow) {
            AfterConnect::Write => {
                if self.write(connection, attempt).is_err() {
                    connection.socket.close();
                    if self.unassign(attempt.id) {
                        self.attempt_failed(attempt.id, Outcome::ConnectFailed);
                    }
                }
            }
            AfterConnect::Fail(outcome) => {
                self.attempt_failed(attempt.id, outcome);
                connection.socket.close();
            }
            AfterConnect::Cancelled => self.state().check_in(connection),
        }
    }

    /// Decides how an attempt continues after its connection was established. Assigns the connection if the attempt is to be
    /// written.
    fn after_connect(
        &self,
        connection: &Arc<PooledConnection<P::Payload>>,
        attempt: &Attempt<P::Payload>,
        is_slow: bool,
    ) -> AfterConnect {
        let elapsed = self.elapsed(attempt);
        let mut state = self.state();
        if state.unassign(attempt.id).is_none() {
            return AfterConnect::Cancelled;
        }
        // While the connection was established, the backend may have started to drain, left the list or changed its address.
        if !state.is_eligible(attempt.backend, connection.address) || is_late(attempt, elapsed) {
            return AfterConnect::Fail(Outcome::NotStarted);
        }
        // The policy assumes that an attempt without a connection at the end of the connect timeout never starts.
        if is_slow {
            return AfterConnect::Fail(Outcome::ConnectFailed);
        }
        state.assign(attempt.id, connection);
        AfterConnect::Write
    }

    /// Writes the request of an attempt to an established connection.
    fn write(
        &self,
        connection: &PooledConnection<P::Payload>,
        attempt: &Attempt<P::Payload>,
    ) -> Result<(), NothingWritten> {
        let elapsed = self.elapsed(attempt);
        if !self.may_write(attempt, connection.address, elapsed) {
            return Err(NothingWritten);
        }
        let mut time_left = attempt.time_left.saturating_sub(elapsed);
        if seeded_faults::is_active("deadlines") {
            time_left += SEEDED_DEADLINE_EXTENSION;
        }
        let mut request = Vec::with_capacity(REQUEST_CAPACITY);
        self.protocol.encode(&attempt.payload, connection.address, time_left, &mut request);
        let on_written = || self.count_attempt_written();
        connection
            .write_attempt(attempt.id, &attempt.payload, &request, on_written)
            .map_err(|_| NothingWritten)
    }

    /// Whether an attempt may be written: it is still wanted, and its backend is eligible. Called right before the write.
    ///
    /// Also checks the invariant of sending. A violation is one of two cases: the attempt's deadline has passed by
    /// [`MAX_SCHEDULING_DELAY`] or more, or the backend is not eligible although its endpoint has not changed recently and
    /// operators have not ejected the backend.
    fn may_write(&self, attempt: &Attempt<P::Payload>, address: SocketAddr, elapsed: Micros) -> bool {
        let WritePermission { is_wanted, is_eligible, is_recently_changed } =
            self.state().write_permission(attempt.id, attempt.backend, address);
        let AttemptId { request, attempt: number } = attempt.id;
        let is_in_time = elapsed < attempt.time_left + MAX_SCHEDULING_DELAY;
        invariants::check(
            Guard::Sending,
            (is_eligible || is_recently_changed) && is_in_time,
            format_args!(
                "request {request}, attempt {number} at backend {}: eligible {is_eligible}, {elapsed} of {} us",
                attempt.backend, attempt.time_left
            ),
        );
        is_wanted && is_eligible
    }

    /// Microseconds since the decision to make an attempt. Each write determines this time anew, because the process may
    /// have been descheduled.
    fn elapsed(&self, attempt: &Attempt<P::Payload>) -> Micros {
        self.exchange().now().saturating_since(attempt.decided_at)
    }
}

/// Whether `elapsed` since the decision exceeds the maximum start delay of the attempt's class or the time until the client's
/// deadline, so that the request must not be written any more.
fn is_late<Q>(attempt: &Attempt<Q>, elapsed: Micros) -> bool {
    elapsed >= attempt.max_start_delay || elapsed >= attempt.time_left
}
