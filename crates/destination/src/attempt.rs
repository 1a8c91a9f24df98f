//! How an attempt begins, and how it is cancelled.

use crate::checkout::Checkout;
use crate::pooled_connection::{ActiveAttempt, PooledConnection};
use crate::pools::{BackendPools, Carrier};
use crate::protocol::Protocol;
use exchange::{Attempt, AttemptId, Backends};
use link::{Connection, locked, spawn};
use policy::{BackendState, Micros, Outcome};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Bytes that most requests fit in.
const REQUEST_CAPACITY: usize = 512;

/// What becomes of an attempt whose connection has been established, or not.
enum AfterConnect {
    /// It is written.
    Begin,
    /// It fails: its backend takes nothing new any more, or it would begin too late.
    Fail,
    /// Nobody wants it any more.
    Unwanted,
}

impl<P: Protocol> Backends<P::Payload> for BackendPools<P> {
    fn start(&self, attempt: Attempt<P::Payload>) {
        loop {
            match self.check_out(&attempt) {
                Some(Checkout::Idle(connection)) => {
                    if self.write(&connection, &attempt, attempt.time_left).is_ok() {
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
                None => return self.attempt_failed(attempt.id, Outcome::ConnectFailed),
            }
        }
    }

    fn withdraw(&self, attempt: AttemptId) {
        let was_connecting = {
            let mut state = locked(&self.state);
            let is_connecting = matches!(state.carriers.get(&attempt), Some(Carrier::Connecting));
            is_connecting && state.carriers.remove(&attempt).is_some()
        };
        if was_connecting {
            self.attempt_failed(attempt, Outcome::Cancelled);
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
    /// Establishes a connection, makes the attempt on it if it is still wanted, and serves the connection.
    fn run_new_connection(&self, attempt: Attempt<P::Payload>, address: SocketAddr) {
        let (begun, timeout) = (Instant::now(), self.timeouts().connect);
        let socket = Connection::connect(address, timeout);
        let connection =
            socket.map(|socket| Arc::new(PooledConnection::new(socket, attempt.backend, address)));
        let elapsed = begun.elapsed();
        let next = self.after_connect(&attempt, connection.as_ref().ok(), elapsed, timeout);
        let Ok(connection) = connection else {
            locked(&self.state).open_connections -= 1;
            if !matches!(next, AfterConnect::Unwanted) {
                self.attempt_failed(attempt.id, Outcome::ConnectFailed);
            }
            return;
        };
        match next {
            AfterConnect::Begin => {
                let time_left = attempt.time_left.saturating_sub(begun.elapsed().as_micros() as Micros);
                if self.write(&connection, &attempt, time_left).is_err() {
                    connection.socket.close();
                    if self.remove_carrier(attempt.id) {
                        self.attempt_failed(attempt.id, Outcome::ConnectFailed);
                    }
                }
            }
            AfterConnect::Fail => {
                self.attempt_failed(attempt.id, Outcome::ConnectFailed);
                connection.socket.close();
            }
            AfterConnect::Unwanted => self.check_in(&connection),
        }
        self.serve(&connection);
    }

    fn after_connect(
        &self,
        attempt: &Attempt<P::Payload>,
        connection: Option<&Arc<PooledConnection<P::Payload>>>,
        elapsed: Duration,
        timeout: Duration,
    ) -> AfterConnect {
        let mut state = locked(&self.state);
        if state.carriers.remove(&attempt.id).is_none() {
            return AfterConnect::Unwanted;
        }
        // A backend that drains or went while the connection was established gets nothing new.
        let pool = state.pools.get(&attempt.backend);
        let is_ready = pool.is_some_and(|pool| pool.endpoint.state == BackendState::Ready);
        let takes_work = is_ready && !state.operator_ejections.contains(&attempt.backend);
        // The policy relies on it that what has not begun by then never will.
        let is_late = elapsed > timeout || elapsed.as_micros() as Micros >= attempt.max_start_delay;
        match connection {
            Some(connection) if takes_work && !is_late => {
                state.carriers.insert(attempt.id, Carrier::On(connection.clone()));
                AfterConnect::Begin
            }
            _ => AfterConnect::Fail,
        }
    }

    /// Writes the request of an attempt. Where nothing could be written, the connection carries nothing.
    fn write(
        &self,
        connection: &PooledConnection<P::Payload>,
        attempt: &Attempt<P::Payload>,
        time_left: Micros,
    ) -> io::Result<()> {
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
