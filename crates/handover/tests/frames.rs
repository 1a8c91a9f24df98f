//! Exchange of frames and descriptors between two peers, and rejection of malformed frames.

mod common;

use common::{RECEIVE_TIMEOUT, SocketDirectory};
use handover::{MAX_FRAME_BYTES, Message, PROTOCOL_VERSION, Peer, UpgradeSocket};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;

#[test]
fn a_listener_is_passed_on_and_still_accepts() {
    let (sender, receiver) = Peer::pair().expect("a pair");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let with_descriptor = Message::ClientConnection { partial_request: b"*4\r\n".to_vec() };
    let without_descriptor = Message::Hello { version: PROTOCOL_VERSION };
    sender.send(&with_descriptor, Some(listener.as_fd())).expect("the message is sent");
    sender.send(&without_descriptor, None).expect("the message is sent");
    drop(listener);
    let mut client = TcpStream::connect(address).expect("the listener in transit still listens");

    let (message, descriptor) = receiver.receive(RECEIVE_TIMEOUT).expect("a message");
    assert_eq!(message, with_descriptor);
    let listener = TcpListener::from(descriptor.expect("a descriptor"));
    let (mut accepted, _) = listener.accept().expect("the client that connected meanwhile");
    accepted.write_all(b"x").expect("the connection is open");
    client.read_exact(&mut [0]).expect("a byte");

    let (message, descriptor) = receiver.receive(RECEIVE_TIMEOUT).expect("a message");
    assert_eq!((message, descriptor.is_none()), (without_descriptor, true));
}

#[test]
fn a_large_state_arrives_complete() {
    let (sender, receiver) = Peer::pair().expect("a pair");
    let message = Message::State {
        policy_snapshot: vec![7; 3 << 20],
        backends: vec![],
        plans: vec![],
        classes: vec![],
        ejected: vec![],
    };
    let sent = message.clone();
    let sending = std::thread::spawn(move || sender.send(&sent, None));
    assert_eq!(receiver.receive(RECEIVE_TIMEOUT).expect("a message").0, message);
    sending.join().expect("the sending thread did not panic").expect("the message is sent");
}

#[test]
fn connects_to_the_process_that_bound_last_and_replaces_stale_sockets() {
    let directory = SocketDirectory::new("bind");
    assert!(Peer::connect(directory.path()).is_err(), "no process serves yet");
    drop(UpgradeSocket::bind(directory.path()).expect("a socket"));
    assert!(
        Peer::connect(directory.path()).is_err(),
        "only a stale socket is left of the process that ended"
    );
    let first = UpgradeSocket::bind(directory.path()).expect("binding replaces a stale socket");
    let second =
        UpgradeSocket::bind(directory.path()).expect("binding replaces the socket of a live process");
    let successor = Peer::connect(directory.path()).expect("the second process listens");
    successor.send(&Message::RequestState, None).expect("the message is sent");
    let predecessor = second.accept().expect("a connection");
    assert_eq!(predecessor.receive(RECEIVE_TIMEOUT).expect("a message").0, Message::RequestState);
    drop(first);
}

#[test]
fn malformed_frames_end_the_connection() {
    let directory = SocketDirectory::new("malformed");
    let too_long = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes();
    assert!(directory.messages_from(&too_long).is_empty());
    assert!(directory.messages_from(&[9, 0, 0, 0, 0]).is_empty(), "a truncated frame");
    assert!(directory.messages_from(&[1, 0, 0, 0, 99]).is_empty(), "an unknown variant");
    assert_eq!(directory.messages_from(&[1, 0, 0, 0, 1]), [Message::RequestState]);
    fuzz_inputs::assert_no_panic_on_malformed_input(&[2, 0, 0, 0, 0, 1, 1, 0, 0, 0, 1], |pieces| {
        drop(directory.messages_from(&pieces.concat()))
    });
}
