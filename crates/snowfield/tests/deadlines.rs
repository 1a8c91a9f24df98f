//! Deadline propagation: a request states the time that its client has left to the backend. The time that the request waited in a
//! socket before it was read is subtracted.

mod common;

use common::*;
use std::time::Duration;

/// Time for which the program is suspended, in milliseconds.
const SUSPENDED_MS: u64 = 400;
/// The propagated time may exceed the time left by at most this, in milliseconds.
const TOLERANCE_MS: u64 = 150;
/// The time that the client states in its request, in milliseconds.
const DEADLINE_MS: u32 = 2_000;

/// The time left that a request states to a backend, in milliseconds.
fn time_left_ms(words: &[String]) -> u64 {
    let time_left = words[3].split(',').find_map(|value| value.strip_prefix("d="));
    time_left.and_then(|text| text.parse().ok()).expect("the request states the time left")
}

/// The propagated time of a request that is sent while the program is suspended, on the connection from `connect`.
fn time_left_after_suspension(site: &Site, connect: impl FnOnce() -> Client) -> u64 {
    site.program.suspend();
    let mut client = connect();
    client.send(&query(7, DEADLINE_MS, 1));
    std::thread::sleep(Duration::from_millis(SUSPENDED_MS));
    site.program.signal("-CONT");
    // The backend replies with the propagated time.
    client.read_reply().parse().expect("the reply is the propagated time")
}

/// Starts a site whose backend replies with the propagated time.
fn start_site_replying_with_time_left(test: &str) -> Site {
    let (backend_address, _) = start_backend(read_resp_command, |words| {
        Behaviour::Reply(backend_reply(&time_left_ms(words).to_string()))
    });
    start_site(test, &SiteOptions { backends: &[backend_address], ..SiteOptions::default() })
}

/// Regression: while the connection table is full, connections wait in the backlog. The time that a request had waited there, up
/// to half a second in the soak test, was not subtracted.
#[test]
fn the_wait_in_the_backlog_is_subtracted_from_the_propagated_time() {
    let site = start_site_replying_with_time_left("wait-at-listener");
    let propagated = time_left_after_suspension(&site, || Client::connect(site.listen));
    let time_left = u64::from(DEADLINE_MS) - SUSPENDED_MS;
    assert!(
        propagated <= time_left + TOLERANCE_MS,
        "{propagated} ms were propagated, {time_left} ms were left"
    );
}

#[test]
fn the_wait_in_an_open_connection_is_subtracted_from_the_propagated_time() {
    let site = start_site_replying_with_time_left("wait-in-connection");
    let mut client = Client::connect(site.listen);
    client.send(&query(1, DEADLINE_MS, 1));
    client.read_reply();
    let propagated = time_left_after_suspension(&site, || client);
    let time_left = u64::from(DEADLINE_MS) - SUSPENDED_MS;
    assert!(
        propagated <= time_left + TOLERANCE_MS,
        "{propagated} ms were propagated, {time_left} ms were left"
    );
}
