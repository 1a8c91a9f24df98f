//! Tests replies that arrive in pieces, late, twice, or not at all.

use super::*;
use crate::connections::{reset_on_close, serve_connections};
use crate::wire;

const TIMEOUT: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(20);

/// Connects to a server that reads one command, writes `pieces` with pauses, and then closes or keeps the connection.
fn connect(pieces: &'static [&'static [u8]], closes: bool) -> ClientConnection {
    let any_port = ([127, 0, 0, 1], 0).into();
    let serve = move |mut stream: TcpStream| {
        let mut commands = io::BufReader::new(stream.try_clone().expect("the stream can be cloned"));
        let _ = wire::read_resp_command(&mut commands);
        for piece in pieces {
            std::thread::sleep(PAUSE);
            let _ = stream.write_all(piece);
        }
        if !closes {
            let _ = stream.read(&mut [0]);
        }
    };
    let address = serve_connections(any_port, serve).expect("the server listens");
    ClientConnection::open(address, TIMEOUT).expect("the server accepts the connection")
}

fn read_reply(connection: &mut ClientConnection, timeout: Duration) -> Reply<String> {
    connection.read_reply(Instant::now() + timeout, |bytes| wire::read_resp_reply(bytes))
}

fn reply_to_command(pieces: &'static [&'static [u8]], closes: bool) -> Reply<String> {
    let mut connection = connect(pieces, closes);
    connection.send(&wire::resp_command(&["PING"])).expect("the bytes are sent");
    read_reply(&mut connection, TIMEOUT)
}

#[test]
fn a_reply_may_arrive_in_pieces() {
    let complete = Reply::Complete("id".to_owned());
    assert_eq!(reply_to_command(&[b"$2\r", b"\nid", b"\r\n"], false), complete);
    assert_eq!(reply_to_command(&[b"$2\r\nid\r\n"], true), complete);
}

#[test]
fn more_than_one_reply_is_excess() {
    assert_eq!(reply_to_command(&[b"$2\r\nid\r\n$2\r\nid\r\n"], false), Reply::Excess);
    assert_eq!(reply_to_command(&[b"$2\r\nid\r\n-"], false), Reply::Excess);
}

#[test]
fn a_close_within_a_reply_is_reported_as_closed() {
    assert_eq!(reply_to_command(&[], true), Reply::Closed);
    assert_eq!(reply_to_command(&[b"$2\r\ni"], true), Reply::Closed);
}

#[test]
fn a_reset_is_reported_as_closed() {
    let any_port = ([127, 0, 0, 1], 0).into();
    let address = serve_connections(any_port, |stream| reset_on_close(&stream)).expect("the server listens");
    let mut connection = ClientConnection::open(address, TIMEOUT).expect("the server accepts the connection");
    assert_eq!(read_reply(&mut connection, TIMEOUT), Reply::Closed);
}

#[test]
fn a_late_reply_can_be_waited_for_again() {
    let mut connection = connect(&[b"+PO", b"NG\r\n"], false);
    connection.send(&wire::resp_command(&["PING"])).expect("the bytes are sent");
    assert_eq!(read_reply(&mut connection, PAUSE / 4), Reply::Late);
    assert_eq!(read_reply(&mut connection, TIMEOUT), Reply::Complete("+PONG".to_owned()));
}

#[test]
fn a_new_request_discards_what_arrived_for_the_previous_one() {
    let mut connection = connect(&[b"$2\r\nid\r\n-rest"], false);
    connection.send(&wire::resp_command(&["PING"])).expect("the bytes are sent");
    assert_eq!(read_reply(&mut connection, TIMEOUT), Reply::Excess);
    connection.send(b"").expect("the connection is open");
    assert_eq!(read_reply(&mut connection, PAUSE), Reply::Late);
}
