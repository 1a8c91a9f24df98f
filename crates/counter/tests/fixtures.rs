//! Compatibility of the wire format of the counter's calls and answers. Release 0.1 at commit 1461877 wrote the bytes in
//! `fixtures/calls.resp`. The bytes in `answers.resp` follow the counter's protocol.

use counter::{CallResult, CounterClient};
use exchange::{CounterCall, QuotaCounter};
use policy::Outcome;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CALLS: &[u8] = include_bytes!("fixtures/calls.resp");
const ANSWERS: &[u8] = include_bytes!("fixtures/answers.resp");
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a client whose counter is this listener, and returns it with the results of its calls.
fn start_client(listener: &TcpListener) -> (Arc<CounterClient>, Receiver<CallResult>) {
    link::set_up();
    let (sender, results) = channel();
    let sender = Mutex::new(sender);
    let address = listener.local_addr().expect("an address");
    let client = CounterClient::new(
        address,
        Box::new(move |result| {
            let _ = sender.lock().expect("no panic").send(result);
        }),
    );
    (client, results)
}

/// Calls that are all written to one connection, since the names of their counts belong to one shard.
fn calls() -> Vec<CounterCall> {
    let arguments = [
        (0x0b, -2.5, 4_000_000),
        (0x0b, 0.0, 0),
        (0xfedc_ba98_7654_320f, 1.0, 999),
        (3, 0.1, 30_000_001),
        (u64::MAX, 1e21, u64::MAX),
        (7, 1.0 / 3.0, 60_000_000),
    ];
    let call = |((name, units, ttl), id)| CounterCall { id, name, units, ttl };
    arguments.into_iter().zip(1..).map(call).collect()
}

fn accept(listener: &TcpListener) -> TcpStream {
    let stream = listener.accept().expect("a connection").0;
    stream.set_read_timeout(Some(TIMEOUT)).expect("the read timeout is set");
    stream
}

#[test]
fn calls_are_encoded_as_by_release_0_1() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (client, _results) = start_client(&listener);
    calls().into_iter().for_each(|call| client.call(call));
    let mut written = vec![0; CALLS.len()];
    accept(&listener).read_exact(&mut written).expect("the calls");
    assert_eq!(String::from_utf8_lossy(&written), String::from_utf8_lossy(CALLS));
}

#[test]
fn answers_are_read_wherever_they_are_split() {
    for split in (0..ANSWERS.len()).step_by(3) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (client, results) = start_client(&listener);
        calls().into_iter().for_each(|call| client.call(call));
        let mut stream = accept(&listener);
        stream.read_exact(&mut vec![0; CALLS.len()]).expect("the calls");
        stream.write_all(&ANSWERS[..split]).expect("the client receives");
        std::thread::sleep(Duration::from_millis(2));
        stream.write_all(&ANSWERS[split..]).expect("the client receives");
        let next = || results.recv_timeout(TIMEOUT).expect("a result arrives in time");
        let received: Vec<CallResult> = (0..6).map(|_| next()).collect();
        let expected = [
            (1, Outcome::Ok, -5.0),
            (2, Outcome::Rejected, 0.0),
            (3, Outcome::Rejected, 0.0),
            (4, Outcome::Ok, 1.5),
            (5, Outcome::Ok, 1e21),
            (6, Outcome::Error, 0.0),
        ]
        .map(|(id, outcome, total)| CallResult { id, outcome, total });
        assert_eq!(received, expected, "split at {split}");
    }
}
