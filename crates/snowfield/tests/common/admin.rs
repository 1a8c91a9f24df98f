//! A gatekeeper with an admin listener, as operators use it.

use super::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};

/// Calls an operator's door and returns the whole reply.
pub fn call(door: SocketAddr, line: &str) -> String {
    say(door, format!("{line}\n").as_bytes())
}

pub fn say(door: SocketAddr, bytes: &[u8]) -> String {
    let mut caller = TcpStream::connect(door).expect("the door is open");
    caller.set_read_timeout(Some(LONG)).expect("a time-out can be set");
    caller.write_all(bytes).expect("the door takes it");
    let mut reply = String::new();
    caller.read_to_string(&mut reply).expect("a reply and an end");
    reply
}

/// The figure of this name in a reply to `telemetry`.
pub fn figure(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} in {text}")).parse().expect("a number")
}

pub fn operated(test: &str, shape: &Shape<'_>) -> (Site, SocketAddr) {
    let folder = Folder::new(&format!("{test}-tmp"));
    let tmp = folder.0.to_str().expect("a path in UTF-8");
    let mut site = site_with(test, shape, &[("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", tmp)]);
    site.shared = Some(folder);
    let door = site.door.expect("operators are answered");
    (site, door)
}

/// A destination that serves this request at a word only, and does this with all others.
pub fn holds(
    number: u32,
    others: fn(&[String]) -> Does,
) -> (SocketAddr, Receiver<Seen<Vec<String>>>, Sender<()>) {
    let (release, word) = channel();
    let word = std::sync::Mutex::new(Some(word));
    let (at, seen) = destination(command, move |words| {
        if words[2] != id(number) {
            return others(words);
        }
        let word = word.lock().expect("no stand-in panics").take().expect("one request");
        Does::SayAfter(word, value(&words[2]))
    });
    (at, seen, release)
}

/// Starts the next program beside the one of a site, as an upgrade does, and waits until it says yes.
pub fn beside(site: &Site) -> (Program, SocketAddr) {
    let path = site.folder.0.join("config.json");
    let tmp = &site.shared.as_ref().expect("a folder that both have").0;
    let variables = [
        ("BALANCER_CONFIG", path.to_str().expect("a path in UTF-8")),
        ("BALANCER_OPERATOR", "127.0.0.1:0"),
        ("TMPDIR", tmp.to_str().expect("a path in UTF-8")),
    ];
    let program = Program::start(&[], &variables);
    let door = program.logged("operators are answered on ").parse().expect("an address");
    while call(door, "readyz") != "OK\n" {}
    (program, door)
}
