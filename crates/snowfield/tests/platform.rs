//! The program on the platform, started as the platform starts it and tested over sockets.

mod common;

use common::*;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

#[test]
fn forwards_a_request_unchanged_and_returns_its_value() {
    let (address, events) = echo_backend();
    let site = site("serve", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&resp_command(&["PING"]));
    assert_eq!(client.reply(), "+PONG");
    client.send(&query(1, 480, 2));
    assert_eq!(client.reply(), request_id(1));
    let got = next_request(&events);
    assert_eq!(got[..3], ["SVC.QUERY".to_owned(), "00000000b4d65521".to_owned(), request_id(1)]);
    let (before, after) = got[3].split_once(",d=").expect("d stays in its place");
    let (wait, after) = after.split_once(',').expect("what follows d stays");
    assert_eq!((before, after), ("c=lookup,t=team", "units=2,spread=1,first=0"));
    let wait: u32 = wait.parse().expect("milliseconds");
    assert!((1..480).contains(&wait), "it says how long the gatekeeper will wait: {wait}");
}

#[test]
fn other_commands_get_the_answers_of_the_protocol() {
    let site = site("commands", &SiteOptions::default());
    let mut client = Client::connect(site.listen);
    for (ask, answer) in [
        (&["CLIENT", "SETNAME", "x"][..], "+OK"),
        (&["SELECT", "0"], "+OK"),
        (&["HELLO", "3"], "-ERR unknown command"),
        (&["SVC.QUERY", "00000000b4d65521"], "-ERR wrong number of words"),
    ] {
        client.send(&resp_command(ask));
        assert_eq!(client.reply(), answer, "{ask:?}");
    }
}

#[test]
fn garbage_gets_an_error_and_a_close_and_others_are_served() {
    let (address, _events) = echo_backend();
    let site = site("garbage", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    for garbage in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"*1\r\n$99999999\r\n", b"*-5\r\n", b"*1\r\n:5\r\n"] {
        let mut client = Client::connect(site.listen);
        client.send(garbage);
        assert!(client.reply().starts_with("-ERR"), "{garbage:?}");
        assert!(client.ended());
    }
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 900, 1));
    assert_eq!(client.reply(), request_id(1));
}

/// Regression: an error reply once overtook the replies before it, and its close cancelled their requests. Input after the
/// malformed command must not reset the connection either, however much it is.
#[test]
fn a_malformed_command_gets_its_error_in_turn_and_cancels_nothing_before_it() {
    let HeldBackend { address, events, release } = backend_holding_first_request();
    let site = site("in-turn", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&[&query(1, 2400, 1)[..], b"*2\r\n:1\r\n:2\r\n", &query(2, 2400, 1)].concat());
    let mut endless = client.writes.try_clone().expect("a second handle");
    let sends = std::thread::spawn(move || while endless.write_all(&[b'k'; 4096]).is_ok() {});
    next_request(&events);
    release.send(()).expect("the stand-in waits");
    assert_eq!(client.reply(), request_id(1));
    assert!(client.reply().starts_with("-ERR"));
    assert!(client.ended());
    sends.join().expect("the end reaches a client that only sends");
    assert_eq!(all_requests(&events).len(), 0, "input after the malformed command is ignored");
}

/// A client that sends nothing, or a part of a command, gets an error or a close within the protocol's 3 s.
#[test]
fn silent_and_incomplete_connections_are_closed() {
    let site = site("half", &SiteOptions::default());
    let mut silent = Client::connect(site.listen);
    let mut half = Client::connect(site.listen);
    half.send(b"*4\r\n$9\r\nSVC.QU");
    assert!(half.reply().starts_with("-ERR"));
    assert!(half.ended() && silent.ended());
}

/// Regression: clients that kept their connections open once filled the table, and all others were rejected.
#[test]
fn idle_connections_make_room_for_new_ones() {
    let (address, _events) = echo_backend();
    let site = site("room", &SiteOptions { backends: &[address], sockets: 96, ..SiteOptions::default() });
    let mut kept: Vec<Client> = (1..=60)
        .map(|number| {
            let mut client = Client::connect(site.listen);
            client.send(&query(number, 2400, 1));
            client
        })
        .collect();
    // More than the table holds: the later ones get their reply once the first ones have been idle for long enough. The quota is
    // too small for all; a rejection shows as well that the connection was accepted.
    for client in &mut kept {
        assert!(!client.reply().is_empty());
    }
}

/// At a restart of another gatekeeper all its clients connect at once: client connections must use the descriptors that attempts
/// leave free, and connections that have sent nothing but errors must not exhaust them.
#[test]
fn free_descriptors_are_used_and_bad_clients_do_not_exhaust_them() {
    let site = site("table", &SiteOptions { sockets: 96, ..SiteOptions::default() });
    let started = Instant::now();
    let mut bad: Vec<Client> = (0..120).map(|_| Client::connect(site.listen)).collect();
    bad.iter_mut().step_by(2).for_each(|client| client.send(&resp_command(&["NONSENSE"])));
    bad.iter_mut().skip(1).step_by(2).for_each(|client| client.send(&resp_command(&["PING"])));
    let mut usual: Vec<Client> = (0..40).map(|_| Client::connect(site.listen)).collect();
    usual.iter_mut().zip(1..).for_each(|(client, number)| client.send(&query(number, 2400, 1)));
    usual.iter_mut().for_each(|client| assert!(client.reply().starts_with("-BUSY"), "there is no backend"));
    assert!(
        started.elapsed().as_millis() < 1900,
        "no usual client had to wait for them: {:?}",
        started.elapsed()
    );
}

/// A client that repeats errors is read again only after a pause, so that others get their share of the worker.
#[test]
fn a_client_that_repeats_errors_is_slowed_down() {
    let site = site("repeats", &SiteOptions::default());
    let mut client = Client::connect(site.listen);
    let started = Instant::now();
    for _ in 0..20 {
        client.send(&resp_command(&["NONSENSE"]));
        assert!(client.reply().starts_with("-ERR"));
    }
    assert!(started.elapsed().as_millis() >= 19 * 20, "{:?}", started.elapsed());
}

/// An id belongs to one request in flight, so that no client gets the reply to another client's request.
#[test]
fn a_duplicate_id_is_rejected_until_its_request_is_answered() {
    let HeldBackend { address, events, release } = backend_holding_first_request();
    let site = site("ids", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let (mut first, mut second) = (Client::connect(site.listen), Client::connect(site.listen));
    first.send(&query(1, 2400, 1));
    next_request(&events);
    second.send(&query(1, 2400, 1));
    assert_eq!(second.reply(), "-ERR the id is that of an open request");
    release.send(()).expect("the stand-in waits");
    assert_eq!(first.reply(), request_id(1));
    second.send(&query(1, 2400, 1));
    assert_eq!(second.reply(), request_id(1));
}

#[test]
fn pipelined_commands_are_answered_in_their_order() {
    let HeldBackend { address, events, release } = backend_holding_first_request();
    let site = site("order", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&[query(1, 2400, 1), query(2, 2400, 1), resp_command(&["PING"])].concat());
    // Both are at the backend before the first is released; the second reply then waits for its turn.
    next_request(&events);
    next_request(&events);
    release.send(()).expect("the stand-in waits");
    assert_eq!(
        [client.reply(), client.reply(), client.reply()],
        [request_id(1), request_id(2), "+PONG".into()]
    );
}

#[test]
fn an_exhausted_quota_is_rejected_with_retry_after_at_once() {
    let (address, events) = echo_backend();
    let site = site("quota", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    // A new tenant may use the units of the largest request, and 4 more in each second.
    client.send(&query(1, 2400, 8));
    assert_eq!(client.reply(), request_id(1));
    client.send(&query(2, 2400, 8));
    let reply = client.reply();
    let advice: u32 = reply.strip_prefix("-BUSY ").expect("a busy reply").parse().expect("milliseconds");
    assert!((1..=1000).contains(&advice), "within what clients honour: {advice}");
    assert_eq!(all_requests(&events).len(), 1, "a rejected request is not forwarded");
}

#[test]
fn the_counter_is_told_each_unit_once_and_its_total_exhausts_the_quota() {
    let (address, _events) = echo_backend();
    let (counter, added) = counter(6.5);
    let options = SiteOptions {
        backends: &[address],
        counter: Some(counter),
        gatekeepers: 2,
        ..SiteOptions::default()
    };
    let site = site("counter", &options);
    let mut client = Client::connect(site.listen);
    client.send(&query_through_gatekeepers(1, 2400, 1, 2));
    assert_eq!(client.reply(), request_id(1));
    let (name, amount) = next(&added);
    assert_eq!((name.len(), amount), (16, 1.0));
}

#[test]
fn without_an_answer_the_rejection_comes_before_the_client_gives_up() {
    let (address, _events) = backend(read_resp_command, |_| Behaviour::NoReply);
    let site = site("deadline", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    let started = Instant::now();
    client.send(&query(1, 400, 1));
    assert!(client.reply().starts_with("-BUSY"));
    // The policy's unit tests check the deadline itself; on a busy machine the reply may be late.
    assert!(started.elapsed().as_millis() < 1500, "{:?}", started.elapsed());
}

/// A reset after the last byte may have run, a refused connection never ran: either way an idempotent request is retried at
/// another backend.
#[test]
fn resets_and_refused_connections_are_retried_elsewhere() {
    let (breaks, broken) = backend(read_resp_command, |_| Behaviour::Close);
    let (serves, _events) = echo_backend();
    let site = site(
        "elsewhere",
        &SiteOptions { backends: &[breaks, unused_address(), serves], ..SiteOptions::default() },
    );
    let mut client = Client::connect(site.listen);
    for number in 1..=8 {
        client.send(&query(number, 2400, 1));
        assert_eq!(client.reply(), request_id(number));
    }
    let ids: Vec<String> = all_requests(&broken).into_iter().map(|words| words[2].clone()).collect();
    let mut once = ids.clone();
    once.dedup();
    assert_eq!(ids, once, "a break is no reason to send the same request there again");
}

/// The pool must not resend a request by itself: a reset after the write is reported as one.
#[test]
fn a_pooled_connection_closed_by_its_backend_is_not_used() {
    let (sender, closed) = channel();
    let sender = std::sync::Mutex::new(sender);
    let events = std::sync::Mutex::new(Vec::new());
    let address = listen(move |stream| {
        let mut reads = std::io::BufReader::new(stream.try_clone().expect("a second handle"));
        let words = read_resp_command(&mut reads).expect("one request");
        events.lock().expect("no stand-in panics").push(words[2].clone());
        let _ = std::io::Write::write_all(&mut &stream, &backend_reply(&words[2]));
        // Serves one request on each connection, then closes its side.
        let _ = stream.shutdown(std::net::Shutdown::Write);
        // Then the gatekeeper closes its side.
        let more = read_resp_command(&mut reads);
        let _ = sender.lock().expect("no stand-in panics").send(more);
    });
    let site = site("stale", &SiteOptions { backends: &[address], attempts: 1, ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    for number in 1..=3 {
        client.send(&query(number, 2400, 1));
        assert_eq!(client.reply(), request_id(number));
        assert_eq!(next(&closed), None, "nothing more was written to the closed connection");
    }
}

/// Regression: bytes that arrived late after a reply were read as the reply to the next request on the same connection.
#[test]
fn a_connection_rests_after_an_answer() {
    let (sender, connected) = channel();
    let sender = std::sync::Mutex::new(sender);
    let address = listen(move |stream| {
        let _ = sender.lock().expect("no stand-in panics").send(());
        let mut reads = std::io::BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some(words) = read_resp_command(&mut reads) {
            let _ = (&stream).write_all(&backend_reply(&words[2]));
        }
    });
    let site = site("rests", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    for number in 1..=8 {
        client.send(&query(number, 2400, 1));
        assert_eq!(client.reply(), request_id(number));
    }
    assert!(connected.try_iter().count() > 1, "a request right after an answer goes on another connection");
}

/// Regression: a duplicate reply that arrived some milliseconds late was read as the reply to the next request.
#[test]
fn a_late_second_answer_is_dropped() {
    /// Delay of a duplicate. A connection rests for 20 ms after an answer.
    const DELAY: Duration = Duration::from_millis(10);
    /// A duplicate that a busy machine delays by more than this is not written: nothing tells it from the next reply.
    const MAX_DELAY: Duration = Duration::from_millis(15);
    /// Duplicates that have to be written, of 100 requests.
    const MIN_DUPLICATES: usize = 25;
    let duplicates = Arc::new(AtomicUsize::new(0));
    let written = duplicates.clone();
    let address = listen(move |stream| {
        // The system would hold back the duplicate until the answer is acknowledged.
        stream.set_nodelay(true).expect("it is open");
        let mut reads = std::io::BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some(words) = read_resp_command(&mut reads) {
            let answered = Instant::now();
            let _ = (&stream).write_all(&backend_reply(&words[2]));
            std::thread::sleep(DELAY);
            if answered.elapsed() < MAX_DELAY && (&stream).write_all(&backend_reply(&words[2])).is_ok() {
                written.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    let site = site("second-answer", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    for number in 1..=100 {
        client.send(&query_of_new_tenant(number));
        assert_eq!(client.reply(), request_id(number));
    }
    let duplicates = duplicates.load(Ordering::Relaxed);
    assert!(duplicates >= MIN_DUPLICATES, "{duplicates} duplicates were written");
}

/// Regression: the backend's system held back a duplicate until the answer before it was acknowledged (Nagle's algorithm), and the
/// acknowledgement came with the next request. The duplicate then arrived as the reply to it.
#[test]
fn a_second_answer_that_waits_for_an_acknowledgement_is_dropped() {
    /// Delay of a duplicate. A connection rests for 20 ms after an answer, and an acknowledgement waits for 40 ms.
    const DELAY: Duration = Duration::from_millis(10);
    /// A duplicate that a busy machine delays by more than this is not written: nothing tells it from the next reply.
    const MAX_DELAY: Duration = Duration::from_millis(15);
    /// Time between two requests, after which the connection is reused.
    const PAUSE: Duration = Duration::from_millis(25);
    const MIN_DUPLICATES: usize = 5;
    let duplicates = Arc::new(AtomicUsize::new(0));
    let written = duplicates.clone();
    let address = listen(move |stream| {
        let mut reads = std::io::BufReader::new(stream.try_clone().expect("a second handle"));
        let mut is_first = true;
        while let Some(words) = read_resp_command(&mut reads) {
            let answered = Instant::now();
            let _ = (&stream).write_all(&backend_reply(&words[2]));
            // The system acknowledges the first bytes of a connection at once.
            if std::mem::take(&mut is_first) {
                continue;
            }
            std::thread::sleep(DELAY);
            if answered.elapsed() < MAX_DELAY && (&stream).write_all(&backend_reply(&words[2])).is_ok() {
                written.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    let site = site("held-answer", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    for number in 1..=30 {
        client.send(&query_of_new_tenant(number));
        assert_eq!(client.reply(), request_id(number));
        std::thread::sleep(PAUSE);
    }
    let duplicates = duplicates.load(Ordering::Relaxed);
    assert!(duplicates >= MIN_DUPLICATES, "{duplicates} duplicates were written");
}

#[test]
fn a_client_that_disconnects_cancels_its_request() {
    let (address, events) = backend(read_resp_command, |_| Behaviour::NoReply);
    let site = site("leaves", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2500, 1));
    next_request(&events);
    let started = Instant::now();
    drop(client);
    assert!(matches!(next(&events), BackendEvent::RequestAbandoned));
    assert!(started.elapsed().as_millis() < 2000, "long before its deadline");
}

#[test]
fn a_draining_backend_gets_nothing_new_and_a_new_one_is_used() {
    let (old, old_events) = echo_backend();
    let (new, new_events) = echo_backend();
    let site = site("drain", &SiteOptions { backends: &[old], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.reply(), request_id(1));
    next_request(&old_events);
    let changes = [endpoint("s-0", old, "draining"), endpoint("s-new", new, "up")];
    site.watch.send(list_delta(41, &changes)).expect("the watch is open");
    // The gatekeeper closes its idle connection once it has read the change.
    assert!(matches!(next(&old_events), BackendEvent::ConnectionClosed));
    client.send(&query(2, 2400, 1));
    assert_eq!(client.reply(), request_id(2));
    assert_eq!(next_request(&new_events)[2], request_id(2));
    assert!(all_requests(&old_events).is_empty());
}

/// A change that the agent already has counts as known from the first moment of serving, and the list of the configuration may be
/// old. The unknown state is logged, which shows when the list was read.
#[test]
fn waits_for_the_first_list_before_serving() {
    let (old, old_events) = echo_backend();
    let (new, _new_events) = echo_backend();
    let (agent, directory) = (agent(), TestDirectory::new("first-list"));
    let options = SiteOptions { backends: &[old], ..SiteOptions::default() };
    let path = directory.write("config.json", &config(agent.address, &options));
    let program = Program::start(&[], &[("BALANCER_CONFIG", &path)]);
    let (_, watch) = next(&agent.watches);
    let changes = [endpoint("s-0", old, "leaving"), endpoint("s-new", new, "up")];
    watch.send(list_delta(41, &changes)).expect("the watch is open");
    let first = program.line_of(&["unknown endpoint state", "serving on "]);
    assert!(first.contains("unknown endpoint state"), "{first}");
    let mut client = Client::connect(listen_address(&program));
    client.send(&query(1, 2400, 1));
    assert_eq!(client.reply(), request_id(1));
    assert!(all_requests(&old_events).is_empty());
}

/// Without the discovery agent the list of the configuration is used.
#[test]
fn starts_without_the_discovery_agent() {
    let (address, _events) = echo_backend();
    let silent =
        listen(|stream| while std::io::Read::read(&mut &stream, &mut [0; 4096]).is_ok_and(|n| n > 0) {});
    for agent in [unused_address(), silent] {
        let directory = TestDirectory::new("no-agent");
        let options = SiteOptions { backends: &[address], ..SiteOptions::default() };
        let path = directory.write("config.json", &config(agent, &options));
        let program = Program::start(&[], &[("BALANCER_CONFIG", &path)]);
        let mut client = Client::connect(listen_address(&program));
        client.send(&query(1, 2400, 1));
        assert_eq!(client.reply(), request_id(1));
    }
}

#[test]
fn a_full_list_replaces_the_old_one() {
    let (old, old_events) = echo_backend();
    let (new, _new_events) = echo_backend();
    let site = site("full", &SiteOptions { backends: &[old], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.reply(), request_id(1));
    site.watch.send(full_list(50, &[endpoint("s-new", new, "up")])).expect("the watch is open");
    next_request(&old_events);
    assert!(matches!(next(&old_events), BackendEvent::ConnectionClosed));
    client.send(&query(2, 2400, 1));
    assert_eq!(client.reply(), request_id(2));
    assert!(all_requests(&old_events).is_empty());
}

#[test]
fn a_lost_watch_resumes_at_the_last_version() {
    let site = site("watch", &SiteOptions::default());
    site.watch.send(list_delta(47, &[])).expect("the watch is open");
    drop(site.watch);
    let (request, _watch) = next(&site.agent.watches);
    assert_eq!(request, "GET /discovery/hosts?stream=1&index=47 HTTP/1.1");
}

/// A broken link brings no data, no heartbeat and no close.
#[test]
fn a_silent_watch_is_closed_and_resumes_at_the_last_version() {
    let site = site("silent", &SiteOptions::default());
    let (request, _watch) = next(&site.agent.watches);
    assert_eq!(request, "GET /discovery/hosts?stream=1&index=40 HTTP/1.1");
    site.program.logged("discovery watch failed");
}

#[test]
fn after_sigterm_accepted_requests_are_answered_and_connections_closed() {
    let HeldBackend { address, events, release } = backend_holding_first_request();
    let mut site = site("sigterm", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut idle = Client::connect(site.listen);
    idle.send(&resp_command(&["PING"]));
    assert_eq!(idle.reply(), "+PONG");
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2500, 1));
    next_request(&events);
    site.program.terminate();
    site.program.logged("graceful shutdown started signal=15");
    // During the overlap open connections are served and new ones are accepted.
    for client in [&mut idle, &mut Client::connect(site.listen)] {
        client.send(&resp_command(&["PING"]));
        assert_eq!(client.reply(), "+PONG");
    }
    assert!(idle.ended(), "closed between requests");
    release.send(()).expect("the stand-in waits");
    assert_eq!(client.reply(), request_id(1));
    assert!(client.ended());
    assert_eq!(site.program.wait(), Some(0));
    assert!(all_requests(&events).is_empty(), "the request was sent once");
}

/// Regression: a gatekeeper that exited half a second after SIGTERM left its clients without service for seconds. Here SIGKILL would
/// follow 3.2 s after SIGTERM, and all accepted requests must be answered by then.
#[test]
fn after_sigterm_it_keeps_serving_and_answers_all_before_the_kill() {
    // Requests with odd ids get no reply.
    let (address, _events) = backend(read_resp_command, |words| {
        let odd = words[2].ends_with(['1', '3', '5', '7', '9']);
        if odd { Behaviour::NoReply } else { Behaviour::Reply(backend_reply(&words[2])) }
    });
    let mut site = site("lasting", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut kept = Client::connect(site.listen);
    kept.send(&query(2, 2_400, 1));
    assert_eq!(kept.reply(), request_id(2));
    site.program.terminate();
    site.program.logged("graceful shutdown started signal=15");
    let started = Instant::now();
    // The rejection measures the time: it comes no sooner than 1.2 s after the signal.
    let mut clock = Client::connect(site.listen);
    clock.send(&query(1, 1_400, 1));
    assert!(clock.reply().starts_with("-BUSY"));
    assert!(started.elapsed().as_millis() > 1_200);
    kept.send(&query(4, 2_400, 1));
    assert_eq!(kept.reply(), request_id(4), "served long after the signal");
    kept.send(&query(3, 2_400, 1));
    assert!(kept.reply().starts_with("-BUSY"), "told to come back, though its client would wait for longer");
    assert!(started.elapsed().as_millis() < 3_200, "{:?}", started.elapsed());
    assert!(kept.ended() && clock.ended());
    assert_eq!(site.program.wait(), Some(0));
}

/// Regression: SIGHUP once ended the program. Discovery and the counter get new addresses, accepted requests are answered, an invalid
/// file changes nothing, and SIGTERM still shuts the program down gracefully.
#[test]
fn sighup_moves_discovery_and_the_counter_and_a_bad_file_changes_nothing() {
    let HeldBackend { address, events, release } = backend_holding_first_request();
    let ((old_counter, old_added), (new_counter, new_added)) = (counter(0.0), counter(0.0));
    let options = SiteOptions {
        backends: &[address],
        counter: Some(old_counter),
        gatekeepers: 2,
        ..SiteOptions::default()
    };
    let mut site = site("sighup", &options);
    let mut client = Client::connect(site.listen);
    client.send(&query_through_gatekeepers(1, 2500, 1, 2));
    next(&old_added);
    next_request(&events);

    site.directory.write("config.json", "{");
    site.program.signal("-HUP");
    site.program.logged("previous configuration kept in force");

    let new_agent = agent();
    let moved = SiteOptions { counter: Some(new_counter), ..options };
    site.directory.write("config.json", &config(new_agent.address, &moved));
    site.program.signal("-HUP");
    let discovery = format!(" address={} changed=true", new_agent.address);
    assert_eq!(site.program.logged("discovery address reloaded"), discovery);
    let counter = format!(" address={new_counter} changed=true");
    assert_eq!(site.program.logged("quota counter address reloaded"), counter);
    let (request, watch) = next(&new_agent.watches);
    assert_eq!(request, "GET /discovery/hosts?stream=1&index=40 HTTP/1.1", "from the last known version");

    release.send(()).expect("the stand-in waits");
    assert_eq!(client.reply(), request_id(1), "accepted before the reload");
    client.send(&query_through_gatekeepers(2, 2500, 1, 2));
    assert_eq!(client.reply(), request_id(2));
    next(&new_added);

    // The list of the new agent replaces the old one.
    let (other, _) = backend(read_resp_command, |_| Behaviour::Reply(backend_reply("other")));
    watch.send(full_list(41, &[endpoint("s-9", other, "up")])).expect("the watch is open");
    for number in 3.. {
        client.send(&query_through_gatekeepers(number, 2500, 1, 2));
        if client.reply() == "other" {
            break;
        }
    }
    site.program.terminate();
    assert!(client.ended());
    assert_eq!(site.program.wait(), Some(0));
}

#[test]
fn an_unusable_configuration_is_reported_and_ends_the_process() {
    let directory = TestDirectory::new("config");
    for (text, expected) in [
        ("{", "config.json"),
        (r#"{"name":"n0"}"#, "missing field"),
        (&config(unused_address(), &SiteOptions::default()).replace("127.0.0.1:0", "nowhere"), "listen"),
        (&config(unused_address(), &SiteOptions::default()).replace("read_like", "often"), "often"),
        (&config(unused_address(), &SiteOptions { gatekeepers: 0, ..SiteOptions::default() }), "gateways"),
    ] {
        let path = directory.write("config.json", text);
        let (succeeded, output) = run(&[], &[("BALANCER_CONFIG", &path)]);
        assert!(!succeeded && output.contains(expected), "{expected}: {output}");
    }
    let (succeeded, output) = run(&[], &[("BALANCER_CONFIG", "/nowhere/config.json")]);
    assert!(!succeeded && output.contains("/nowhere/config.json"));
}
