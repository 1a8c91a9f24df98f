//! How an attempt begins, and how it is cancelled.

use crate::checkout::Checkout;
use crate::pooled_connection::{ActiveAttempt, PooledConnection};
use crate::pools::{BackendPools, Carrier};
use crate::protocol::Protocol;
use exchange::{Attempt, AttemptId, Backends};
use invariants::Guard;
use link::{ConnectError, Connection, locked, spawn};
use policy::{Micros, Outcome};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A gatekeeper may be held up for so long between reading its clock and writing.
const HOLD_UP: Micros = 150_000;
/// A change of the list may be so old that an attempt that was chosen before is only now to be written.
const RECENT_CHANGE: Duration = Duration::from_millis(500);
/// Microseconds by which a build with seeded faults passes on a deadline that is too late.
const SEEDED_EXTRA_TIME: Micros = 400_000;
/// Bytes that most requests fit in.
const REQUEST_CAPACITY: usize = 512;

/// What becomes of an attempt whose connection has been established, or not.
enum AfterConnect {
    /// It is written.
    Begin,
    /// It ends like this.
    Fail(Outcome),
    /// Nobody wants it any more.
    Unwanted,
}

impl<P: Protocol> Backends<P::Payload> for BackendPools<P> {
    fn start(&self, attempt: Attempt<P::Payload>) {
        loop {
            match self.check_out(&attempt) {
                Some(Checkout::Idle(connection)) => {
                    if is_late(&attempt, self.elapsed(&attempt)) {
                        if self.remove_carrier(attempt.id) {
                            self.check_in(&connection);
                            self.attempt_failed(attempt.id, Outcome::NotStarted);
                        }
                        return;
                    }
                    if self.write(&connection, &attempt).is_ok() {
                        return;
                    }
                    // It broke before anything was written, so the attempt never ran and another may carry it.
                    connection.socket.close();
                    if !self.remove_carrier(attempt.id) {
                        return;
                    }
                }
                Some(Checkout::New(address)) => {
                    if let Some(pools) = self.weak_self.upgrade() {
                        spawn(move || pools.run_new_connection(attempt, address));
                    }
                    return;
                }
                None => return self.attempt_failed(attempt.id, Outcome::NotStarted),
            }
        }
    }

    fn withdraw(&self, attempt: AttemptId) {
        if self.remove_unwritten(attempt) {
            self.attempt_failed(attempt, Outcome::Cancelled);
        }
    }

    fn end_unwritten(&self, attempt: AttemptId) {
        if self.remove_unwritten(attempt) {
            self.attempt_failed(attempt, Outcome::NotStarted);
        }
    }

    fn cancel(&self, attempt: AttemptId) {
        let carrier = locked(&self.state).carriers.remove(&attempt);
        if let Some(Carrier::On(connection)) = carrier {
            *locked(&connection.attempt) = None;
            connection.socket.close();
        }
    }
}

impl<P: Protocol> BackendPools<P> {
    /// Forgets what carries an attempt that is not written completely, and ends its connection if it has one: what is not complete
    /// never runs. Returns whether there was such an attempt.
    fn remove_unwritten(&self, attempt: AttemptId) -> bool {
        let carrier = {
            let mut state = locked(&self.state);
            let is_unwritten = match state.carriers.get(&attempt) {
                Some(Carrier::Connecting) => true,
                Some(Carrier::On(connection)) => {
                    let has_begun = locked(&connection.attempt).is_some();
                    !has_begun || connection.socket.unsent() > 0
                }
                None => false,
            };
            if is_unwritten { state.carriers.remove(&attempt) } else { None }
        };
        if let Some(Carrier::On(connection)) = &carrier {
            *locked(&connection.attempt) = None;
            connection.socket.close();
        }
        carrier.is_some()
    }

    /// The guard on sending, right before the write: whether the attempt is wanted, in time, and at a backend that takes work at this
    /// address. What has changed since the connection was chosen is refused here; a violation is reported where that was long ago.
    fn may_send(&self, attempt: &Attempt<P::Payload>, address: SocketAddr, elapsed: Micros) -> bool {
        let (is_wanted, takes_work, is_recent) = {
            let state = locked(&self.state);
            let pool = state.pools.get(&attempt.backend);
            let is_recent = pool.is_some_and(|pool| pool.changed.elapsed() < RECENT_CHANGE);
            let is_ejected = state.operator_ejections.contains(&attempt.backend);
            let takes_work = state.takes_work(attempt.backend, address);
            (state.carriers.contains_key(&attempt.id), takes_work, is_recent || is_ejected)
        };
        let AttemptId { request, attempt: number } = attempt.id;
        invariants::check(
            Guard::Sending,
            (takes_work || is_recent) && elapsed < attempt.time_left + HOLD_UP,
            format_args!(
                "request {request}, attempt {number} at backend {}: takes work {takes_work}, {elapsed} of {} us",
                attempt.backend, attempt.time_left
            ),
        );
        is_wanted && takes_work
    }

    /// Microseconds since an attempt was decided. Read anew before anything is written: the process may have been held up.
    fn elapsed(&self, attempt: &Attempt<P::Payload>) -> Micros {
        self.exchange().now().saturating_since(attempt.decided_at)
    }

    /// Establishes a connection, makes the attempt on it if it is still wanted, and serves the connection.
    fn run_new_connection(&self, attempt: Attempt<P::Payload>, address: SocketAddr) {
        let (begun, timeout) = (Instant::now(), self.timeouts().connect);
        let socket = Connection::connect(address, timeout);
        let connection =
            socket.map(|socket| Arc::new(PooledConnection::new(socket, attempt.backend, address)));
        let is_slow = begun.elapsed() > timeout;
        let elapsed = self.elapsed(&attempt);
        let next = self.after_connect(&attempt, connection.as_ref(), elapsed, is_slow);
        let Ok(connection) = connection else {
            locked(&self.state).open_connections -= 1;
            if let AfterConnect::Fail(outcome) = next {
                self.attempt_failed(attempt.id, outcome);
            }
            return;
        };
        match next {
            AfterConnect::Begin => {
                if self.write(&connection, &attempt).is_err() {
                    connection.socket.close();
                    if self.remove_carrier(attempt.id) {
                        self.attempt_failed(attempt.id, Outcome::ConnectFailed);
                    }
                }
            }
            AfterConnect::Fail(outcome) => {
                self.attempt_failed(attempt.id, outcome);
                connection.socket.close();
            }
            AfterConnect::Unwanted => self.check_in(&connection),
        }
        self.serve(&connection);
    }

    fn after_connect(
        &self,
        attempt: &Attempt<P::Payload>,
        connection: Result<&Arc<PooledConnection<P::Payload>>, &ConnectError>,
        elapsed: Micros,
        is_slow: bool,
    ) -> AfterConnect {
        let mut state = locked(&self.state);
        if state.carriers.remove(&attempt.id).is_none() {
            return AfterConnect::Unwanted;
        }
        let connection = match connection {
            Ok(connection) => connection,
            Err(error) if error.is_local() => return AfterConnect::Fail(Outcome::NotStarted),
            Err(_) => return AfterConnect::Fail(Outcome::ConnectFailed),
        };
        // A backend that drains, went or moved while the connection was established gets nothing new.
        if !state.takes_work(attempt.backend, connection.address) || is_late(attempt, elapsed) {
            return AfterConnect::Fail(Outcome::NotStarted);
        }
        // The policy relies on it that what has not begun by then never will.
        if is_slow {
            return AfterConnect::Fail(Outcome::ConnectFailed);
        }
        state.carriers.insert(attempt.id, Carrier::On(connection.clone()));
        AfterConnect::Begin
    }

    /// Writes the request of an attempt. Where nothing could be written, the connection carries nothing.
    fn write(
        &self,
        connection: &PooledConnection<P::Payload>,
        attempt: &Attempt<P::Payload>,
    ) -> io::Result<()> {
        let elapsed = self.elapsed(attempt);
        if !self.may_send(attempt, connection.address, elapsed) {
            return Err(io::ErrorKind::NotConnected.into());
        }
        let mut time_left = attempt.time_left.saturating_sub(elapsed);
        if seeded_faults::is_active("deadlines") {
            time_left += SEEDED_EXTRA_TIME;
        }
        let mut bytes = Vec::with_capacity(REQUEST_CAPACITY);
        self.protocol.encode(&attempt.payload, connection.address, time_left, &mut bytes);
        // Held while the bytes go out, so that the reader finds either no attempt or one that was begun.
        let mut active = locked(&connection.attempt);
        let is_written = connection.socket.send(&bytes)?;
        self.attempts_written.fetch_add(u64::from(is_written), Ordering::Relaxed);
        *active = Some(ActiveAttempt { id: attempt.id, payload: attempt.payload.clone(), is_written });
        Ok(())
    }
}

/// Whether an attempt must not begin any more: it would be too late for its class, or for its client.
fn is_late<Q>(attempt: &Attempt<Q>, elapsed: Micros) -> bool {
    elapsed >= attempt.max_start_delay || elapsed >= attempt.time_left
}
