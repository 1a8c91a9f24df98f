//! The appliance: the program with the OpenAPI front, a stand-in for Consul, and a description of a few routes.

use super::*;
use stand_in_consul::{Listener, Service};

/// A stand-in for Consul with the instances of one service.
pub struct ConsulStandIn {
    pub address: SocketAddr,
    pub consul: stand_in_consul::Consul,
    pub listener: Listener,
}

impl ConsulStandIn {
    /// Starts a stand-in with these instances. The receiver gets the method and target of each query.
    pub fn start(instances: &[SocketAddr]) -> (Self, Receiver<String>) {
        let consul = stand_in_consul::Consul::start();
        let queries = consul.log_requests();
        let instance = |(i, address): (usize, &SocketAddr)| service(&format!("loans-{i}"), *address);
        consul.set_service(10, "loan-server", instances.iter().enumerate().map(instance).collect());
        let listener = consul.open();
        (Self { address: listener.address, consul, listener }, queries)
    }

    /// Changes the instances, and sets the index of the list.
    pub fn update_instances(&self, index: u64, change: impl FnOnce(&mut Vec<Service>)) {
        self.consul.update(|state| {
            change(state.services.entry("loan-server".into()).or_default());
            state.services_index = index;
        });
    }
}

/// A service instance in Consul's catalogue.
pub fn service(id: &str, address: SocketAddr) -> Service {
    Service::new(id, address)
}

pub const LOANS: &str = r##"{
  "openapi": "3.0.3", "info": {"title": "Loans", "version": "1"},
  "servers": [{"url": "https://api.example.com/v1/"}],
  "x-snowfield-default": {"class": "lookup"},
  "paths": {
    "/loans/{loan}": {
      "get": {"operationId": "balance", "x-snowfield-units": 1, "responses": {}},
      "head": {"x-snowfield-units": 1, "responses": {}},
      "post": {"operationId": "notice", "x-snowfield-units": 2, "x-snowfield-class": "notice", "responses": {}}
    },
    "/loans/all": {"get": {"operationId": "all", "x-snowfield-units": 3, "responses": {}}},
    "/loans/{loan}/schedule": {"get": {"operationId": "schedule", "x-snowfield-units": 2.5, "responses": {}}}
  }
}"##;

/// The parts of the settings that differ between tests.
pub struct ApplianceOptions<'a> {
    pub backends: &'a [SocketAddr],
    /// The lines of the `[quota]` table.
    pub quota: String,
    /// The quota of the plan, as lines of its table.
    pub plan: &'a str,
    pub deadline_ms: u32,
    pub patience_ms: u32,
    pub sockets: u32,
    /// Further lines of the `[limits]` table.
    pub limits: &'a str,
    /// Further lines of the `[consul]` table.
    pub consul: &'a str,
}

impl Default for ApplianceOptions<'_> {
    fn default() -> Self {
        Self {
            backends: &[],
            quota: String::new(),
            plan: "units_per_second = 100.0\nburst = 400.0",
            deadline_ms: 2500,
            patience_ms: 10_000,
            sockets: 1024,
            limits: "",
            consul: "",
        }
    }
}

pub struct Appliance {
    pub program: Program,
    pub listen: SocketAddr,
    pub consul: ConsulStandIn,
    pub queries: Receiver<String>,
    pub settings_file: String,
    _directory: TestDirectory,
}

/// The text of a configuration file.
pub fn appliance_config_text(
    consul: SocketAddr,
    status: SocketAddr,
    options: &ApplianceOptions<'_>,
) -> String {
    format!(
        r#"
listen = "127.0.0.1:0"
status = "{status}"
descriptions = ["loans.json"]
lender_header = "X-Lender"
[consul]
address = "{consul}"
service = "loan-server"
{consul_lines}
[quota]
{quota}
[limits]
body_bytes = 1000
patience_ms = {patience}
sockets = {sockets}
{limits}
[[class]]
name = "lookup"
repeat = "safe"
wanted_ms = 300
deadline_ms = {deadline}
[[class]]
name = "notice"
repeat = "unsafe"
wanted_ms = 300
deadline_ms = {deadline}
[[plan]]
name = "basic"
{plan}
[[lender]]
name = "al-noor"
plan = "basic"
[[lender]]
name = "sohar"
plan = "basic"
"#,
        quota = options.quota,
        consul_lines = options.consul,
        deadline = options.deadline_ms,
        patience = options.patience_ms,
        sockets = options.sockets,
        limits = options.limits,
        plan = options.plan
    )
}

/// Starts the appliance, and waits until it has the endpoint list.
pub fn start_appliance(test: &str, options: &ApplianceOptions<'_>) -> Appliance {
    let (consul, queries) = ConsulStandIn::start(options.backends);
    let directory = TestDirectory::new(test);
    directory.write("loans.json", LOANS);
    let settings_file =
        directory.write("openapi.toml", &appliance_config_text(consul.address, unused_address(), options));
    let program = Program::start(&["serve", &settings_file], &[]);
    let listen = program.wait_for_log("serving OpenAPI on ").parse().expect("a valid socket address");
    let site = Appliance { program, listen, consul, queries, settings_file, _directory: directory };
    site.program.wait_for_log("endpoint list changed");
    site
}

pub fn get_request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: api.example.com\r\nX-Lender: al-noor\r\n\r\n")
}

pub fn ok_response(text: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()).into_bytes()
}

/// Starts a backend that answers each request with the request's first line.
pub fn start_http_echo_backend() -> (SocketAddr, Receiver<BackendEvent<Message>>) {
    start_backend(read_message, |request| Behaviour::Reply(ok_response(&request.first_line)))
}
