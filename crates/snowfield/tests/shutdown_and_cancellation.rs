//! The instants in which a connection or a program ends while something is still owed (docs/design/shutdown-and-cancellation.md). What must
//! cross is made to: a stopped program reads nothing, so all that was done meanwhile is there at once when it goes on.

mod common;

use common::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

/// A destination that serves the first request after a word, and the others at once.
fn first_waits()
-> (SocketAddr, std::sync::mpsc::Receiver<BackendEvent<Vec<String>>>, std::sync::mpsc::Sender<()>) {
    let (release, word) = channel();
    let word = Mutex::new(Some(word));
    let (at, seen) = backend(read_resp_command, move |words| {
        let word = word.lock().expect("no stand-in panics").take();
        word.map_or(Behaviour::Reply(backend_reply(&words[2])), |word| {
            Behaviour::ReplyAfter(word, backend_reply(&words[2]))
        })
    });
    (at, seen, release)
}

/// Guards against work for nobody: a request and the end of its connection that come together were read one after the other,
/// and the request was sent on in between. The same at once for many requests, behind errors that slow their reader down.
#[test]
fn requests_of_a_disconnected_client_are_not_started() {
    let (at, seen) = echo();
    let site = site("gone", &Shape { destinations: &[at], ..Shape::default() });
    let mut stays = Client::connect(site.listen);
    stays.send(&query_of_another_tenant(1));
    assert_eq!(stays.reply(), id(1));
    next_request(&seen);
    let mut known = Client::connect(site.listen);
    known.send(&resp_command(&["PING"]));
    assert_eq!(known.reply(), "+PONG");

    site.program.suspend();
    known.send(&query_of_another_tenant(100));
    let mut new = Client::connect(site.listen);
    new.send(&query_of_another_tenant(101));
    let mut many = Client::connect(site.listen);
    let much: Vec<u8> = (200..400)
        .flat_map(|number| [resp_command(&["NONSENSE"]), query_of_another_tenant(number)].concat())
        .collect();
    many.send(&much);
    // An end of its sending is no different from a close, and one that resets has gone as well.
    let mut half = Client::connect(site.listen);
    half.send(&query_of_another_tenant(102));
    half.writes.shutdown(Shutdown::Write).expect("it is open");
    drop((known, new, many));
    site.program.signal("-CONT");

    // What came later is served, so what came before has been read.
    for number in 2..=9 {
        stays.send(&query_of_another_tenant(number));
        assert_eq!(stays.reply(), id(number));
    }
    let begun: Vec<_> = all_requests(&seen).into_iter().map(|words| words[2].clone()).collect();
    assert_eq!(begun, (2..=9).map(id).collect::<Vec<_>>(), "nothing for those who had gone");
}

/// Guards against work for nobody behind an error: its socket was not read any more, and so its client's end was not seen.
#[test]
fn a_client_that_disconnects_after_an_error_cancels_its_requests() {
    let (at, seen) = backend(read_resp_command, |_| Behaviour::NoReply);
    let site = site("after-error", &Shape { destinations: &[at], ..Shape::default() });
    let mut client = Client::connect(site.listen);
    // More behind the error than is read of it.
    client.send(&[&query(1, 2_400, 1)[..], b"*x\r\n", &[b'x'; 100_000]].concat());
    next_request(&seen);
    let begun = Instant::now();
    drop(client);
    assert!(matches!(next(&seen), BackendEvent::RequestAbandoned));
    assert!(begun.elapsed().as_millis() < 1_000, "long before its deadline: {:?}", begun.elapsed());
}

/// What the next test waits for.
enum Crossing {
    /// A request is at the destination, which answers after this word.
    Asked(Sender<()>),
    Reply(String),
    Ended,
}

/// Guards planned restarts: a client that always has one more request on its way was never found between two, and had some
/// unanswered when the program was killed. What is taken is answered; the rest is surely unread.
#[test]
fn at_shutdown_a_busy_connection_closes_after_its_answers() {
    let (tell, crossings) = channel();
    let asks = Mutex::new(tell.clone());
    let (at, seen) = backend(read_resp_command, move |words| {
        let (release, word) = channel();
        let _ = asks.lock().expect("no stand-in panics").send(Crossing::Asked(release));
        Behaviour::ReplyAfter(word, backend_reply(&words[2]))
    });
    let mut site = site("never-idle", &Shape { destinations: &[at], ..Shape::default() });
    let Client { mut writes, mut reads } = Client::connect(site.listen);
    let reader = std::thread::spawn(move || {
        let mut line = String::new();
        while reads.read_line(&mut line).is_ok_and(|n| n > 0) {
            // A value has a line before it that tells its length.
            if !line.starts_with('$') {
                let _ = tell.send(Crossing::Reply(line.clone()));
            }
            line.clear();
        }
        let _ = tell.send(Crossing::Ended);
    });
    writes.write_all(&query_of_another_tenant(1)).expect("the program takes it");
    let (mut sent, mut answered, mut terminated) = (1, 0, None);
    loop {
        match next(&crossings) {
            Crossing::Asked(release) => {
                // The next one is there before this one's answer.
                sent += u32::from(writes.write_all(&query_of_another_tenant(sent + 1)).is_ok());
                release.send(()).expect("the stand-in waits");
            }
            Crossing::Reply(reply) => {
                answered += 1;
                assert_eq!(reply, format!("{}\r\n", id(answered)));
            }
            Crossing::Ended => break,
        }
        if answered == 20 && terminated.is_none() {
            site.program.terminate();
            terminated = Some(Instant::now());
        }
    }
    let ended = terminated.expect("it served until then").elapsed();
    assert!(ended.as_millis() < 3_000, "before it may be killed, 3.2 s after the signal: {ended:?}");
    assert_eq!(
        all_requests(&seen).len() as u32,
        answered,
        "what was read was answered, and nothing else sent on"
    );
    assert!(sent > answered, "one crossed the close");
    drop(writes);
    reader.join().expect("no panic");
    assert_eq!(site.program.wait(), Some(0));
}

/// Guards the answer before a close: bytes that come in the instant of the close would reset the connection and take away
/// what its client has not read yet.
#[test]
fn at_shutdown_bytes_that_cross_the_close_cost_no_answer() {
    let (at, seen, release) = first_waits();
    let mut site = site("crossing", &Shape { destinations: &[at], ..Shape::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2_500, 1));
    next_request(&seen);
    site.program.terminate();
    let mut idle = Client::connect(site.listen);
    idle.send(&resp_command(&["PING"]));
    assert_eq!(idle.reply(), "+PONG");
    assert!(idle.ended(), "closing has begun");
    // Taken by nobody: the socket ends with the answer that is owed.
    let much = [query_of_another_tenant(2), vec![b'x'; 200_000]].concat();
    client.send(&much);
    release.send(()).expect("the stand-in waits");
    assert_eq!(client.reply(), id(1));
    let mut rest = Vec::new();
    client.reads.read_to_end(&mut rest).expect("an end and no reset");
    assert!(rest.is_empty());
    drop(client);
    assert_eq!(site.program.wait(), Some(0));
    assert!(all_requests(&seen).is_empty(), "what came after the close had begun is surely unread");
}

/// A listener that takes no more connections until it accepts: the system drops what would connect, and tries again after 1 s.
fn crowded() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(0).expect("it listens");
    let listener = TcpListener::from(socket);
    let at = listener.local_addr().expect("an address");
    let fill = || TcpStream::connect_timeout(&at, Duration::from_millis(100)).ok();
    (listener, std::iter::from_fn(fill).take(10).collect())
}

/// Whether a connection to there waits for its first answer (state 2 in the system's table).
fn is_connecting(to: SocketAddr) -> bool {
    let remote = format!(" 0100007F:{:04X} 02 ", to.port());
    std::fs::read_to_string("/proc/net/tcp").expect("the system's table").contains(&remote)
}

/// Guards the window of a key on the wire: a repeat was decided inside it and written when its connection came up, 0.2 s after it
/// was over.
#[test]
fn a_keyed_retry_with_a_late_connection_is_not_written() {
    let (release, word) = channel::<()>();
    let word = Mutex::new(word);
    let (breaks, broken) = backend(read_resp_command, move |_| {
        let _ = word.lock().expect("no stand-in panics").recv();
        Behaviour::Close
    });
    let (late, filled) = crowded();
    let site = site_of("keyed", &Shape { destinations: &[breaks], ..Shape::default() }, |text| {
        text.replace(r#""effect":"read_like""#, r#""effect":"idempotency_key","key-ttl-us":800000"#)
            .replace(r#""connect-timeout-us":250000"#, r#""connect-timeout-us":2000000"#)
            // A connection that comes up for nobody is kept for others for half of this.
            .replace(r#""keepalive-us":30000000"#, r#""keepalive-us":4000000"#)
    });
    let mut client = Client::connect(site.listen);
    let fields = "c=lookup,t=team,d=2400,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0";
    client.send(&resp_command(&["SVC.SUBMIT", "00000000b4d65521", &id(1), fields, "body"]));
    next_request(&broken);
    // The only place for a repeat; the state of the other is one that is logged, which tells when the list was read.
    let at = late.local_addr().expect("an address");
    let hosts = [host("s-late", at, "up"), host("s-odd", unused_address(), "odd")];
    site.watch.send(list(41, false, &hosts)).expect("the watch is open");
    site.program.line("unknown endpoint state");
    release.send(()).expect("the stand-in waits");
    let begun = Instant::now();
    while !is_connecting(at) {
        assert!(begun.elapsed() < TIMEOUT, "the repeat is tried");
    }
    // All who stand in its way are let in, and so is the repeat's connection when the system tries it again.
    let mut connections: Vec<TcpStream> = Vec::new();
    while connections.len() <= filled.len() {
        connections.push(late.accept().expect("a connection").0);
    }
    let mut repeat = connections.pop().expect("the last one");
    let mut written = Vec::new();
    repeat.read_to_end(&mut written).expect("it ends");
    assert!(written.is_empty(), "written too late: {}", String::from_utf8_lossy(&written));
    assert!(client.reply().starts_with('-'), "no attempt is left");
}

/// A loan server that answers each request with these bytes and then ends: in good order, or with a reset.
fn breaks_off(bytes: &'static [u8], reset: bool) -> SocketAddr {
    listen(move |stream| {
        let mut requests = BufReader::new(stream.try_clone().expect("a second handle"));
        if read_resp_command(&mut requests).is_some() {
            let _ = (&stream).write_all(bytes);
            if reset {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("it can be set");
            }
        }
    })
}

/// Guards against half an answer that passes for one: a line without its end, a value cut short, figures that are missing.
#[test]
fn a_partial_answer_counts_as_failed_however_it_breaks_off() {
    for bytes in [
        &b"-ERR fai"[..],
        b"-BUSY",
        b"*3\r\n$5\r\nhel",
        b"*3\r\n$5\r\nhello\r\n",
        b"*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r",
    ] {
        for reset in [false, true] {
            let (good, seen) = echo();
            let shape = Shape { destinations: &[breaks_off(bytes, reset), good], ..Shape::default() };
            let site = site("half-answer", &shape);
            let mut client = Client::connect(site.listen);
            for number in 1..=4 {
                client.send(&query_of_another_tenant(number));
                assert_eq!(client.reply(), id(number), "{bytes:?}, reset {reset}");
            }
            assert_eq!(all_requests(&seen).len(), 4, "each was served by the other one");
        }
    }
}

/// Guards against an attempt for nobody while its connection is being made.
#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_connect() {
    let (late, filled) = crowded();
    let at = late.local_addr().expect("an address");
    let shape = Shape { destinations: &[at], ..Shape::default() };
    let site = site_of("left-connecting", &shape, |text| {
        text.replace(r#""connect-timeout-us":250000"#, r#""connect-timeout-us":2000000"#)
    });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2_400, 1));
    let begun = Instant::now();
    while !is_connecting(at) {
        assert!(begun.elapsed() < TIMEOUT, "it is tried");
    }
    drop(client);
    // A usual client is answered: what came before it has been seen.
    let mut other = Client::connect(site.listen);
    other.send(&resp_command(&["PING"]));
    assert_eq!(other.reply(), "+PONG");
    let mut connections: Vec<TcpStream> = Vec::new();
    while connections.len() <= filled.len() {
        connections.push(late.accept().expect("a connection").0);
    }
    let mut made = connections.pop().expect("the last one");
    made.set_read_timeout(Some(Duration::from_millis(300))).expect("it can be set");
    let read = made.read(&mut [0; 64]);
    assert!(!matches!(read, Ok(1..)), "something was written: {read:?}");
}

/// Guards against an attempt for nobody after the call to the counter for which its request waited.
#[test]
fn nothing_is_sent_for_a_client_that_disconnected_during_a_counter_call() {
    let (tell, called) = channel();
    let tell = Mutex::new(tell);
    let counter = listen(move |stream| {
        let mut calls = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some(call) = read_resp_command(&mut calls) {
            let (release, word) = channel::<()>();
            let _ = tell.lock().expect("no stand-in panics").send((call, release));
            let _ = word.recv();
            let _ = (&stream).write_all(b"$3\r\n0.5\r\n");
        }
    });
    let (at, seen) = echo();
    let shape = Shape { destinations: &[at], counter: Some(counter), gatekeepers: 2, ..Shape::default() };
    let site = site_of("left-counter", &shape, |text| {
        text.replace(r#""count-wait-us":30000"#, r#""count-wait-us":1500000"#)
    });
    let mut client = Client::connect(site.listen);
    client.send(&query_of(1, 2_400, 1, 2));
    let (_, release) = next(&called);
    drop(client);
    let mut other = Client::connect(site.listen);
    other.send(&resp_command(&["PING"]));
    assert_eq!(other.reply(), "+PONG");
    release.send(()).expect("the counter waits");
    // A request of a lender that comes through one gatekeeper alone asks no counter.
    other.send(&query_of_another_tenant(2));
    assert_eq!(other.reply(), id(2));
    assert_eq!(all_requests(&seen).len(), 1, "only the other's");
}

/// Guards idle connections: a request that crosses their eviction is served whole or surely unread, and then sent once more.
#[test]
fn a_request_that_crosses_an_idle_close_is_served_or_unread() {
    let (at, seen) = echo();
    let site = site("evicted", &Shape { destinations: &[at], sockets: 96, ..Shape::default() });
    let mut idle: Vec<Client> = (1..=50).map(|_| Client::connect(site.listen)).collect();
    for (client, number) in idle.iter_mut().zip(1..) {
        client.send(&query_of_another_tenant(number));
        assert!(!client.reply().is_empty());
    }
    all_requests(&seen);
    // One that says nothing ends after 2 s: then all others have been idle for as long.
    assert!(Client::connect(site.listen).ended());
    site.program.suspend();
    let newcomers: Vec<Client> = (0..100).map(|_| Client::connect(site.listen)).collect();
    for (client, number) in idle.iter_mut().zip(1_000..) {
        client.send(&query_of_another_tenant(number));
    }
    site.program.signal("-CONT");
    let (mut served, mut unread) = (Vec::new(), 0);
    for (client, number) in idle.iter_mut().zip(1_000..) {
        let mut line = String::new();
        match client.reads.read_line(&mut line) {
            Ok(1..) => served.push((number, line)),
            _ => unread += 1,
        }
    }
    let sent_on: HashSet<String> = all_requests(&seen).into_iter().map(|words| words[2].clone()).collect();
    assert_eq!(served.len() + unread, 50);
    for number in 1_000..1_050 {
        let answered = served.iter().any(|(n, _)| *n == number);
        assert!(answered || !sent_on.contains(&id(number)), "{number} was sent on and has no answer");
    }
    drop(newcomers);
}

/// Guards starts while the counter is away: refused, or silent. What comes through one gatekeeper alone needs none.
#[test]
fn starts_without_the_counter() {
    let (at, _seen) = echo();
    let silent = listen(|mut stream| while stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
    for counter in [unused_address(), silent] {
        let shape = Shape { destinations: &[at], counter: Some(counter), gatekeepers: 2, ..Shape::default() };
        let begun = Instant::now();
        let site = site("no-counter", &shape);
        let mut client = Client::connect(site.listen);
        client.send(&query_of(1, 2_400, 1, 2));
        assert_eq!(client.reply(), id(1));
        assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
    }
}

/// Guards clients that take their time: half a request when closing begins may become whole, and is answered.
#[test]
fn during_shutdown_a_partial_request_may_complete() {
    let (at, _seen) = backend(read_resp_command, |words| match words[2] == id(1) {
        true => Behaviour::NoReply,
        false => Behaviour::Reply(backend_reply(&words[2])),
    });
    let mut site = site("half-at-end", &Shape { destinations: &[at], ..Shape::default() });
    let mut idle = Client::connect(site.listen);
    idle.send(&resp_command(&["PING"]));
    assert_eq!(idle.reply(), "+PONG");
    site.program.terminate();
    site.program.line("graceful shutdown started signal=15");
    // The busy reply is the clock: half a request must not be old when closing begins 2.45 s after the signal.
    let mut clock = Client::connect(site.listen);
    clock.send(&query(1, 1_400, 1));
    assert!(clock.reply().starts_with("-BUSY"));
    let mut half = Client::connect(site.listen);
    let whole = query_of_another_tenant(2);
    half.send(&whole[..40]);
    assert!(idle.ended(), "closing has begun");
    half.send(&whole[40..]);
    assert_eq!(half.reply(), id(2));
    assert!(half.ended());
    drop((half, clock, idle));
    assert_eq!(site.program.wait(), Some(0));
}

/// Guards requests whose clients wait longer than their class's deadline, as they may: at a shutdown the program ended after the
/// longest deadline of the settings, with such a request unanswered.
#[test]
fn at_shutdown_a_request_with_much_time_left_is_answered() {
    let (at, seen) = backend(read_resp_command, |_| Behaviour::NoReply);
    let shape = Shape { destinations: &[at], attempts: 1, ..Shape::default() };
    let mut site = site_of("much-time", &shape, |text| {
        text.replace(r#""deadline-us":2500000"#, r#""deadline-us":600000"#)
    });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2_400, 1));
    next_request(&seen);
    site.program.terminate();
    assert!(client.reply().starts_with('-'), "a final answer, whatever it is");
    drop(client);
    assert_eq!(site.program.wait(), Some(0));
}

/// Guards new connections in the moment in which a listener closes: one that waited there with its request was accepted, and ended
/// without a look at what it had sent.
#[test]
fn at_shutdown_a_request_that_waited_at_the_listener_is_answered() {
    let (at, _seen) = echo();
    let mut site = site("waited-at-listener", &Shape { destinations: &[at], ..Shape::default() });
    let mut usual = Client::connect(site.listen);
    usual.send(&query_of_another_tenant(1));
    assert_eq!(usual.reply(), id(1));
    site.program.terminate();
    // The listener closes 2.45 s after the signal: until then the program is held up, and what comes waits there.
    std::thread::sleep(Duration::from_millis(2_300));
    site.program.suspend();
    let mut waiting: Vec<Client> = (0..6).map(|_| Client::connect(site.listen)).collect();
    for (client, number) in waiting.iter_mut().zip(100..) {
        client.send(&query_of_another_tenant(number));
    }
    std::thread::sleep(Duration::from_millis(300));
    site.program.signal("-CONT");
    for (client, number) in waiting.iter_mut().zip(100..) {
        assert_eq!(client.reply(), id(number));
    }
    drop((usual, waiting));
    assert_eq!(site.program.wait(), Some(0));
}
