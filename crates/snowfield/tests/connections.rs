//! Slow and idle client connections of the real program.

mod common;

use common::*;
use std::io::Read;

/// A client may take up to 2 s to send a command.
#[test]
fn a_client_may_take_two_seconds_for_a_command() {
    let (address, _events) = echo_backend();
    let site = site("slow-head", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    let whole = query_of_new_tenant(1);
    let started = std::time::Instant::now();
    client.send(&whole[..10]);
    client
        .reads
        .get_ref()
        .set_read_timeout(Some(std::time::Duration::from_millis(1_950)))
        .expect("it can be set");
    assert!(client.reads.read(&mut [0; 1]).is_err(), "no reply to a part of a command");
    assert!(started.elapsed().as_millis() < 2_200);
    client.reads.get_ref().set_read_timeout(Some(TIMEOUT)).expect("it can be set");
    client.send(&whole[10..]);
    assert_eq!(client.reply(), request_id(1));
}

/// Idle connections and partial commands hold little memory, and other clients are served meanwhile.
#[test]
fn idle_connections_hold_little_memory() {
    let (address, _events) = echo_backend();
    let site = site("idle-memory", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut first = Client::connect(site.listen);
    first.send(&query_of_new_tenant(1));
    assert_eq!(first.reply(), request_id(1));
    let before = site.program.memory_kb();
    let idle_clients: Vec<Client> = (0..600)
        .map(|number| {
            let mut client = Client::connect(site.listen);
            client.send(&query_of_new_tenant(100)[..number % 90]);
            client
        })
        .collect();
    let mut client = Client::connect(site.listen);
    client.send(&query_of_new_tenant(2));
    assert_eq!(client.reply(), request_id(2));
    let each = (site.program.memory_kb().saturating_sub(before)) as f64 / idle_clients.len() as f64;
    println!("{each:.1} kB for each idle connection");
    assert!(each < 16.0, "{each} kB for each idle connection");
}
