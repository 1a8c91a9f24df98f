//! Races between requests and the end of a connection or a process (docs/design/shutdown-and-cancellation.md). Most tests force a
//! race by suspending the program: it reads nothing meanwhile, and finds all the input at once when it resumes.

mod common;

use common::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

/// Regression: when a request and the end of its connection arrived together, the request was forwarded before the end was read.
/// The same must hold for many pipelined requests, with errors between them that make the gatekeeper read more slowly.
#[test]
fn requests_of_a_disconnected_client_are_not_started() {
    let (address, events) = start_echo_backend();
    let site = start_site("gone", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut connected = Client::connect(site.listen);
    connected.send(&query_of_new_tenant(1));
    assert_eq!(connected.read_reply(), request_id(1));
    next_request(&events);
    let mut disconnecting = Client::connect(site.listen);
    disconnecting.send(&resp_command(&["PING"]));
    assert_eq!(disconnecting.read_reply(), "+PONG");

    site.program.suspend();
    disconnecting.send(&query_of_new_tenant(100));
    let mut new = Client::connect(site.listen);
    new.send(&query_of_new_tenant(101));
    let mut pipelining = Client::connect(site.listen);
    let pipelined: Vec<u8> = (200..400)
        .flat_map(|number| [resp_command(&["NONSENSE"]), query_of_new_tenant(number)].concat())
        .collect();
    pipelining.send(&pipelined);
    // A client that closes its sending side, or resets the connection, has disconnected as well.
    let mut half_closed = Client::connect(site.listen);
    half_closed.send(&query_of_new_tenant(102));
    half_closed.writer.shutdown(Shutdown::Write).expect("the connection is open");
    drop((disconnecting, new, pipelining));
    site.program.signal("-CONT");

    // Later requests are served, so all earlier input has been read.
    for number in 2..=9 {
        connected.send(&query_of_new_tenant(number));
        assert_eq!(connected.read_reply(), request_id(number));
    }
    let forwarded: Vec<_> = all_requests(&events).into_iter().map(|words| words[2].clone()).collect();
    assert_eq!(
        forwarded,
        (2..=9).map(request_id).collect::<Vec<_>>(),
        "no request of a disconnected client is forwarded"
    );
}

/// Regression: a request that is not idempotent ran twice if its client disconnected and sent the same id again, since the id
/// was free although the backend may still have run the first request.
#[test]
fn the_id_of_a_disconnected_client_is_not_forwarded_again_while_its_request_may_run() {
    let (address, events) = start_backend(read_resp_command, |_| Behaviour::NoReply);
    let options = SiteOptions { backends: &[address], ..SiteOptions::default() };
    let site =
        start_site_with_config("same-id", &options, |text| text.replace("read_like", "non_idempotent"));
    let submit = |number: u32| {
        let fields = "c=lookup,t=team,d=2400,units=1,spread=1,first=0";
        resp_command(&["SVC.SUBMIT", &request_id(number), &request_id(number), fields, "body"])
    };
    let mut client = Client::connect(site.listen);
    client.send(&submit(1));
    next_request(&events);
    drop(client);
    assert!(matches!(receive(&events), BackendEvent::RequestAbandoned));
    let mut client = Client::connect(site.listen);
    client.send(&submit(1));
    assert_eq!(client.read_reply(), "-ERR the id is that of an open request");
    client.send(&submit(2));
    assert_eq!(next_request(&events)[2], request_id(2), "other ids are forwarded");
}

/// Regression: after a malformed command the connection was not read any more, so that its close by the client went unnoticed.
#[test]
fn a_client_that_disconnects_after_an_error_cancels_its_requests() {
    let (address, events) = start_backend(read_resp_command, |_| Behaviour::NoReply);
    let site = start_site("after-error", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    // More input after the error than the gatekeeper reads.
    client.send(&[&query(1, 2_400, 1)[..], b"*x\r\n", &[b'x'; 100_000]].concat());
    next_request(&events);
    let started = Instant::now();
    drop(client);
    assert!(matches!(receive(&events), BackendEvent::RequestAbandoned));
    assert!(
        started.elapsed().as_millis() < 1_000,
        "the request is cancelled long before its deadline: {:?}",
        started.elapsed()
    );
}

/// An event of [`at_shutdown_a_busy_connection_closes_after_its_replies`].
enum ConnectionEvent {
    /// A request has arrived at the backend, which replies when it is released.
    Request(Sender<()>),
    /// The client has read a reply.
    Reply(String),
    /// The client has read the end of its connection.
    Closed,
}

/// Regression: a connection whose client always had another request on its way was never closed between two requests, and some
/// requests were unanswered when the program was killed. Accepted requests must be answered, and the others must not be read.
#[test]
fn at_shutdown_a_busy_connection_closes_after_its_replies() {
    let (sender, connection_events) = channel();
    let request_sender = Mutex::new(sender.clone());
    let (address, events) = start_backend(read_resp_command, move |words| {
        let (release, released) = channel();
        let _ =
            request_sender.lock().expect("the lock is not poisoned").send(ConnectionEvent::Request(release));
        Behaviour::ReplyAfter(released, backend_reply(&words[2]))
    });
    let mut site = start_site("never-idle", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let Client { mut writer, mut reader } = Client::connect(site.listen);
    let reader_thread = std::thread::spawn(move || {
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            // The line before a value has its length.
            if !line.starts_with('$') {
                let _ = sender.send(ConnectionEvent::Reply(line.clone()));
            }
            line.clear();
        }
        let _ = sender.send(ConnectionEvent::Closed);
    });
    writer.write_all(&query_of_new_tenant(1)).expect("the program reads the bytes");
    let (mut sent, mut answered, mut terminated) = (1, 0, None);
    loop {
        match receive(&connection_events) {
            ConnectionEvent::Request(release) => {
                // The next request is sent before the reply to this one.
                sent += u32::from(writer.write_all(&query_of_new_tenant(sent + 1)).is_ok());
                release.send(()).expect("the stand-in waits for the release");
            }
            ConnectionEvent::Reply(reply) => {
                answered += 1;
                assert_eq!(reply, format!("{}\r\n", request_id(answered)));
            }
            ConnectionEvent::Closed => break,
        }
        if answered == 20 && terminated.is_none() {
            site.program.terminate();
            terminated = Some(Instant::now());
        }
    }
    let time_to_close = terminated.expect("20 requests were answered").elapsed();
    assert!(
        time_to_close.as_millis() < 3_000,
        "the connection closes before SIGKILL is due, 3.2 s after SIGTERM: {time_to_close:?}"
    );
    assert_eq!(all_requests(&events).len() as u32, answered, "exactly the answered requests were forwarded");
    assert!(sent > answered, "a request was sent while the connection was being closed");
    drop(writer);
    reader_thread.join().expect("the reader does not panic");
    assert_eq!(site.program.wait(), Some(0));
}

/// Bytes that arrive while a connection is being closed must not reset it: a reset discards replies that the client has not read
/// yet.
#[test]
fn at_shutdown_input_that_arrives_during_the_close_does_not_discard_replies() {
    let HeldBackend { address, events, release } = start_backend_holding_first_request();
    let mut site = start_site("crossing", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    // Closing begins 2.45 s after the signal. The request must still have time left by then, also on a busy machine.
    client.send(&query(1, 4_000, 1));
    next_request(&events);
    site.program.terminate();
    let mut idle = Client::connect(site.listen);
    idle.send(&resp_command(&["PING"]));
    assert_eq!(idle.read_reply(), "+PONG");
    assert!(idle.is_closed(), "the program has begun to close connections");
    // The gatekeeper does not read this: it closes the connection after the reply to the first request.
    let unread_input = [query_of_new_tenant(2), vec![b'x'; 200_000]].concat();
    client.send(&unread_input);
    release.send(()).expect("the stand-in waits for the release");
    assert_eq!(client.read_reply(), request_id(1));
    let mut rest = Vec::new();
    client.reader.read_to_end(&mut rest).expect("the connection is closed without a reset");
    assert!(rest.is_empty());
    drop(client);
    assert_eq!(site.program.wait(), Some(0));
    assert!(all_requests(&events).is_empty(), "input after the start of the close is not forwarded");
}

/// A listener with a full backlog: the system drops further connection attempts and retries them after 1 s.
fn listener_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be opened");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(0).expect("the socket listens");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("a valid socket address");
    let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    (listener, std::iter::from_fn(fill).take(10).collect())
}

/// Whether a connection to this loopback address is being established (state SYN_SENT, 02 in `/proc/net/tcp`).
fn is_connecting(address: SocketAddr) -> bool {
    let remote = format!(" 0100007F:{:04X} 02 ", address.port());
    std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable").contains(&remote)
}

/// Regression: a retry was decided within the validity of its idempotency key, but written 0.2 s after the end of that time,
/// because its connection was established only then.
#[test]
fn a_retry_whose_idempotency_key_expires_during_connect_is_not_written() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let (closing, closing_events) = start_backend(read_resp_command, move |_| {
        let _ = released.lock().expect("the lock is not poisoned").recv();
        Behaviour::Close
    });
    let (listener, backlog) = listener_with_full_backlog();
    let site = start_site_with_config(
        "keyed",
        &SiteOptions { backends: &[closing], ..SiteOptions::default() },
        |text| {
            text.replace(r#""effect":"read_like""#, r#""effect":"idempotency_key","key-ttl-us":800000"#)
                .replace(r#""connect-timeout-us":250000"#, r#""connect-timeout-us":2000000"#)
                // An unused connection stays open for half of this keep-alive time.
                .replace(r#""keepalive-us":30000000"#, r#""keepalive-us":4000000"#)
        },
    );
    let mut client = Client::connect(site.listen);
    let fields = "c=lookup,t=team,d=2400,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0";
    client.send(&resp_command(&["SVC.SUBMIT", "00000000b4d65521", &request_id(1), fields, "body"]));
    next_request(&closing_events);
    // s-late is the only backend for a retry. The unknown state of s-odd is logged, which shows that the list was read.
    let address = listener.local_addr().expect("a valid socket address");
    let endpoints = [endpoint("s-late", address, "up"), endpoint("s-odd", unused_address(), "odd")];
    site.watch.send(list_delta(41, &endpoints)).expect("the watch is open");
    site.program.wait_for_line("unknown endpoint state");
    release.send(()).expect("the stand-in waits for the release");
    let started = Instant::now();
    while !is_connecting(address) {
        assert!(started.elapsed() < TIMEOUT, "the gatekeeper connects for the retry");
    }
    // Accepts the connections in the backlog, and then the retry's connection when the system retries it.
    let mut connections: Vec<TcpStream> = Vec::new();
    while connections.len() <= backlog.len() {
        connections.push(listener.accept().expect("a connection").0);
    }
    let mut retry = connections.pop().expect("there is a connection");
    let mut written = Vec::new();
    retry.read_to_end(&mut written).expect("the gatekeeper closes the connection");
    assert!(written.is_empty(), "the retry was written too late: {}", String::from_utf8_lossy(&written));
    assert!(client.read_reply().starts_with('-'), "the client gets an error reply");
}

/// Starts a backend that replies to the request on each connection with these bytes, and then closes or resets the connection.
fn start_backend_breaking_off(bytes: &'static [u8], reset: bool) -> SocketAddr {
    start_listener(move |stream| {
        let mut requests = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        if read_resp_command(&mut requests).is_some() {
            let _ = (&stream).write_all(bytes);
            if reset {
                SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("the linger option can be set");
            }
        }
    })
}

/// A truncated reply must not pass for a complete one. The cases are a line without its line end, a truncated value and a missing
/// load report, each with a close and with a reset.
#[test]
fn a_truncated_reply_counts_as_a_failed_attempt() {
    for bytes in [
        &b"-ERR fai"[..],
        b"-BUSY",
        b"*3\r\n$5\r\nhel",
        b"*3\r\n$5\r\nhello\r\n",
        b"*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r",
    ] {
        for reset in [false, true] {
            let (good, events) = start_echo_backend();
            let options = SiteOptions {
                backends: &[start_backend_breaking_off(bytes, reset), good],
                ..SiteOptions::default()
            };
            let site = start_site("half-answer", &options);
            let mut client = Client::connect(site.listen);
            for number in 1..=4 {
                client.send(&query_of_new_tenant(number));
                assert_eq!(client.read_reply(), request_id(number), "{bytes:?}, reset {reset}");
            }
            assert_eq!(all_requests(&events).len(), 4, "the other backend served each request");
        }
    }
}

/// An attempt must not be written after its client has disconnected during the connect.
#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_connect() {
    let (listener, backlog) = listener_with_full_backlog();
    let address = listener.local_addr().expect("a valid socket address");
    let options = SiteOptions { backends: &[address], ..SiteOptions::default() };
    let site = start_site_with_config("left-connecting", &options, |text| {
        text.replace(r#""connect-timeout-us":250000"#, r#""connect-timeout-us":2000000"#)
    });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2_400, 1));
    let started = Instant::now();
    while !is_connecting(address) {
        assert!(started.elapsed() < TIMEOUT, "the gatekeeper connects for the attempt");
    }
    drop(client);
    // Another client is answered, so all earlier input has been read.
    let mut other = Client::connect(site.listen);
    other.send(&resp_command(&["PING"]));
    assert_eq!(other.read_reply(), "+PONG");
    let mut connections: Vec<TcpStream> = Vec::new();
    while connections.len() <= backlog.len() {
        connections.push(listener.accept().expect("a connection").0);
    }
    let mut connection = connections.pop().expect("there is a connection");
    connection.set_read_timeout(Some(Duration::from_millis(300))).expect("the timeout can be set");
    let read = connection.read(&mut [0; 64]);
    assert!(!matches!(read, Ok(1..)), "the attempt was written: {read:?}");
}

/// An attempt must not be sent after its client has disconnected during a call to the counter.
#[test]
fn nothing_is_sent_for_a_client_that_disconnected_during_a_counter_call() {
    let (sender, called) = channel();
    let sender = Mutex::new(sender);
    let counter = start_listener(move |stream| {
        let mut calls = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        while let Some(call) = read_resp_command(&mut calls) {
            let (release, released) = channel::<()>();
            let _ = sender.lock().expect("the lock is not poisoned").send((call, release));
            let _ = released.recv();
            let _ = (&stream).write_all(b"$3\r\n0.5\r\n");
        }
    });
    let (address, events) = start_echo_backend();
    let options = SiteOptions {
        backends: &[address],
        counter: Some(counter),
        gatekeepers: 2,
        ..SiteOptions::default()
    };
    let site = start_site_with_config("left-counter", &options, |text| {
        text.replace(r#""count-wait-us":30000"#, r#""count-wait-us":1500000"#)
    });
    let mut client = Client::connect(site.listen);
    client.send(&query_through_gatekeepers(1, 2_400, 1, 2));
    let (_, release) = receive(&called);
    drop(client);
    let mut other = Client::connect(site.listen);
    other.send(&resp_command(&["PING"]));
    assert_eq!(other.read_reply(), "+PONG");
    release.send(()).expect("the counter waits for the release");
    // Requests of a tenant that uses one gatekeeper need no call to the counter.
    other.send(&query_of_new_tenant(2));
    assert_eq!(other.read_reply(), request_id(2));
    assert_eq!(all_requests(&events).len(), 1, "only the request of the other client is forwarded");
}

/// A request that arrives while its idle connection is being closed for new clients is either answered or not forwarded.
#[test]
fn a_request_that_arrives_during_an_idle_close_is_answered_or_not_forwarded() {
    let (address, events) = start_echo_backend();
    let site =
        start_site("evicted", &SiteOptions { backends: &[address], sockets: 96, ..SiteOptions::default() });
    let mut idle: Vec<Client> = (1..=50).map(|_| Client::connect(site.listen)).collect();
    for (client, number) in idle.iter_mut().zip(1..) {
        client.send(&query_of_new_tenant(number));
        assert!(!client.read_reply().is_empty());
    }
    all_requests(&events);
    // A connection without input is closed after 2 s. By then all others have been idle for as long.
    assert!(Client::connect(site.listen).is_closed());
    site.program.suspend();
    let new_clients: Vec<Client> = (0..100).map(|_| Client::connect(site.listen)).collect();
    for (client, number) in idle.iter_mut().zip(1_000..) {
        client.send(&query_of_new_tenant(number));
    }
    site.program.signal("-CONT");
    let (mut answered, mut unanswered) = (Vec::new(), 0);
    for (client, number) in idle.iter_mut().zip(1_000..) {
        let mut line = String::new();
        match client.reader.read_line(&mut line) {
            Ok(1..) => answered.push((number, line)),
            _ => unanswered += 1,
        }
    }
    let forwarded: HashSet<String> =
        all_requests(&events).into_iter().map(|words| words[2].clone()).collect();
    assert_eq!(answered.len() + unanswered, 50);
    for number in 1_000..1_050 {
        let has_reply = answered.iter().any(|(n, _)| *n == number);
        assert!(
            has_reply || !forwarded.contains(&request_id(number)),
            "request {number} was forwarded and has no reply"
        );
    }
    drop(new_clients);
}

/// The program starts and serves while the counter refuses connections or does not answer.
#[test]
fn starts_without_the_counter() {
    let (address, _events) = start_echo_backend();
    let silent = start_listener(|mut stream| while stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
    for counter in [unused_address(), silent] {
        let options = SiteOptions {
            backends: &[address],
            counter: Some(counter),
            gatekeepers: 2,
            ..SiteOptions::default()
        };
        let started = Instant::now();
        let site = start_site("no-counter", &options);
        let mut client = Client::connect(site.listen);
        client.send(&query_through_gatekeepers(1, 2_400, 1, 2));
        assert_eq!(client.read_reply(), request_id(1));
        assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
    }
}

/// A request that is partly read when closing begins may still be completed, and is then answered.
#[test]
fn at_shutdown_a_partial_request_may_be_completed() {
    let (address, _events) = start_backend(read_resp_command, |words| match words[2] == request_id(1) {
        true => Behaviour::NoReply,
        false => Behaviour::Reply(backend_reply(&words[2])),
    });
    let mut site = start_site("half-at-end", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut idle = Client::connect(site.listen);
    idle.send(&resp_command(&["PING"]));
    assert_eq!(idle.read_reply(), "+PONG");
    site.program.terminate();
    site.program.wait_for_line("graceful shutdown started signal=15");
    // The wait for this rejection delays the test: the partial request must be recent when closing begins, 2.45 s after the
    // signal.
    let mut delayed = Client::connect(site.listen);
    delayed.send(&query(1, 1_400, 1));
    assert!(delayed.read_reply().starts_with("-BUSY"));
    let mut partial = Client::connect(site.listen);
    let whole = query_of_new_tenant(2);
    partial.send(&whole[..40]);
    assert!(idle.is_closed(), "the program has begun to close connections");
    partial.send(&whole[40..]);
    assert_eq!(partial.read_reply(), request_id(2));
    assert!(partial.is_closed());
    drop((partial, delayed, idle));
    assert_eq!(site.program.wait(), Some(0));
}

/// Regression: the program exited after the longest deadline in the settings, although a client may wait for longer than the
/// deadline of its class. The request of such a client was left unanswered.
#[test]
fn at_shutdown_a_request_beyond_the_deadline_of_its_class_is_answered() {
    let (address, events) = start_backend(read_resp_command, |_| Behaviour::NoReply);
    let options = SiteOptions { backends: &[address], attempts: 1, ..SiteOptions::default() };
    let mut site = start_site_with_config("much-time", &options, |text| {
        text.replace(r#""deadline-us":2500000"#, r#""deadline-us":600000"#)
    });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2_400, 1));
    next_request(&events);
    site.program.terminate();
    assert!(client.read_reply().starts_with('-'), "the request gets a final error reply");
    drop(client);
    assert_eq!(site.program.wait(), Some(0));
}

/// Suspends the program while it closes its listener, 2.45 s after the signal, and connects clients meanwhile, so that their
/// connections and requests are in the backlog. Returns the clients after the program has resumed.
fn connect_while_the_listener_closes(site: &Site) -> Vec<Client> {
    site.program.terminate();
    std::thread::sleep(Duration::from_millis(2_300));
    site.program.suspend();
    let mut waiting: Vec<Client> = (0..6).map(|_| Client::connect(site.listen)).collect();
    for (client, number) in waiting.iter_mut().zip(100..) {
        client.send(&query_of_new_tenant(number));
    }
    std::thread::sleep(Duration::from_millis(300));
    site.program.signal("-CONT");
    waiting
}

/// Regression: a connection that was in the backlog with its request when the listener closed was accepted, and closed without
/// being read.
#[test]
fn at_shutdown_a_request_in_the_listener_backlog_is_answered() {
    let (address, _events) = start_echo_backend();
    let mut site =
        start_site("waited-at-listener", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    // This connection keeps the process from exiting.
    let mut connected = Client::connect(site.listen);
    connected.send(&query_of_new_tenant(1));
    assert_eq!(connected.read_reply(), request_id(1));
    let mut waiting = connect_while_the_listener_closes(&site);
    for (client, number) in waiting.iter_mut().zip(100..) {
        assert_eq!(client.read_reply(), request_id(number));
    }
    drop((connected, waiting));
    assert_eq!(site.program.wait(), Some(0));
}

/// Regression: the process exited before it had accepted the connections in the backlog, if it had no other connection.
#[test]
fn at_shutdown_the_process_accepts_the_listener_backlog_before_it_exits() {
    let (address, _events) = start_echo_backend();
    let mut site =
        start_site("backlog-alone", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut waiting = connect_while_the_listener_closes(&site);
    for (client, number) in waiting.iter_mut().zip(100..) {
        assert_eq!(client.read_reply(), request_id(number));
    }
    drop(waiting);
    assert_eq!(site.program.wait(), Some(0));
}

/// A client whose input always ends in a part of a command keeps its connection open, but not the process. Commands that begin
/// after connections have begun to close may be left incomplete.
#[test]
fn at_shutdown_a_client_that_keeps_beginning_commands_does_not_prevent_the_exit() {
    let mut site = start_site_with_config("begins-commands", &SiteOptions::default(), |text| {
        text.replace(r#""deadline-us":2500000"#, r#""deadline-us":600000"#)
    });
    let mut client = Client::connect(site.listen);
    client.send(&resp_command(&["PING"]));
    assert_eq!(client.read_reply(), "+PONG");
    let ping = resp_command(&["PING"]);
    let (begin, rest) = ping.split_at(5);
    client.send(begin);
    site.program.terminate();
    let terminated = Instant::now();
    let rest_and_begin = [rest, begin].concat();
    while client.writer.write_all(&rest_and_begin).is_ok() && terminated.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(terminated.elapsed() < Duration::from_secs(8), "{:?}", terminated.elapsed());
    assert_eq!(site.program.wait(), Some(0));
}
