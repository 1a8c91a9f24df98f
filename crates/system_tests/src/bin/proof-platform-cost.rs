//! Processor time and memory of the platform's path for each request: `proof-platform-cost [BUILD...]`. Each build is a path
//! to a `snowfield`; without any, the one beside this program. They take turns, so that a machine that changes its pace
//! changes it for all. The last is held to the first.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use system_tests::{Folder, LONG, Program, Table, free_ports, percentile};

const CLIENTS: u32 = 8;
/// Requests of one client in a turn, the first of which are not counted: the program grows its tables then.
const REQUESTS: u32 = 4_000;
const WARM: u32 = 500;
const TURNS: usize = 5;
/// How much more the last build may take than the first: what turns of one build differ by.
const MOST: f64 = 1.10;

/// Reads one RESP2 command and tells its third word.
fn command(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let count: usize = line.trim().strip_prefix('*')?.parse().ok()?;
    let mut id = String::new();
    for word in 0..count {
        line.clear();
        from.read_line(&mut line).ok()?;
        let length: usize = line.trim().strip_prefix('$')?.parse().ok()?;
        let mut bytes = vec![0; length + 2];
        from.read_exact(&mut bytes).ok()?;
        if word == 2 {
            bytes.truncate(length);
            id = String::from_utf8(bytes).ok()?;
        }
    }
    Some(id)
}

/// A loan server that answers each request at once with its id.
fn destination() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut answers = stream.try_clone().expect("a second handle");
                let mut requests = BufReader::new(stream);
                while let Some(id) = command(&mut requests) {
                    let answer = format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$12\r\ninflight=1,q\r\n", id.len());
                    if answers.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

/// An agent that says nothing new.
fn agent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                    std::thread::sleep(std::time::Duration::from_secs(1));
                }
            });
        }
    });
    at
}

fn config(listen: SocketAddr, agent: SocketAddr, destinations: &[SocketAddr]) -> String {
    let host = |(i, at): (usize, &SocketAddr)| {
        format!(r#"{{"uid":"s-{i}","endpoint":"{at}","az":"z","model":"m","state":"up"}}"#)
    };
    let hosts: Vec<String> = destinations.iter().enumerate().map(host).collect();
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{agent}","seed":"1","limits":{{"sockets":1024}},
        "known":{{"rev":1,"all":true,"targets":[{}]}},"settings":{{"balancers":1,"me":0,"tick-us":1000,
        "bounds":{{"max-attempts":3,"second-copies":true,"connect-timeout-us":250000,"keepalive-us":30000000}},
        "classes":[{{"name":"lookup","goal-time-us":600000,"deadline-us":2500000,"effect":"read_like"}}],
        "contracts":[{{"name":"team","per-second":100000.0,"depth":1000000.0}}],
        "specifics":{{"largest":8}}}}}}"#,
        hosts.join(",")
    )
}

/// One client's requests; tells how many were served.
fn client(at: SocketAddr, number: u32, count: u32) -> u32 {
    let stream = TcpStream::connect(at).expect("the program accepts");
    stream.set_read_timeout(Some(LONG)).expect("a time-out can be set");
    let _ = stream.set_nodelay(true);
    let mut requests = stream.try_clone().expect("a second handle");
    let mut answers = BufReader::new(stream);
    let (mut served, mut line) = (0, String::new());
    let list = "c=lookup,t=team,d=2000,units=1,spread=1,first=0";
    for i in 0..count {
        let id = format!("{:016x}", u64::from(number) << 32 | u64::from(i));
        let customer = format!("{:016x}", i % 200);
        let words = ["SVC.QUERY", &customer, &id, list];
        let body: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
        requests.write_all(format!("*4\r\n{body}").as_bytes()).expect("it is taken");
        line.clear();
        answers.read_line(&mut line).expect("an answer");
        if line.starts_with('$') {
            answers.read_line(&mut line).expect("a value");
            served += 1;
        }
    }
    served
}

/// Starts a build, and returns microseconds of processor time for each request, and kilobytes held at the end.
fn turn(build: &Path, agent: SocketAddr, destinations: &[SocketAddr]) -> (f64, u64) {
    let folder = Folder::new("platform-cost");
    let listen = free_ports(1)[0];
    let file = folder.write("config.json", &config(listen, agent, destinations));
    let program = Program::start_build(build, &[], &[("BALANCER_CONFIG", &file)]);
    program.logged("serving on ");
    let all = |from: u32, count: u32| -> u32 {
        let clients: Vec<_> =
            (0..CLIENTS).map(|n| std::thread::spawn(move || client(listen, from + n, count))).collect();
        clients.into_iter().map(|c| c.join().expect("no client fails")).sum()
    };
    all(0, WARM);
    let before = program.used().0;
    let served = all(CLIENTS, REQUESTS);
    let (after, memory) = program.used();
    assert_eq!(served, CLIENTS * REQUESTS, "all are served");
    ((after - before) * 1e6 / f64::from(served), memory)
}

fn main() -> ExitCode {
    let mut builds: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    if builds.is_empty() {
        builds.push(system_tests::program());
    }
    let agent = agent();
    let destinations: Vec<SocketAddr> = (0..4).map(|_| destination()).collect();
    let mut costs: Vec<Vec<f64>> = vec![Vec::new(); builds.len()];
    let mut memory = vec![0; builds.len()];
    for _ in 0..TURNS {
        for (at, build) in builds.iter().enumerate() {
            let (cost, held) = turn(build, agent, &destinations);
            costs[at].push(cost);
            memory[at] = memory[at].max(held);
        }
    }
    let mut table = Table::default();
    table.tell("clients, requests of each, turns", format!("{CLIENTS}, {REQUESTS}, {TURNS}"));
    let mut medians = Vec::new();
    for (at, cost) in costs.iter_mut().enumerate() {
        cost.sort_by(f64::total_cmp);
        let median = percentile(cost, 0.5);
        let (least, most) = (cost[0], cost[cost.len() - 1]);
        table.tell(
            &format!("build {at}: us of processor time a request, median (least to most)"),
            format!("{median:.1} ({least:.1} to {most:.1})"),
        );
        table.tell(&format!("build {at}: kB held at the most"), memory[at]);
        medians.push(median);
    }
    let ratio = medians[medians.len() - 1] / medians[0];
    table.at_most("the last build against the first", ratio, MOST);
    let fine = table.print();
    println!(
        "proof platform-cost: {:.1} us a request, {ratio:.2} of the first build, {}",
        medians[medians.len() - 1],
        if fine { "all within bounds" } else { "OUT OF BOUNDS" }
    );
    if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
