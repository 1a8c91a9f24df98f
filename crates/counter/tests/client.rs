//! The client against a stand-in for the counter, which implements the protocol independently of the client.

use counter::{CallResult, CounterClient};
use exchange::{CounterCall, QuotaCounter};
use policy::Outcome;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A connection opened by the client.
struct AcceptedConnection {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl AcceptedConnection {
    /// Reads the arguments of the next call.
    fn read_call(&mut self) -> Vec<String> {
        let mut line = || {
            let mut text = String::new();
            self.lines.read_line(&mut text).expect("a call arrives");
            text.trim_end().to_owned()
        };
        let count: usize = line()[1..].parse().expect("a call is an array");
        (0..count).map(|_| (line(), line()).1).collect()
    }

    fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the client receives");
    }
}

/// Starts a stand-in for the counter, and returns its address and the connections that it accepts.
fn start_counter() -> (SocketAddr, Receiver<AcceptedConnection>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, accepted) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let lines = BufReader::new(stream.try_clone().expect("a second handle"));
            if sender.send(AcceptedConnection { stream, lines }).is_err() {
                return;
            }
        }
    });
    (address, accepted)
}

fn start_client(address: SocketAddr) -> (Arc<CounterClient>, Receiver<CallResult>) {
    link::set_up();
    let (sender, results): (Sender<CallResult>, _) = channel();
    let sender = std::sync::Mutex::new(sender);
    let on_ended = move |result| {
        let _ = sender.lock().expect("no panic").send(result);
    };
    (CounterClient::new(address, Box::new(on_ended)), results)
}

fn call(id: u64, units: f64) -> CounterCall {
    CounterCall { id, name: 0x0b, units, ttl: 4_000_000 }
}

fn result(id: u64, outcome: Outcome, total: f64) -> CallResult {
    CallResult { id, outcome, total }
}

fn next<T>(receiver: &Receiver<T>) -> T {
    receiver.recv_timeout(TIMEOUT).expect("an item arrives in time")
}

#[test]
fn calls_are_pipelined_and_answered_in_order() {
    let (address, accepted) = start_counter();
    let (client, results) = start_client(address);
    client.call(call(1, -2.5));
    let mut counter = next(&accepted);
    assert_eq!(counter.read_call(), ["TALLY", "000000000000000b", "-2.5", "4000"]);
    client.call(call(2, 1.0));
    client.call(call(3, 0.0));
    counter.read_call();
    counter.read_call();
    counter.send("$2\r\n-5\r\n-BUSY\r\n$3\r\n");
    assert_eq!(next(&results), result(1, Outcome::Ok, -5.0));
    assert_eq!(next(&results), result(2, Outcome::Rejected, 0.0), "a rejected call adds nothing");
    counter.send("1.5\r\n");
    assert_eq!(next(&results), result(3, Outcome::Ok, 1.5));
}

#[test]
fn an_idle_close_is_normal_and_the_next_call_reconnects() {
    let (address, accepted) = start_counter();
    let (client, results) = start_client(address);
    client.call(call(1, 1.0));
    let mut first = next(&accepted);
    first.read_call();
    first.send("$1\r\n1\r\n");
    assert_eq!(next(&results).id, 1);
    drop(first);
    // Until the client has noticed the close, a call may still be written to the old connection and end with a reset, or fail.
    for id in 2.. {
        client.call(call(id, 1.0));
        match accepted.recv_timeout(Duration::from_millis(50)) {
            Ok(mut second) => {
                second.read_call();
                second.send("$1\r\n2\r\n");
                break;
            }
            Err(RecvTimeoutError::Timeout) => {
                let ended = next(&results).outcome;
                assert!(matches!(ended, Outcome::Reset | Outcome::ConnectFailed), "{ended:?}");
            }
            Err(RecvTimeoutError::Disconnected) => panic!("the stand-in for the counter has ended"),
        }
    }
    assert_eq!(next(&results).outcome, Outcome::Ok);
}

#[test]
fn a_call_ends_with_reset_if_it_was_written_and_with_connect_failed_otherwise() {
    let (address, accepted) = start_counter();
    let (first, results) = start_client(address);
    first.call(call(1, 1.0));
    let mut counter = next(&accepted);
    counter.read_call();
    drop(counter);
    assert_eq!(next(&results), result(1, Outcome::Reset, 0.0));

    let unused_address =
        TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port");
    let (second, results) = start_client(unused_address);
    second.call(call(1, 1.0));
    assert_eq!(next(&results), result(1, Outcome::ConnectFailed, 0.0));
}

/// In a network partition nothing arrives, so the client must close the connection itself.
#[test]
fn a_silent_connection_is_closed_and_the_next_call_reconnects() {
    let (address, accepted) = start_counter();
    let (client, results) = start_client(address);
    client.call(call(1, 1.0));
    let _silent = next(&accepted);
    let ended = loop {
        client.close_silent_connections();
        if let Ok(ended) = results.recv_timeout(Duration::from_millis(20)) {
            break ended;
        }
    };
    assert_eq!(ended, result(1, Outcome::Reset, 0.0));
    client.call(call(2, 1.0));
    next(&accepted);
}

/// The malformed answer ends the first call with an unknown total, and the outcome of later calls is unknown. An error line that
/// the counter never sends does not mean that nothing was added.
#[test]
fn a_malformed_answer_counts_as_added_and_ends_the_connection() {
    for malformed in
        ["*1\r\n:1\r\n", "$3\r\nnan\r\n", "$1\r\n-\r\n", "+\r\n", "-\u{7f}BUSYNESS\r\n", "{noise"]
    {
        let (address, accepted) = start_counter();
        let (client, results) = start_client(address);
        client.call(call(1, 1.0));
        client.call(call(2, 1.0));
        let mut counter = next(&accepted);
        counter.read_call();
        counter.read_call();
        counter.send(malformed);
        assert_eq!(
            [next(&results), next(&results)],
            [result(1, Outcome::Error, 0.0), result(2, Outcome::Reset, 0.0)],
            "{malformed:?}"
        );
    }
}

/// An answer that never completes must not delay later calls until the connection counts as dead.
#[test]
fn an_incomplete_answer_does_not_delay_the_next_calls() {
    let (address, accepted) = start_counter();
    let (client, results) = start_client(address);
    client.call(call(1, 1.0));
    let mut first = next(&accepted);
    first.read_call();
    first.send("$5\r\n1");
    let mut second = (2..).find_map(|id| {
        client.call(call(id, 1.0));
        accepted.recv_timeout(Duration::from_millis(20)).ok()
    });
    let second = second.as_mut().expect("another connection");
    second.read_call();
    second.send("$1\r\n7\r\n");
    while next(&results).outcome != Outcome::Ok {}
}

/// After a reload, unanswered calls at the old address still get their answers, and new calls go to the new address.
#[test]
fn a_new_address_gets_new_calls_while_unanswered_calls_keep_their_connection() {
    let ((old, old_accepted), (new, new_accepted)) = (start_counter(), start_counter());
    let (client, results) = start_client(old);
    client.call(call(1, 1.0));
    let mut first = next(&old_accepted);
    first.read_call();
    assert!(!client.set_address(old), "the address is unchanged");
    assert!(client.set_address(new));
    client.call(call(2, 1.0));
    let mut second = next(&new_accepted);
    second.read_call();
    second.send("$1\r\n2\r\n");
    assert_eq!(next(&results), result(2, Outcome::Ok, 2.0));
    first.send("$1\r\n7\r\n");
    assert_eq!(next(&results), result(1, Outcome::Ok, 7.0));
    let mut rest = String::new();
    assert_eq!(
        first.lines.read_line(&mut rest).expect("the end of the connection"),
        0,
        "the old connection must end without further calls: {rest}"
    );
}

/// Connections to an old address that no longer answers must not stay open.
#[test]
fn a_silent_connection_to_an_old_address_is_closed() {
    let ((old, old_accepted), (new, _new_accepted)) = (start_counter(), start_counter());
    let (client, results) = start_client(old);
    client.call(call(1, 1.0));
    let _silent = next(&old_accepted);
    client.set_address(new);
    let ended = loop {
        client.close_silent_connections();
        if let Ok(ended) = results.recv_timeout(Duration::from_millis(20)) {
            break ended;
        }
    };
    assert_eq!(ended, result(1, Outcome::Reset, 0.0));
}
