//! Hot restarts of the real program: the hand-over from predecessor to successor, and failures of either process.

mod common;

use common::admin::*;
use common::*;
use std::time::Duration;

/// No request may be reset, truncated or left unread during hot restarts under load.
#[test]
fn hot_restarts_under_load_lose_no_request() {
    use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
    let (address, _events) = start_echo_backend();
    let (mut site, _) = start_site_with_admin(
        "upgrade-load",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
    );
    let (stop, number) = (AtomicBool::new(false), AtomicU32::new(1));
    let listen = site.listen;
    std::thread::scope(|scope| {
        for keeps_connection in [false, false, true, true] {
            let (stop, number) = (&stop, &number);
            scope.spawn(move || {
                let mut client = Client::connect(listen);
                while !stop.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    if !keeps_connection {
                        client = Client::connect(listen);
                    }
                    client.send(&query_of_new_tenant(number));
                    let reply = client.read_reply();
                    assert!(reply == request_id(number) || reply.starts_with("-BUSY"), "{number}: {reply}");
                }
            });
        }
        for _ in 0..4 {
            let (successor, _) = start_successor(&site);
            let mut predecessor = std::mem::replace(&mut site.program, successor);
            predecessor.terminate();
            assert_eq!(predecessor.wait(), Some(0));
            let sent_before = number.load(Ordering::Relaxed);
            while number.load(Ordering::Relaxed) < sent_before + 300 {
                std::thread::yield_now();
            }
        }
        stop.store(true, Ordering::Relaxed);
    });
    assert!(number.into_inner() > 1200);
}

/// Regression: a connection that waits for its transfer to the successor is not read, so that its close by the client went
/// unnoticed.
#[test]
fn a_client_that_disconnects_before_its_connection_is_transferred_cancels_its_request() {
    let HeldBackend { address, events, release: _release } = start_backend_holding_request(10, reply_with_id);
    let (site, _admin) = start_site_with_admin(
        "upgrade-left",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
    );
    let mut waiting = Client::connect(site.listen);
    waiting.send(&query_of_new_tenant(10));
    next_request(&events);
    let (_successor, _) = start_successor(&site);
    // More than the gatekeeper reads ahead.
    waiting.send(&[b'x'; 100_000]);
    let started = std::time::Instant::now();
    drop(waiting);
    site.program.wait_for_line("successor serves, draining");
    while site.program.open_connections_to(address) > 0 {
        assert!(started.elapsed().as_millis() < 1_000, "the attempt is cancelled: {:?}", started.elapsed());
    }
}

/// The predecessor answers its requests in flight. Partial requests and idle connections pass to the successor, and the token
/// buckets keep their level.
#[test]
fn the_successor_continues_from_the_predecessors_state() {
    let HeldBackend { address, events, release } = start_backend_holding_request(10, reply_with_id);
    let (mut site, admin) = start_site_with_admin(
        "upgrade-state",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
    );
    let (mut idle, mut partial, mut waiting) =
        (Client::connect(site.listen), Client::connect(site.listen), Client::connect(site.listen));
    // The request empties the tenant's token bucket.
    idle.send(&query(1, 2400, 8));
    assert_eq!(idle.read_reply(), request_id(1));
    let whole = query_of_new_tenant(2);
    partial.send(&whole[..40]);
    waiting.send(&query_of_new_tenant(10));
    next_request(&events);
    next_request(&events);
    assert_eq!(admin_command(admin, "exclude s-unknown"), "ERR no such loan server\n");
    let (successor, successor_admin) = start_successor(&site);
    // The successor reads this request once the predecessor has answered the one in flight on the same connection.
    waiting.send(&query_of_new_tenant(3));
    partial.send(&whole[40..]);
    assert_eq!(partial.read_reply(), request_id(2));
    idle.send(&query(4, 2400, 8));
    assert!(idle.read_reply().starts_with("-BUSY"), "the token bucket is not refilled");
    release.send(()).expect("the stand-in waits for the release");
    assert_eq!([waiting.read_reply(), waiting.read_reply()], [request_id(10), request_id(3)]);
    let completed = |admin| read_metric(admin, "balancer_completed_total{lane=\"lookup\"}");
    assert_eq!(
        (completed(admin), completed(successor_admin)),
        (2, 2),
        "each process counts the requests that it answered"
    );
    let mut predecessor = std::mem::replace(&mut site.program, successor);
    predecessor.terminate();
    assert_eq!(predecessor.wait(), Some(0));
    idle.send(&query_of_new_tenant(5));
    assert_eq!(idle.read_reply(), request_id(5));
}

/// Regression, found by the soak test: the successor restarted the timeout of a partial request. Its client got the error after
/// 3.7 s, where 3 s are allowed.
#[test]
fn a_hot_restart_does_not_extend_the_timeout_of_a_partial_request() {
    let (address, _events) = start_echo_backend();
    let (site, _) = start_site_with_admin(
        "upgrade-half",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
    );
    let mut client = Client::connect(site.listen);
    client.send(&query_of_new_tenant(1));
    assert_eq!(client.read_reply(), request_id(1));
    let stopped = std::time::Instant::now();
    client.send(&query_of_new_tenant(2)[..40]);
    std::thread::sleep(Duration::from_millis(1_200));
    let (_successor, _) = start_successor(&site);
    assert!(client.read_reply().starts_with("-ERR"));
    assert!(stopped.elapsed() < Duration::from_secs(3), "{:?}", stopped.elapsed());
}

/// An operator's command to either process applies to both, and an ejection outlasts the process that received the command.
#[test]
fn an_ejection_applies_to_both_processes_and_to_later_ones() {
    let ((one, events_one), (two, _events)) = (start_echo_backend(), start_echo_backend());
    let (mut site, admin) = start_site_with_admin(
        "upgrade-hold",
        &SiteOptions { backends: &[one, two], ..SiteOptions::default() },
    );
    let unavailable = |admin| read_metric(admin, "balancer_members_unavailable");
    assert_eq!(admin_command(admin, "exclude s-0"), "OK\n");
    let (successor, successor_admin) = start_successor(&site);
    assert_eq!((unavailable(admin), unavailable(successor_admin)), (1, 1));
    assert_eq!(admin_command(successor_admin, "exclude s-1"), "OK\n");
    assert_eq!(unavailable(admin), 2, "the predecessor applies it before the operator gets the reply");
    assert_eq!(admin_command(admin, "include s-1"), "OK\n");
    assert_eq!(unavailable(successor_admin), 1);
    let mut predecessor = std::mem::replace(&mut site.program, successor);
    predecessor.terminate();
    assert_eq!(predecessor.wait(), Some(0));
    let mut client = Client::connect(site.listen);
    for number in 1..20 {
        client.send(&query_of_new_tenant(number));
        assert_eq!(client.read_reply(), request_id(number));
    }
    assert_eq!(all_requests(&events_one).len(), 0);
    // A process that is killed leaves a file with its ejections.
    site.program.signal("-KILL");
    site.program.wait();
    let (restarted, restarted_admin) = start_successor(&site);
    assert_eq!(unavailable(restarted_admin), 1);
    assert_eq!(admin_command(restarted_admin, "include s-0"), "OK\n");
    assert_eq!(unavailable(restarted_admin), 0);
    drop(restarted);
}

/// If the successor dies, the predecessor resumes service with the token buckets as the successor left them, neither refilled nor
/// emptied.
#[test]
fn a_predecessor_whose_successor_dies_resumes_with_the_remaining_tokens() {
    let (address, _events) = start_echo_backend();
    let (site, admin) = start_site_with_admin(
        "upgrade-back",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
    );
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.read_reply(), request_id(1));
    let (successor, _) = start_successor(&site);
    // A tenant's bucket holds 8 units. The successor admits 5 of the 7 that are left.
    let mut client = Client::connect(site.listen);
    client.send(&query(2, 2400, 5));
    assert_eq!(client.read_reply(), request_id(2));
    successor.signal("-KILL");
    let fields = site.program.wait_for_log("successor exited, serving resumed");
    assert_eq!(fields, " token_buckets_kept=true");
    let mut client = Client::connect(site.listen);
    client.send(&query(3, 2400, 8));
    assert!(client.read_reply().starts_with("-BUSY"), "6 of 8 units are spent");
    client.send(&query(4, 2400, 1));
    assert_eq!(client.read_reply(), request_id(4), "2 of 8 units are left");
    assert_eq!(admin_command(admin, "readyz"), "OK\n");
}

/// A stale socket file and a damaged ejections file do not prevent a start.
#[test]
fn damaged_files_of_an_earlier_process_are_ignored() {
    let (address, _events) = start_echo_backend();
    let directory = TestDirectory::new("upgrade-stale");
    directory.write("snowfield.sock", "no socket");
    directory.write("snowfield.held", "snowfield held 1 3\ns-0\n");
    let shared_path = directory.path().to_str().expect("a path in UTF-8");
    let variables = [("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", shared_path)];
    let site = start_site_with_environment(
        "upgrade-stale-site",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
        &variables,
    );
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.read_reply(), request_id(1));
}

/// A start that fails because of an invalid configuration or an address in use does not affect the serving process.
#[test]
fn a_failed_start_leaves_the_predecessor_serving() {
    let (address, _events) = start_echo_backend();
    let (site, admin) = start_site_with_admin(
        "failed-start",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
    );
    let shared_path = site
        .shared_directory
        .as_ref()
        .expect("predecessor and successor share a directory")
        .path()
        .to_str()
        .expect("a path in UTF-8");
    let valid_config = site.directory.path().join("config.json");
    let invalid_config = site.directory.write("bad.json", "{\"name\":\"n0\"");
    let address_in_use = admin.to_string();
    for (file, admin_address, expected) in [
        (invalid_config.as_str(), "127.0.0.1:0", "bad.json"),
        (valid_config.to_str().expect("a path in UTF-8"), address_in_use.as_str(), "admin listener"),
    ] {
        let (succeeded, output) = run(
            &[],
            &[("BALANCER_CONFIG", file), ("BALANCER_OPERATOR", admin_address), ("TMPDIR", shared_path)],
        );
        assert!(!succeeded && output.contains(expected), "{output}");
        let mut client = Client::connect(site.listen);
        client.send(&query_of_new_tenant(1));
        assert_eq!(client.read_reply(), request_id(1));
    }
    assert_eq!(admin_command(admin, "readyz"), "OK\n");
}

/// A second hot restart begins before the first has ended, and predecessors are killed before they have exited.
#[test]
fn overlapping_hot_restarts_and_a_killed_predecessor_lose_no_request() {
    let (address, _events) = start_echo_backend();
    let (mut site, _) =
        start_site_with_admin("chain", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(site.listen)).collect();
    let mut number = 0;
    let mut request_from_all = |clients: &mut [Client]| {
        for client in clients {
            number += 1;
            client.send(&query_of_new_tenant(number));
            assert_eq!(client.read_reply(), request_id(number));
        }
    };
    request_from_all(&mut clients);
    let (second, _) = start_successor(&site);
    let (third, admin) = start_successor(&site);
    request_from_all(&mut clients);
    // The first process is killed and the second one terminates gracefully, in either order.
    site.program.signal("-KILL");
    second.terminate();
    request_from_all(&mut clients);
    site.program = third;
    request_from_all(&mut clients);
    let (fourth, _) = start_successor(&site);
    // Each connection has served a request, so all have been transferred before the predecessor is killed.
    request_from_all(&mut clients);
    site.program.signal("-KILL");
    fourth.wait_for_log("predecessor exited, its connections were taken over");
    request_from_all(&mut clients);
    let mut client = Client::connect(site.listen);
    client.send(&query_of_new_tenant(9_999));
    assert_eq!(client.read_reply(), request_id(9_999));
    drop((second, admin));
}

/// The predecessor is a stand-in that closes the connection for the hand-over at once.
#[test]
fn ejections_are_read_from_the_file_if_the_predecessor_hands_over_nothing() {
    let (address, events) = start_echo_backend();
    let directory = TestDirectory::new("upgrade-refused");
    let socket_path = directory.path().join("snowfield.sock");
    let listener = std::os::unix::net::UnixListener::bind(socket_path).expect("the socket path is free");
    // Accepts one connection and closes it.
    std::thread::spawn(move || listener.accept().map(drop));
    directory.write("snowfield.held", "snowfield held 1 1\ns-0\n");
    let shared_path = directory.path().to_str().expect("a path in UTF-8");
    let variables = [("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", shared_path)];
    let site = start_site_with_environment(
        "upgrade-refused-site",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
        &variables,
    );
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert!(client.read_reply().starts_with("-BUSY"));
    assert_eq!(all_requests(&events).len(), 0, "the backend is still ejected");
    assert_eq!(admin_command(site.admin.expect("the site has an admin listener"), "include s-0"), "OK\n");
}
