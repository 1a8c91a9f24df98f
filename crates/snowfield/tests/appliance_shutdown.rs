//! Graceful shutdown of the appliance (docs/design/shutdown-and-cancellation.md).

mod common;

use common::appliance::*;
use common::*;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

/// A backend that holds the response to its only request until the test releases it.
struct HoldingBackend {
    address: SocketAddr,
    events: Receiver<BackendEvent<Message>>,
    release: Sender<()>,
}

fn start_holding_backend() -> HoldingBackend {
    let (release, released) = channel();
    let released = Mutex::new(Some(released));
    let (address, events) = start_backend(read_message, move |request| {
        let released =
            released.lock().expect("the lock is not poisoned").take().expect("the backend gets one request");
        Behaviour::ReplyAfter(released, ok_response(&request.first_line))
    });
    HoldingBackend { address, events, release }
}

/// The response to the request in flight is sent. Requests after it are not read, so that their client may safely send them
/// again.
#[test]
fn at_shutdown_no_request_after_the_last_response_is_accepted() {
    let HoldingBackend { address, events, release } = start_holding_backend();
    let mut site =
        start_appliance("ends", &ApplianceOptions { backends: &[address], ..ApplianceOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(get_request("/v1/loans/1").as_bytes());
    next_request(&events);
    let mut idle = Client::connect(site.listen);
    assert_eq!(idle.request(&get_request("/v1/nothing")).status(), 404);
    site.program.terminate();
    assert!(idle.is_closed(), "shutdown has started");
    client.send(&[get_request("/v1/loans/2").into_bytes(), vec![b'x'; 300_000]].concat());
    release.send(()).expect("the stand-in waits for the release");
    assert_eq!(client.read_response().status(), 200);
    let mut rest = Vec::new();
    client.reader.read_to_end(&mut rest).expect("the connection is closed without a reset");
    assert!(rest.is_empty());
    drop(client);
    assert_eq!(site.program.wait(), Some(0));
    assert!(all_requests(&events).is_empty(), "the request after the last response is not forwarded");
}
