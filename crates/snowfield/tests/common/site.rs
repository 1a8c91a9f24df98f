//! A gatekeeper of the platform with a stand-in for the discovery agent.

use super::*;

/// A running gatekeeper with a stand-in for its discovery agent.
pub struct Site {
    pub program: Program,
    /// The address for clients.
    pub listen: SocketAddr,
    pub agent: Agent,
    /// Sends lines of the discovery agent to the first watch of the program.
    pub watch: Sender<String>,
    /// The directory of the configuration file.
    pub directory: TestDirectory,
    /// The address of the admin listener, if there is one.
    pub admin: Option<SocketAddr>,
    /// The directory that predecessor and successor share in a hot restart.
    pub shared_directory: Option<TestDirectory>,
}

/// The parts of the configuration that differ between tests.
pub struct SiteOptions<'a> {
    /// The addresses in the configured endpoint list.
    pub backends: &'a [SocketAddr],
    /// The address of the quota counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Number of gatekeepers in the fleet, `balancers` of the settings.
    pub gatekeepers: u32,
    /// Limit on the attempts of a request.
    pub attempts: u32,
    /// Limit on the program's sockets, `limits.sockets` of the configuration.
    pub sockets: u32,
}

impl Default for SiteOptions<'_> {
    fn default() -> Self {
        Self { backends: &[], counter: None, gatekeepers: 1, attempts: 3, sockets: 1024 }
    }
}

/// The version of the endpoint list in the configuration.
const CONFIGURED_LIST_VERSION: u64 = 40;

/// An entry of an endpoint list.
pub fn endpoint(id: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{id}","endpoint":"{address}","az":"z","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// An endpoint list that replaces the previous one.
pub fn full_list(version: u64, endpoints: &[String]) -> String {
    format!(r#"{{"rev":{version},"all":true,"targets":[{}]}}"#, endpoints.join(","))
}

/// A message with changed entries of the endpoint list.
pub fn list_delta(version: u64, endpoints: &[String]) -> String {
    format!(r#"{{"rev":{version},"all":false,"targets":[{}]}}"#, endpoints.join(","))
}

/// Entries for these backends, with the ids `s-0`, `s-1` and so on.
fn endpoints(backends: &[SocketAddr]) -> Vec<String> {
    let entry = |(index, address): (usize, &SocketAddr)| endpoint(&format!("s-{index}"), *address, "up");
    backends.iter().enumerate().map(entry).collect()
}

/// The text of a configuration file.
pub fn config_text(agent: SocketAddr, options: &SiteOptions<'_>) -> String {
    let counter = options.counter.map_or(String::new(), |address| format!(r#""counter":"{address}","#));
    let known = full_list(CONFIGURED_LIST_VERSION, &endpoints(options.backends));
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{agent}","seed":"8c1f30d27a5be964",{counter}
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},
        "settings":{{"balancers":{gatekeepers},"me":0,"tick-us":4000,"zone":0,"localities":["z"],"kinds":["m"],
        "bounds":{{"cancel":true,"connect-timeout-us":250000,"keepalive-us":30000000,"max-attempts":{attempts},
        "max-retry-after-us":1000000,"retry-after":true,"second-copies":true}},
        "classes":[{{"name":"lookup","goal-time-us":600000,"deadline-us":2500000,"effect":"read_like","group":"all"}}],
        "contracts":[{{"name":"team","per-second":4.0,"depth":8.0}}],
        "report":{{"columns":["active","waiting","avg_ms"],"how":"inline"}},
        "specifics":{{"may-count":true,"count-wait-us":30000,"largest":8}}}}}}"#,
        gatekeepers = options.gatekeepers,
        attempts = options.attempts,
        sockets = options.sockets
    )
}

/// Starts a site and waits until it serves. `test` names its directory.
pub fn start_site(test: &str, options: &SiteOptions<'_>) -> Site {
    start_site_with_environment(test, options, &[])
}

/// Starts a site whose program has further environment variables.
pub fn start_site_with_environment(
    test: &str,
    options: &SiteOptions<'_>,
    variables: &[(&str, &str)],
) -> Site {
    start_site_with(test, options, variables, |text| text)
}

/// Starts a site whose configuration is changed by `change`.
pub fn start_site_with_config(
    test: &str,
    options: &SiteOptions<'_>,
    change: impl FnOnce(String) -> String,
) -> Site {
    start_site_with(test, options, &[], change)
}

/// Starts a site whose program has further environment variables, and whose configuration is changed by `change`.
pub fn start_site_with(
    test: &str,
    options: &SiteOptions<'_>,
    variables: &[(&str, &str)],
    change: impl FnOnce(String) -> String,
) -> Site {
    let (agent, directory) = (start_agent(), TestDirectory::new(test));
    let path = directory.write("config.json", &change(config_text(agent.address, options)));
    let variables = [&[("BALANCER_CONFIG", path.as_str())], variables].concat();
    let program = Program::start(&[], &variables);
    let has_admin = variables.iter().any(|(name, _)| *name == "BALANCER_OPERATOR");
    let admin = has_admin.then(|| admin_address(&program));
    let listen = listen_address(&program);
    let (_, watch) = receive(&agent.watches);
    Site { program, listen, agent, watch, directory, admin, shared_directory: None }
}

/// Waits until a program serves, and returns its address for clients.
pub fn listen_address(program: &Program) -> SocketAddr {
    program.wait_for_log("serving on ").parse().expect("a valid socket address")
}

/// Waits until a program has an admin listener, and returns its address.
pub fn admin_address(program: &Program) -> SocketAddr {
    program.wait_for_log_field("admin listener open", "address").parse().expect("a valid socket address")
}

/// A request of the default tenant, which comes through one gatekeeper.
pub fn query(number: u32, time_left_ms: u32, units: u32) -> Vec<u8> {
    query_through_gatekeepers(number, time_left_ms, units, 1)
}

/// A request of the default tenant, whose requests come through this number of gatekeepers.
pub fn query_through_gatekeepers(number: u32, time_left_ms: u32, units: u32, gatekeepers: u32) -> Vec<u8> {
    let fields = format!("c=lookup,t=team,d={time_left_ms},units={units},spread={gatekeepers},first=0");
    resp_command(&["SVC.QUERY", "00000000b4d65521", &request_id(number), &fields])
}

/// A request of one unit by a tenant that has no other request, so that no quota is exhausted.
pub fn query_of_new_tenant(number: u32) -> Vec<u8> {
    let fields = "c=lookup,t=team,d=2400,units=1,spread=1,first=0";
    resp_command(&["SVC.QUERY", &request_id(number), &request_id(number), fields])
}

/// Starts a backend that replies to each request with its id.
pub fn start_echo_backend() -> (SocketAddr, Receiver<BackendEvent<Vec<String>>>) {
    start_backend(read_resp_command, |words| Behaviour::Reply(backend_reply(&words[2])))
}

/// The id of the request with this number.
pub fn request_id(number: u32) -> String {
    format!("{number:016x}")
}
