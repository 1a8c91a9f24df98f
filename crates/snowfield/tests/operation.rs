//! Daily operation: the program is called, read and told what to do as its staff does it.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};

/// Calls an operator's door and returns the whole reply.
fn call(door: SocketAddr, line: &str) -> String {
    say(door, format!("{line}\n").as_bytes())
}

fn say(door: SocketAddr, bytes: &[u8]) -> String {
    let mut caller = TcpStream::connect(door).expect("the door is open");
    caller.set_read_timeout(Some(LONG)).expect("a time-out can be set");
    caller.write_all(bytes).expect("the door takes it");
    let mut reply = String::new();
    caller.read_to_string(&mut reply).expect("a reply and an end");
    reply
}

/// The figure of this name in a reply to `telemetry`.
fn figure(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} in {text}")).parse().expect("a number")
}

fn operated(test: &str, shape: &Shape<'_>) -> (Site, SocketAddr) {
    let folder = Folder::new(&format!("{test}-tmp"));
    let tmp = folder.0.to_str().expect("a path in UTF-8");
    let mut site = site_with(test, shape, &[("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", tmp)]);
    site.shared = Some(folder);
    let door = site.door.expect("operators are answered");
    (site, door)
}

/// A destination that serves this request at a word only, and does this with all others.
fn holds(
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

#[test]
fn the_admin_listener_answers_commands_and_rejects_others() {
    let (site, door) = operated("door", &Shape::default());
    assert_eq!(call(door, "readyz"), "OK\n");
    let text = call(door, "telemetry");
    assert!(text.starts_with("OK\n") && text.ends_with("\nEND\n"), "{text}");
    for bad in ["", "stop", "exclude", "exclude s-unknown", "include s-unknown", "readyz now"] {
        let reply = call(door, bad);
        assert!(reply.starts_with("ERR ") && reply.lines().count() == 1, "{bad:?}: {reply:?}");
    }
    // Several lines, an endless line and garbage get one reply each.
    assert_eq!(say(door, b"readyz\nreadyz\nreadyz\n"), "OK\n");
    assert!(say(door, &[b'x'; 600]).starts_with("ERR "));
    assert!(say(door, b"\xff\xfe\n").starts_with("ERR "));
    drop(site);
}

/// Guards the 1 s in which a caller is answered: callers who complete no call must not keep others waiting.
#[test]
fn clients_that_complete_no_command_delay_nobody() {
    let (site, door) = operated("stuck", &Shape::default());
    let stuck: Vec<TcpStream> = (0..60)
        .map(|number| {
            let mut caller = TcpStream::connect(door).expect("the door is open");
            // Those whose place was taken may have been closed already.
            let _ = caller.write_all(&b"telem"[..number % 6]);
            caller
        })
        .collect();
    for _ in 0..20 {
        let begun = std::time::Instant::now();
        assert_eq!(call(door, "readyz"), "OK\n");
        assert!(begun.elapsed().as_millis() < 1000, "{:?}", begun.elapsed());
    }
    drop((stuck, site));
}

#[test]
fn a_bad_operator_address_is_rejected_at_the_start() {
    let folder = Folder::new("bad-door");
    let path = folder.write("config.json", &config(nobody(), &Shape::default()));
    let (good, text) = run(&[], &[("BALANCER_CONFIG", &path), ("BALANCER_OPERATOR", "9600")]);
    assert!(!good && text.contains("BALANCER_OPERATOR"), "{text}");
}

/// Guards the figures: each operation ends in exactly one of them, and each attempt that was written whole counts.
#[test]
fn metrics_agree_with_what_clients_and_backends_saw() {
    let (at, seen) = destination(command, |words| match words[2].as_bytes().last() {
        Some(b'1') => Does::Say(b"-ERR failed\r\n".to_vec()),
        Some(b'2') => Does::Nothing,
        _ => Does::Say(value(&words[2])),
    });
    let shape = Shape { destinations: &[at], attempts: 1, ..Shape::default() };
    let (site, door) = operated("figures", &shape);
    // One client at a time: as long as its request is open it is pending.
    let mut waits = Client::connect(site.listen);
    waits.send(&query(0xf2, 2400, 1));
    asked(&seen);
    assert_eq!(figure(&call(door, "telemetry"), "balancer_pending"), 1);
    drop(waits);
    let (mut served, mut refused, mut failed) = (0, 0, 0);
    let mut client = Client::connect(site.listen);
    for number in 0..40 {
        client.send(&query(number * 16 + [0, 1, 3][number as usize % 3], 600, 1));
        match client.reply() {
            text if text.starts_with("-BUSY") => refused += 1,
            text if text.starts_with("-ERR") => failed += 1,
            _ => served += 1,
        }
    }
    client.send(&words(&["NONSENSE"]));
    assert!(client.reply().starts_with("-ERR"));
    let text = call(door, "telemetry");
    let of = |name: &str| figure(&text, &format!("balancer_{name}_total{{lane=\"lookup\"}}"));
    assert_eq!((of("completed"), of("rejected"), of("failed")), (served, refused, failed));
    assert_eq!(figure(&text, "balancer_pending"), 0, "who left is not pending");
    assert_eq!(figure(&text, "balancer_upstream_requests_total"), 1 + all_asked(&seen).len() as u64);
    assert!(served > 0 && refused > 0, "a mixed run: {served} {refused} {failed}");
    assert_eq!(figure(&text, "balancer_members"), 1);
}

/// Guards the ban: it holds whatever the list says, and ends with one call back however often it was called out.
#[test]
fn an_ejected_backend_gets_nothing_until_it_is_restored() {
    let ((one, seen_one), (two, seen_two)) = (echo(), echo());
    let (site, door) = operated("out", &Shape { destinations: &[one, two], ..Shape::default() });
    for _ in 0..2 {
        assert_eq!(call(door, "exclude s-0"), "OK\n");
    }
    assert_eq!(figure(&call(door, "telemetry"), "balancer_members_unavailable"), 1);
    let mut number = 0;
    let mut ask = |site: &Site, times| {
        let mut client = Client::connect(site.listen);
        for _ in 0..times {
            number += 1;
            client.send(&query_by_another(number));
            client.reply();
        }
    };
    ask(&site, 6);
    // A list in which it goes and comes back changes nothing.
    for (rev, state, members) in [(41, "removed", 1), (42, "up", 2)] {
        site.watch.send(list(rev, false, &[host("s-0", one, state)])).expect("the agent writes");
        while figure(&call(door, "telemetry"), "balancer_members") != members {}
        ask(&site, 6);
    }
    assert_eq!(all_asked(&seen_one).len(), 0, "it is out");
    assert!(!all_asked(&seen_two).is_empty());
    assert_eq!(call(door, "exclude s-1"), "OK\n");
    let mut client = Client::connect(site.listen);
    client.send(&query_by_another(1000));
    assert!(client.reply().starts_with("-BUSY"), "with all out it is refused at once");
    assert_eq!(call(door, "include s-0"), "OK\n");
    let begun = std::time::Instant::now();
    while all_asked(&seen_one).is_empty() {
        ask(&site, 1);
        assert!(begun.elapsed() < LONG, "it is used again");
    }
    assert_eq!(all_asked(&seen_two).len(), 0, "the other one is still out");
    // One that has left the list can be called back, and is nobody's after that.
    site.watch.send(list(43, false, &[host("s-1", two, "removed")])).expect("the agent writes");
    while figure(&call(door, "telemetry"), "balancer_members") != 1 {}
    assert_eq!(call(door, "include s-1"), "OK\n");
    assert_eq!(call(door, "include s-1"), "ERR no such loan server\n");
    assert_eq!(call(door, "exclude s-1"), "ERR no such loan server\n");
}

/// Starts the next program beside the one of a site, as an upgrade does, and waits until it says yes.
fn beside(site: &Site) -> (Program, SocketAddr) {
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

/// Guards those who stand at the door: an upgrade under load must not reset, close on or leave unread a single request.
#[test]
fn upgrades_under_load_lose_no_request() {
    use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
    let (at, _seen) = echo();
    let (mut site, _) = operated("upgrade-load", &Shape { destinations: &[at], ..Shape::default() });
    let (stop, number) = (AtomicBool::new(false), AtomicU32::new(1));
    let listen = site.listen;
    std::thread::scope(|scope| {
        for kept in [false, false, true, true] {
            let (stop, number) = (&stop, &number);
            scope.spawn(move || {
                let mut client = Client::connect(listen);
                while !stop.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    if !kept {
                        client = Client::connect(listen);
                    }
                    client.send(&query_by_another(number));
                    let reply = client.reply();
                    assert!(reply == id(number) || reply.starts_with("-BUSY"), "{number}: {reply}");
                }
            });
        }
        for _ in 0..4 {
            let (next, _) = beside(&site);
            let mut old = std::mem::replace(&mut site.program, next);
            old.terminate();
            assert_eq!(old.wait(), Some(0));
            let served = number.load(Ordering::Relaxed);
            while number.load(Ordering::Relaxed) < served + 300 {
                std::thread::yield_now();
            }
        }
        stop.store(true, Ordering::Relaxed);
    });
    assert!(number.into_inner() > 1200);
}

/// Guards the take-over: while a connection waits to be passed on it is not read, and the end of its client was not seen.
#[test]
fn a_client_that_disconnects_before_its_connection_is_passed_on_cancels_its_request() {
    let (at, seen, _release) = holds(10, |words| Does::Say(value(&words[2])));
    let (site, _door) = operated("upgrade-left", &Shape { destinations: &[at], ..Shape::default() });
    let mut waits = Client::connect(site.listen);
    waits.send(&query_by_another(10));
    asked(&seen);
    let (_next, _) = beside(&site);
    // More than is read ahead, unread as well.
    waits.send(&[b'x'; 100_000]);
    let begun = std::time::Instant::now();
    drop(waits);
    site.program.line("another program serves now");
    while site.program.open_connections_to(at) > 0 {
        assert!(begun.elapsed().as_millis() < 1_000, "its attempt is given up: {:?}", begun.elapsed());
    }
}

/// Guards what stands between two programs: a request that is answered by the old one, half a request, an idle connection, and
/// the stores, which must not be filled anew.
#[test]
fn the_successor_continues_from_the_predecessors_state() {
    let (at, seen, release) = holds(10, |words| Does::Say(value(&words[2])));
    let (mut site, door) = operated("upgrade-state", &Shape { destinations: &[at], ..Shape::default() });
    let (mut idle, mut half, mut waits) =
        (Client::connect(site.listen), Client::connect(site.listen), Client::connect(site.listen));
    // The whole store of a customer is spent.
    idle.send(&query(1, 2400, 8));
    assert_eq!(idle.reply(), id(1));
    let whole = query_by_another(2);
    half.send(&whole[..40]);
    waits.send(&query_by_another(10));
    asked(&seen);
    asked(&seen);
    assert_eq!(call(door, "exclude s-unknown"), "ERR no such loan server\n");
    let (next, next_door) = beside(&site);
    // What comes behind the open request is read by the next program, once the old one has answered.
    waits.send(&query_by_another(3));
    half.send(&whole[40..]);
    assert_eq!(half.reply(), id(2));
    idle.send(&query(4, 2400, 8));
    assert!(idle.reply().starts_with("-BUSY"), "the store is as empty as it was");
    release.send(()).expect("the stand-in waits");
    assert_eq!([waits.reply(), waits.reply()], [id(10), id(3)]);
    let completed = |door| figure(&call(door, "telemetry"), "balancer_completed_total{lane=\"lookup\"}");
    assert_eq!((completed(door), completed(next_door)), (2, 2), "each counts what it ended");
    let mut old = std::mem::replace(&mut site.program, next);
    old.terminate();
    assert_eq!(old.wait(), Some(0));
    idle.send(&query_by_another(5));
    assert_eq!(idle.reply(), id(5));
}

/// Guards the ban over an upgrade: a call to either program binds both, and holds outlive the program that was called.
#[test]
fn an_ejection_binds_both_processes_and_later_ones() {
    let ((one, seen_one), (two, _seen)) = (echo(), echo());
    let (mut site, door) = operated("upgrade-hold", &Shape { destinations: &[one, two], ..Shape::default() });
    let unavailable = |door| figure(&call(door, "telemetry"), "balancer_members_unavailable");
    assert_eq!(call(door, "exclude s-0"), "OK\n");
    let (next, next_door) = beside(&site);
    assert_eq!((unavailable(door), unavailable(next_door)), (1, 1));
    assert_eq!(call(next_door, "exclude s-1"), "OK\n");
    assert_eq!(unavailable(door), 2, "the old one hears of it before the yes");
    assert_eq!(call(door, "include s-1"), "OK\n");
    assert_eq!(unavailable(next_door), 1);
    let mut old = std::mem::replace(&mut site.program, next);
    old.terminate();
    assert_eq!(old.wait(), Some(0));
    let mut client = Client::connect(site.listen);
    for number in 1..20 {
        client.send(&query_by_another(number));
        assert_eq!(client.reply(), id(number));
    }
    assert_eq!(all_asked(&seen_one).len(), 0);
    // One that ended without a word has left a file.
    site.program.signal("-KILL");
    site.program.wait();
    let (last, last_door) = beside(&site);
    assert_eq!(unavailable(last_door), 1);
    assert_eq!(call(last_door, "include s-0"), "OK\n");
    assert_eq!(unavailable(last_door), 0);
    drop(last);
}

/// Guards against a new program that dies unheard: the one before it serves on with what the other has left, and neither
/// fills a store twice nor forgets what is in it.
#[test]
fn a_predecessor_whose_successor_dies_serves_with_what_is_left() {
    let (at, _seen) = echo();
    let (site, door) = operated("upgrade-back", &Shape { destinations: &[at], ..Shape::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.reply(), id(1));
    let (next, _) = beside(&site);
    // A lender's store holds 8 units. The next program lets in 5 of the 7 that are left.
    let mut client = Client::connect(site.listen);
    client.send(&query(2, 2400, 5));
    assert_eq!(client.reply(), id(2));
    next.signal("-KILL");
    let end = site.program.logged("upgrade: the other program has ended");
    assert_eq!(end, "; this one serves on, with what the other left");
    let mut client = Client::connect(site.listen);
    client.send(&query(3, 2400, 8));
    assert!(client.reply().starts_with("-BUSY"), "6 of 8 units are spent");
    client.send(&query(4, 2400, 1));
    assert_eq!(client.reply(), id(4), "2 of 8 are left");
    assert_eq!(call(door, "readyz"), "OK\n");
}

/// Guards a start beside a socket or a file that is of no use: it is passed over, and the program serves.
#[test]
fn damaged_files_of_an_earlier_process_are_ignored() {
    let (at, _seen) = echo();
    let folder = Folder::new("upgrade-stale");
    folder.write("snowfield.sock", "no socket");
    folder.write("snowfield.held", "snowfield held 1 3\ns-0\n");
    let tmp = folder.0.to_str().expect("a path in UTF-8");
    let variables = [("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", tmp)];
    let site =
        site_with("upgrade-stale-site", &Shape { destinations: &[at], ..Shape::default() }, &variables);
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.reply(), id(1));
}

/// Guards operations under way: a class that vanishes is kept by those that came with it, a new one is let in, and a bad file
/// changes nothing.
#[test]
fn new_settings_are_in_force_at_once_and_a_bad_file_changes_nothing() {
    let (at, seen, release) = holds(10, |words| match words[2].as_str() {
        "0000000000000014" => Does::Close,
        _ => Does::Say(value(&words[2])),
    });
    let shape = Shape { destinations: &[at], ..Shape::default() };
    let (site, door) = operated("retune", &shape);
    let (mut waits, mut client) = (Client::connect(site.listen), Client::connect(site.listen));
    waits.send(&query_by_another(10));
    asked(&seen);
    let good = config(site.agent.address, &shape);
    let other =
        good.replace(r#""name":"lookup""#, r#""name":"notice""#).replace("read_like", "non_idempotent");
    let reload = |text: &str, line: &str| {
        site.folder.write("config.json", text);
        site.program.signal("-HUP");
        site.program.logged(line)
    };
    reload(&other, "reload: settings taken");
    client.send(&query_by_another(11));
    assert_eq!(client.reply(), "-ERR no such class");
    let submit = |number: u32| {
        let list = "c=notice,t=team,d=2400,units=1,spread=1,first=0";
        words(&["SVC.SUBMIT", &format!("{number:016x}"), &id(number), list, "body"])
    };
    client.send(&submit(12));
    assert_eq!(client.reply(), id(12), "the class that appeared is served");
    client.send(&submit(20));
    assert_eq!(client.reply(), "-ERR failed", "and never sent again where it may have run");
    for bad in [
        "",
        &other[..other.len() / 2],
        &other.replace("2500000", "0"),
        &other.replace("max-attempts", "most"),
    ] {
        reload(bad, "the old settings stay");
        client.send(&submit(13));
        assert_eq!(client.reply(), id(13));
    }
    release.send(()).expect("the stand-in waits");
    assert_eq!(waits.reply(), id(10), "it keeps the class that it came with");
    let text = call(door, "telemetry");
    let of = |name: &str, class: &str| figure(&text, &format!("balancer_{name}_total{{lane=\"{class}\"}}"));
    assert_eq!((of("completed", "lookup"), of("completed", "notice"), of("failed", "notice")), (1, 5, 1));
    assert_eq!(figure(&text, "balancer_config_reloads_total"), 1);
    assert_eq!(figure(&text, "balancer_config_reload_errors_total"), 4);
}

/// A value of this many bytes, no two neighbours alike.
fn large(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|at| b'a' + (at % 23) as u8).collect()
}

fn framed(value: &[u8], behind: &str) -> Vec<u8> {
    [format!("*3\r\n${}\r\n", value.len()).as_bytes(), value, b"\r\n", behind.as_bytes()].concat()
}

const BEHIND: &str = "$-1\r\n$34\r\ninflight=7,queue=2,latency_ms=51.0\r\n";

/// A destination that answers each request by this, which is given its connection.
fn writes(
    answer: impl Fn(&[String], &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    listen(move |stream| {
        let mut out = stream.try_clone().expect("a second handle");
        let mut requests = std::io::BufReader::new(stream);
        while let Some(words) = command(&mut requests) {
            if answer(&words, &mut out).is_err() {
                return;
            }
        }
    })
}

/// Reads one bulk string.
fn bulk(client: &mut Client) -> std::io::Result<Vec<u8>> {
    use std::io::BufRead;
    let mut head = String::new();
    client.reads.read_line(&mut head)?;
    let length: usize = head.trim().strip_prefix('$').expect("a bulk string").parse().expect("a length");
    let mut value = vec![0; length + 2];
    client.reads.read_exact(&mut value)?;
    assert_eq!(value.split_off(length), b"\r\n");
    Ok(value)
}

/// Guards large values: they go on unchanged whatever the pieces, their first bytes before the last have come, and what is
/// pipelined behind them stays in order.
#[test]
fn a_large_value_is_streamed() {
    let (release, word) = channel();
    let word = std::sync::Mutex::new(word);
    let value = large(3_000_001);
    let at = writes(move |words, out| {
        if words[2] != id(1) {
            return out.write_all(&framed(words[2].as_bytes(), BEHIND));
        }
        let whole = framed(&value, BEHIND);
        out.write_all(&whole[..70_000])?;
        word.lock().expect("no stand-in panics").recv().expect("the test goes on");
        for piece in whole[70_000..].chunks(4_999) {
            out.write_all(piece)?;
        }
        Ok(())
    });
    let (site, door) = operated("large", &Shape { destinations: &[at], ..Shape::default() });
    let mut client = Client::connect(site.listen);
    client.send(&[query_by_another(1), query_by_another(2), words(&["PING"])].concat());
    let mut first = [0; 40_000];
    client.reads.read_exact(&mut first).expect("the first bytes come before the last");
    assert!(first.starts_with(b"$3000001\r\nabcdef"));
    assert_eq!(figure(&call(door, "telemetry"), "balancer_pending"), 1, "it goes on");
    release.send(()).expect("the stand-in waits");
    let mut rest = vec![0; 3_000_001 + 12 - first.len()];
    client.reads.read_exact(&mut rest).expect("the rest");
    let whole = [&first[..], &rest].concat();
    assert!(whole[10..3_000_011] == large(3_000_001)[..] && whole.ends_with(b"\r\n"));
    assert_eq!([client.reply(), client.reply()], [id(2), "+PONG".to_owned()]);
    let text = call(door, "telemetry");
    assert_eq!(figure(&text, "balancer_completed_total{lane=\"lookup\"}"), 2);
    assert_eq!(figure(&text, "balancer_pending"), 0);
}

/// Guards memory: many large values at once, whose clients do not read, hold a window each, and others are served meanwhile.
#[test]
fn clients_that_do_not_read_hold_little_memory_and_delay_nobody() {
    let value = large(4 << 20);
    let at = writes(move |words, out| {
        let value = if words[2].starts_with("000000000000f") { words[2].as_bytes() } else { &value };
        out.write_all(&framed(value, BEHIND))
    });
    let (site, door) = operated("slow-clients", &Shape { destinations: &[at], ..Shape::default() });
    let mut slow: Vec<Client> = (1..=40)
        .map(|number| {
            let mut client = Client::connect(site.listen);
            client.send(&query_by_another(number));
            client.reads.read_exact(&mut [0; 1]).expect("its value has begun");
            client
        })
        .collect();
    let mut other = Client::connect(site.listen);
    for number in 0..20 {
        other.send(&query_by_another(0xf000 + number));
        assert_eq!(other.reply(), id(0xf000 + number));
    }
    let kilobytes = site.program.memory_kb();
    assert!(kilobytes < 64 * 1024, "160 MB are under way, and {kilobytes} kB are held");
    // Who leaves is no longer pending; who reads in the end has the whole value.
    let mut last = slow.pop().expect("there are 40");
    drop(slow);
    let mut rest = vec![0; (4 << 20) + 11];
    last.reads.read_exact(&mut rest).expect("all of it");
    assert!(rest[..9] == *b"4194304\r\n" && rest[9..][..4 << 20] == large(4 << 20)[..]);
    while figure(&call(door, "telemetry"), "balancer_pending") > 0 {}
}

/// Guards clients against half a value taken for a whole one: where it breaks off, or what stands behind it is not sound, the
/// connection ends, and nothing follows on it.
#[test]
fn a_broken_large_value_closes_the_connection() {
    let value = large(200_000);
    let at = writes(move |words, out| {
        let whole = framed(&value, BEHIND);
        match words[2].as_str() {
            "0000000000000001" => {
                out.write_all(&whole[..150_000])?;
                Err(std::io::ErrorKind::Other.into())
            }
            "0000000000000002" => {
                let longer = [&whole[..200_011], b"longer than it says", &whole[200_011..]].concat();
                out.write_all(&longer)
            }
            "0000000000000003" => out.write_all(&framed(&value, "$-1\r\n$x\r\n")),
            _ => out.write_all(&whole),
        }
    });
    let (site, door) = operated("spoilt-large", &Shape { destinations: &[at], ..Shape::default() });
    for number in 1..=3 {
        let mut client = Client::connect(site.listen);
        client.send(&[query_by_another(number), words(&["PING"])].concat());
        let mut got = Vec::new();
        // A reset is an end as well.
        let _ = client.reads.read_to_end(&mut got);
        assert!(got.len() < 200_011, "{number}: {} bytes of 200011", got.len());
    }
    let mut client = Client::connect(site.listen);
    client.send(&query_by_another(4));
    assert_eq!(bulk(&mut client).expect("a whole one"), large(200_000));
    let text = call(door, "telemetry");
    let of = |name: &str| figure(&text, &format!("balancer_{name}_total{{lane=\"lookup\"}}"));
    assert_eq!((of("completed"), of("failed"), of("rejected")), (1, 3, 0));
}

/// Guards heads that come slowly: a command may take a client 2 s.
#[test]
fn a_client_may_take_two_seconds_for_a_command() {
    let (at, _seen) = echo();
    let site = site("slow-head", &Shape { destinations: &[at], ..Shape::default() });
    let mut client = Client::connect(site.listen);
    let whole = query_by_another(1);
    let begun = std::time::Instant::now();
    client.send(&whole[..10]);
    client
        .reads
        .get_ref()
        .set_read_timeout(Some(std::time::Duration::from_millis(1_950)))
        .expect("it can be set");
    assert!(client.reads.read(&mut [0; 1]).is_err(), "nothing is said to half a command");
    assert!(begun.elapsed().as_millis() < 2_200);
    client.reads.get_ref().set_read_timeout(Some(LONG)).expect("it can be set");
    client.send(&whole[10..]);
    assert_eq!(client.reply(), id(1));
}

/// Guards the one that serves against a start that fails: a bad file, or a door that is taken.
#[test]
fn a_failed_start_leaves_the_predecessor_serving() {
    let (at, _seen) = echo();
    let (site, door) = operated("failed-start", &Shape { destinations: &[at], ..Shape::default() });
    let tmp = site.shared.as_ref().expect("a folder that both have").0.to_str().expect("a path in UTF-8");
    let good = site.folder.0.join("config.json");
    let bad = site.folder.write("bad.json", "{\"name\":\"n0\"");
    let taken = door.to_string();
    for (file, at, told) in [
        (bad.as_str(), "127.0.0.1:0", "bad.json"),
        (good.to_str().expect("a path"), taken.as_str(), "operator"),
    ] {
        let (done, text) = run(&[], &[("BALANCER_CONFIG", file), ("BALANCER_OPERATOR", at), ("TMPDIR", tmp)]);
        assert!(!done && text.contains(told), "{text}");
        let mut client = Client::connect(site.listen);
        client.send(&query_by_another(1));
        assert_eq!(client.reply(), id(1));
    }
    assert_eq!(call(door, "readyz"), "OK\n");
}

/// Guards a second upgrade that comes before the first has ended, and an old program that is killed in the middle.
#[test]
fn a_nested_upgrade_and_a_killed_predecessor_lose_no_request() {
    let (at, _seen) = echo();
    let (mut site, _) = operated("chain", &Shape { destinations: &[at], ..Shape::default() });
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(site.listen)).collect();
    let mut number = 0;
    let mut ask_all = |clients: &mut [Client]| {
        for client in clients {
            number += 1;
            client.send(&query_by_another(number));
            assert_eq!(client.reply(), id(number));
        }
    };
    ask_all(&mut clients);
    let (second, _) = beside(&site);
    let (third, door) = beside(&site);
    ask_all(&mut clients);
    // The first is killed, the second told to end, in any order.
    site.program.signal("-KILL");
    second.terminate();
    ask_all(&mut clients);
    site.program = third;
    ask_all(&mut clients);
    let (fourth, _) = beside(&site);
    // Every connection has been passed on before its old program is killed.
    ask_all(&mut clients);
    site.program.signal("-KILL");
    fourth.logged("upgrade: the other program has ended");
    ask_all(&mut clients);
    let mut client = Client::connect(site.listen);
    client.send(&query_by_another(9_999));
    assert_eq!(client.reply(), id(9_999));
    drop((second, door));
}

/// Guards half the memory: connections that idle or stop half way hold little, and a real client is let in meanwhile.
#[test]
fn idle_connections_hold_little_memory() {
    let (at, _seen) = echo();
    let site = site("idle-memory", &Shape { destinations: &[at], ..Shape::default() });
    let mut first = Client::connect(site.listen);
    first.send(&query_by_another(1));
    assert_eq!(first.reply(), id(1));
    let before = site.program.memory_kb();
    let crowd: Vec<Client> = (0..600)
        .map(|number| {
            let mut client = Client::connect(site.listen);
            client.send(&query_by_another(100)[..number % 90]);
            client
        })
        .collect();
    let mut client = Client::connect(site.listen);
    client.send(&query_by_another(2));
    assert_eq!(client.reply(), id(2));
    let each = (site.program.memory_kb().saturating_sub(before)) as f64 / crowd.len() as f64;
    println!("{each:.1} kB for each idle connection");
    assert!(each < 16.0, "{each} kB for each idle connection");
}

/// Guards holds where the program that serves could not give its own: the file has them.
#[test]
fn ejections_come_from_the_file_where_nothing_was_taken_over() {
    let (at, seen) = echo();
    let folder = Folder::new("upgrade-refused");
    let place = folder.0.join("snowfield.sock");
    let listener = std::os::unix::net::UnixListener::bind(place).expect("a place of its own");
    // It takes the call and hangs up.
    std::thread::spawn(move || listener.accept().map(drop));
    folder.write("snowfield.held", "snowfield held 1 1\ns-0\n");
    let tmp = folder.0.to_str().expect("a path in UTF-8");
    let variables = [("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", tmp)];
    let site =
        site_with("upgrade-refused-site", &Shape { destinations: &[at], ..Shape::default() }, &variables);
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert!(client.reply().starts_with("-BUSY"));
    assert_eq!(all_asked(&seen).len(), 0, "it is still out");
    assert_eq!(call(site.door.expect("operators are answered"), "include s-0"), "OK\n");
}
