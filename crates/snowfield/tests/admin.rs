//! The admin listener: commands, metrics and ejections, in the real program.

mod common;

use common::admin::*;
use common::*;
use std::io::Write;
use std::net::TcpStream;

#[test]
fn the_admin_listener_answers_commands_and_rejects_others() {
    let (site, admin) = site_with_admin("admin", &SiteOptions::default());
    assert_eq!(admin_command(admin, "readyz"), "OK\n");
    let text = admin_command(admin, "telemetry");
    assert!(text.starts_with("OK\n") && text.ends_with("\nEND\n"), "{text}");
    for bad in ["", "stop", "exclude", "exclude s-unknown", "include s-unknown", "readyz now"] {
        let reply = admin_command(admin, bad);
        assert!(reply.starts_with("ERR ") && reply.lines().count() == 1, "{bad:?}: {reply:?}");
    }
    // Several lines, a line without an end, and garbage get one reply each.
    assert_eq!(send_bytes(admin, b"readyz\nreadyz\nreadyz\n"), "OK\n");
    assert!(send_bytes(admin, &[b'x'; 600]).starts_with("ERR "));
    assert!(send_bytes(admin, b"\xff\xfe\n").starts_with("ERR "));
    drop(site);
}

/// Clients that complete no command must not delay others, who are answered within 1 s.
#[test]
fn clients_that_complete_no_command_delay_nobody() {
    let (site, admin) = site_with_admin("stuck", &SiteOptions::default());
    let stuck: Vec<TcpStream> = (0..60)
        .map(|number| {
            let mut caller = TcpStream::connect(admin).expect("the admin listener accepts");
            // An evicted client may be disconnected already.
            let _ = caller.write_all(&b"telem"[..number % 6]);
            caller
        })
        .collect();
    for _ in 0..20 {
        let started = std::time::Instant::now();
        assert_eq!(admin_command(admin, "readyz"), "OK\n");
        assert!(started.elapsed().as_millis() < 1000, "{:?}", started.elapsed());
    }
    drop((stuck, site));
}

#[test]
fn a_bad_operator_address_is_rejected_at_the_start() {
    let directory = TestDirectory::new("bad-admin");
    let path = directory.write("config.json", &config(unused_address(), &SiteOptions::default()));
    let (good, text) = run(&[], &[("BALANCER_CONFIG", &path), ("BALANCER_OPERATOR", "9600")]);
    assert!(!good && text.contains("BALANCER_OPERATOR"), "{text}");
}

/// Each request counts in exactly one of the outcomes, and each completely written attempt counts.
#[test]
fn metrics_agree_with_what_clients_and_backends_saw() {
    let (address, events) = backend(read_resp_command, |words| match words[2].as_bytes().last() {
        Some(b'1') => Behaviour::Reply(b"-ERR failed\r\n".to_vec()),
        Some(b'2') => Behaviour::NoReply,
        _ => Behaviour::Reply(backend_reply(&words[2])),
    });
    let options = SiteOptions { backends: &[address], attempts: 1, ..SiteOptions::default() };
    let (site, admin) = site_with_admin("figures", &options);
    // A request in flight is pending.
    let mut waits = Client::connect(site.listen);
    waits.send(&query(0xf2, 2400, 1));
    next_request(&events);
    assert_eq!(read_metric(admin, "balancer_pending"), 1);
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
    client.send(&resp_command(&["NONSENSE"]));
    assert!(client.reply().starts_with("-ERR"));
    let text = admin_command(admin, "telemetry");
    let of = |name: &str| metric(&text, &format!("balancer_{name}_total{{lane=\"lookup\"}}"));
    assert_eq!((of("completed"), of("rejected"), of("failed")), (served, refused, failed));
    assert_eq!(metric(&text, "balancer_pending"), 0, "a disconnected client is not pending");
    assert_eq!(metric(&text, "balancer_upstream_requests_total"), 1 + all_requests(&events).len() as u64);
    assert!(served > 0 && refused > 0, "a mixed run: {served} {refused} {failed}");
    assert_eq!(metric(&text, "balancer_members"), 1);
}

/// An ejection holds whatever the endpoint list says, and ends with one restoration however often the backend was ejected.
#[test]
fn an_ejected_backend_gets_nothing_until_it_is_restored() {
    let ((one, events_one), (two, events_two)) = (echo_backend(), echo_backend());
    let (site, admin) =
        site_with_admin("out", &SiteOptions { backends: &[one, two], ..SiteOptions::default() });
    for _ in 0..2 {
        assert_eq!(admin_command(admin, "exclude s-0"), "OK\n");
    }
    assert_eq!(read_metric(admin, "balancer_members_unavailable"), 1);
    let mut number = 0;
    let mut ask = |site: &Site, times| {
        let mut client = Client::connect(site.listen);
        for _ in 0..times {
            number += 1;
            client.send(&query_of_new_tenant(number));
            client.reply();
        }
    };
    ask(&site, 6);
    // Removing the backend from the list and adding it again changes nothing.
    for (rev, state, members) in [(41, "removed", 1), (42, "up", 2)] {
        site.watch.send(list_delta(rev, &[endpoint("s-0", one, state)])).expect("the agent writes");
        while read_metric(admin, "balancer_members") != members {}
        ask(&site, 6);
    }
    assert_eq!(all_requests(&events_one).len(), 0, "it is ejected");
    assert!(!all_requests(&events_two).is_empty());
    assert_eq!(admin_command(admin, "exclude s-1"), "OK\n");
    let mut client = Client::connect(site.listen);
    client.send(&query_of_new_tenant(1000));
    assert!(client.reply().starts_with("-BUSY"), "with all backends ejected it is rejected at once");
    assert_eq!(admin_command(admin, "include s-0"), "OK\n");
    let started = std::time::Instant::now();
    while all_requests(&events_one).is_empty() {
        ask(&site, 1);
        assert!(started.elapsed() < TIMEOUT, "it is used again");
    }
    assert_eq!(all_requests(&events_two).len(), 0, "the other one is still ejected");
    // A backend that has left the list can be restored, and is unknown after that.
    site.watch.send(list_delta(43, &[endpoint("s-1", two, "removed")])).expect("the agent writes");
    while read_metric(admin, "balancer_members") != 1 {}
    assert_eq!(admin_command(admin, "include s-1"), "OK\n");
    assert_eq!(admin_command(admin, "include s-1"), "ERR no such loan server\n");
    assert_eq!(admin_command(admin, "exclude s-1"), "ERR no such loan server\n");
}
