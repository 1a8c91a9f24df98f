//! Tests calls over real connections with each kind of failure.

use super::*;
use crate::connections::serve_connections;
use crate::wait::wait_until;
use std::cell::RefCell;
use std::io::ErrorKind;

const TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Serves the counter, which fails in this way from the start, and connects to it.
fn connect(counter: &QuotaCounter, failure: Option<CounterFailure>) -> BufReader<TcpStream> {
    let counter = counter.clone();
    let any_port = ([127, 0, 0, 1], 0).into();
    let serve = move |stream| counter.serve(stream, || failure, |_| ());
    let address = serve_connections(any_port, serve).expect("the server listens");
    let stream = TcpStream::connect(address).expect("the server accepts the connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("the read timeout is set");
    BufReader::new(stream)
}

fn send(connection: &mut BufReader<TcpStream>, arguments: &[&str]) {
    connection.get_mut().write_all(&wire::resp_command(arguments)).expect("the bytes are sent");
}

fn call(connection: &mut BufReader<TcpStream>, arguments: &[&str]) -> Option<String> {
    send(connection, arguments);
    wire::read_resp_reply(connection)
}

fn total_after(counter: &QuotaCounter, amount: &str) -> Option<String> {
    call(&mut connect(counter, None), &["TALLY", "a", amount, "60000"])
}

#[test]
fn sums_are_shared_and_exact_to_seven_digits() {
    let counter = QuotaCounter::default();
    assert_eq!(total_after(&counter, "1.5").as_deref(), Some("1.5"));
    assert_eq!(total_after(&counter, "1234567.123").as_deref(), Some("1234569"));
    counter.clear();
    assert_eq!(total_after(&counter, "2").as_deref(), Some("2"));
    assert_eq!(counter.calls(), 3);
}

#[test]
fn the_sum_of_a_count_expires_after_the_lifetime_of_its_first_amount() {
    let counter = QuotaCounter::default();
    assert_eq!(counter.add("a", 3.0, Duration::from_millis(20)), 3.0);
    thread::sleep(Duration::from_millis(30));
    assert_eq!(counter.add("a", 2.0, Duration::from_secs(60)), 2.0);
    assert_eq!(counter.add("a", 2.0, Duration::from_millis(1)), 4.0);
}

#[test]
fn unknown_calls_are_answered_and_malformed_ones_close_the_connection() {
    let counter = QuotaCounter::default();
    let mut connection = connect(&counter, None);
    assert_eq!(call(&mut connection, &["PING"]).as_deref(), Some("+PONG"));
    assert_eq!(call(&mut connection, &["GET", "a"]).as_deref(), Some("-ERR no such call"));
    assert_eq!(call(&mut connection, &["TALLY", "a", "much", "1"]), None);
    assert_eq!(counter.calls(), 0);
}

#[test]
fn a_failing_call_is_applied_or_not_as_its_failure_defines() {
    for (failure, answer, is_applied) in [
        (CounterFailure::Slow(Duration::from_millis(1)), Some("1"), true),
        (CounterFailure::Rejecting, Some("-BUSY"), false),
        (CounterFailure::Closed, None, false),
        (CounterFailure::ResponseTruncated, None, true),
        (CounterFailure::Resetting, None, true),
    ] {
        let counter = QuotaCounter::default();
        let answered = call(&mut connect(&counter, Some(failure)), &["TALLY", "a", "1", "60000"]);
        assert_eq!(answered.as_deref(), answer, "{failure:?}");
        let total = if is_applied { "2" } else { "1" };
        assert_eq!(total_after(&counter, "1").as_deref(), Some(total), "{failure:?}");
    }
}

#[test]
fn a_counter_that_does_not_answer_keeps_the_connection_open() {
    for (failure, total) in [(CounterFailure::Silent, "1"), (CounterFailure::ResponseLost, "2")] {
        let counter = QuotaCounter::default();
        let mut connection = connect(&counter, Some(failure));
        send(&mut connection, &["TALLY", "a", "1", "60000"]);
        assert!(wait_until(TIMEOUT, POLL_INTERVAL, || counter.calls() == 1), "the call arrives");
        connection
            .get_ref()
            .set_read_timeout(Some(Duration::from_millis(50)))
            .expect("the read timeout is set");
        let error = std::io::Read::read(&mut connection, &mut [0]).expect_err("no bytes arrive");
        assert!(matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{error}");
        assert_eq!(total_after(&counter, "1").as_deref(), Some(total), "{failure:?}");
    }
}

#[test]
fn additions_are_observed_with_the_sum_that_is_answered() {
    let (counter, observed) = (QuotaCounter::default(), RefCell::new(Vec::new()));
    let observe = |added: Addition<'_>| observed.borrow_mut().push((added.amount, added.total));
    let arguments = ["TALLY", "a", "0.25", "60000"].map(str::to_owned);
    counter.respond(&arguments, None, observe);
    counter.respond(&arguments, Some(CounterFailure::Rejecting), observe);
    counter.respond(&arguments, Some(CounterFailure::ResponseLost), observe);
    assert_eq!(observed.into_inner(), [(0.25, 0.25), (0.25, 0.5)]);
}
