//! Configurations of members with short periods, for tests in simulated time.

use membership::authentication::Keyring;
use membership::{Config, Member};
use std::net::SocketAddr;
use std::time::Duration;

/// The port of member 0. Member `n` has the port `FIRST_PORT + n`.
const FIRST_PORT: u16 = 7_000;

/// Parses a key file.
pub fn keyring(text: &str) -> Keyring {
    Keyring::parse(text).expect("keys")
}

/// Returns the gossip address of the member with this number.
pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + member as u16))
}

/// Returns the number of the member with this gossip address.
pub fn member_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

/// Returns the configuration of a member that joins through members 0 and 1.
pub fn config(member: usize, generation: u64) -> Config {
    Config {
        local_member: Member { address: address(member), name: format!("m{member}"), generation },
        seed_peers: vec![address(0), address(1)],
        probe_period: Duration::from_millis(200),
        probe_timeout: Duration::from_millis(60),
        suspicion_timeout: Duration::from_millis(400),
        gossip_period: Duration::from_millis(50),
        join_period: Duration::from_millis(200),
        max_members: 32,
        max_topics: 8,
        rng_seed: member as u64,
    }
}
