//! One gatekeeper of the platform with stand-ins around it.

use super::*;

/// One gatekeeper with stand-ins around it.
pub struct Site {
    pub program: Program,
    pub listen: SocketAddr,
    pub agent: Agent,
    /// The watch that the program opened first.
    pub watch: Sender<String>,
    pub folder: TestDirectory,
    /// Where operators call, if they may.
    pub admin: Option<SocketAddr>,
    /// The folder that programs of an upgrade share.
    pub shared: Option<TestDirectory>,
}

pub struct Shape<'a> {
    pub destinations: &'a [SocketAddr],
    pub counter: Option<SocketAddr>,
    pub gatekeepers: u32,
    pub attempts: u32,
    pub sockets: u32,
}

impl Default for Shape<'_> {
    fn default() -> Self {
        Self { destinations: &[], counter: None, gatekeepers: 1, attempts: 3, sockets: 1024 }
    }
}

pub fn host(uid: &str, at: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"z","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

pub fn list(rev: u64, all: bool, hosts: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, hosts.join(","))
}

pub fn hosts(destinations: &[SocketAddr]) -> Vec<String> {
    destinations.iter().enumerate().map(|(i, at)| host(&format!("s-{i}"), *at, "up")).collect()
}

pub fn config(agent: SocketAddr, shape: &Shape<'_>) -> String {
    let counter = shape.counter.map_or(String::new(), |at| format!(r#""counter":"{at}","#));
    let known = list(40, true, &hosts(shape.destinations));
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
        gatekeepers = shape.gatekeepers,
        attempts = shape.attempts,
        sockets = shape.sockets
    )
}

pub fn site(test: &str, shape: &Shape<'_>) -> Site {
    site_with(test, shape, &[])
}

/// The same with more in its environment.
pub fn site_with(test: &str, shape: &Shape<'_>, variables: &[(&str, &str)]) -> Site {
    start(test, shape, variables, |text| text)
}

/// The same with another text of its configuration.
pub fn site_of(test: &str, shape: &Shape<'_>, change: impl FnOnce(String) -> String) -> Site {
    start(test, shape, &[], change)
}

fn start(
    test: &str,
    shape: &Shape<'_>,
    variables: &[(&str, &str)],
    change: impl FnOnce(String) -> String,
) -> Site {
    let (agent, folder) = (agent(), TestDirectory::new(test));
    let path = folder.write("config.json", &change(config(agent.address, shape)));
    let variables = [&[("BALANCER_CONFIG", path.as_str())], variables].concat();
    let program = Program::start(&[], &variables);
    let operated = variables.iter().any(|(name, _)| *name == "BALANCER_OPERATOR");
    let admin =
        operated.then(|| program.logged_field("admin listener open", "address").parse().expect("an address"));
    let listen = program.logged("serving on ").parse().expect("an address");
    let (_, watch) = next(&agent.watches);
    Site { program, listen, agent, watch, folder, admin, shared: None }
}

pub fn query(id: u32, wait_ms: u32, units: u32) -> Vec<u8> {
    query_of(id, wait_ms, units, 1)
}

/// A request of a customer that comes through so many gatekeepers.
pub fn query_of(id: u32, wait_ms: u32, units: u32, spread: u32) -> Vec<u8> {
    let fields = format!("c=lookup,t=team,d={wait_ms},units={units},spread={spread},first=0");
    resp_command(&["SVC.QUERY", "00000000b4d65521", &format!("{id:016x}"), &fields])
}

/// A request of one unit by a customer of its own, so that no quota is in the way.
pub fn query_of_another_tenant(id: u32) -> Vec<u8> {
    let fields = "c=lookup,t=team,d=2400,units=1,spread=1,first=0";
    resp_command(&["SVC.QUERY", &format!("{id:016x}"), &format!("{id:016x}"), fields])
}

/// A destination that serves each request with the id that it came with.
pub fn echo() -> (SocketAddr, Receiver<BackendEvent<Vec<String>>>) {
    backend(read_resp_command, |words| Behaviour::Reply(backend_reply(&words[2])))
}

pub fn id(number: u32) -> String {
    format!("{number:016x}")
}
