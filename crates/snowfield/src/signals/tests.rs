//! The times at which a drain ends, with a handler whose connections change at fixed times.

use super::*;

const LONGEST_DEADLINE: Duration = Duration::from_millis(100);
/// Time for which a drain lasts at most if no client waits for anything.
const MIN_TIMEOUT: Duration = Duration::from_millis(400);
/// Tolerance for a busy machine.
const TOLERANCE: Duration = Duration::from_millis(250);
const NEVER: Duration = Duration::from_secs(3600);

/// A process whose state changes at times after its start.
struct ScheduledProcess {
    started: Instant,
    accepting_until: Duration,
    open_until: Duration,
    unanswered_until: Duration,
}

impl ScheduledProcess {
    fn with_open_connection_until(open_until: Duration) -> Self {
        let never = Duration::ZERO;
        Self { started: Instant::now(), accepting_until: never, open_until, unanswered_until: never }
    }

    /// Drains, and returns the time that this took.
    fn drain(&self) -> Duration {
        drain(self);
        self.started.elapsed()
    }
}

impl SignalHandler for ScheduledProcess {
    fn reload(&self) {}

    fn close_connections(&self) {}

    fn is_accepting(&self) -> bool {
        self.started.elapsed() < self.accepting_until
    }

    fn open_connections(&self) -> usize {
        usize::from(self.started.elapsed() < self.open_until)
    }

    fn pending_connections(&self) -> PendingConnections {
        let unanswered = usize::from(self.started.elapsed() < self.unanswered_until);
        PendingConnections { unanswered, ..PendingConnections::default() }
    }

    fn longest_deadline(&self) -> Duration {
        LONGEST_DEADLINE
    }
}

#[test]
fn a_drain_ends_once_all_connections_are_closed() {
    let process = ScheduledProcess::with_open_connection_until(Duration::from_millis(100));
    let elapsed = process.drain();
    assert!(elapsed >= Duration::from_millis(100) && elapsed < MIN_TIMEOUT, "{elapsed:?}");
}

#[test]
fn a_drain_does_not_wait_for_clients_that_have_their_answers_and_stay_connected() {
    let elapsed = ScheduledProcess::with_open_connection_until(NEVER).drain();
    assert!(elapsed >= MIN_TIMEOUT && elapsed < MIN_TIMEOUT + TOLERANCE, "{elapsed:?}");
}

/// Regression: a drain ended after the longest deadline and a margin, although requests that came later were in flight.
#[test]
fn a_drain_waits_for_each_unanswered_request() {
    let unanswered_until = Duration::from_millis(800);
    let open = ScheduledProcess::with_open_connection_until(NEVER);
    let elapsed = ScheduledProcess { unanswered_until, ..open }.drain();
    let expected = unanswered_until + DRAIN_MARGIN;
    assert!(elapsed + POLL_INTERVAL >= expected && elapsed < expected + TOLERANCE, "{elapsed:?}");
}

/// Regression: a drain ended while the accept loop still had connections from the backlog, if no other connection was open.
#[test]
fn a_drain_waits_for_the_accept_loop() {
    let accepting_until = Duration::from_millis(100);
    let open = ScheduledProcess::with_open_connection_until(Duration::ZERO);
    let elapsed = ScheduledProcess { accepting_until, ..open }.drain();
    assert!(elapsed >= accepting_until && elapsed < MIN_TIMEOUT, "{elapsed:?}");
}
