//! Processor time and memory of the platform's path for each request: `proof-platform-cost [BUILD...]`. Each build is a path
//! to a `snowfield`; without any, the one beside this program. They take turns, so that a machine that changes its pace
//! changes it for all. The last is held to the first.

use fault_injection::connections::serve_connections;
use fault_injection::stand_ins::{write_watch_head, write_watch_line};
use fault_injection::wire::{read_resp_command, resp_command};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use system_tests::gatekeeper_output::log_events::SERVING;
use system_tests::{
    Gatekeeper, STEP_TIMEOUT, Table, TestDirectory, free_addresses, percentile, release_build,
};

const CLIENTS: u32 = 8;
/// Requests of one client in a turn.
const REQUESTS: u32 = 4_000;
/// Requests before that, which are not counted: the gatekeeper grows its tables then.
const WARM_UP_REQUESTS: u32 = 500;
const TURNS: usize = 5;
const BACKENDS: usize = 4;
/// Tenants of a client.
const TENANTS: u32 = 200;
/// How much more the last build may take than the first: what turns of one build differ by.
const MAX_RATIO: f64 = 1.10;
/// The id among the arguments of a request to a backend.
const ID_ARGUMENT: usize = 2;
/// An agent without news sends an empty line this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Listens at a free port and serves each connection in a thread.
fn listen(serve: fn(TcpStream)) -> SocketAddr {
    serve_connections(([127, 0, 0, 1], 0).into(), serve).expect("a free port")
}

/// A backend that answers each request at once with its id.
fn serve_backend(stream: TcpStream) {
    let mut answers = stream.try_clone().expect("a second handle");
    let mut requests = BufReader::new(stream);
    while let Some(arguments) = read_resp_command(&mut requests) {
        let id = arguments.get(ID_ARGUMENT).map_or("", String::as_str);
        let answer = format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$12\r\ninflight=1,q\r\n", id.len());
        if answers.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A discovery agent without news.
fn serve_agent(mut stream: TcpStream) {
    let _ = write_watch_head(&mut stream);
    while write_watch_line(&mut stream, "").is_ok() {
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}

fn config(listen: SocketAddr, agent: SocketAddr, backends: &[SocketAddr]) -> String {
    let endpoint = |(i, address): (usize, &SocketAddr)| {
        format!(r#"{{"uid":"s-{i}","endpoint":"{address}","az":"z","model":"m","state":"up"}}"#)
    };
    let endpoints: Vec<String> = backends.iter().enumerate().map(endpoint).collect();
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{agent}","seed":"1","limits":{{"sockets":1024}},
        "known":{{"rev":1,"all":true,"targets":[{}]}},"settings":{{"balancers":1,"me":0,"tick-us":1000,
        "bounds":{{"max-attempts":3,"second-copies":true,"connect-timeout-us":250000,"keepalive-us":30000000}},
        "classes":[{{"name":"lookup","goal-time-us":600000,"deadline-us":2500000,"effect":"read_like"}}],
        "contracts":[{{"name":"team","per-second":100000.0,"depth":1000000.0}}],
        "specifics":{{"largest":8}}}}}}"#,
        endpoints.join(",")
    )
}

/// One client's requests; tells how many were served.
fn send_requests(gatekeeper: SocketAddr, client: u32, count: u32) -> u32 {
    let stream = TcpStream::connect(gatekeeper).expect("the program accepts");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a time-out can be set");
    let _ = stream.set_nodelay(true);
    let mut requests = stream.try_clone().expect("a second handle");
    let mut answers = BufReader::new(stream);
    let (mut served, mut line) = (0, String::new());
    for i in 0..count {
        let id = format!("{:016x}", u64::from(client) << 32 | u64::from(i));
        let tenant = format!("{:016x}", i % TENANTS);
        let request =
            resp_command(&["SVC.QUERY", &tenant, &id, "c=lookup,t=team,d=2000,units=1,spread=1,first=0"]);
        requests.write_all(&request).expect("it is taken");
        line.clear();
        answers.read_line(&mut line).expect("an answer");
        if line.starts_with('$') {
            answers.read_line(&mut line).expect("a value");
            served += 1;
        }
    }
    served
}

/// What a build took in a turn.
struct TurnCost {
    /// Processor time for each request, us.
    cpu_us: f64,
    /// Held at the end.
    memory_kb: u64,
}

/// Starts a build and measures it.
fn measure_turn(build: &Path, agent: SocketAddr, backends: &[SocketAddr]) -> TurnCost {
    let folder = TestDirectory::new("platform-cost");
    let listen = free_addresses(1)[0];
    let file = folder.write("config.json", &config(listen, agent, backends));
    let gatekeeper = Gatekeeper::start_build(build, &[], &[("BALANCER_CONFIG", file)]);
    gatekeeper.wait_for_log(SERVING);
    let send_all = |first_client: u32, count: u32| -> u32 {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|i| thread::spawn(move || send_requests(listen, first_client + i, count)))
            .collect();
        clients.into_iter().map(|client| client.join().expect("no client fails")).sum()
    };
    send_all(0, WARM_UP_REQUESTS);
    let before = gatekeeper.usage();
    let served = send_all(CLIENTS, REQUESTS);
    let after = gatekeeper.usage();
    assert_eq!(served, CLIENTS * REQUESTS, "all are served");
    let cpu_us = (after.cpu_ms - before.cpu_ms) as f64 * 1e3 / f64::from(served);
    TurnCost { cpu_us, memory_kb: after.memory_kb }
}

/// What a build took in all turns.
#[derive(Clone, Default)]
struct BuildCost {
    cpu_us: Vec<f64>,
    memory_kb: u64,
}

impl BuildCost {
    fn add(&mut self, turn: &TurnCost) {
        self.cpu_us.push(turn.cpu_us);
        self.memory_kb = self.memory_kb.max(turn.memory_kb);
    }

    /// Adds its figures to the table and returns the median.
    fn report(&mut self, table: &mut Table, build: usize) -> f64 {
        self.cpu_us.sort_by(f64::total_cmp);
        let median = percentile(&self.cpu_us, 0.5);
        let (least, most) = (self.cpu_us[0], self.cpu_us[self.cpu_us.len() - 1]);
        let name = format!("build {build}: us of processor time a request, median (least to most)");
        table.add(&name, format!("{median:.1} ({least:.1} to {most:.1})"));
        table.add(&format!("build {build}: kB held at the most"), self.memory_kb);
        median
    }
}

fn main() -> ExitCode {
    let mut builds: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    if builds.is_empty() {
        builds.push(release_build());
    }
    let agent = listen(serve_agent);
    let backends: Vec<SocketAddr> = (0..BACKENDS).map(|_| listen(serve_backend)).collect();
    let mut costs = vec![BuildCost::default(); builds.len()];
    for _ in 0..TURNS {
        for (build, cost) in builds.iter().zip(&mut costs) {
            cost.add(&measure_turn(build, agent, &backends));
        }
    }
    let mut table = Table::default();
    table.add("clients, requests of each, turns", format!("{CLIENTS}, {REQUESTS}, {TURNS}"));
    let medians: Vec<f64> =
        costs.iter_mut().enumerate().map(|(build, cost)| cost.report(&mut table, build)).collect();
    let last = medians[medians.len() - 1];
    let ratio = last / medians[0];
    table.add_with_maximum("the last build against the first", ratio, MAX_RATIO);
    let verdict = table.print();
    println!("proof platform-cost: {last:.1} us a request, {ratio:.2} of the first build, {verdict}");
    verdict.into()
}
