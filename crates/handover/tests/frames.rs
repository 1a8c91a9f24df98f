//! Frames and descriptors between two peers, and bytes that are none.

use handover::{MAX_FRAME_BYTES, Message, PROTOCOL_VERSION, Peer, UpgradeSocket};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("snowfield-handover-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const LONG: Option<Duration> = Some(Duration::from_secs(20));

#[test]
fn a_listener_is_passed_on_and_still_accepts() {
    let (one, two) = Peer::pair().expect("a pair");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    one.send(&Message::ClientConnection { partial_request: b"*4\r\n".to_vec() }, Some(listener.as_fd()))
        .expect("it goes");
    one.send(&Message::Hello { version: PROTOCOL_VERSION }, None).expect("it goes");
    drop(listener);
    let mut client = TcpStream::connect(address).expect("the one under way still listens");
    let (message, descriptor) = two.receive(LONG).expect("it comes");
    assert_eq!(message, Message::ClientConnection { partial_request: b"*4\r\n".to_vec() });
    let listener = TcpListener::from(descriptor.expect("with its descriptor"));
    listener.accept().expect("who came meanwhile").0.write_all(b"x").expect("it is open");
    client.read_exact(&mut [0]).expect("it is served");
    let (message, descriptor) = two.receive(LONG).expect("it comes");
    assert_eq!((message, descriptor.is_none()), (Message::Hello { version: PROTOCOL_VERSION }, true));
}

#[test]
fn a_large_state_arrives_complete() {
    let (one, two) = Peer::pair().expect("a pair");
    let message = Message::State {
        policy_snapshot: vec![7; 3 << 20],
        backends: vec![],
        plans: vec![],
        classes: vec![],
        ejected: vec![],
    };
    let sent = message.clone();
    let sends = std::thread::spawn(move || one.send(&sent, None));
    assert_eq!(two.receive(LONG).expect("it comes").0, message);
    sends.join().expect("no panic").expect("it went");
}

#[test]
fn connects_to_the_process_that_bound_last_and_replaces_stale_sockets() {
    let folder = Folder::new("place");
    assert!(Peer::connect(&folder.0).is_err(), "nobody serves yet");
    drop(UpgradeSocket::bind(&folder.0).expect("a place"));
    assert!(Peer::connect(&folder.0).is_err(), "the one that ended has left its socket behind");
    let first = UpgradeSocket::bind(&folder.0).expect("the place of one that ended");
    let second = UpgradeSocket::bind(&folder.0).expect("the place of one that serves");
    let caller = Peer::connect(&folder.0).expect("the second serves");
    caller.send(&Message::RequestState, None).expect("it goes");
    assert_eq!(second.accept().expect("a caller").receive(LONG).expect("it asks").0, Message::RequestState);
    drop(first);
}

/// Sends bytes to a peer and returns the messages that it received.
fn received(bytes: &[u8]) -> Vec<Message> {
    let folder = std::env::temp_dir().join(format!("snowfield-received-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let socket = UpgradeSocket::bind(&folder).expect("a place");
    let mut caller = UnixStream::connect(UpgradeSocket::path(&folder)).expect("it listens");
    let peer = socket.accept().expect("a caller");
    caller.write_all(bytes).expect("it takes them");
    drop(caller);
    std::iter::from_fn(|| peer.receive(LONG).ok()).map(|(message, _)| message).collect()
}

#[test]
fn garbage_ends_the_connection() {
    assert!(received(&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes()).is_empty());
    assert!(received(&[9, 0, 0, 0, 0]).is_empty(), "cut short");
    assert!(received(&[1, 0, 0, 0, 99]).is_empty(), "no such kind");
    assert_eq!(received(&[1, 0, 0, 0, 1]), [Message::RequestState]);
    fuzz_inputs::survives_garbage(&[2, 0, 0, 0, 0, 1, 1, 0, 0, 0, 1], |pieces| {
        drop(received(&pieces.concat()))
    });
}
