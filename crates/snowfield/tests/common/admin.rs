//! A gatekeeper with an admin listener, as operators use it.

use super::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};

/// Sends a command to an admin listener and returns the whole reply.
pub fn call(admin: SocketAddr, line: &str) -> String {
    send_bytes(admin, format!("{line}\n").as_bytes())
}

pub fn send_bytes(admin: SocketAddr, bytes: &[u8]) -> String {
    let mut caller = TcpStream::connect(admin).expect("the admin listener accepts");
    caller.set_read_timeout(Some(TIMEOUT)).expect("a time-out can be set");
    caller.write_all(bytes).expect("the admin listener reads");
    let mut reply = String::new();
    caller.read_to_string(&mut reply).expect("a reply and an end");
    reply
}

/// The metric of this name in a reply to `telemetry`.
pub fn metric(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} in {text}")).parse().expect("a number")
}

pub fn site_with_admin(test: &str, shape: &Shape<'_>) -> (Site, SocketAddr) {
    let folder = TestDirectory::new(&format!("{test}-tmp"));
    let tmp = folder.path().to_str().expect("a path in UTF-8");
    let mut site = site_with(test, shape, &[("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", tmp)]);
    site.shared = Some(folder);
    let admin = site.admin.expect("operators are answered");
    (site, admin)
}

/// A backend that replies to this request at a signal only, and does this with all others.
pub fn holds(
    number: u32,
    others: fn(&[String]) -> Behaviour,
) -> (SocketAddr, Receiver<BackendEvent<Vec<String>>>, Sender<()>) {
    let (release, word) = channel();
    let word = std::sync::Mutex::new(Some(word));
    let (at, seen) = backend(read_resp_command, move |words| {
        if words[2] != id(number) {
            return others(words);
        }
        let word = word.lock().expect("no stand-in panics").take().expect("one request");
        Behaviour::ReplyAfter(word, backend_reply(&words[2]))
    });
    (at, seen, release)
}

/// Starts the successor of a site's process, as an upgrade does, and waits until it is ready.
pub fn start_successor(site: &Site) -> (Program, SocketAddr) {
    let path = site.folder.path().join("config.json");
    let tmp = &site.shared.as_ref().expect("a directory that both share").path();
    let variables = [
        ("BALANCER_CONFIG", path.to_str().expect("a path in UTF-8")),
        ("BALANCER_OPERATOR", "127.0.0.1:0"),
        ("TMPDIR", tmp.to_str().expect("a path in UTF-8")),
    ];
    let program = Program::start(&[], &variables);
    let admin = program.logged_field("admin listener open", "address").parse().expect("an address");
    while call(admin, "readyz") != "OK\n" {}
    (program, admin)
}
