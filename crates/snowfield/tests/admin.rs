//! The admin listener: commands, metrics and ejections, in the real program.

mod common;

use common::admin::*;
use common::*;
use std::io::Write;
use std::net::TcpStream;

#[test]
fn the_admin_listener_replies_to_commands_and_rejects_invalid_ones() {
    let (site, admin) = start_site_with_admin("admin", &SiteOptions::default());
    assert_eq!(admin_command(admin, "readyz"), "OK\n");
    let text = admin_command(admin, "telemetry");
    assert!(text.starts_with("OK\n") && text.ends_with("\nEND\n"), "{text}");
    for command in ["", "stop", "exclude", "exclude s-unknown", "include s-unknown", "readyz now"] {
        let reply = admin_command(admin, command);
        assert!(reply.starts_with("ERR ") && reply.lines().count() == 1, "{command:?}: {reply:?}");
    }
    // Several lines, a line without an end, and invalid UTF-8 get one reply each.
    assert_eq!(send_bytes(admin, b"readyz\nreadyz\nreadyz\n"), "OK\n");
    assert!(send_bytes(admin, &[b'x'; 600]).starts_with("ERR "));
    assert!(send_bytes(admin, b"\xff\xfe\n").starts_with("ERR "));
    drop(site);
}

/// While other clients hold connections without a complete command, a command must get its reply within 1 s.
#[test]
fn clients_with_incomplete_commands_do_not_delay_others() {
    let (site, admin) = start_site_with_admin("stuck", &SiteOptions::default());
    let incomplete_clients: Vec<TcpStream> = (0..60)
        .map(|number| {
            let mut client = TcpStream::connect(admin).expect("the admin listener accepts connections");
            // The listener may have closed this connection already to make room for others.
            let _ = client.write_all(&b"telem"[..number % 6]);
            client
        })
        .collect();
    for _ in 0..20 {
        let started = std::time::Instant::now();
        assert_eq!(admin_command(admin, "readyz"), "OK\n");
        assert!(started.elapsed().as_millis() < 1000, "{:?}", started.elapsed());
    }
    drop((incomplete_clients, site));
}

#[test]
fn an_invalid_admin_address_is_rejected_at_the_start() {
    let directory = TestDirectory::new("bad-admin");
    let path = directory.write("config.json", &config_text(unused_address(), &SiteOptions::default()));
    let (succeeded, output) = run(&[], &[("BALANCER_CONFIG", &path), ("BALANCER_OPERATOR", "9600")]);
    assert!(!succeeded && output.contains("BALANCER_OPERATOR"), "{output}");
}

/// Each request is counted under exactly one outcome, and each attempt that was written completely is counted.
#[test]
fn metrics_match_the_replies_to_clients_and_the_requests_at_backends() {
    let (address, events) = start_backend(read_resp_command, |words| match words[2].as_bytes().last() {
        Some(b'1') => Behaviour::Reply(b"-ERR failed\r\n".to_vec()),
        Some(b'2') => Behaviour::NoReply,
        _ => Behaviour::Reply(backend_reply(&words[2])),
    });
    let options = SiteOptions { backends: &[address], attempts: 1, ..SiteOptions::default() };
    let (site, admin) = start_site_with_admin("figures", &options);
    // A request in flight is pending.
    let mut waiting = Client::connect(site.listen);
    waiting.send(&query(0xf2, 2400, 1));
    next_request(&events);
    assert_eq!(read_metric(admin, "balancer_pending"), 1);
    drop(waiting);
    let (mut completed, mut rejected, mut failed) = (0, 0, 0);
    let mut client = Client::connect(site.listen);
    for number in 0..40 {
        client.send(&query(number * 16 + [0, 1, 3][number as usize % 3], 600, 1));
        match client.read_reply() {
            text if text.starts_with("-BUSY") => rejected += 1,
            text if text.starts_with("-ERR") => failed += 1,
            _ => completed += 1,
        }
    }
    client.send(&resp_command(&["NONSENSE"]));
    assert!(client.read_reply().starts_with("-ERR"));
    let text = admin_command(admin, "telemetry");
    let total = |name: &str| metric(&text, &format!("balancer_{name}_total{{lane=\"lookup\"}}"));
    assert_eq!((total("completed"), total("rejected"), total("failed")), (completed, rejected, failed));
    assert_eq!(metric(&text, "balancer_pending"), 0, "a disconnected client is not pending");
    assert_eq!(metric(&text, "balancer_upstream_requests_total"), 1 + all_requests(&events).len() as u64);
    assert!(
        completed > 0 && rejected > 0,
        "the run has several outcomes: {completed} completed, {rejected} rejected, {failed} failed"
    );
    assert_eq!(metric(&text, "balancer_members"), 1);
}

/// An ejection stays in force through changes of the endpoint list. One `include` ends it, also after several `exclude` commands.
#[test]
fn an_ejected_backend_gets_no_requests_until_it_is_included_again() {
    let ((one, events_one), (two, events_two)) = (start_echo_backend(), start_echo_backend());
    let (site, admin) =
        start_site_with_admin("out", &SiteOptions { backends: &[one, two], ..SiteOptions::default() });
    for _ in 0..2 {
        assert_eq!(admin_command(admin, "exclude s-0"), "OK\n");
    }
    assert_eq!(read_metric(admin, "balancer_members_unavailable"), 1);
    let mut number = 0;
    let mut send_requests = |site: &Site, times| {
        let mut client = Client::connect(site.listen);
        for _ in 0..times {
            number += 1;
            client.send(&query_of_new_tenant(number));
            client.read_reply();
        }
    };
    send_requests(&site, 6);
    // Removing the backend from the list and adding it again changes nothing.
    for (rev, state, members) in [(41, "removed", 1), (42, "up", 2)] {
        site.watch.send(list_delta(rev, &[endpoint("s-0", one, state)])).expect("the watch is open");
        while read_metric(admin, "balancer_members") != members {}
        send_requests(&site, 6);
    }
    assert_eq!(all_requests(&events_one).len(), 0, "the backend is ejected");
    assert!(!all_requests(&events_two).is_empty());
    assert_eq!(admin_command(admin, "exclude s-1"), "OK\n");
    let mut client = Client::connect(site.listen);
    client.send(&query_of_new_tenant(1000));
    assert!(client.read_reply().starts_with("-BUSY"), "a request is rejected if all backends are ejected");
    assert_eq!(admin_command(admin, "include s-0"), "OK\n");
    let started = std::time::Instant::now();
    while all_requests(&events_one).is_empty() {
        send_requests(&site, 1);
        assert!(started.elapsed() < TIMEOUT, "the backend gets requests again");
    }
    assert_eq!(all_requests(&events_two).len(), 0, "the other backend is still ejected");
    // A backend that has left the list can be included again, and is unknown after that.
    site.watch.send(list_delta(43, &[endpoint("s-1", two, "removed")])).expect("the watch is open");
    while read_metric(admin, "balancer_members") != 1 {}
    assert_eq!(admin_command(admin, "include s-1"), "OK\n");
    assert_eq!(admin_command(admin, "include s-1"), "ERR no such loan server\n");
    assert_eq!(admin_command(admin, "exclude s-1"), "ERR no such loan server\n");
}
