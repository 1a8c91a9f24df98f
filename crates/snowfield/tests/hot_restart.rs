//! Hot restarts of the real program: the hand-over from predecessor to successor, and the failure of either.

mod common;

use common::admin::*;
use common::*;
use std::time::Duration;

/// Under load no request may be reset, truncated or left unread during a hot restart.
#[test]
fn upgrades_under_load_lose_no_request() {
    use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
    let (address, _events) = echo_backend();
    let (mut site, _) =
        site_with_admin("upgrade-load", &SiteOptions { backends: &[address], ..SiteOptions::default() });
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
                    client.send(&query_of_new_tenant(number));
                    let reply = client.reply();
                    assert!(reply == request_id(number) || reply.starts_with("-BUSY"), "{number}: {reply}");
                }
            });
        }
        for _ in 0..4 {
            let (next, _) = start_successor(&site);
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

/// Regression: a connection that waits for its transfer is not read, and the end of its client was not noticed.
#[test]
fn a_client_that_disconnects_before_its_connection_is_passed_on_cancels_its_request() {
    let HeldBackend { address, events, release: _release } = backend_holding_request(10, reply_with_id);
    let (site, _admin) =
        site_with_admin("upgrade-left", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut waits = Client::connect(site.listen);
    waits.send(&query_of_new_tenant(10));
    next_request(&events);
    let (_next, _) = start_successor(&site);
    // More than the gatekeeper reads ahead.
    waits.send(&[b'x'; 100_000]);
    let started = std::time::Instant::now();
    drop(waits);
    site.program.line("successor serves, draining");
    while site.program.open_connections_to(address) > 0 {
        assert!(started.elapsed().as_millis() < 1_000, "its attempt is given up: {:?}", started.elapsed());
    }
}

/// A request in flight is answered by the predecessor; a partial request and an idle connection pass to the successor; the token
/// buckets keep their level.
#[test]
fn the_successor_continues_from_the_predecessors_state() {
    let HeldBackend { address, events, release } = backend_holding_request(10, reply_with_id);
    let (mut site, admin) =
        site_with_admin("upgrade-state", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let (mut idle, mut half, mut waits) =
        (Client::connect(site.listen), Client::connect(site.listen), Client::connect(site.listen));
    // This empties the tenant's token bucket.
    idle.send(&query(1, 2400, 8));
    assert_eq!(idle.reply(), request_id(1));
    let whole = query_of_new_tenant(2);
    half.send(&whole[..40]);
    waits.send(&query_of_new_tenant(10));
    next_request(&events);
    next_request(&events);
    assert_eq!(admin_command(admin, "exclude s-unknown"), "ERR no such loan server\n");
    let (next, successor_admin) = start_successor(&site);
    // The successor reads the request behind the one in flight, once the predecessor has answered that one.
    waits.send(&query_of_new_tenant(3));
    half.send(&whole[40..]);
    assert_eq!(half.reply(), request_id(2));
    idle.send(&query(4, 2400, 8));
    assert!(idle.reply().starts_with("-BUSY"), "the token bucket is as empty as it was");
    release.send(()).expect("the stand-in waits");
    assert_eq!([waits.reply(), waits.reply()], [request_id(10), request_id(3)]);
    let completed = |admin| read_metric(admin, "balancer_completed_total{lane=\"lookup\"}");
    assert_eq!(
        (completed(admin), completed(successor_admin)),
        (2, 2),
        "each process counts the requests that it answered"
    );
    let mut old = std::mem::replace(&mut site.program, next);
    old.terminate();
    assert_eq!(old.wait(), Some(0));
    idle.send(&query_of_new_tenant(5));
    assert_eq!(idle.reply(), request_id(5));
}

/// Regression, found by the soak test: the successor restarted the time-out of a partial request, whose client got its error after
/// 3.7 s, where 3 s are allowed.
#[test]
fn a_partial_request_has_its_error_in_time_over_an_upgrade() {
    let (address, _events) = echo_backend();
    let (site, _) =
        site_with_admin("upgrade-half", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query_of_new_tenant(1));
    assert_eq!(client.reply(), request_id(1));
    let stopped = std::time::Instant::now();
    client.send(&query_of_new_tenant(2)[..40]);
    std::thread::sleep(Duration::from_millis(1_200));
    let (_next, _) = start_successor(&site);
    assert!(client.reply().starts_with("-ERR"));
    assert!(stopped.elapsed() < Duration::from_secs(3), "{:?}", stopped.elapsed());
}

/// An operator's command to either process binds both, and ejections outlive the process that got the command.
#[test]
fn an_ejection_binds_both_processes_and_later_ones() {
    let ((one, events_one), (two, _events)) = (echo_backend(), echo_backend());
    let (mut site, admin) =
        site_with_admin("upgrade-hold", &SiteOptions { backends: &[one, two], ..SiteOptions::default() });
    let unavailable = |admin| read_metric(admin, "balancer_members_unavailable");
    assert_eq!(admin_command(admin, "exclude s-0"), "OK\n");
    let (next, successor_admin) = start_successor(&site);
    assert_eq!((unavailable(admin), unavailable(successor_admin)), (1, 1));
    assert_eq!(admin_command(successor_admin, "exclude s-1"), "OK\n");
    assert_eq!(unavailable(admin), 2, "the predecessor applies it before the operator gets the reply");
    assert_eq!(admin_command(admin, "include s-1"), "OK\n");
    assert_eq!(unavailable(successor_admin), 1);
    let mut old = std::mem::replace(&mut site.program, next);
    old.terminate();
    assert_eq!(old.wait(), Some(0));
    let mut client = Client::connect(site.listen);
    for number in 1..20 {
        client.send(&query_of_new_tenant(number));
        assert_eq!(client.reply(), request_id(number));
    }
    assert_eq!(all_requests(&events_one).len(), 0);
    // A killed process leaves a file with its ejections.
    site.program.signal("-KILL");
    site.program.wait();
    let (last, last_admin) = start_successor(&site);
    assert_eq!(unavailable(last_admin), 1);
    assert_eq!(admin_command(last_admin, "include s-0"), "OK\n");
    assert_eq!(unavailable(last_admin), 0);
    drop(last);
}

/// If the successor dies, the predecessor resumes service with the token buckets as the successor left them, neither refilled nor
/// emptied.
#[test]
fn a_predecessor_whose_successor_dies_serves_with_what_is_left() {
    let (address, _events) = echo_backend();
    let (site, admin) =
        site_with_admin("upgrade-back", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.reply(), request_id(1));
    let (next, _) = start_successor(&site);
    // A tenant's bucket holds 8 units. The successor admits 5 of the 7 that are left.
    let mut client = Client::connect(site.listen);
    client.send(&query(2, 2400, 5));
    assert_eq!(client.reply(), request_id(2));
    next.signal("-KILL");
    let end = site.program.logged("successor exited, serving resumed");
    assert_eq!(end, " token_buckets_kept=true");
    let mut client = Client::connect(site.listen);
    client.send(&query(3, 2400, 8));
    assert!(client.reply().starts_with("-BUSY"), "6 of 8 units are spent");
    client.send(&query(4, 2400, 1));
    assert_eq!(client.reply(), request_id(4), "2 of 8 are left");
    assert_eq!(admin_command(admin, "readyz"), "OK\n");
}

/// A stale socket and a damaged ejections file do not prevent a start.
#[test]
fn damaged_files_of_an_earlier_process_are_ignored() {
    let (address, _events) = echo_backend();
    let directory = TestDirectory::new("upgrade-stale");
    directory.write("snowfield.sock", "no socket");
    directory.write("snowfield.held", "snowfield held 1 3\ns-0\n");
    let shared_path = directory.path().to_str().expect("a path in UTF-8");
    let variables = [("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", shared_path)];
    let site = site_with_environment(
        "upgrade-stale-site",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
        &variables,
    );
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.reply(), request_id(1));
}

/// A start that fails, by an invalid file or an address in use, does not affect the serving process.
#[test]
fn a_failed_start_leaves_the_predecessor_serving() {
    let (address, _events) = echo_backend();
    let (site, admin) =
        site_with_admin("failed-start", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let shared_path = site
        .shared_directory
        .as_ref()
        .expect("a directory that both share")
        .path()
        .to_str()
        .expect("a path in UTF-8");
    let good = site.directory.path().join("config.json");
    let bad = site.directory.write("bad.json", "{\"name\":\"n0\"");
    let taken = admin.to_string();
    for (file, admin_address, text_part) in [
        (bad.as_str(), "127.0.0.1:0", "bad.json"),
        (good.to_str().expect("a path"), taken.as_str(), "admin listener"),
    ] {
        let (done, text) = run(
            &[],
            &[("BALANCER_CONFIG", file), ("BALANCER_OPERATOR", admin_address), ("TMPDIR", shared_path)],
        );
        assert!(!done && text.contains(text_part), "{text}");
        let mut client = Client::connect(site.listen);
        client.send(&query_of_new_tenant(1));
        assert_eq!(client.reply(), request_id(1));
    }
    assert_eq!(admin_command(admin, "readyz"), "OK\n");
}

/// A second hot restart begins before the first has ended, and a predecessor is killed in the middle.
#[test]
fn a_nested_upgrade_and_a_killed_predecessor_lose_no_request() {
    let (address, _events) = echo_backend();
    let (mut site, _) =
        site_with_admin("chain", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(site.listen)).collect();
    let mut number = 0;
    let mut ask_all = |clients: &mut [Client]| {
        for client in clients {
            number += 1;
            client.send(&query_of_new_tenant(number));
            assert_eq!(client.reply(), request_id(number));
        }
    };
    ask_all(&mut clients);
    let (second, _) = start_successor(&site);
    let (third, admin) = start_successor(&site);
    ask_all(&mut clients);
    // The first process is killed and the second terminated, in any order.
    site.program.signal("-KILL");
    second.terminate();
    ask_all(&mut clients);
    site.program = third;
    ask_all(&mut clients);
    let (fourth, _) = start_successor(&site);
    // Every connection has been transferred before its predecessor is killed.
    ask_all(&mut clients);
    site.program.signal("-KILL");
    fourth.logged("predecessor exited, its connections were taken over");
    ask_all(&mut clients);
    let mut client = Client::connect(site.listen);
    client.send(&query_of_new_tenant(9_999));
    assert_eq!(client.reply(), request_id(9_999));
    drop((second, admin));
}

/// If the predecessor does not hand over its ejections, they come from the file.
#[test]
fn ejections_come_from_the_file_where_nothing_was_taken_over() {
    let (address, events) = echo_backend();
    let directory = TestDirectory::new("upgrade-refused");
    let place = directory.path().join("snowfield.sock");
    let listener = std::os::unix::net::UnixListener::bind(place).expect("a place of its own");
    // It accepts the connection and closes it.
    std::thread::spawn(move || listener.accept().map(drop));
    directory.write("snowfield.held", "snowfield held 1 1\ns-0\n");
    let shared_path = directory.path().to_str().expect("a path in UTF-8");
    let variables = [("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", shared_path)];
    let site = site_with_environment(
        "upgrade-refused-site",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
        &variables,
    );
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert!(client.reply().starts_with("-BUSY"));
    assert_eq!(all_requests(&events).len(), 0, "it is still ejected");
    assert_eq!(admin_command(site.admin.expect("operators are answered"), "include s-0"), "OK\n");
}
