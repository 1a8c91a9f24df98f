//! Frames, descriptors and what is none.

use handover::{LARGEST_FRAME, Message, Peer, Place, VERSION};
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
fn a_listener_goes_from_one_to_the_other_and_still_accepts() {
    let (one, two) = Peer::pair().expect("a pair");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    one.send(&Message::Client { begun: b"*4\r\n".to_vec() }, Some(listener.as_fd())).expect("it goes");
    one.send(&Message::Hello { version: VERSION }, None).expect("it goes");
    drop(listener);
    let mut client = TcpStream::connect(at).expect("the one under way still listens");
    let (message, descriptor) = two.receive(LONG).expect("it comes");
    assert_eq!(message, Message::Client { begun: b"*4\r\n".to_vec() });
    let listener = TcpListener::from(descriptor.expect("with its descriptor"));
    listener.accept().expect("who came meanwhile").0.write_all(b"x").expect("it is open");
    client.read_exact(&mut [0]).expect("it is served");
    let (message, descriptor) = two.receive(LONG).expect("it comes");
    assert_eq!((message, descriptor.is_none()), (Message::Hello { version: VERSION }, true));
}

#[test]
fn a_large_state_goes_whole() {
    let (one, two) = Peer::pair().expect("a pair");
    let message = Message::State {
        module: vec![7; 3 << 20],
        destinations: vec![],
        plans: vec![],
        classes: vec![],
        held: vec![],
    };
    let sent = message.clone();
    let sends = std::thread::spawn(move || one.send(&sent, None));
    assert_eq!(two.receive(LONG).expect("it comes").0, message);
    sends.join().expect("no panic").expect("it went");
}

#[test]
fn who_serves_is_called_at_its_place_and_a_stale_one_is_taken() {
    let folder = Folder::new("place");
    assert!(Peer::call(&folder.0).is_err(), "nobody serves yet");
    drop(Place::take(&folder.0).expect("a place"));
    assert!(Peer::call(&folder.0).is_err(), "the one that ended has left its socket behind");
    let first = Place::take(&folder.0).expect("the place of one that ended");
    let second = Place::take(&folder.0).expect("the place of one that serves");
    let caller = Peer::call(&folder.0).expect("the second serves");
    caller.send(&Message::Take, None).expect("it goes");
    assert_eq!(second.accept().expect("a caller").receive(LONG).expect("it asks").0, Message::Take);
    drop(first);
}

/// Feeds bytes to a peer and tells what it made of them.
fn fed(bytes: &[u8]) -> Vec<Message> {
    let folder = std::env::temp_dir().join(format!("snowfield-fed-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let place = Place::take(&folder).expect("a place");
    let mut caller = UnixStream::connect(Place::path(&folder)).expect("it listens");
    let peer = place.accept().expect("a caller");
    caller.write_all(bytes).expect("it takes them");
    drop(caller);
    std::iter::from_fn(|| peer.receive(LONG).ok()).map(|(message, _)| message).collect()
}

#[test]
fn garbage_is_hung_up_on() {
    assert!(fed(&(LARGEST_FRAME as u32 + 1).to_le_bytes()).is_empty());
    assert!(fed(&[9, 0, 0, 0, 0]).is_empty(), "cut short");
    assert!(fed(&[1, 0, 0, 0, 99]).is_empty(), "no such kind");
    assert_eq!(fed(&[1, 0, 0, 0, 1]), [Message::Take]);
    cuts::survives_garbage(&[2, 0, 0, 0, 0, 1, 1, 0, 0, 0, 1], |pieces| drop(fed(&pieces.concat())));
}
