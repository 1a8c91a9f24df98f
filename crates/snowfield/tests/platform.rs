//! The program with the RESP2 front, started as the platform starts it and tested over sockets.

mod common;

use common::*;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

#[test]
fn forwards_a_request_unchanged_and_returns_its_value() {
    let (address, events) = start_echo_backend();
    let site = start_site("serve", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&resp_command(&["PING"]));
    assert_eq!(client.read_reply(), "+PONG");
    client.send(&query(1, 480, 2));
    assert_eq!(client.read_reply(), request_id(1));
    let forwarded = next_request(&events);
    assert_eq!(forwarded[..3], ["SVC.QUERY".to_owned(), "00000000b4d65521".to_owned(), request_id(1)]);
    let (before, after) = forwarded[3].split_once(",d=").expect("the field d keeps its place");
    let (time_left, after) = after.split_once(',').expect("the fields after d are kept");
    assert_eq!((before, after), ("c=lookup,t=team", "units=2,spread=1,first=0"));
    let time_left: u32 = time_left.parse().expect("the time left is in milliseconds");
    assert!((1..480).contains(&time_left), "the time that the gatekeeper waits for the reply: {time_left}");
}

#[test]
fn commands_other_than_requests_get_their_protocol_replies() {
    let site = start_site("commands", &SiteOptions::default());
    let mut client = Client::connect(site.listen);
    for (command, reply) in [
        (&["CLIENT", "SETNAME", "x"][..], "+OK"),
        (&["SELECT", "0"], "+OK"),
        (&["HELLO", "3"], "-ERR unknown command"),
        (&["SVC.QUERY", "00000000b4d65521"], "-ERR wrong number of words"),
    ] {
        client.send(&resp_command(command));
        assert_eq!(client.read_reply(), reply, "{command:?}");
    }
}

#[test]
fn malformed_input_gets_an_error_and_a_close_and_other_clients_are_served() {
    let (address, _events) = start_echo_backend();
    let site = start_site("garbage", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    for input in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"*1\r\n$99999999\r\n", b"*-5\r\n", b"*1\r\n:5\r\n"] {
        let mut client = Client::connect(site.listen);
        client.send(input);
        assert!(client.read_reply().starts_with("-ERR"), "{input:?}");
        assert!(client.is_closed());
    }
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 900, 1));
    assert_eq!(client.read_reply(), request_id(1));
}

/// Regression: the error reply to a malformed command overtook the replies to earlier requests, and the close after it cancelled
/// these requests. Nor may any amount of input after the malformed command reset the connection.
#[test]
fn a_malformed_command_gets_its_error_after_the_replies_to_earlier_requests() {
    let HeldBackend { address, events, release } = start_backend_holding_first_request();
    let site = start_site("in-turn", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&[&query(1, 2400, 1)[..], b"*2\r\n:1\r\n:2\r\n", &query(2, 2400, 1)].concat());
    let mut endless_sender = client.writer.try_clone().expect("the socket can be cloned");
    let sender_thread = std::thread::spawn(move || while endless_sender.write_all(&[b'k'; 4096]).is_ok() {});
    next_request(&events);
    release.send(()).expect("the stand-in waits for the release");
    assert_eq!(client.read_reply(), request_id(1));
    assert!(client.read_reply().starts_with("-ERR"));
    assert!(client.is_closed());
    sender_thread.join().expect("the close reaches a client that only sends");
    assert_eq!(all_requests(&events).len(), 0, "no request after the malformed command is forwarded");
}

/// A client that sends nothing gets a close, and one that sends a part of a command gets an error, within the
/// 3 s of the protocol.
#[test]
fn silent_and_incomplete_connections_are_closed() {
    let site = start_site("half", &SiteOptions::default());
    let mut silent = Client::connect(site.listen);
    let mut incomplete = Client::connect(site.listen);
    incomplete.send(b"*4\r\n$9\r\nSVC.QU");
    assert!(incomplete.read_reply().starts_with("-ERR"));
    assert!(incomplete.is_closed() && silent.is_closed());
}

/// Regression: clients that kept their connections open filled the connection table, and all others were rejected.
#[test]
fn idle_connections_are_closed_to_admit_new_clients() {
    let (address, _events) = start_echo_backend();
    let site =
        start_site("room", &SiteOptions { backends: &[address], sockets: 96, ..SiteOptions::default() });
    let mut clients: Vec<Client> = (1..=60)
        .map(|number| {
            let mut client = Client::connect(site.listen);
            client.send(&query(number, 2400, 1));
            client
        })
        .collect();
    // The test has more clients than the connection table holds: later ones get their reply once the
    // first ones have been idle for long enough. The quota is too small for all requests, but a rejection also shows that the
    // connection was accepted.
    for client in &mut clients {
        assert!(!client.read_reply().is_empty());
    }
}

/// When another gatekeeper restarts, all its clients connect here at once. Client connections must then use the descriptors that
/// attempts leave free, and connections that have sent no valid request must not exhaust them.
#[test]
fn clients_use_free_descriptors_and_connections_without_requests_do_not_exhaust_them() {
    let site = start_site("table", &SiteOptions { sockets: 96, ..SiteOptions::default() });
    let started = Instant::now();
    let mut without_requests: Vec<Client> = (0..120).map(|_| Client::connect(site.listen)).collect();
    without_requests.iter_mut().step_by(2).for_each(|client| client.send(&resp_command(&["NONSENSE"])));
    without_requests.iter_mut().skip(1).step_by(2).for_each(|client| client.send(&resp_command(&["PING"])));
    let mut requesting: Vec<Client> = (0..40).map(|_| Client::connect(site.listen)).collect();
    requesting.iter_mut().zip(1..).for_each(|(client, number)| client.send(&query(number, 2400, 1)));
    requesting
        .iter_mut()
        .for_each(|client| assert!(client.read_reply().starts_with("-BUSY"), "there is no backend"));
    assert!(
        started.elapsed().as_millis() < 1900,
        "no requesting client waits for the others: {:?}",
        started.elapsed()
    );
}

/// A client that repeats errors is read again only after a pause, so that others get their share of the worker.
#[test]
fn a_client_that_repeats_errors_is_slowed_down() {
    let site = start_site("repeats", &SiteOptions::default());
    let mut client = Client::connect(site.listen);
    let started = Instant::now();
    for _ in 0..20 {
        client.send(&resp_command(&["NONSENSE"]));
        assert!(client.read_reply().starts_with("-ERR"));
    }
    assert!(started.elapsed().as_millis() >= 19 * 20, "{:?}", started.elapsed());
}

/// An id identifies one request in flight. Otherwise a client could get the reply to another client's request.
#[test]
fn a_duplicate_id_is_rejected_until_its_request_is_answered() {
    let HeldBackend { address, events, release } = start_backend_holding_first_request();
    let site = start_site("ids", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let (mut first, mut second) = (Client::connect(site.listen), Client::connect(site.listen));
    first.send(&query(1, 2400, 1));
    next_request(&events);
    second.send(&query(1, 2400, 1));
    assert_eq!(second.read_reply(), "-ERR the id is that of an open request");
    release.send(()).expect("the stand-in waits for the release");
    assert_eq!(first.read_reply(), request_id(1));
    second.send(&query(1, 2400, 1));
    assert_eq!(second.read_reply(), request_id(1));
}

#[test]
fn pipelined_commands_are_answered_in_their_order() {
    let HeldBackend { address, events, release } = start_backend_holding_first_request();
    let site = start_site("order", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&[query(1, 2400, 1), query(2, 2400, 1), resp_command(&["PING"])].concat());
    // Both requests are at the backend before the first is released; the second reply waits for the first one.
    next_request(&events);
    next_request(&events);
    release.send(()).expect("the stand-in waits for the release");
    assert_eq!(
        [client.read_reply(), client.read_reply(), client.read_reply()],
        [request_id(1), request_id(2), "+PONG".into()]
    );
}

#[test]
fn an_exhausted_quota_is_rejected_with_retry_after_at_once() {
    let (address, events) = start_echo_backend();
    let site = start_site("quota", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    // A new tenant may use the units of the largest request, and 4 more in each second.
    client.send(&query(1, 2400, 8));
    assert_eq!(client.read_reply(), request_id(1));
    client.send(&query(2, 2400, 8));
    let reply = client.read_reply();
    let retry_after: u32 =
        reply.strip_prefix("-BUSY ").expect("a -BUSY reply").parse().expect("the delay is in milliseconds");
    assert!((1..=1000).contains(&retry_after), "a delay that clients honour: {retry_after}");
    assert_eq!(all_requests(&events).len(), 1, "a rejected request is not forwarded");
}

#[test]
fn the_units_of_a_served_request_are_added_to_the_shared_count() {
    let (address, _events) = start_echo_backend();
    let (counter, added) = start_counter(6.5);
    let options = SiteOptions {
        backends: &[address],
        counter: Some(counter),
        gatekeepers: 2,
        ..SiteOptions::default()
    };
    let site = start_site("counter", &options);
    let mut client = Client::connect(site.listen);
    client.send(&query_through_gatekeepers(1, 2400, 1, 2));
    assert_eq!(client.read_reply(), request_id(1));
    let (name, amount) = receive(&added);
    assert_eq!((name.len(), amount), (16, 1.0));
}

#[test]
fn a_request_that_its_backend_does_not_answer_is_rejected_by_its_deadline() {
    let (address, _events) = start_backend(read_resp_command, |_| Behaviour::NoReply);
    let site = start_site("deadline", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    let started = Instant::now();
    client.send(&query(1, 400, 1));
    assert!(client.read_reply().starts_with("-BUSY"));
    // The policy's unit tests check the exact deadline. On a machine under load the reply may be late.
    assert!(started.elapsed().as_millis() < 1500, "{:?}", started.elapsed());
}

/// A request may have run if its connection was reset after the last byte, and has not run if its connection was refused. In both
/// cases an idempotent request is retried at another backend.
#[test]
fn requests_are_retried_at_another_backend_after_a_reset_or_a_refused_connection() {
    let (closing, closing_events) = start_backend(read_resp_command, |_| Behaviour::Close);
    let (serving, _events) = start_echo_backend();
    let site = start_site(
        "elsewhere",
        &SiteOptions { backends: &[closing, unused_address(), serving], ..SiteOptions::default() },
    );
    let mut client = Client::connect(site.listen);
    for number in 1..=8 {
        client.send(&query(number, 2400, 1));
        assert_eq!(client.read_reply(), request_id(number));
    }
    let ids: Vec<String> = all_requests(&closing_events).into_iter().map(|words| words[2].clone()).collect();
    let mut distinct_ids = ids.clone();
    distinct_ids.dedup();
    assert_eq!(ids, distinct_ids, "no request is retried at the backend that closed its connection");
}

/// The connection pool must not send a request again by itself: a reset after the write must be reported as a reset.
#[test]
fn a_pooled_connection_closed_by_its_backend_is_not_used() {
    let (sender, closed) = channel();
    let sender = std::sync::Mutex::new(sender);
    let events = std::sync::Mutex::new(Vec::new());
    let address = start_listener(move |stream| {
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        let words = read_resp_command(&mut reader).expect("a request arrives");
        events.lock().expect("the lock is not poisoned").push(words[2].clone());
        let _ = std::io::Write::write_all(&mut &stream, &backend_reply(&words[2]));
        // Serves one request on each connection, then closes its side.
        let _ = stream.shutdown(std::net::Shutdown::Write);
        // Then the gatekeeper closes its side.
        let next_command = read_resp_command(&mut reader);
        let _ = sender.lock().expect("the lock is not poisoned").send(next_command);
    });
    let site =
        start_site("stale", &SiteOptions { backends: &[address], attempts: 1, ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    for number in 1..=3 {
        client.send(&query(number, 2400, 1));
        assert_eq!(client.read_reply(), request_id(number));
        assert_eq!(receive(&closed), None, "no request is written to the closed connection");
    }
}

/// Regression: bytes that arrived late after a reply were read as the reply to the next request on the same connection.
#[test]
fn a_backend_connection_is_not_reused_right_after_a_reply() {
    let (sender, connected) = channel();
    let sender = std::sync::Mutex::new(sender);
    let address = start_listener(move |stream| {
        let _ = sender.lock().expect("the lock is not poisoned").send(());
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        while let Some(words) = read_resp_command(&mut reader) {
            let _ = (&stream).write_all(&backend_reply(&words[2]));
        }
    });
    let site = start_site("rests", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    for number in 1..=8 {
        client.send(&query(number, 2400, 1));
        assert_eq!(client.read_reply(), request_id(number));
    }
    assert!(connected.try_iter().count() > 1, "a request right after a reply goes to another connection");
}

/// Regression: a duplicate reply that arrived some milliseconds late was read as the reply to the next request.
#[test]
fn a_delayed_duplicate_reply_is_dropped() {
    /// Delay of a duplicate. A connection is not reused for 20 ms after a reply.
    const DELAY: Duration = Duration::from_millis(10);
    /// A duplicate that a busy machine delays by more than this is not written, since it could not be told from the next reply.
    const MAX_DELAY: Duration = Duration::from_millis(15);
    /// Number of duplicates that must be written for 100 requests.
    const MIN_DUPLICATES: usize = 25;
    let duplicates = Arc::new(AtomicUsize::new(0));
    let written = duplicates.clone();
    let address = start_listener(move |stream| {
        // Without this option the system holds back the duplicate until the reply is acknowledged (Nagle's algorithm).
        stream.set_nodelay(true).expect("the connection is open");
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        while let Some(words) = read_resp_command(&mut reader) {
            let replied_at = Instant::now();
            let _ = (&stream).write_all(&backend_reply(&words[2]));
            std::thread::sleep(DELAY);
            if replied_at.elapsed() < MAX_DELAY && (&stream).write_all(&backend_reply(&words[2])).is_ok() {
                written.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    let site = start_site("second-answer", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    for number in 1..=100 {
        client.send(&query_of_new_tenant(number));
        assert_eq!(client.read_reply(), request_id(number));
    }
    let duplicates = duplicates.load(Ordering::Relaxed);
    assert!(duplicates >= MIN_DUPLICATES, "{duplicates} duplicates were written");
}

/// Regression: the backend's system held back a duplicate until the reply before it was acknowledged (Nagle's algorithm), and the
/// acknowledgement came with the next request. The duplicate was then read as the reply to that request.
#[test]
fn a_duplicate_reply_held_back_until_an_acknowledgement_is_dropped() {
    /// Delay of a duplicate. A connection is not reused for 20 ms after a reply, and the system delays an acknowledgement by
    /// 40 ms.
    const DELAY: Duration = Duration::from_millis(10);
    /// A duplicate that a busy machine delays by more than this is not written, since it could not be told from the next reply.
    const MAX_DELAY: Duration = Duration::from_millis(15);
    /// Time between two requests, after which the connection is reused.
    const PAUSE: Duration = Duration::from_millis(25);
    /// Number of duplicates that must be written for 30 requests.
    const MIN_DUPLICATES: usize = 5;
    let duplicates = Arc::new(AtomicUsize::new(0));
    let written = duplicates.clone();
    let address = start_listener(move |stream| {
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        let mut is_first = true;
        while let Some(words) = read_resp_command(&mut reader) {
            let replied_at = Instant::now();
            let _ = (&stream).write_all(&backend_reply(&words[2]));
            // The system acknowledges the first bytes of a connection at once.
            if std::mem::take(&mut is_first) {
                continue;
            }
            std::thread::sleep(DELAY);
            if replied_at.elapsed() < MAX_DELAY && (&stream).write_all(&backend_reply(&words[2])).is_ok() {
                written.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    let site = start_site("held-answer", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    for number in 1..=30 {
        client.send(&query_of_new_tenant(number));
        assert_eq!(client.read_reply(), request_id(number));
        std::thread::sleep(PAUSE);
    }
    let duplicates = duplicates.load(Ordering::Relaxed);
    assert!(duplicates >= MIN_DUPLICATES, "{duplicates} duplicates were written");
}

#[test]
fn a_client_that_disconnects_cancels_its_request() {
    let (address, events) = start_backend(read_resp_command, |_| Behaviour::NoReply);
    let site = start_site("leaves", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2500, 1));
    next_request(&events);
    let started = Instant::now();
    drop(client);
    assert!(matches!(receive(&events), BackendEvent::RequestAbandoned));
    assert!(started.elapsed().as_millis() < 2000, "the attempt is cancelled long before its deadline");
}

#[test]
fn a_draining_backend_gets_nothing_new_and_a_new_one_is_used() {
    let (old, old_events) = start_echo_backend();
    let (new, new_events) = start_echo_backend();
    let site = start_site("drain", &SiteOptions { backends: &[old], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.read_reply(), request_id(1));
    next_request(&old_events);
    let changes = [endpoint("s-0", old, "draining"), endpoint("s-new", new, "up")];
    site.watch.send(list_delta(41, &changes)).expect("the watch is open");
    // The gatekeeper closes its idle connection once it has read the change.
    assert!(matches!(receive(&old_events), BackendEvent::ConnectionClosed));
    client.send(&query(2, 2400, 1));
    assert_eq!(client.read_reply(), request_id(2));
    assert_eq!(next_request(&new_events)[2], request_id(2));
    assert!(all_requests(&old_events).is_empty());
}

/// Changes that the discovery agent already has must apply to the first request, since the list of the configuration may be old.
/// The unknown state "leaving" is logged, which shows when the list of the agent was read.
#[test]
fn reads_the_first_list_of_the_agent_before_serving() {
    let (old, old_events) = start_echo_backend();
    let (new, _new_events) = start_echo_backend();
    let (agent, directory) = (start_agent(), TestDirectory::new("first-list"));
    let options = SiteOptions { backends: &[old], ..SiteOptions::default() };
    let path = directory.write("config.json", &config_text(agent.address, &options));
    let program = Program::start(&[], &[("BALANCER_CONFIG", &path)]);
    let (_, watch) = receive(&agent.watches);
    let changes = [endpoint("s-0", old, "leaving"), endpoint("s-new", new, "up")];
    watch.send(list_delta(41, &changes)).expect("the watch is open");
    let first_line = program.wait_for_line_with_any(&["unknown endpoint state", "serving on "]);
    assert!(first_line.contains("unknown endpoint state"), "{first_line}");
    let mut client = Client::connect(listen_address(&program));
    client.send(&query(1, 2400, 1));
    assert_eq!(client.read_reply(), request_id(1));
    assert!(all_requests(&old_events).is_empty());
}

/// If the discovery agent refuses connections or does not answer, the list of the configuration is used.
#[test]
fn starts_without_the_discovery_agent() {
    let (address, _events) = start_echo_backend();
    let silent =
        start_listener(
            |stream| while std::io::Read::read(&mut &stream, &mut [0; 4096]).is_ok_and(|n| n > 0) {},
        );
    for agent in [unused_address(), silent] {
        let directory = TestDirectory::new("no-agent");
        let options = SiteOptions { backends: &[address], ..SiteOptions::default() };
        let path = directory.write("config.json", &config_text(agent, &options));
        let program = Program::start(&[], &[("BALANCER_CONFIG", &path)]);
        let mut client = Client::connect(listen_address(&program));
        client.send(&query(1, 2400, 1));
        assert_eq!(client.read_reply(), request_id(1));
    }
}

#[test]
fn a_full_list_replaces_the_old_one() {
    let (old, old_events) = start_echo_backend();
    let (new, _new_events) = start_echo_backend();
    let site = start_site("full", &SiteOptions { backends: &[old], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.read_reply(), request_id(1));
    site.watch.send(full_list(50, &[endpoint("s-new", new, "up")])).expect("the watch is open");
    next_request(&old_events);
    assert!(matches!(receive(&old_events), BackendEvent::ConnectionClosed));
    client.send(&query(2, 2400, 1));
    assert_eq!(client.read_reply(), request_id(2));
    assert!(all_requests(&old_events).is_empty());
}

#[test]
fn a_lost_watch_resumes_at_the_last_version() {
    let site = start_site("watch", &SiteOptions::default());
    site.watch.send(list_delta(47, &[])).expect("the watch is open");
    drop(site.watch);
    let (request, _watch) = receive(&site.agent.watches);
    assert_eq!(request, "GET /discovery/hosts?stream=1&index=47 HTTP/1.1");
}

/// A network failure can leave a watch without data, heartbeats or a close.
#[test]
fn a_silent_watch_is_closed_and_resumes_at_the_last_version() {
    let site = start_site("silent", &SiteOptions::default());
    let (request, _watch) = receive(&site.agent.watches);
    assert_eq!(request, "GET /discovery/hosts?stream=1&index=40 HTTP/1.1");
    site.program.wait_for_log("discovery watch failed");
}

#[test]
fn after_sigterm_accepted_requests_are_answered_and_connections_closed() {
    let HeldBackend { address, events, release } = start_backend_holding_first_request();
    let mut site = start_site("sigterm", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut idle = Client::connect(site.listen);
    idle.send(&resp_command(&["PING"]));
    assert_eq!(idle.read_reply(), "+PONG");
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2500, 1));
    next_request(&events);
    site.program.terminate();
    site.program.wait_for_log("graceful shutdown started signal=15");
    // During the overlap open connections are served and new ones are accepted.
    for client in [&mut idle, &mut Client::connect(site.listen)] {
        client.send(&resp_command(&["PING"]));
        assert_eq!(client.read_reply(), "+PONG");
    }
    assert!(idle.is_closed(), "the idle connection is closed");
    release.send(()).expect("the stand-in waits for the release");
    assert_eq!(client.read_reply(), request_id(1));
    assert!(client.is_closed());
    assert_eq!(site.program.wait(), Some(0));
    assert!(all_requests(&events).is_empty(), "the request is forwarded once");
}

/// Regression: a gatekeeper that exited half a second after SIGTERM left its clients without service for seconds. The platform
/// sends SIGKILL 3.2 s after SIGTERM, and all accepted requests must be answered by then.
#[test]
fn after_sigterm_the_program_keeps_serving_and_answers_all_requests_before_sigkill() {
    // Requests with odd ids get no reply.
    let (address, _events) = start_backend(read_resp_command, |words| {
        let is_odd = words[2].ends_with(['1', '3', '5', '7', '9']);
        if is_odd { Behaviour::NoReply } else { Behaviour::Reply(backend_reply(&words[2])) }
    });
    let mut site = start_site("lasting", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut connected = Client::connect(site.listen);
    connected.send(&query(2, 2_400, 1));
    assert_eq!(connected.read_reply(), request_id(2));
    site.program.terminate();
    site.program.wait_for_log("graceful shutdown started signal=15");
    let started = Instant::now();
    // The wait for this rejection delays the test: it comes no sooner than 1.2 s after the signal.
    let mut delayed = Client::connect(site.listen);
    delayed.send(&query(1, 1_400, 1));
    assert!(delayed.read_reply().starts_with("-BUSY"));
    assert!(started.elapsed().as_millis() > 1_200);
    connected.send(&query(4, 2_400, 1));
    assert_eq!(connected.read_reply(), request_id(4), "a request is served long after the signal");
    connected.send(&query(3, 2_400, 1));
    assert!(
        connected.read_reply().starts_with("-BUSY"),
        "a request without backend reply is rejected although its client would wait for longer"
    );
    assert!(started.elapsed().as_millis() < 3_200, "{:?}", started.elapsed());
    assert!(connected.is_closed() && delayed.is_closed());
    assert_eq!(site.program.wait(), Some(0));
}

/// Regression: SIGHUP ended the program. It must apply new addresses of discovery and the counter while accepted requests are
/// answered. An invalid file must change nothing, and SIGTERM must still shut the program down gracefully.
#[test]
fn sighup_applies_new_discovery_and_counter_addresses_and_an_invalid_file_changes_nothing() {
    let HeldBackend { address, events, release } = start_backend_holding_first_request();
    let ((old_counter, old_added), (new_counter, new_added)) = (start_counter(0.0), start_counter(0.0));
    let options = SiteOptions {
        backends: &[address],
        counter: Some(old_counter),
        gatekeepers: 2,
        ..SiteOptions::default()
    };
    let mut site = start_site("sighup", &options);
    let mut client = Client::connect(site.listen);
    client.send(&query_through_gatekeepers(1, 2500, 1, 2));
    receive(&old_added);
    next_request(&events);

    site.directory.write("config.json", "{");
    site.program.signal("-HUP");
    site.program.wait_for_log("previous configuration kept in force");

    let new_agent = start_agent();
    let changed_options = SiteOptions { counter: Some(new_counter), ..options };
    site.directory.write("config.json", &config_text(new_agent.address, &changed_options));
    site.program.signal("-HUP");
    let discovery = format!(" address={} changed=true", new_agent.address);
    assert_eq!(site.program.wait_for_log("discovery address reloaded"), discovery);
    let counter = format!(" address={new_counter} changed=true");
    assert_eq!(site.program.wait_for_log("quota counter address reloaded"), counter);
    let (request, watch) = receive(&new_agent.watches);
    assert_eq!(
        request, "GET /discovery/hosts?stream=1&index=40 HTTP/1.1",
        "the watch resumes at the last known version"
    );

    release.send(()).expect("the stand-in waits for the release");
    assert_eq!(client.read_reply(), request_id(1), "a request accepted before the reload is answered");
    client.send(&query_through_gatekeepers(2, 2500, 1, 2));
    assert_eq!(client.read_reply(), request_id(2));
    receive(&new_added);

    // The list of the new agent replaces the old one.
    let (other, _) = start_backend(read_resp_command, |_| Behaviour::Reply(backend_reply("other")));
    watch.send(full_list(41, &[endpoint("s-9", other, "up")])).expect("the watch is open");
    for number in 3.. {
        client.send(&query_through_gatekeepers(number, 2500, 1, 2));
        if client.read_reply() == "other" {
            break;
        }
    }
    site.program.terminate();
    assert!(client.is_closed());
    assert_eq!(site.program.wait(), Some(0));
}

#[test]
fn an_unusable_configuration_is_reported_and_ends_the_process() {
    let directory = TestDirectory::new("config");
    for (text, expected) in [
        ("{", "config.json"),
        (r#"{"name":"n0"}"#, "missing field"),
        (&config_text(unused_address(), &SiteOptions::default()).replace("127.0.0.1:0", "nowhere"), "listen"),
        (&config_text(unused_address(), &SiteOptions::default()).replace("read_like", "often"), "often"),
        (
            &config_text(unused_address(), &SiteOptions { gatekeepers: 0, ..SiteOptions::default() }),
            "gateways",
        ),
    ] {
        let path = directory.write("config.json", text);
        let (succeeded, output) = run(&[], &[("BALANCER_CONFIG", &path)]);
        assert!(!succeeded && output.contains(expected), "{expected}: {output}");
    }
    let (succeeded, output) = run(&[], &[("BALANCER_CONFIG", "/nowhere/config.json")]);
    assert!(!succeeded && output.contains("/nowhere/config.json"));
}
