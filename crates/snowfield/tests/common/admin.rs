//! Gatekeepers with an admin listener, its commands and metrics.

use super::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Sends a command to an admin listener and returns the whole reply.
pub fn admin_command(admin: SocketAddr, line: &str) -> String {
    send_bytes(admin, format!("{line}\n").as_bytes())
}

/// Sends bytes to an admin listener and returns the whole reply.
pub fn send_bytes(admin: SocketAddr, bytes: &[u8]) -> String {
    let mut client = TcpStream::connect(admin).expect("the admin listener accepts connections");
    client.set_read_timeout(Some(TIMEOUT)).expect("the timeout can be set");
    client.write_all(bytes).expect("the admin listener reads the bytes");
    let mut reply = String::new();
    client.read_to_string(&mut reply).expect("the admin listener replies and closes the connection");
    reply
}

/// The value of the metric with this name in a reply to `telemetry`.
pub fn metric(text: &str, name: &str) -> u64 {
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.unwrap_or_else(|| panic!("no metric {name} in {text}")).parse().expect("the metric is a number")
}

/// The current value of the metric with this name.
pub fn read_metric(admin: SocketAddr, name: &str) -> u64 {
    metric(&admin_command(admin, "telemetry"), name)
}

/// Starts a site with an admin listener, and also returns the address of that listener.
pub fn start_site_with_admin(test: &str, options: &SiteOptions<'_>) -> (Site, SocketAddr) {
    let site = start_site_with_admin_and_config(test, options, |text| text);
    let admin = site.admin.expect("the site has an admin listener");
    (site, admin)
}

/// Starts a site with an admin listener whose configuration is changed by `change`.
pub fn start_site_with_admin_and_config(
    test: &str,
    options: &SiteOptions<'_>,
    change: impl FnOnce(String) -> String,
) -> Site {
    let shared_directory = TestDirectory::new(&format!("{test}-tmp"));
    let shared_path = shared_directory.path().to_str().expect("a path in UTF-8");
    let variables = [("BALANCER_OPERATOR", "127.0.0.1:0"), ("TMPDIR", shared_path)];
    let mut site = start_site_with(test, options, &variables, change);
    site.shared_directory = Some(shared_directory);
    site
}

/// Starts the successor of a site's process, and waits until it is ready. Also returns the address of its admin listener.
pub fn start_successor(site: &Site) -> (Program, SocketAddr) {
    let config_path = site.directory.path().join("config.json");
    let shared_directory =
        site.shared_directory.as_ref().expect("predecessor and successor share a directory");
    let variables = [
        ("BALANCER_CONFIG", config_path.to_str().expect("a path in UTF-8")),
        ("BALANCER_OPERATOR", "127.0.0.1:0"),
        ("TMPDIR", shared_directory.path().to_str().expect("a path in UTF-8")),
    ];
    let program = Program::start(&[], &variables);
    let admin = admin_address(&program);
    while admin_command(admin, "readyz") != "OK\n" {}
    (program, admin)
}
