//! The deadline that is passed to a backend is what the client has left: also for requests that waited in a socket before they were
//! read.

mod common;

use common::*;
use std::time::Duration;

/// How long the program reads nothing, in milliseconds.
const WAIT_MS: u64 = 400;
/// What may be passed on beyond what the client has left.
const SLACK_MS: u64 = 150;
const DEADLINE_MS: u32 = 2_000;

/// The time that a request at a backend says its client has left, in milliseconds.
fn time_left_ms(words: &[String]) -> u64 {
    let left = words[3].split(',').find_map(|value| value.strip_prefix("d="));
    left.and_then(|text| text.parse().ok()).expect("a time")
}

/// The time passed on for a request that `client` sends while the program reads nothing.
fn time_left_after_a_wait(site: &Site, client: impl FnOnce() -> Client) -> u64 {
    site.program.suspend();
    let mut client = client();
    client.send(&query(7, DEADLINE_MS, 1));
    std::thread::sleep(Duration::from_millis(WAIT_MS));
    site.program.signal("-CONT");
    // With nothing in the way the value is the time that the backend was told.
    client.reply().parse().expect("the backend answers with the time")
}

/// A site whose backend answers with the time that it was told.
fn site_telling_times(test: &str) -> Site {
    let (backend_address, _) =
        backend(read_resp_command, |words| Behaviour::Reply(backend_reply(&time_left_ms(words).to_string())));
    site(test, &SiteOptions { backends: &[backend_address], ..SiteOptions::default() })
}

/// Guards backends against work that nobody waits for: where a full table keeps connections at the listener, the time that a request
/// has waited there was passed on once more, up to half a second of it in the soak test.
#[test]
fn the_wait_at_the_listener_is_taken_off_the_time_passed_on() {
    let site = site_telling_times("wait-at-listener");
    let passed_on = time_left_after_a_wait(&site, || Client::connect(site.listen));
    let left = u64::from(DEADLINE_MS) - WAIT_MS;
    assert!(passed_on <= left + SLACK_MS, "{passed_on} ms were passed on, {left} ms were left");
}

#[test]
fn the_wait_in_an_open_connection_is_taken_off_the_time_passed_on() {
    let site = site_telling_times("wait-in-connection");
    let mut client = Client::connect(site.listen);
    client.send(&query(1, DEADLINE_MS, 1));
    client.reply();
    let passed_on = time_left_after_a_wait(&site, || client);
    let left = u64::from(DEADLINE_MS) - WAIT_MS;
    assert!(passed_on <= left + SLACK_MS, "{passed_on} ms were passed on, {left} ms were left");
}
