//! The client against a stand-in of the counter that is written from the protocol.

use counter::CounterClient;
use exchange::{CounterCall, QuotaCounter};
use policy::Outcome;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A connection that the client opened: its calls, and where to answer.
struct Accepted {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl Accepted {
    /// The arguments of the next call.
    fn call(&mut self) -> Vec<String> {
        let mut line = || {
            let mut text = String::new();
            self.lines.read_line(&mut text).expect("a call");
            text.trim_end().to_owned()
        };
        let count: usize = line()[1..].parse().expect("an array");
        (0..count).map(|_| (line(), line()).1).collect()
    }

    fn respond(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the client reads");
    }
}

fn counter() -> (SocketAddr, Receiver<Accepted>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, accepted) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let lines = BufReader::new(stream.try_clone().expect("a second handle"));
            if sender.send(Accepted { stream, lines }).is_err() {
                return;
            }
        }
    });
    (address, accepted)
}

type Ended = (u64, Outcome, f64);

fn client(address: SocketAddr) -> (Arc<CounterClient>, Receiver<Ended>) {
    link::set_up();
    let (sender, outcomes): (Sender<Ended>, _) = channel();
    let sender = std::sync::Mutex::new(sender);
    let on_ended = move |id, outcome, total| {
        let _ = sender.lock().expect("no panic").send((id, outcome, total));
    };
    (CounterClient::new(address, Box::new(on_ended)), outcomes)
}

fn call(id: u64, add: f64) -> CounterCall {
    CounterCall { id, name: 0x0b, units: add, ttl: 4_000_000 }
}

fn next<T>(receiver: &Receiver<T>) -> T {
    receiver.recv_timeout(TIMEOUT).expect("it came in time")
}

#[test]
fn calls_are_pipelined_and_answered_in_order() {
    let (address, accepted) = counter();
    let (client, outcomes) = client(address);
    client.call(call(1, -2.5));
    let mut counter = next(&accepted);
    assert_eq!(counter.call(), ["TALLY", "000000000000000b", "-2.5", "4000"]);
    client.call(call(2, 1.0));
    client.call(call(3, 0.0));
    counter.call();
    counter.call();
    counter.respond("$2\r\n-5\r\n-BUSY\r\n$3\r\n");
    assert_eq!(next(&outcomes), (1, Outcome::Ok, -5.0));
    assert_eq!(next(&outcomes), (2, Outcome::Rejected, 0.0), "rejected: nothing was added");
    counter.respond("1.5\r\n");
    assert_eq!(next(&outcomes), (3, Outcome::Ok, 1.5));
}

#[test]
fn an_idle_close_is_normal_and_the_next_call_reconnects() {
    let (address, accepted) = counter();
    let (client, outcomes) = client(address);
    client.call(call(1, 1.0));
    let mut first = next(&accepted);
    first.call();
    first.respond("$1\r\n1\r\n");
    assert_eq!(next(&outcomes).0, 1);
    drop(first);
    // Until the client has seen the end, a call may still go out on the old connection and be reset, or find it broken.
    for id in 2.. {
        client.call(call(id, 1.0));
        match accepted.recv_timeout(Duration::from_millis(50)) {
            Ok(mut second) => {
                second.call();
                second.respond("$1\r\n2\r\n");
                break;
            }
            Err(RecvTimeoutError::Timeout) => {
                let ended = next(&outcomes).1;
                assert!(matches!(ended, Outcome::Reset | Outcome::ConnectFailed), "{ended:?}");
            }
            Err(RecvTimeoutError::Disconnected) => panic!("the stand-in ended"),
        }
    }
    assert_eq!(next(&outcomes).1, Outcome::Ok);
}

#[test]
fn a_reset_after_a_call_may_have_added_and_a_refused_connection_has_not() {
    let (address, accepted) = counter();
    let (first, outcomes) = client(address);
    first.call(call(1, 1.0));
    let mut counter = next(&accepted);
    counter.call();
    drop(counter);
    assert_eq!(next(&outcomes), (1, Outcome::Reset, 0.0));

    let nobody = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let (second, outcomes) = client(nobody);
    second.call(call(1, 1.0));
    assert_eq!(next(&outcomes), (1, Outcome::ConnectFailed, 0.0));
}

/// Guards against a network that was cut: nothing arrives, so the client must close the connection by itself.
#[test]
fn a_silent_connection_is_closed_and_the_next_call_reconnects() {
    let (address, accepted) = counter();
    let (client, outcomes) = client(address);
    client.call(call(1, 1.0));
    let _silent = next(&accepted);
    let ended = loop {
        client.close_silent_connections();
        if let Ok(ended) = outcomes.recv_timeout(Duration::from_millis(20)) {
            break ended;
        }
    };
    assert_eq!(ended, (1, Outcome::Reset, 0.0));
    client.call(call(2, 1.0));
    next(&accepted);
}

/// Guards the outcomes of malformed answers: the first call was added, of those behind nothing is known, and an error line that
/// the counter never writes does not say that nothing was added.
#[test]
fn a_malformed_answer_counts_as_added_and_ends_the_connection() {
    for malformed in
        ["*1\r\n:1\r\n", "$3\r\nnan\r\n", "$1\r\n-\r\n", "+\r\n", "-\u{7f}BUSYNESS\r\n", "{noise"]
    {
        let (address, accepted) = counter();
        let (client, outcomes) = client(address);
        client.call(call(1, 1.0));
        client.call(call(2, 1.0));
        let mut counter = next(&accepted);
        counter.call();
        counter.call();
        counter.respond(malformed);
        assert_eq!(
            [next(&outcomes), next(&outcomes)],
            [(1, Outcome::Error, 0.0), (2, Outcome::Reset, 0.0)],
            "{malformed:?}"
        );
    }
}

/// Guards against an answer that never completes: calls behind it would wait until the connection counts as dead.
#[test]
fn an_incomplete_answer_does_not_delay_the_next_calls() {
    let (address, accepted) = counter();
    let (client, outcomes) = client(address);
    client.call(call(1, 1.0));
    let mut first = next(&accepted);
    first.call();
    first.respond("$5\r\n1");
    let mut second = (2..).find_map(|id| {
        client.call(call(id, 1.0));
        accepted.recv_timeout(Duration::from_millis(20)).ok()
    });
    let second = second.as_mut().expect("another connection");
    second.call();
    second.respond("$1\r\n7\r\n");
    while next(&outcomes).1 != Outcome::Ok {}
}

/// Guards a reload: unanswered calls at the old address keep their answers, and no new one goes there.
#[test]
fn a_new_address_keeps_unanswered_calls_and_gets_the_new_ones() {
    let ((old, old_accepted), (new, new_accepted)) = (counter(), counter());
    let (client, outcomes) = client(old);
    client.call(call(1, 1.0));
    let mut first = next(&old_accepted);
    first.call();
    assert!(!client.set_address(old), "the same address is no move");
    assert!(client.set_address(new));
    client.call(call(2, 1.0));
    let mut second = next(&new_accepted);
    second.call();
    second.respond("$1\r\n2\r\n");
    assert_eq!(next(&outcomes), (2, Outcome::Ok, 2.0));
    first.respond("$1\r\n7\r\n");
    assert_eq!(next(&outcomes), (1, Outcome::Ok, 7.0));
    let mut rest = String::new();
    assert_eq!(
        first.lines.read_line(&mut rest).expect("an end"),
        0,
        "the old connection ends, called no more: {rest}"
    );
}

/// Guards against an old address that answers no more: its connections must not stay open.
#[test]
fn a_silent_connection_to_an_old_address_is_closed() {
    let ((old, old_accepted), (new, _new_accepted)) = (counter(), counter());
    let (client, outcomes) = client(old);
    client.call(call(1, 1.0));
    let _silent = next(&old_accepted);
    client.set_address(new);
    let ended = loop {
        client.close_silent_connections();
        if let Ok(ended) = outcomes.recv_timeout(Duration::from_millis(20)) {
            break ended;
        }
    };
    assert_eq!(ended, (1, Outcome::Reset, 0.0));
}
