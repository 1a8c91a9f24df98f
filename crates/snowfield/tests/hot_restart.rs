//! Hot restarts of the real program: what predecessor and successor hand over, and what is left where one of them dies.

mod common;

use common::admin::*;
use common::*;
use std::time::Duration;

/// Guards clients during an upgrade under load: no request may be reset, cut off or left unread.
#[test]
fn upgrades_under_load_lose_no_request() {
    use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
    let (at, _seen) = echo();
    let (mut site, _) = site_with_admin("upgrade-load", &Shape { destinations: &[at], ..Shape::default() });
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
                    client.send(&query_of_another_tenant(number));
                    let reply = client.reply();
                    assert!(reply == id(number) || reply.starts_with("-BUSY"), "{number}: {reply}");
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

/// Guards the take-over: while a connection waits to be passed on it is not read, and the end of its client was not seen.
#[test]
fn a_client_that_disconnects_before_its_connection_is_passed_on_cancels_its_request() {
    let (at, seen, _release) = holds(10, |words| Behaviour::Reply(backend_reply(&words[2])));
    let (site, _door) = site_with_admin("upgrade-left", &Shape { destinations: &[at], ..Shape::default() });
    let mut waits = Client::connect(site.listen);
    waits.send(&query_of_another_tenant(10));
    next_request(&seen);
    let (_next, _) = start_successor(&site);
    // More than is read ahead, unread as well.
    waits.send(&[b'x'; 100_000]);
    let begun = std::time::Instant::now();
    drop(waits);
    site.program.line("successor serves, draining");
    while site.program.open_connections_to(at) > 0 {
        assert!(begun.elapsed().as_millis() < 1_000, "its attempt is given up: {:?}", begun.elapsed());
    }
}

/// Guards what stands between two programs: a request that is answered by the old one, half a request, an idle connection, and
/// the stores, which must not be filled anew.
#[test]
fn the_successor_continues_from_the_predecessors_state() {
    let (at, seen, release) = holds(10, |words| Behaviour::Reply(backend_reply(&words[2])));
    let (mut site, admin) =
        site_with_admin("upgrade-state", &Shape { destinations: &[at], ..Shape::default() });
    let (mut idle, mut half, mut waits) =
        (Client::connect(site.listen), Client::connect(site.listen), Client::connect(site.listen));
    // The whole store of a customer is spent.
    idle.send(&query(1, 2400, 8));
    assert_eq!(idle.reply(), id(1));
    let whole = query_of_another_tenant(2);
    half.send(&whole[..40]);
    waits.send(&query_of_another_tenant(10));
    next_request(&seen);
    next_request(&seen);
    assert_eq!(call(admin, "exclude s-unknown"), "ERR no such loan server\n");
    let (next, successor_admin) = start_successor(&site);
    // What comes behind the open request is read by the next program, once the old one has answered.
    waits.send(&query_of_another_tenant(3));
    half.send(&whole[40..]);
    assert_eq!(half.reply(), id(2));
    idle.send(&query(4, 2400, 8));
    assert!(idle.reply().starts_with("-BUSY"), "the store is as empty as it was");
    release.send(()).expect("the stand-in waits");
    assert_eq!([waits.reply(), waits.reply()], [id(10), id(3)]);
    let completed = |admin| metric(&call(admin, "telemetry"), "balancer_completed_total{lane=\"lookup\"}");
    assert_eq!((completed(admin), completed(successor_admin)), (2, 2), "each counts what it ended");
    let mut old = std::mem::replace(&mut site.program, next);
    old.terminate();
    assert_eq!(old.wait(), Some(0));
    idle.send(&query_of_another_tenant(5));
    assert_eq!(idle.reply(), id(5));
}

/// Guards clients that stop in the middle of a request: over an upgrade the next program gave it its whole time once more, 3.7 s in
/// all, where 3 s are allowed (found by the soak test).
#[test]
fn a_partial_request_has_its_error_in_time_over_an_upgrade() {
    let (at, _seen) = echo();
    let (site, _) = site_with_admin("upgrade-half", &Shape { destinations: &[at], ..Shape::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query_of_another_tenant(1));
    assert_eq!(client.reply(), id(1));
    let stopped = std::time::Instant::now();
    client.send(&query_of_another_tenant(2)[..40]);
    std::thread::sleep(Duration::from_millis(1_200));
    let (_next, _) = start_successor(&site);
    assert!(client.reply().starts_with("-ERR"));
    assert!(stopped.elapsed() < Duration::from_secs(3), "{:?}", stopped.elapsed());
}

/// Guards the ban over an upgrade: a call to either program binds both, and holds outlive the program that was called.
#[test]
fn an_ejection_binds_both_processes_and_later_ones() {
    let ((one, seen_one), (two, _seen)) = (echo(), echo());
    let (mut site, admin) =
        site_with_admin("upgrade-hold", &Shape { destinations: &[one, two], ..Shape::default() });
    let unavailable = |admin| metric(&call(admin, "telemetry"), "balancer_members_unavailable");
    assert_eq!(call(admin, "exclude s-0"), "OK\n");
    let (next, successor_admin) = start_successor(&site);
    assert_eq!((unavailable(admin), unavailable(successor_admin)), (1, 1));
    assert_eq!(call(successor_admin, "exclude s-1"), "OK\n");
    assert_eq!(unavailable(admin), 2, "the old one hears of it before the yes");
    assert_eq!(call(admin, "include s-1"), "OK\n");
    assert_eq!(unavailable(successor_admin), 1);
    let mut old = std::mem::replace(&mut site.program, next);
    old.terminate();
    assert_eq!(old.wait(), Some(0));
    let mut client = Client::connect(site.listen);
    for number in 1..20 {
        client.send(&query_of_another_tenant(number));
        assert_eq!(client.reply(), id(number));
    }
    assert_eq!(all_requests(&seen_one).len(), 0);
    // One that ended without a word has left a file.
    site.program.signal("-KILL");
    site.program.wait();
    let (last, last_door) = start_successor(&site);
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
    let (site, admin) = site_with_admin("upgrade-back", &Shape { destinations: &[at], ..Shape::default() });
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.reply(), id(1));
    let (next, _) = start_successor(&site);
    // A lender's store holds 8 units. The next program lets in 5 of the 7 that are left.
    let mut client = Client::connect(site.listen);
    client.send(&query(2, 2400, 5));
    assert_eq!(client.reply(), id(2));
    next.signal("-KILL");
    let end = site.program.logged("successor exited, serving resumed");
    assert_eq!(end, " token_buckets_kept=true");
    let mut client = Client::connect(site.listen);
    client.send(&query(3, 2400, 8));
    assert!(client.reply().starts_with("-BUSY"), "6 of 8 units are spent");
    client.send(&query(4, 2400, 1));
    assert_eq!(client.reply(), id(4), "2 of 8 are left");
    assert_eq!(call(admin, "readyz"), "OK\n");
}

/// Guards a start beside a socket or a file that is of no use: it is passed over, and the program serves.
#[test]
fn damaged_files_of_an_earlier_process_are_ignored() {
    let (at, _seen) = echo();
    let folder = TestDirectory::new("upgrade-stale");
    folder.write("snowfield.sock", "no socket");
    folder.write("snowfield.held", "snowfield held 1 3\ns-0\n");
    let tmp = folder.path().to_str().expect("a path in UTF-8");
    let variables = [("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", tmp)];
    let site =
        site_with("upgrade-stale-site", &Shape { destinations: &[at], ..Shape::default() }, &variables);
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert_eq!(client.reply(), id(1));
}

/// Guards the one that serves against a start that fails: a bad file, or an address that is taken.
#[test]
fn a_failed_start_leaves_the_predecessor_serving() {
    let (at, _seen) = echo();
    let (site, admin) = site_with_admin("failed-start", &Shape { destinations: &[at], ..Shape::default() });
    let tmp =
        site.shared.as_ref().expect("a directory that both share").path().to_str().expect("a path in UTF-8");
    let good = site.folder.path().join("config.json");
    let bad = site.folder.write("bad.json", "{\"name\":\"n0\"");
    let taken = admin.to_string();
    for (file, at, told) in [
        (bad.as_str(), "127.0.0.1:0", "bad.json"),
        (good.to_str().expect("a path"), taken.as_str(), "operator"),
    ] {
        let (done, text) = run(&[], &[("BALANCER_CONFIG", file), ("BALANCER_OPERATOR", at), ("TMPDIR", tmp)]);
        assert!(!done && text.contains(told), "{text}");
        let mut client = Client::connect(site.listen);
        client.send(&query_of_another_tenant(1));
        assert_eq!(client.reply(), id(1));
    }
    assert_eq!(call(admin, "readyz"), "OK\n");
}

/// Guards a second upgrade that comes before the first has ended, and an old program that is killed in the middle.
#[test]
fn a_nested_upgrade_and_a_killed_predecessor_lose_no_request() {
    let (at, _seen) = echo();
    let (mut site, _) = site_with_admin("chain", &Shape { destinations: &[at], ..Shape::default() });
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(site.listen)).collect();
    let mut number = 0;
    let mut ask_all = |clients: &mut [Client]| {
        for client in clients {
            number += 1;
            client.send(&query_of_another_tenant(number));
            assert_eq!(client.reply(), id(number));
        }
    };
    ask_all(&mut clients);
    let (second, _) = start_successor(&site);
    let (third, admin) = start_successor(&site);
    ask_all(&mut clients);
    // The first is killed, the second told to end, in any order.
    site.program.signal("-KILL");
    second.terminate();
    ask_all(&mut clients);
    site.program = third;
    ask_all(&mut clients);
    let (fourth, _) = start_successor(&site);
    // Every connection has been passed on before its old program is killed.
    ask_all(&mut clients);
    site.program.signal("-KILL");
    fourth.logged("predecessor exited, its connections were taken over");
    ask_all(&mut clients);
    let mut client = Client::connect(site.listen);
    client.send(&query_of_another_tenant(9_999));
    assert_eq!(client.reply(), id(9_999));
    drop((second, admin));
}

/// Guards holds where the program that serves could not give its own: the file has them.
#[test]
fn ejections_come_from_the_file_where_nothing_was_taken_over() {
    let (at, seen) = echo();
    let folder = TestDirectory::new("upgrade-refused");
    let place = folder.path().join("snowfield.sock");
    let listener = std::os::unix::net::UnixListener::bind(place).expect("a place of its own");
    // It takes the call and hangs up.
    std::thread::spawn(move || listener.accept().map(drop));
    folder.write("snowfield.held", "snowfield held 1 1\ns-0\n");
    let tmp = folder.path().to_str().expect("a path in UTF-8");
    let variables = [("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", tmp)];
    let site =
        site_with("upgrade-refused-site", &Shape { destinations: &[at], ..Shape::default() }, &variables);
    let mut client = Client::connect(site.listen);
    client.send(&query(1, 2400, 1));
    assert!(client.reply().starts_with("-BUSY"));
    assert_eq!(all_requests(&seen).len(), 0, "it is still out");
    assert_eq!(call(site.admin.expect("operators are answered"), "include s-0"), "OK\n");
}
