//! Timing by class on the real program: bad files are refused for their own reasons, an attempt ends at its time, and what
//! attempts and copies do to latencies and load where one of ten destinations is slow, where some answers of each are, and
//! where all are.

use stand_in_consul::{Consul, Service};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, ExitCode};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use system_tests::{Folder, LONG, Program, Table, free_ports, percentile};

const DESTINATIONS: usize = 10;
const CLIENTS: usize = 8;
/// Seconds of each stretch, and milliseconds between two requests of a client.
const STRETCH: u64 = 8;
const PAUSE: u64 = 10;
/// Milliseconds that a destination takes; a slow one; each where all are slow.
const QUICK: u64 = 5;
const SLOW: u64 = 900;
const ALL_SLOW: u64 = 150;

fn file(ports: &[SocketAddr], consul: SocketAddr, class: &str) -> String {
    format!(
        "listen = \"{}\"\nstatus = \"{}\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
         [consul]\naddress = \"{consul}\"\nservice = \"loan-server\"\n[limits]\nconnect_ms = 50\nroute_steps = 4\n\
         [[class]]\nname = \"lookup\"\n{class}\n\
         [[plan]]\nname = \"basic\"\nunits_per_second = 100000.0\nburst = 400000.0\n\
         [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n",
        ports[0], ports[1]
    )
}

const LOANS: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"paths":{"/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}}}}"#;

/// Statements that cannot be kept, and what the refusal must say.
fn bad_classes() -> Vec<(String, &'static str)> {
    let safe = |wanted: u64, deadline: u64, more: String| {
        format!("repeat = \"safe\"\nwanted_ms = {wanted}\ndeadline_ms = {deadline}\n{more}")
    };
    let mut all = Vec::new();
    for i in 1..=9 {
        all.push((safe(600, 2_500, format!("attempts = 3\nattempt_ms = {}", 833 + i)), "take up to"));
        all.push((safe(600 + i, 600, String::new()), "is given up after"));
        all.push((safe(600, 2_500, format!("attempts = {}", 4 + i)), "are more than limits.route_steps"));
        all.push((
            safe(600, 2_500, format!("attempts = 2\nattempt_ms = {}", 5 * i)),
            "ends before a connection",
        ));
        all.push((safe(600, 2_500, format!("copy_after_ms = {}", 599 + i)), "no longer wanted"));
        all.push((
            safe(900, 2_500, format!("attempts = 3\nattempt_ms = 300\ncopy_after_ms = {}", 299 + i)),
            "never comes",
        ));
        all.push((safe(600, 2_500, format!("attempts = 1\ncopy_after_ms = {i}")), "one is all there may be"));
        all.push((
            format!("repeat = \"unsafe\"\nwanted_ms = 600\ndeadline_ms = 2500\ncopy_after_ms = {i}"),
            "must not run twice",
        ));
    }
    for zero in ["attempts", "attempt_ms", "copy_after_ms"] {
        all.push((safe(600, 2_500, format!("{zero} = 0")), "is 0"));
    }
    all.push((safe(600, 2_500, "attempts = -1".into()), "attempts"));
    all.push((safe(600, 2_500, "attempt = 300".into()), "attempt"));
    all
}

/// How many files are refused for their own reason, of how many.
fn refusals(folder: &Folder, ports: &[SocketAddr]) -> (usize, usize) {
    let bad = bad_classes();
    let refused = bad.iter().filter(|(class, told)| {
        let path = folder.write("bad.toml", &file(ports, ports[0], class));
        let out =
            Command::new(system_tests::program()).args(["check", &path]).output().expect("the program runs");
        let said = String::from_utf8_lossy(&out.stderr);
        let good = !out.status.success() && said.contains(told);
        if !good {
            println!("not refused for {told:?}: {class}: {said}");
        }
        good
    });
    (refused.count(), bad.len())
}

/// A destination that answers after a while, or never, and counts what it is asked.
struct Destination {
    address: SocketAddr,
    wait: Arc<AtomicU64>,
    asked: Arc<AtomicU64>,
}

/// What a destination that never answers waits.
const NEVER: u64 = u64::MAX;
/// Takes `SLOW` for one request in so many, and `QUICK` for the others.
const SOMETIMES: u64 = u64::MAX - 1;
const ONE_IN: u64 = 50;

impl Destination {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (wait, asked) = (Arc::new(AtomicU64::new(QUICK)), Arc::new(AtomicU64::new(0)));
        let (waits, counts) = (wait.clone(), asked.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (waits, counts) = (waits.clone(), counts.clone());
                std::thread::spawn(move || serve(stream, &waits, &counts));
            }
        });
        Self { address, wait, asked }
    }
}

fn serve(stream: TcpStream, wait: &AtomicU64, asked: &AtomicU64) {
    let _ = stream.set_nodelay(true);
    let mut answers = stream.try_clone().expect("a second handle");
    let mut requests = BufReader::new(stream);
    loop {
        let mut line = String::new();
        while requests.read_line(&mut line).is_ok_and(|n| n > 2) {
            line.clear();
        }
        if line.is_empty() {
            return;
        }
        let number = asked.fetch_add(1, Ordering::Relaxed);
        match wait.load(Ordering::Relaxed) {
            // Until the program hangs up.
            NEVER => return drop(requests.read(&mut [0])),
            SOMETIMES if number % ONE_IN == ONE_IN - 1 => std::thread::sleep(Duration::from_millis(SLOW)),
            SOMETIMES => std::thread::sleep(Duration::from_millis(QUICK)),
            wait => std::thread::sleep(Duration::from_millis(wait)),
        }
        if answers.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
            return;
        }
    }
}

struct Client(BufReader<TcpStream>);

impl Client {
    fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("the program accepts");
        stream.set_read_timeout(Some(LONG)).expect("a time-out can be set");
        let _ = stream.set_nodelay(true);
        Self(BufReader::new(stream))
    }

    /// The status of one request.
    fn ask(&mut self) -> u16 {
        let request = b"GET /loans HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\n\r\n";
        self.0.get_mut().write_all(request).expect("it is taken");
        let (mut status, mut length, mut line) = (0, 0, String::new());
        while self.0.read_line(&mut line).expect("an answer") > 2 {
            if let Some(value) = line.strip_prefix("HTTP/1.1 ") {
                status = value[..3].parse().expect("a status");
            } else if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length");
            }
            line.clear();
        }
        self.0.read_exact(&mut vec![0; length]).expect("a body");
        status
    }
}

/// What one stretch came to: milliseconds of those served, sorted; the share served; attempts for each request.
struct Stretch {
    latencies: Vec<f64>,
    served: f64,
    attempts: f64,
}

struct Site {
    consul: Consul,
    destinations: Vec<Destination>,
}

impl Site {
    fn program(&self, folder: &Folder, class: &str) -> (Program, SocketAddr) {
        let ports = free_ports(2);
        let path = folder.write("a.toml", &file(&ports, self.consul.open().address, class));
        let program = Program::start(&["serve", &path]);
        program.logged("of them take work");
        (program, ports[0])
    }

    fn wait(&self, wait: impl Fn(usize) -> u64) {
        self.destinations.iter().enumerate().for_each(|(i, d)| d.wait.store(wait(i), Ordering::Relaxed));
    }

    fn asked(&self) -> u64 {
        self.destinations.iter().map(|d| d.asked.load(Ordering::Relaxed)).sum()
    }

    fn pass(&self, at: SocketAddr) -> Stretch {
        let (before, over) = (self.asked(), Arc::new(AtomicBool::new(false)));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let over = over.clone();
                std::thread::spawn(move || {
                    let (mut client, mut all) = (Client::connect(at), Vec::new());
                    while !over.load(Ordering::Relaxed) {
                        let begun = Instant::now();
                        let status = client.ask();
                        all.push((status, begun.elapsed().as_secs_f64() * 1e3));
                        std::thread::sleep(Duration::from_millis(PAUSE));
                    }
                    all
                })
            })
            .collect();
        std::thread::sleep(Duration::from_secs(STRETCH));
        over.store(true, Ordering::Relaxed);
        let all: Vec<(u16, f64)> =
            clients.into_iter().flat_map(|c| c.join().expect("no client fails")).collect();
        let mut latencies: Vec<f64> = all.iter().filter(|a| a.0 == 200).map(|a| a.1).collect();
        latencies.sort_by(f64::total_cmp);
        let count = all.len() as f64;
        Stretch {
            served: latencies.len() as f64 / count,
            attempts: (self.asked() - before) as f64 / count,
            latencies,
        }
    }
}

fn main() -> ExitCode {
    let (folder, mut table) = (Folder::new("timing"), Table::default());
    folder.write("loans.json", LOANS);
    let (refused, bad) = refusals(&folder, &free_ports(2));
    table.tell("bad files", bad);
    table.at_least("... refused for their own reason", refused as f64, bad as f64);

    let site = Site {
        consul: Consul::start(),
        destinations: (0..DESTINATIONS).map(|_| Destination::start()).collect(),
    };
    let services = |count: usize| {
        let named = site.destinations[..count].iter().enumerate();
        named.map(|(i, d)| Service::new(&format!("loans-{i}"), d.address)).collect()
    };

    // One destination that never answers: a request ends when its one attempt does.
    site.consul.set_service(11, "loan-server", services(1));
    site.wait(|_| NEVER);
    let mut off = 0.0f64;
    for attempt in [150, 300, 700] {
        let class = format!(
            "repeat = \"safe\"\nwanted_ms = 800\ndeadline_ms = 2500\nattempts = 1\nattempt_ms = {attempt}"
        );
        let (_program, at) = site.program(&folder, &class);
        for _ in 0..5 {
            let begun = Instant::now();
            let asked = site.asked();
            let status = Client::connect(at).ask();
            // One that was refused at once was no attempt.
            if site.asked() > asked {
                assert!(status >= 429, "{status}");
                off = off.max((begun.elapsed().as_secs_f64() * 1e3 - f64::from(attempt)).abs());
            }
        }
    }
    table.at_most("an attempt ends off its time by, ms, at the most", off, 10.0);

    site.consul.set_service(12, "loan-server", services(DESTINATIONS));
    let head = "repeat = \"safe\"\nwanted_ms = 600\ndeadline_ms = 2500\n";
    println!(
        "| destinations | attempts and copies | 50th ms | 99th ms | 99.9th ms | attempts a request | served |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let (mut worst_attempts, mut tails) = (0.0f64, Vec::new());
    for (name, slow, others) in [
        ("one of ten slow", SLOW, QUICK),
        ("one answer in fifty slow", SOMETIMES, SOMETIMES),
        ("all slow", ALL_SLOW, ALL_SLOW),
    ] {
        for (kind, class) in [
            ("one attempt", "attempts = 1"),
            ("nothing stated", ""),
            ("three of 200 ms, copies after 100 ms", "attempts = 3\nattempt_ms = 200\ncopy_after_ms = 100"),
        ] {
            site.wait(|i| if i == 0 { slow } else { others });
            let (_program, at) = site.program(&folder, &format!("{head}{class}"));
            let stretch = site.pass(at);
            let of = |share| percentile(&stretch.latencies, share);
            println!(
                "| {name} | {kind} | {:.0} | {:.0} | {:.0} | {:.3} | {:.3} |",
                of(0.5),
                of(0.99),
                of(0.999),
                stretch.attempts,
                stretch.served
            );
            worst_attempts = worst_attempts.max(stretch.attempts);
            if slow == SOMETIMES {
                tails.push(of(0.99));
            }
            table.at_least(&format!("{name}, {kind}: served share"), stretch.served, 0.95);
        }
    }
    println!();
    // The module's share of further attempts is a tenth of what was let in, and it begins with five.
    table.at_most("attempts a request at the most", worst_attempts, 1.15);
    let name = "99th ms with three attempts against one, one answer in fifty slow";
    table.at_most(name, tails[2] / tails[0], 0.5);
    let fine = table.print();
    println!(
        "proof timing: {refused} of {bad} bad files refused, attempts off by {off:.1} ms at most, {worst_attempts:.3} attempts a request, {}",
        if fine { "all within bounds" } else { "OUT OF BOUNDS" }
    );
    if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
