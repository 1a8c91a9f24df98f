//! Connections and listeners on real sockets.

use link::{Connection, Incoming, Listener};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const MAX_READ_BYTES: usize = 16 * 1024;
/// More bytes than the send and receive buffers of two sockets hold.
const LARGE_ANSWER_BYTES: usize = 32 << 20;
/// Time for bytes to pass through loopback.
const DELIVERY_TIME: Duration = Duration::from_millis(50);
/// Time limit for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the body of a test in a coroutine, since only coroutines can read connections.
fn in_coroutine(body: impl FnOnce() + Send + 'static) {
    link::set_up();
    link::spawn(body).join().expect("no panic");
}

/// A connection and the stream of its peer.
fn connected_pair() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let peer = TcpStream::connect(listener.local_addr().expect("the listener is bound"))
        .expect("the listener accepts connections");
    peer.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a valid timeout");
    let (stream, _) = listener.accept().expect("a connection is accepted");
    (Connection::new(stream).expect("the socket is registered for events"), peer)
}

fn loopback_listener() -> (Listener, SocketAddr) {
    let listener = Listener::bind("127.0.0.1:0".parse().expect("a valid address")).expect("a free port");
    let address = listener.local_address().expect("the listener is bound");
    (listener, address)
}

#[test]
fn returns_bytes_before_a_wake() {
    in_coroutine(|| {
        let (connection, mut peer) = connected_pair();
        let mut buffer = Vec::new();
        peer.write_all(b"bytes").expect("the connection is open");
        link::sleep(DELIVERY_TIME);
        connection.wake();
        assert_eq!(
            connection.receive(&mut buffer, MAX_READ_BYTES).expect("bytes are received"),
            Incoming::Bytes(5)
        );
        assert_eq!(
            connection.receive(&mut buffer, MAX_READ_BYTES).expect("a wake is reported"),
            Incoming::Woken
        );
        assert_eq!(buffer, b"bytes");
    });
}

#[test]
fn the_end_of_stream_is_known_together_with_the_bytes_before_it() {
    in_coroutine(|| {
        let (connection, mut peer) = connected_pair();
        let mut buffer = Vec::new();
        peer.write_all(b"bytes").expect("the connection is open");
        drop(peer);
        link::sleep(DELIVERY_TIME);
        assert!(connection.has_unread());
        assert_eq!(
            connection.receive(&mut buffer, MAX_READ_BYTES).expect("bytes are received"),
            Incoming::Bytes(5)
        );
        assert!(connection.is_peer_closed());
        assert_eq!(
            connection.receive(&mut buffer, MAX_READ_BYTES).expect("the end of stream is reported"),
            Incoming::End
        );
    });
}

#[test]
fn reads_at_most_the_maximum_and_keeps_the_rest() {
    in_coroutine(|| {
        let (connection, mut peer) = connected_pair();
        let mut buffer = Vec::new();
        peer.write_all(b"bytes").expect("the connection is open");
        link::sleep(DELIVERY_TIME);
        assert_eq!(connection.receive(&mut buffer, 3).expect("bytes are received"), Incoming::Bytes(3));
        assert_eq!(
            connection.receive(&mut buffer, MAX_READ_BYTES).expect("bytes are received"),
            Incoming::Bytes(2)
        );
        assert_eq!(buffer, b"bytes");
    });
}

#[test]
fn buffers_bytes_that_the_socket_does_not_take_and_reports_when_they_are_flushed() {
    in_coroutine(|| {
        let (connection, mut peer) = connected_pair();
        let flushed = Arc::new(AtomicUsize::new(0));
        let counted = flushed.clone();
        connection.on_flushed(move || {
            counted.fetch_add(1, Ordering::Relaxed);
        });
        let answer: Vec<u8> = (0..LARGE_ANSWER_BYTES).map(|index| index as u8).collect();
        assert!(
            !connection.send(&answer).expect("the connection is open"),
            "the socket takes only a part of the answer"
        );
        assert!(connection.unsent() > 0);
        assert!(!connection.send(b"behind it").expect("the connection is open"));
        let reading = std::thread::spawn(move || {
            let mut received = Vec::new();
            peer.read_to_end(&mut received).expect("an answer is received");
            received
        });
        connection.flush_all().expect("the peer reads");
        assert_eq!((connection.unsent(), flushed.load(Ordering::Relaxed)), (0, 1));
        connection.close();
        let received = reading.join().expect("no panic");
        assert!(received == [&answer[..], b"behind it"].concat(), "{} bytes", received.len());
    });
}

#[test]
fn a_graceful_close_delivers_the_last_answer_although_bytes_are_unread() {
    in_coroutine(|| {
        let (connection, mut peer) = connected_pair();
        peer.write_all(b"never read as a request").expect("the connection is open");
        link::sleep(DELIVERY_TIME);
        connection.send(b"answer").expect("the connection is open");
        let reading = std::thread::spawn(move || {
            let mut received = Vec::new();
            peer.read_to_end(&mut received).expect("no reset");
            received
        });
        connection.close_gracefully();
        assert_eq!(reading.join().expect("no panic"), b"answer");
        assert!(connection.is_closed());
    });
}

#[test]
fn a_closed_connection_fails_to_send_and_to_receive() {
    in_coroutine(|| {
        let (connection, _peer) = connected_pair();
        connection.close();
        let kind = |error: std::io::Error| error.kind();
        assert_eq!(connection.send(b"bytes").map_err(kind), Err(ErrorKind::NotConnected));
        let received = connection.receive(&mut Vec::new(), MAX_READ_BYTES);
        assert_eq!(received.map_err(kind), Err(ErrorKind::NotConnected));
    });
}

#[test]
fn a_refused_connect_is_an_error_of_the_remote_side() {
    in_coroutine(|| {
        let unused = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = unused.local_addr().expect("the listener is bound");
        drop(unused);
        let error = Connection::connect(address, EVENT_TIMEOUT).expect_err("nobody listens");
        assert!(!error.is_local(), "{error:?}");
    });
}

#[test]
fn a_closed_listener_accepts_its_backlog_first() {
    in_coroutine(|| {
        let (listener, address) = loopback_listener();
        let _waiting = TcpStream::connect(address).expect("the listener accepts connections");
        link::sleep(DELIVERY_TIME);
        listener.close();
        assert!(listener.accept().is_some(), "the connection in the backlog");
        assert!(listener.accept().is_none());
        assert!(TcpStream::connect(address).is_err(), "new connections are refused");
    });
}

#[test]
fn a_paused_listener_leaves_its_backlog_when_it_is_closed() {
    in_coroutine(|| {
        let (listener, address) = loopback_listener();
        let _waiting = TcpStream::connect(address).expect("the listener accepts connections");
        link::sleep(DELIVERY_TIME);
        listener.set_paused(true);
        listener.close();
        assert!(listener.accept().is_none());
    });
}

#[test]
fn a_paused_listener_accepts_again_once_it_is_resumed() {
    in_coroutine(|| {
        let (listener, address) = loopback_listener();
        listener.set_paused(true);
        let listener = Arc::new(listener);
        let resumed = listener.clone();
        let started_at = Instant::now();
        link::spawn(move || {
            link::sleep(DELIVERY_TIME);
            resumed.set_paused(false);
        });
        let _waiting = TcpStream::connect(address).expect("the listener accepts connections");
        assert!(listener.accept().is_some());
        assert!(started_at.elapsed() >= DELIVERY_TIME, "the listener was paused");
    });
}

#[test]
fn sleeping_coroutines_wake_in_the_order_of_their_times() {
    in_coroutine(|| {
        let woken = Arc::new(std::sync::Mutex::new(Vec::new()));
        let sleepers: Vec<_> = [150, 50, 100]
            .map(|milliseconds| {
                let woken = woken.clone();
                link::spawn(move || {
                    link::sleep(Duration::from_millis(milliseconds));
                    link::lock_or_abort(&woken).push(milliseconds);
                })
            })
            .into_iter()
            .collect();
        sleepers.into_iter().for_each(|sleeper| sleeper.join().expect("no panic"));
        assert_eq!(*link::lock_or_abort(&woken), [50, 100, 150]);
    });
}
