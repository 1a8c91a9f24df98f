//! Races between requests and the end of a connection or a process (docs/design/shutdown-and-cancellation.md). The tests force a
//! race by suspending the program: it reads nothing, and finds all that was sent meanwhile at once when it continues.

mod common;

use common::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

/// Regression: of a request and the end of its connection that arrived together, the request was read first, and forwarded before
/// the end was read. Also for many requests at once, behind errors that slow their reader down.
#[test]
fn requests_of_a_disconnected_client_are_not_started() {
    let (address, events) = echo_backend();
    let site = site("gone", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut stays = Client::connect(site.listen);
    stays.send(&query_of_new_tenant(1));
    assert_eq!(stays.reply(), request_id(1));
    next_request(&events);
    let mut known = Client::connect(site.listen);
    known.send(&resp_command(&["PING"]));
    assert_eq!(known.reply(), "+PONG");

    site.program.suspend();
    known.send(&query_of_new_tenant(100));
    let mut new = Client::connect(site.listen);
    new.send(&query_of_new_tenant(101));
    let mut many = Client::connect(site.listen);
    let much: Vec<u8> = (200..400)
        .flat_map(|number| [resp_command(&["NONSENSE"]), query_of_new_tenant(number)].concat())
        .collect();
    many.send(&much);
    // A client that closes its sending side, or resets the connection, has disconnected as well.
    let mut half = Client::connect(site.listen);
    half.send(&query_of_new_tenant(102));
    half.writes.shutdown(Shutdown::Write).expect("it is open");
    drop((known, new, many));
    site.program.signal("-CONT");

    // Later requests are served, so all earlier input has been read.
    for number in 2..=9 {
        stays.send(&query_of_new_tenant(number));
        assert_eq!(stays.reply(), request_id(number));
    }
    let forwarded: Vec<_> = all_requests(&events).into_iter().map(|words| words[2].clone()).collect();
    assert_eq!(forwarded, (2..=9).map(request_id).collect::<Vec<_>>(), "no request of a disconnected client");
}

/// Regression: after an error the connection was not read any more, so that the end of its client was not noticed.
#[test]
fn a_client_that_disconnects_after_an_error_cancels_its_requests() {
    let (address, events) = backend(read_resp_command, |_| Behaviour::NoReply);
    let site = site("after-error", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    // More input after the error than the gatekeeper reads.
    client.send(&[&query(1, 2_400, 1)[..], b"*x\r\n", &[b'x'; 100_000]].concat());
    next_request(&events);
    let started = Instant::now();
    drop(client);
    assert!(matches!(next(&events), BackendEvent::RequestAbandoned));
    assert!(started.elapsed().as_millis() < 1_000, "long before its deadline: {:?}", started.elapsed());
}

/// An event of the next test.
enum Crossing {
    /// A request has arrived at the backend, which replies when it is released.
    Request(Sender<()>),
    /// The client has read a reply.
    Reply(String),
    /// The client has read the end of its connection.
    Ended,
}

/// Regression: a connection of a client that always had one more request on its way was never closed between two requests, and some
/// requests were unanswered when the program was killed. Accepted requests are answered; the others are surely unread.
#[test]
fn at_shutdown_a_busy_connection_closes_after_its_answers() {
    let (sender, crossings) = channel();
    let asks = Mutex::new(sender.clone());
    let (address, events) = backend(read_resp_command, move |words| {
        let (release, released) = channel();
        let _ = asks.lock().expect("no stand-in panics").send(Crossing::Request(release));
        Behaviour::ReplyAfter(released, backend_reply(&words[2]))
    });
    let mut site = site("never-idle", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let Client { mut writes, mut reads } = Client::connect(site.listen);
    let reader = std::thread::spawn(move || {
        let mut line = String::new();
        while reads.read_line(&mut line).is_ok_and(|n| n > 0) {
            // The line before a value states its length.
            if !line.starts_with('$') {
                let _ = sender.send(Crossing::Reply(line.clone()));
            }
            line.clear();
        }
        let _ = sender.send(Crossing::Ended);
    });
    writes.write_all(&query_of_new_tenant(1)).expect("the program takes it");
    let (mut sent, mut answered, mut terminated) = (1, 0, None);
    loop {
        match next(&crossings) {
            Crossing::Request(release) => {
                // The next request is sent before this one's reply.
                sent += u32::from(writes.write_all(&query_of_new_tenant(sent + 1)).is_ok());
                release.send(()).expect("the stand-in waits");
            }
            Crossing::Reply(reply) => {
                answered += 1;
                assert_eq!(reply, format!("{}\r\n", request_id(answered)));
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
        all_requests(&events).len() as u32,
        answered,
        "all that was read was answered, and nothing else was forwarded"
    );
    assert!(sent > answered, "one crossed the close");
    drop(writes);
    reader.join().expect("no panic");
    assert_eq!(site.program.wait(), Some(0));
}

/// Bytes that arrive at the moment of a close must not reset the connection, which would discard replies that the client has not
/// read yet.
#[test]
fn at_shutdown_bytes_that_cross_the_close_cost_no_answer() {
    let HeldBackend { address, events, release } = backend_holding_first_request();
    let mut site = site("crossing", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    // Closing begins 2.45 s after the signal. The request must still have time left by then, also on a busy machine.
    client.send(&query(1, 4_000, 1));
    next_request(&events);
    site.program.terminate();
    let mut idle = Client::connect(site.listen);
    idle.send(&resp_command(&["PING"]));
    assert_eq!(idle.reply(), "+PONG");
    assert!(idle.ended(), "closing has begun");
    // The gatekeeper does not read this: it closes the connection after the reply to the first request.
    let much = [query_of_new_tenant(2), vec![b'x'; 200_000]].concat();
    client.send(&much);
    release.send(()).expect("the stand-in waits");
    assert_eq!(client.reply(), request_id(1));
    let mut rest = Vec::new();
    client.reads.read_to_end(&mut rest).expect("an end and no reset");
    assert!(rest.is_empty());
    drop(client);
    assert_eq!(site.program.wait(), Some(0));
    assert!(all_requests(&events).is_empty(), "input after the start of the close is surely unread");
}

/// A listener with a full backlog: the system drops further connection attempts and retries them after 1 s.
fn listener_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(0).expect("it listens");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    (listener, std::iter::from_fn(fill).take(10).collect())
}

/// Whether a connection to this address is being established (state SYN_SENT, 2 in the system's table).
fn is_connecting(to: SocketAddr) -> bool {
    let remote = format!(" 0100007F:{:04X} 02 ", to.port());
    std::fs::read_to_string("/proc/net/tcp").expect("the system's table").contains(&remote)
}

/// Regression: a retry was decided on within the idempotency window, and written 0.2 s after its end, when its connection was
/// established.
#[test]
fn a_keyed_retry_with_a_late_connection_is_not_written() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let (breaks, broken) = backend(read_resp_command, move |_| {
        let _ = released.lock().expect("no stand-in panics").recv();
        Behaviour::Close
    });
    let (late, backlog) = listener_with_full_backlog();
    let site =
        site_with_config("keyed", &SiteOptions { backends: &[breaks], ..SiteOptions::default() }, |text| {
            text.replace(r#""effect":"read_like""#, r#""effect":"idempotency_key","key-ttl-us":800000"#)
                .replace(r#""connect-timeout-us":250000"#, r#""connect-timeout-us":2000000"#)
                // An unused connection stays open for half of this.
                .replace(r#""keepalive-us":30000000"#, r#""keepalive-us":4000000"#)
        });
    let mut client = Client::connect(site.listen);
    let fields = "c=lookup,t=team,d=2400,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0";
    client.send(&resp_command(&["SVC.SUBMIT", "00000000b4d65521", &request_id(1), fields, "body"]));
    next_request(&broken);
    // The only backend for a retry. The unknown state of the other is logged, which shows when the list was read.
    let address = late.local_addr().expect("an address");
    let endpoints = [endpoint("s-late", address, "up"), endpoint("s-odd", unused_address(), "odd")];
    site.watch.send(list_delta(41, &endpoints)).expect("the watch is open");
    site.program.line("unknown endpoint state");
    release.send(()).expect("the stand-in waits");
    let started = Instant::now();
    while !is_connecting(address) {
        assert!(started.elapsed() < TIMEOUT, "the repeat is tried");
    }
    // Accepts the connections in the backlog, and then the retry's connection when the system retries it.
    let mut connections: Vec<TcpStream> = Vec::new();
    while connections.len() <= backlog.len() {
        connections.push(late.accept().expect("a connection").0);
    }
    let mut repeat = connections.pop().expect("the last one");
    let mut written = Vec::new();
    repeat.read_to_end(&mut written).expect("it ends");
    assert!(written.is_empty(), "written too late: {}", String::from_utf8_lossy(&written));
    assert!(client.reply().starts_with('-'), "no attempt is left");
}

/// A backend that replies to each request with these bytes and then closes the connection or resets it.
fn backend_breaking_off(bytes: &'static [u8], reset: bool) -> SocketAddr {
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

/// A truncated reply must not pass for a complete one: a line without its end, a truncated value, a missing load report.
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
            let (good, events) = echo_backend();
            let options = SiteOptions {
                backends: &[backend_breaking_off(bytes, reset), good],
                ..SiteOptions::default()
            };
            let site = site("half-answer", &options);
            let mut client = Client::connect(site.listen);
            for number in 1..=4 {
                client.send(&query_of_new_tenant(number));
                assert_eq!(client.reply(), request_id(number), "{bytes:?}, reset {reset}");
            }
            assert_eq!(all_requests(&events).len(), 4, "each was served by the other backend");
        }
    }
}

/// An attempt must not be written after its client has disconnected during the connect.
#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_connect() {
    let (late, backlog) = listener_with_full_backlog();
    let address = late.local_addr().expect("an address");
    let options = SiteOptions { backends: &[address], ..SiteOptions::default() };
    let site = site_with_config("left-connecting", &options, |text| {
        text.replace(r#""connect-timeout-us":250000"#, r#""connect-timeout-us":2000000"#)
    });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2_400, 1));
    let started = Instant::now();
    while !is_connecting(address) {
        assert!(started.elapsed() < TIMEOUT, "it is tried");
    }
    drop(client);
    // Another client is answered, so all earlier input has been read.
    let mut other = Client::connect(site.listen);
    other.send(&resp_command(&["PING"]));
    assert_eq!(other.reply(), "+PONG");
    let mut connections: Vec<TcpStream> = Vec::new();
    while connections.len() <= backlog.len() {
        connections.push(late.accept().expect("a connection").0);
    }
    let mut made = connections.pop().expect("the last one");
    made.set_read_timeout(Some(Duration::from_millis(300))).expect("it can be set");
    let read = made.read(&mut [0; 64]);
    assert!(!matches!(read, Ok(1..)), "something was written: {read:?}");
}

/// An attempt must not be sent after its client has disconnected during a call to the counter.
#[test]
fn nothing_is_sent_for_a_client_that_disconnected_during_a_counter_call() {
    let (sender, called) = channel();
    let sender = Mutex::new(sender);
    let counter = listen(move |stream| {
        let mut calls = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some(call) = read_resp_command(&mut calls) {
            let (release, released) = channel::<()>();
            let _ = sender.lock().expect("no stand-in panics").send((call, release));
            let _ = released.recv();
            let _ = (&stream).write_all(b"$3\r\n0.5\r\n");
        }
    });
    let (address, events) = echo_backend();
    let options = SiteOptions {
        backends: &[address],
        counter: Some(counter),
        gatekeepers: 2,
        ..SiteOptions::default()
    };
    let site = site_with_config("left-counter", &options, |text| {
        text.replace(r#""count-wait-us":30000"#, r#""count-wait-us":1500000"#)
    });
    let mut client = Client::connect(site.listen);
    client.send(&query_through_gatekeepers(1, 2_400, 1, 2));
    let (_, release) = next(&called);
    drop(client);
    let mut other = Client::connect(site.listen);
    other.send(&resp_command(&["PING"]));
    assert_eq!(other.reply(), "+PONG");
    release.send(()).expect("the counter waits");
    // Requests of a tenant that comes through one gatekeeper need no counter.
    other.send(&query_of_new_tenant(2));
    assert_eq!(other.reply(), request_id(2));
    assert_eq!(all_requests(&events).len(), 1, "the request of the other client alone");
}

/// A request that arrives while its idle connection is being evicted is either served or surely unread.
#[test]
fn a_request_that_crosses_an_idle_close_is_served_or_unread() {
    let (address, events) = echo_backend();
    let site = site("evicted", &SiteOptions { backends: &[address], sockets: 96, ..SiteOptions::default() });
    let mut idle: Vec<Client> = (1..=50).map(|_| Client::connect(site.listen)).collect();
    for (client, number) in idle.iter_mut().zip(1..) {
        client.send(&query_of_new_tenant(number));
        assert!(!client.reply().is_empty());
    }
    all_requests(&events);
    // A silent connection is closed after 2 s: then all others have been idle for as long.
    assert!(Client::connect(site.listen).ended());
    site.program.suspend();
    let newcomers: Vec<Client> = (0..100).map(|_| Client::connect(site.listen)).collect();
    for (client, number) in idle.iter_mut().zip(1_000..) {
        client.send(&query_of_new_tenant(number));
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
    let forwarded: HashSet<String> =
        all_requests(&events).into_iter().map(|words| words[2].clone()).collect();
    assert_eq!(served.len() + unread, 50);
    for number in 1_000..1_050 {
        let answered = served.iter().any(|(n, _)| *n == number);
        assert!(
            answered || !forwarded.contains(&request_id(number)),
            "{number} was forwarded and has no reply"
        );
    }
    drop(newcomers);
}

/// The program starts while the counter refuses connections or does not answer.
#[test]
fn starts_without_the_counter() {
    let (address, _events) = echo_backend();
    let silent = listen(|mut stream| while stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
    for counter in [unused_address(), silent] {
        let options = SiteOptions {
            backends: &[address],
            counter: Some(counter),
            gatekeepers: 2,
            ..SiteOptions::default()
        };
        let started = Instant::now();
        let site = site("no-counter", &options);
        let mut client = Client::connect(site.listen);
        client.send(&query_through_gatekeepers(1, 2_400, 1, 2));
        assert_eq!(client.reply(), request_id(1));
        assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
    }
}

/// A request that is partly read when closing begins may still complete, and is answered.
#[test]
fn during_shutdown_a_partial_request_may_complete() {
    let (address, _events) = backend(read_resp_command, |words| match words[2] == request_id(1) {
        true => Behaviour::NoReply,
        false => Behaviour::Reply(backend_reply(&words[2])),
    });
    let mut site = site("half-at-end", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut idle = Client::connect(site.listen);
    idle.send(&resp_command(&["PING"]));
    assert_eq!(idle.reply(), "+PONG");
    site.program.terminate();
    site.program.line("graceful shutdown started signal=15");
    // The rejection measures the time: the partial request must be recent when closing begins, 2.45 s after the signal.
    let mut clock = Client::connect(site.listen);
    clock.send(&query(1, 1_400, 1));
    assert!(clock.reply().starts_with("-BUSY"));
    let mut half = Client::connect(site.listen);
    let whole = query_of_new_tenant(2);
    half.send(&whole[..40]);
    assert!(idle.ended(), "closing has begun");
    half.send(&whole[40..]);
    assert_eq!(half.reply(), request_id(2));
    assert!(half.ended());
    drop((half, clock, idle));
    assert_eq!(site.program.wait(), Some(0));
}

/// Regression: a client may wait for longer than its class's deadline, but the program exited after the longest deadline of the
/// settings with such a request unanswered.
#[test]
fn at_shutdown_a_request_with_much_time_left_is_answered() {
    let (address, events) = backend(read_resp_command, |_| Behaviour::NoReply);
    let options = SiteOptions { backends: &[address], attempts: 1, ..SiteOptions::default() };
    let mut site = site_with_config("much-time", &options, |text| {
        text.replace(r#""deadline-us":2500000"#, r#""deadline-us":600000"#)
    });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2_400, 1));
    next_request(&events);
    site.program.terminate();
    assert!(client.reply().starts_with('-'), "a final answer, whatever it is");
    drop(client);
    assert_eq!(site.program.wait(), Some(0));
}

/// Regression: a connection that waited at the listener with its request when that closed was accepted, and closed without being
/// read.
#[test]
fn at_shutdown_a_request_that_waited_at_the_listener_is_answered() {
    let (address, _events) = echo_backend();
    let mut site =
        site("waited-at-listener", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut usual = Client::connect(site.listen);
    usual.send(&query_of_new_tenant(1));
    assert_eq!(usual.reply(), request_id(1));
    site.program.terminate();
    // The listener closes 2.45 s after the signal. The program is suspended at that moment, and new connections wait in the backlog.
    std::thread::sleep(Duration::from_millis(2_300));
    site.program.suspend();
    let mut waiting: Vec<Client> = (0..6).map(|_| Client::connect(site.listen)).collect();
    for (client, number) in waiting.iter_mut().zip(100..) {
        client.send(&query_of_new_tenant(number));
    }
    std::thread::sleep(Duration::from_millis(300));
    site.program.signal("-CONT");
    for (client, number) in waiting.iter_mut().zip(100..) {
        assert_eq!(client.reply(), request_id(number));
    }
    drop((usual, waiting));
    assert_eq!(site.program.wait(), Some(0));
}
