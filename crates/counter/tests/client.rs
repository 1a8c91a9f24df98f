//! The client against a stand-in of the counter that is written from the protocol.

use counter::CounterClient;
use exchange::{CounterCall, QuotaCounter};
use policy::Outcome;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

const LONG: Duration = Duration::from_secs(20);

/// A connection that the client made: its calls, and where to answer.
struct Accepted {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl Accepted {
    /// The words of the next call.
    fn call(&mut self) -> Vec<String> {
        let mut line = || {
            let mut text = String::new();
            self.lines.read_line(&mut text).expect("a call");
            text.trim_end().to_owned()
        };
        let count: usize = line()[1..].parse().expect("an array");
        (0..count).map(|_| (line(), line()).1).collect()
    }

    fn say(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the client reads");
    }
}

fn counter() -> (SocketAddr, Receiver<Accepted>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (tell, accepted) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let lines = BufReader::new(stream.try_clone().expect("a second handle"));
            if tell.send(Accepted { stream, lines }).is_err() {
                return;
            }
        }
    });
    (address, accepted)
}

type Told = (u64, Outcome, f64);

fn client(at: SocketAddr) -> (Arc<CounterClient>, Receiver<Told>) {
    link::set_up();
    let (tell, told): (Sender<Told>, _) = channel();
    let tell = std::sync::Mutex::new(tell);
    let told_by = move |id, outcome, total| {
        let _ = tell.lock().expect("no panic").send((id, outcome, total));
    };
    (CounterClient::new(at, Box::new(told_by)), told)
}

fn call(id: u64, add: f64) -> CounterCall {
    CounterCall { id, name: 0x0b, units: add, ttl: 4_000_000 }
}

fn next<T>(from: &Receiver<T>) -> T {
    from.recv_timeout(LONG).expect("it came in time")
}

#[test]
fn calls_are_pipelined_and_answered_in_order() {
    let (at, accepted) = counter();
    let (client, told) = client(at);
    client.call(call(1, -2.5));
    let mut counter = next(&accepted);
    assert_eq!(counter.call(), ["TALLY", "000000000000000b", "-2.5", "4000"]);
    client.call(call(2, 1.0));
    client.call(call(3, 0.0));
    counter.call();
    counter.call();
    counter.say("$2\r\n-5\r\n-BUSY\r\n$3\r\n");
    assert_eq!(next(&told), (1, Outcome::Ok, -5.0));
    assert_eq!(next(&told), (2, Outcome::Rejected, 0.0), "turned away: nothing was added");
    counter.say("1.5\r\n");
    assert_eq!(next(&told), (3, Outcome::Ok, 1.5));
}

#[test]
fn an_idle_close_is_normal_and_the_next_call_connects_anew() {
    let (at, accepted) = counter();
    let (client, told) = client(at);
    client.call(call(1, 1.0));
    let mut first = next(&accepted);
    first.call();
    first.say("$1\r\n1\r\n");
    assert_eq!(next(&told).0, 1);
    drop(first);
    // Until the client has seen the end, a call may still go out on the old connection and be reset, or find it broken.
    for id in 2.. {
        client.call(call(id, 1.0));
        match accepted.recv_timeout(Duration::from_millis(50)) {
            Ok(mut second) => {
                second.call();
                second.say("$1\r\n2\r\n");
                break;
            }
            Err(RecvTimeoutError::Timeout) => {
                let ended = next(&told).1;
                assert!(matches!(ended, Outcome::Reset | Outcome::ConnectFailed), "{ended:?}");
            }
            Err(RecvTimeoutError::Disconnected) => panic!("the stand-in ended"),
        }
    }
    assert_eq!(next(&told).1, Outcome::Ok);
}

#[test]
fn a_break_after_the_call_may_have_added_and_a_refused_connection_has_not() {
    let (at, accepted) = counter();
    let (first, told) = client(at);
    first.call(call(1, 1.0));
    let mut counter = next(&accepted);
    counter.call();
    drop(counter);
    assert_eq!(next(&told), (1, Outcome::Reset, 0.0));

    let nobody = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let (second, told) = client(nobody);
    second.call(call(1, 1.0));
    assert_eq!(next(&told), (1, Outcome::ConnectFailed, 0.0));
}

/// Guards against a link that was cut: nothing is said there, so the client must end it by itself.
#[test]
fn a_silent_connection_is_given_up_and_the_next_call_connects_anew() {
    let (at, accepted) = counter();
    let (client, told) = client(at);
    client.call(call(1, 1.0));
    let _silent = next(&accepted);
    let ended = loop {
        client.sweep();
        if let Ok(ended) = told.recv_timeout(Duration::from_millis(20)) {
            break ended;
        }
    };
    assert_eq!(ended, (1, Outcome::Reset, 0.0));
    client.call(call(2, 1.0));
    next(&accepted);
}

/// Guards the outcomes of spoilt answers: the call in front has been added, of those behind nothing is known, and an
/// error line that the counter never writes does not say that nothing was added.
#[test]
fn a_spoilt_answer_was_added_and_ends_the_connection() {
    for spoilt in ["*1\r\n:1\r\n", "$3\r\nnan\r\n", "$1\r\n-\r\n", "+\r\n", "-\u{7f}BUSYNESS\r\n", "{noise"] {
        let (at, accepted) = counter();
        let (client, told) = client(at);
        client.call(call(1, 1.0));
        client.call(call(2, 1.0));
        let mut counter = next(&accepted);
        counter.call();
        counter.call();
        counter.say(spoilt);
        assert_eq!(
            [next(&told), next(&told)],
            [(1, Outcome::Error, 0.0), (2, Outcome::Reset, 0.0)],
            "{spoilt:?}"
        );
    }
}

/// Guards against an answer that never becomes whole: calls behind it would wait until the connection counts as dead.
#[test]
fn half_an_answer_does_not_hold_up_the_next_calls() {
    let (at, accepted) = counter();
    let (client, told) = client(at);
    client.call(call(1, 1.0));
    let mut first = next(&accepted);
    first.call();
    first.say("$5\r\n1");
    let mut second = (2..).find_map(|id| {
        client.call(call(id, 1.0));
        accepted.recv_timeout(Duration::from_millis(20)).ok()
    });
    let second = second.as_mut().expect("another connection");
    second.call();
    second.say("$1\r\n7\r\n");
    while next(&told).1 != Outcome::Ok {}
}

/// Guards a reload: calls that are out at the old address keep their answers, and no new one goes there.
#[test]
fn a_move_keeps_the_calls_that_are_out_and_makes_new_ones_at_the_new_address() {
    let ((old, old_accepted), (new, new_accepted)) = (counter(), counter());
    let (client, told) = client(old);
    client.call(call(1, 1.0));
    let mut first = next(&old_accepted);
    first.call();
    assert!(!client.move_to(old), "the same address is no move");
    assert!(client.move_to(new));
    client.call(call(2, 1.0));
    let mut second = next(&new_accepted);
    second.call();
    second.say("$1\r\n2\r\n");
    assert_eq!(next(&told), (2, Outcome::Ok, 2.0));
    first.say("$1\r\n7\r\n");
    assert_eq!(next(&told), (1, Outcome::Ok, 7.0));
    let mut rest = String::new();
    assert_eq!(
        first.lines.read_line(&mut rest).expect("an end"),
        0,
        "the old connection ends, asked no more: {rest}"
    );
}

/// Guards against an old address that says nothing more: its connections must not stay for good.
#[test]
fn a_connection_to_an_old_address_is_given_up_when_it_is_silent() {
    let ((old, old_accepted), (new, _new_accepted)) = (counter(), counter());
    let (client, told) = client(old);
    client.call(call(1, 1.0));
    let _silent = next(&old_accepted);
    client.move_to(new);
    let ended = loop {
        client.sweep();
        if let Ok(ended) = told.recv_timeout(Duration::from_millis(20)) {
            break ended;
        }
    };
    assert_eq!(ended, (1, Outcome::Reset, 0.0));
}
