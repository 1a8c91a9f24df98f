//! Tests of compatibility with an earlier build: the HTTP requests of runs and the status text are the same. Numbers differ
//! between executions of the test, so they are masked.

use cluster::{Backend, Cluster, Gossip, HealthChecks, HttpJob, LeaseStore, Settings};
use membership::authentication::Keyring;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

const REQUESTS: &str = include_str!("fixtures/requests.txt");
const STATUS: &str = include_str!("fixtures/status.txt");

/// Starts a server that answers each request with status 200 and sends the request's head to the returned channel.
fn start_target() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (heads, received): (Sender<String>, _) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n == 1) {
                head.push(byte[0]);
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            if heads.send(String::from_utf8(head).expect("ASCII")).is_err() {
                return;
            }
        }
    });
    (address, received)
}

/// Replaces each sequence of digits by one `N`.
fn mask_numbers(text: &str) -> String {
    let mut out = String::new();
    for c in text.chars() {
        match c {
            '0'..='9' if out.ends_with('N') => {}
            '0'..='9' => out.push('N'),
            c => out.push(c),
        }
    }
    out
}

/// Returns a UDP address that was free a moment ago.
fn free_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("an address")
}

/// Returns the settings of an instance with leases in memory.
fn settings(
    instance: &str,
    listen: SocketAddr,
    peers: Vec<SocketAddr>,
    health_checks: Option<HealthChecks>,
) -> Settings {
    let keyring = Keyring::parse(&"ab".repeat(32)).expect("a key");
    let gossip = Gossip {
        listen,
        advertise: listen,
        peers,
        keyring,
        period: Duration::from_millis(20),
        suspicion_timeout: Duration::from_secs(1),
    };
    Settings {
        instance: instance.into(),
        gossip: Some(gossip),
        lease_store: LeaseStore::Local,
        standbys: 1,
        max_clock_skew: Duration::ZERO,
        clock_offset_ms: 0,
        max_concurrent_runs: 2,
        health_checks,
    }
}

#[test]
fn the_requests_of_runs_and_the_status_text_equal_those_of_the_earlier_build() {
    let (address, heads) = start_target();
    let health_checks = HealthChecks {
        path: "/health".into(),
        timeout: Duration::from_secs(1),
        config: health_check::Config {
            period: Duration::from_millis(200),
            unhealthy_threshold: 2,
            healthy_threshold: 2,
            max_ejected_fraction: 0.5,
        },
    };
    let job = HttpJob {
        name: "bell".into(),
        period: Duration::from_millis(200),
        url: format!("http://{address}/ring?x=1"),
        timeout: Duration::from_secs(1),
    };
    let listen = free_udp_address();
    let first_settings = settings("muscat", listen, Vec::new(), Some(health_checks));
    let cluster = Cluster::start(first_settings, vec![job], Box::new(|_| {})).expect("a cluster");
    cluster.set_backends(vec![Backend { id: "loans".into(), address }]);
    let second_settings = settings("salalah", free_udp_address(), vec![listen], None);
    let second_cluster = Cluster::start(second_settings, Vec::new(), Box::new(|_| {})).expect("a cluster");
    let mut requests: Vec<String> = Vec::new();
    while requests.len() < 2 {
        let head = mask_numbers(&heads.recv_timeout(Duration::from_secs(10)).expect("a request"));
        if !requests.contains(&head) {
            requests.push(head);
        }
    }
    requests.sort();
    let requests = requests.concat().replace('\r', "");
    let mut status = String::new();
    for _ in 0..100 {
        thread::sleep(Duration::from_millis(50));
        status = cluster.request_status().recv_timeout(Duration::from_secs(1)).expect("a status");
        let ran = status.matches("token here 1").count() == 2 && status.matches("last round 1").count() == 2;
        if ran && status.contains("alive") && status.contains("loans  well") {
            break;
        }
    }
    let status = mask_numbers(&status);
    assert_eq!(requests, REQUESTS);
    assert_eq!(status, STATUS);
    second_cluster.leave();
    cluster.leave();
}
