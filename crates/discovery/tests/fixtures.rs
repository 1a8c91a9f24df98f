//! Compatibility of the wire format of the agent's requests and responses. Release 0.1 at commit 1461877 wrote the bytes in
//! `fixtures/request.http`, where `ADDRESS` stands for the agent's address. The bytes in `response.http` follow the agent's
//! protocol.

use discovery::{AgentMode, PollBackoff, Watch, WatchEvent};
use settings::EndpointList;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

const REQUEST: &str = include_str!("fixtures/request.http");
const RESPONSE: &[u8] = include_bytes!("fixtures/response.http");
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a watch that connects to this listener as its agent, and returns the channel of its events. The first request asks for
/// the changes after version 18446744073709551615, the largest `u64`.
fn start_watch(listener: &TcpListener) -> Receiver<WatchEvent> {
    link::set_up();
    let watch = Watch::new(listener.local_addr().expect("an address"));
    let (sender, events) = channel();
    let sender = Mutex::new(sender);
    link::spawn_with(link::JSON_STACK_BYTES, move || {
        watch.run(u64::MAX, PollBackoff::new(7, AgentMode::Notified), |event| {
            let _ = sender.lock().expect("no panic").send(event);
        });
    });
    events
}

/// Accepts a connection and returns the request on it, with the connection.
fn accept(listener: &TcpListener) -> (String, TcpStream) {
    let mut stream = listener.accept().expect("a connection").0;
    stream.set_read_timeout(Some(TIMEOUT)).expect("the read timeout is set");
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request arrives");
        request.push(byte[0]);
    }
    (String::from_utf8(request).expect("the request is UTF-8"), stream)
}

#[test]
fn a_watch_sends_the_request_of_release_0_1() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let _events = start_watch(&listener);
    let address = listener.local_addr().expect("an address").to_string();
    assert_eq!(accept(&listener).0, REQUEST.replace("ADDRESS", &address));
}

fn next_list(events: &Receiver<WatchEvent>) -> EndpointList {
    match events.recv_timeout(TIMEOUT).expect("an event arrives in time") {
        WatchEvent::EndpointList(list) => list,
        WatchEvent::Lost => panic!("the watch was lost"),
    }
}

#[test]
fn lists_are_read_wherever_the_response_is_split() {
    for split in (0..RESPONSE.len()).step_by(5) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let events = start_watch(&listener);
        let mut stream = accept(&listener).1;
        stream.write_all(&RESPONSE[..split]).expect("the watch reads");
        std::thread::sleep(Duration::from_millis(2));
        stream.write_all(&RESPONSE[split..]).expect("the watch reads");
        let (first, second) = (next_list(&events), next_list(&events));
        assert_eq!(
            (first.revision, first.complete, first.endpoints.len()),
            (41, true, 2),
            "split at {split}"
        );
        let endpoint = &first.endpoints[0];
        assert_eq!(
            (
                endpoint.id.as_str(),
                endpoint.address.as_str(),
                endpoint.zone.as_str(),
                endpoint.machine_type.as_str()
            ),
            ("s-1", "127.0.0.1:9001", "a", "m"),
            "split at {split}"
        );
        assert_eq!(first.endpoints[1].state, "draining", "split at {split}");
        assert_eq!(
            (second.revision, second.complete, second.endpoints.len()),
            (42, false, 0),
            "split at {split}"
        );
        // The response has ended: the watch is requested again, from the version of the last list.
        assert!(matches!(events.recv_timeout(TIMEOUT), Ok(WatchEvent::Lost)), "split at {split}");
        if split == 0 {
            assert!(accept(&listener).0.contains("&index=42 "));
        }
    }
}
