//! Connections of slow and idle clients to the real program.

mod common;

use common::*;
use std::io::Read;

/// The protocol grants a client 2 s to send a command, so no error may come before that.
#[test]
fn a_client_may_take_two_seconds_to_send_a_command() {
    let (address, _events) = start_echo_backend();
    let site = start_site("slow-head", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    let command = query_of_new_tenant(1);
    let started = std::time::Instant::now();
    client.send(&command[..10]);
    client
        .reader
        .get_ref()
        .set_read_timeout(Some(std::time::Duration::from_millis(1_950)))
        .expect("the timeout can be set");
    assert!(client.reader.read(&mut [0; 1]).is_err(), "no reply to a part of a command");
    assert!(started.elapsed().as_millis() < 2_200);
    client.reader.get_ref().set_read_timeout(Some(TIMEOUT)).expect("the timeout can be set");
    client.send(&command[10..]);
    assert_eq!(client.read_reply(), request_id(1));
}

/// Idle connections and partial commands hold little memory, and other clients are served meanwhile.
#[test]
fn idle_connections_hold_little_memory() {
    let (address, _events) = start_echo_backend();
    let site = start_site("idle-memory", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut connected = Client::connect(site.listen);
    connected.send(&query_of_new_tenant(1));
    assert_eq!(connected.read_reply(), request_id(1));
    let kilobytes_before = site.program.memory_kb();
    let idle_clients: Vec<Client> = (0..600)
        .map(|number| {
            let mut client = Client::connect(site.listen);
            client.send(&query_of_new_tenant(100)[..number % 90]);
            client
        })
        .collect();
    let mut client = Client::connect(site.listen);
    client.send(&query_of_new_tenant(2));
    assert_eq!(client.read_reply(), request_id(2));
    let kilobytes_each =
        (site.program.memory_kb().saturating_sub(kilobytes_before)) as f64 / idle_clients.len() as f64;
    println!("{kilobytes_each:.1} kB for each idle connection");
    assert!(kilobytes_each < 16.0, "{kilobytes_each} kB for each idle connection");
}
