//! The settings files of gatekeepers.

use super::*;

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 9, 1, last], port))
}

fn no_replicas() -> ReplicaAddresses {
    ReplicaAddresses { listen: None, replicas: Vec::new() }
}

#[test]
fn settings_files_match_the_stored_files() {
    let options = SiteOptions { consul_agents: 2, ..SiteOptions::default() };
    let appliance = ApplianceSettings {
        number: 1,
        gatekeepers: 2,
        options: &options,
        listen: address(1, 8_080),
        status: address(1, 8_081),
        counter: address(201, 40_000),
        consul_agents: &[address(201, 40_001), address(201, 40_002)],
        gossip: GossipAddresses {
            listen: address(2, 7_946),
            advertise: address(201, 41_001),
            peers: "\"127.9.1.201:41000\", \"127.9.1.201:41001\"",
        },
        replicas: no_replicas(),
    };
    assert_eq!(appliance.template(), include_str!("../../../tests/fixtures/gatekeeper.toml"));
    let platform = PlatformSettings {
        number: 1,
        gatekeepers: 2,
        listen: address(1, 8_080),
        discovery: address(201, 40_003),
        counter: address(201, 40_000),
        endpoint_list: r#"{"rev":41,"all":true,"targets":[]}"#,
    };
    assert_eq!(platform.text(), include_str!("../../../tests/fixtures/config.json"));
}

#[test]
fn only_a_replica_has_a_listen_address() {
    let replicas = || vec!["{ name = \"m0\" }".to_owned(), "{ name = \"m1\" }".to_owned()];
    let listen = Some(address(1, 7_947));
    let replica = ReplicaAddresses { listen, replicas: replicas() };
    let tables = "voters = [{ name = \"m0\" }, { name = \"m1\" }]\n";
    assert_eq!(replica.toml(), format!("[agreed]\nlisten = \"127.9.1.1:7947\"\n{tables}"));
    let client = ReplicaAddresses { listen: None, replicas: replicas() };
    assert_eq!(client.toml(), format!("[agreed]\n{tables}"));
    assert_eq!(no_replicas().toml(), "");
}

#[test]
fn fills_the_placeholders_of_a_template() {
    let variables =
        MemberVariables { name: "m1", clock_offset_ms: -140, jobs: 3..4, job_target: address(201, 40_004) };
    let text = variables.fill("name = \"NAME\"\nclock_offset_ms = CLOCK\nDUTIES");
    let job = "[[duty]]\nname = \"duty-3\"\nperiod_ms = 500\ntimeout_ms = 400\nurl = \"http://127.9.1.201:40004/\"\n";
    assert_eq!(text, format!("name = \"m1\"\nclock_offset_ms = -140\n{job}"));
}
