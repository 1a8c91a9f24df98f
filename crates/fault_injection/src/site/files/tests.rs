//! The settings files that programs are started with.

use super::*;

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 9, 1, last], port))
}

#[test]
fn settings_files_are_written_byte_for_byte_alike() {
    let has = SiteOptions { consul_agents: 2, ..SiteOptions::default() };
    let at = [address(1, 8_080), address(1, 8_081), address(201, 40_000)];
    let agents = [address(201, 40_001), address(201, 40_002)];
    let peers = "\"127.9.1.201:41000\", \"127.9.1.201:41001\"";
    let text = appliance(1, 2, &has, at, &agents, (address(2, 7_946), address(201, 41_001), peers));
    assert_eq!(text, include_str!("../../../tests/fixtures/gatekeeper.toml"));
    let at = [address(1, 8_080), address(201, 40_003), address(201, 40_000)];
    let text = platform(1, 2, at, r#"{"rev":41,"all":true,"targets":[]}"#);
    assert_eq!(text, include_str!("../../../tests/fixtures/config.json"));
}
