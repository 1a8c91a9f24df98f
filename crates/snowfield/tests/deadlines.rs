//! Deadline propagation: a backend is told the time that the client has left, also for requests that waited in a socket before they
//! were read.

mod common;

use common::*;
use std::time::Duration;

/// Time for which the program is suspended, in milliseconds.
const WAIT_MS: u64 = 400;
/// The propagated time may exceed the time left by up to this, in milliseconds.
const SLACK_MS: u64 = 150;
const DEADLINE_MS: u32 = 2_000;

/// The time left that a request at a backend states, in milliseconds.
fn time_left_ms(words: &[String]) -> u64 {
    let left = words[3].split(',').find_map(|value| value.strip_prefix("d="));
    left.and_then(|text| text.parse().ok()).expect("a time")
}

/// The propagated time of a request that `client` sends while the program is suspended.
fn time_left_after_a_wait(site: &Site, client: impl FnOnce() -> Client) -> u64 {
    site.program.suspend();
    let mut client = client();
    client.send(&query(7, DEADLINE_MS, 1));
    std::thread::sleep(Duration::from_millis(WAIT_MS));
    site.program.signal("-CONT");
    // The backend replies with the time that it was told.
    client.reply().parse().expect("the backend answers with the time")
}

/// A site whose backend replies with the time that it was told.
fn site_replying_with_time_left(test: &str) -> Site {
    let (backend_address, _) =
        backend(read_resp_command, |words| Behaviour::Reply(backend_reply(&time_left_ms(words).to_string())));
    site(test, &SiteOptions { backends: &[backend_address], ..SiteOptions::default() })
}

/// Regression: with a full table connections wait in the backlog, and the time that a request had waited there was not subtracted:
/// up to half a second in the soak test.
#[test]
fn the_wait_at_the_listener_is_taken_off_the_time_passed_on() {
    let site = site_replying_with_time_left("wait-at-listener");
    let passed_on = time_left_after_a_wait(&site, || Client::connect(site.listen));
    let left = u64::from(DEADLINE_MS) - WAIT_MS;
    assert!(passed_on <= left + SLACK_MS, "{passed_on} ms were passed on, {left} ms were left");
}

#[test]
fn the_wait_in_an_open_connection_is_taken_off_the_time_passed_on() {
    let site = site_replying_with_time_left("wait-in-connection");
    let mut client = Client::connect(site.listen);
    client.send(&query(1, DEADLINE_MS, 1));
    client.reply();
    let passed_on = time_left_after_a_wait(&site, || client);
    let left = u64::from(DEADLINE_MS) - WAIT_MS;
    assert!(passed_on <= left + SLACK_MS, "{passed_on} ms were passed on, {left} ms were left");
}
