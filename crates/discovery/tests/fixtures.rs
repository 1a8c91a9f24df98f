//! What is exchanged with the discovery agent: the bytes in `fixtures/request.http` were written by release 0.1 at commit
//! 1461877 (`ADDRESS` stands for the agent's), those in `response.http` follow the agent's protocol.

use discovery::{PollBackoff, Watch, WatchEvent};
use settings::EndpointList;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

const REQUEST: &str = include_str!("fixtures/request.http");
const RESPONSE: &[u8] = include_bytes!("fixtures/response.http");
const TIMEOUT: Duration = Duration::from_secs(20);

/// A watch on an agent at this listener, from version 18446744073709551615 on.
fn watch(listener: &TcpListener) -> Receiver<WatchEvent> {
    link::set_up();
    let watch = Watch::new(listener.local_addr().expect("an address"));
    let (sender, events) = channel();
    let sender = Mutex::new(sender);
    link::spawn_with(link::LARGE_STACK, move || {
        watch.run(u64::MAX, PollBackoff::new(7, false), |event| {
            let _ = sender.lock().expect("no panic").send(event);
        });
    });
    events
}

/// The watch's request, and the connection that it came by.
fn accept(listener: &TcpListener) -> (String, TcpStream) {
    let mut stream = listener.accept().expect("a connection").0;
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request");
        request.push(byte[0]);
    }
    (String::from_utf8(request).expect("text"), stream)
}

#[test]
fn a_watch_is_requested_as_before() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let _news = watch(&listener);
    let address = listener.local_addr().expect("an address").to_string();
    assert_eq!(accept(&listener).0, REQUEST.replace("ADDRESS", &address));
}

fn next_list(events: &Receiver<WatchEvent>) -> EndpointList {
    match events.recv_timeout(TIMEOUT).expect("it came in time") {
        WatchEvent::EndpointList(list) => list,
        WatchEvent::Lost => panic!("the watch was lost"),
    }
}

#[test]
fn lists_are_read_as_before_wherever_they_are_cut() {
    for cut in (0..RESPONSE.len()).step_by(5) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let events = watch(&listener);
        let mut stream = accept(&listener).1;
        stream.write_all(&RESPONSE[..cut]).expect("the watch reads");
        std::thread::sleep(Duration::from_millis(2));
        stream.write_all(&RESPONSE[cut..]).expect("the watch reads");
        let (first, second) = (next_list(&events), next_list(&events));
        assert_eq!((first.revision, first.complete, first.endpoints.len()), (41, true, 2), "cut at {cut}");
        let host = &first.endpoints[0];
        assert_eq!(
            (host.id.as_str(), host.address.as_str(), host.zone.as_str(), host.machine_type.as_str()),
            ("s-1", "127.0.0.1:9001", "a", "m"),
            "cut at {cut}"
        );
        assert_eq!(first.endpoints[1].state, "draining", "cut at {cut}");
        assert_eq!(
            (second.revision, second.complete, second.endpoints.len()),
            (42, false, 0),
            "cut at {cut}"
        );
        // The response has ended: the watch is requested anew, from the version that it last had.
        assert!(matches!(events.recv_timeout(TIMEOUT), Ok(WatchEvent::Lost)), "cut at {cut}");
        if cut == 0 {
            assert!(accept(&listener).0.contains("&index=42 "));
        }
    }
}
