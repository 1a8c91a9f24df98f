//! The list of destinations through Consul's faults: the real program, a stand-in of Consul with two agents, 12 loopback
//! destinations under steady load. For each drain the time of the word and of the last request begun there.

use proofs::{Folder, Program, Table, free_ports, percentile, status};
use stand_in_consul::{Consul, Door, Fault, Service, Status};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

const DESTINATIONS: usize = 12;
const CLIENTS: usize = 6;
/// Seconds that each kind of outage lasts.
const OUTAGE: f64 = 30.0;
/// Seconds of flapping, one flap a second.
const FLAPS: u32 = 60;

/// A destination that notes when each request begins, and can die and come back at its address.
struct Destination {
    address: SocketAddr,
    begun: Arc<Mutex<Vec<f64>>>,
    alive: Arc<AtomicBool>,
}

impl Destination {
    fn start(start: Instant) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (begun, alive) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(true)));
        let (seen, lives) = (begun.clone(), alive.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (seen, lives) = (seen.clone(), lives.clone());
                std::thread::spawn(move || serve(&stream, start, &seen, &lives));
            }
        });
        Self { address, begun, alive }
    }

    fn since(&self, at: f64) -> Vec<f64> {
        self.begun
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
            .copied()
            .filter(|t| *t > at)
            .collect()
    }
}

fn serve(stream: &TcpStream, start: Instant, seen: &Mutex<Vec<f64>>, alive: &AtomicBool) {
    let Ok(mut answers) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(n) if n > 0 => {}
            _ => return,
        }
        let at = start.elapsed().as_secs_f64();
        // A dead one: whoever comes is cut off without a word.
        if !alive.load(Ordering::Relaxed) {
            return;
        }
        while line.trim() != "" {
            line.clear();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
        }
        seen.lock().unwrap_or_else(PoisonError::into_inner).push(at);
        sleep(Duration::from_millis(2));
        if answers.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Final answers of all clients: when and with what status; 0 for a connection that ended without.
type Answers = Arc<Mutex<Vec<(f64, u16)>>>;

fn client(to: Arc<Mutex<SocketAddr>>, start: Instant, answers: Answers, over: Arc<AtomicBool>) {
    let mut stream: Option<BufReader<TcpStream>> = None;
    while !over.load(Ordering::Relaxed) {
        let at = *to.lock().unwrap_or_else(PoisonError::into_inner);
        let reused = stream.is_some();
        let mut status = ask(&mut stream, at);
        if status == Some(0) {
            stream = None;
            // A kept connection may be closed just as a request goes out; it is sent once more (RFC 9112, section 9.3.1).
            if reused {
                status = ask(&mut stream, at);
            }
        }
        if let Some(status) = status {
            answers
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push((start.elapsed().as_secs_f64(), status));
        }
        sleep(Duration::from_millis(6));
    }
}

/// `None` where the program is not there at all.
fn ask(stream: &mut Option<BufReader<TcpStream>>, at: SocketAddr) -> Option<u16> {
    if stream.is_none() {
        let made = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
        made.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        *stream = Some(BufReader::new(made));
    }
    let reader = stream.as_mut()?;
    let request = b"GET /loans HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\n\r\n";
    if reader.get_mut().write_all(request).is_err() {
        return Some(0);
    }
    let (mut status, mut length, mut line) = (0, 0, String::new());
    loop {
        line.clear();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return Some(0);
        }
        let text = line.trim().to_ascii_lowercase();
        if status == 0 {
            status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        } else if let Some(value) = text.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        } else if text.is_empty() {
            let mut body = vec![0; length];
            return Some(if reader.read_exact(&mut body).is_ok() { status } else { 0 });
        }
    }
}

struct Site {
    start: Instant,
    folder: Folder,
    consul: Consul,
    doors: Vec<Door>,
    destinations: Vec<Destination>,
    listen: SocketAddr,
    status: SocketAddr,
    program: Program,
    answers: Answers,
    index: AtomicU64,
}

impl Site {
    fn new() -> Self {
        let start = Instant::now();
        let consul = Consul::start();
        let doors = vec![consul.open(), consul.open()];
        let destinations: Vec<_> = (0..DESTINATIONS).map(|_| Destination::start(start)).collect();
        let ports = free_ports(2);
        let folder = Folder::new("proof-catalogue");
        folder.write(
            "loans.json",
            r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"paths":{"/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}}}}"#,
        );
        let file = folder.write(
            "a.toml",
            &format!(
                "listen = \"{}\"\nstatus = \"{}\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
                 [consul]\naddress = \"{}\"\nagents = [\"{}\"]\nservice = \"loan-server\"\nwait_ms = 2000\n\
                 list_file = \"list\"\nsudden_hold_ms = 6000\n\
                 [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 600\ndeadline_ms = 2500\n\
                 [[plan]]\nname = \"basic\"\nunits_per_second = 100000.0\nburst = 400000.0\n\
                 [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n",
                ports[0], ports[1], doors[0].address, doors[1].address
            ),
        );
        consul.set_service(11, "loan-server", all(&destinations));
        let program = Program::start(&["serve", &file]);
        program.logged("instances, 12 of them take work");
        Self {
            start,
            folder,
            consul,
            doors,
            destinations,
            listen: ports[0],
            status: ports[1],
            program,
            answers: Answers::default(),
            index: AtomicU64::new(11),
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Tells a list and brings the time of the word.
    fn tell(&self, list: Vec<Service>) -> f64 {
        let index = self.index.fetch_add(1, Ordering::Relaxed) + 1;
        let at = self.now();
        self.consul.set_service(index, "loan-server", list);
        at
    }

    fn pass(&self, seconds: f64) -> (f64, f64) {
        let from = self.now();
        sleep(Duration::from_secs_f64(seconds));
        (from, self.now())
    }

    fn fail(&self, fault: Fault) {
        self.doors.iter().for_each(|door| door.fail(fault));
    }

    /// The share of final answers in a stretch that were served, and how many there were.
    fn served(&self, (from, to): (f64, f64)) -> (f64, usize) {
        let answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        let here: Vec<u16> = answers.iter().filter(|a| a.0 >= from && a.0 < to).map(|a| a.1).collect();
        let served = here.iter().filter(|s| **s == 200).count();
        (served as f64 / here.len().max(1) as f64, here.len())
    }

    fn lost(&self) -> usize {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner).iter().filter(|a| a.1 == 0).count()
    }
}

fn all(destinations: &[Destination]) -> Vec<Service> {
    destinations.iter().enumerate().map(|(i, d)| Service::new(&format!("loans-{i}"), d.address)).collect()
}

fn main() -> ExitCode {
    let mut table = Table::default();
    let mut site = Site::new();
    let over = Arc::new(AtomicBool::new(false));
    let to = Arc::new(Mutex::new(site.listen));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (to, answers, over, start) = (to.clone(), site.answers.clone(), over.clone(), site.start);
            std::thread::spawn(move || client(to, start, answers, over))
        })
        .collect();
    site.pass(2.0);
    let calm = site.pass(5.0);
    let (calm_share, calm_answers) = site.served(calm);

    // Drains of every kind, one after the other.
    let mut lags = Vec::new();
    let full = || all(&site.destinations);
    for (turn, kind) in
        ["critical", "maintenance", "node down", "warning", "gone"].iter().cycle().take(20).enumerate()
    {
        let i = turn % DESTINATIONS;
        let mut list = full();
        match *kind {
            "critical" => list[i].status = Status::Critical,
            "maintenance" => list[i].maintenance = true,
            "node down" => list[i].node_well = false,
            "warning" => list[i].status = Status::Warning,
            _ => drop(list.remove(i)),
        }
        let word = site.tell(list);
        site.pass(0.5);
        lags.push(site.destinations[i].since(word).last().map_or(0.0, |last| last - word));
        site.tell(full());
        site.pass(0.1);
    }
    lags.sort_by(f64::total_cmp);
    // All are back for good before anything else; their holds for flaps run out.
    site.pass(1.0);

    // Outages of three kinds, in each of which two destinations die for real.
    let mut shares = Vec::new();
    for (kind, fault) in
        [("silent", Fault::Silence), ("refusing", Fault::Closed), ("answering 500", Fault::Status(500))]
    {
        site.fail(fault);
        site.pass(1.0);
        let dead = [shares.len() * 2, shares.len() * 2 + 1];
        dead.iter().for_each(|&i| site.destinations[i].alive.store(false, Ordering::Relaxed));
        let stretch = site.pass(OUTAGE);
        shares.push((kind, site.served(stretch).0));
        dead.iter().for_each(|&i| site.destinations[i].alive.store(true, Ordering::Relaxed));
        site.fail(Fault::None);
        site.pass(6.0);
    }

    // The first agent alone is away: the second is asked.
    site.doors[0].fail(Fault::Closed);
    site.pass(3.0);
    let mut list = full();
    list[7].status = Status::Critical;
    let word = site.tell(list);
    site.pass(1.5);
    let failover = site.destinations[7].since(word).last().map_or(0.0, |last| last - word);
    site.doors[0].fail(Fault::None);
    site.tell(full());
    site.pass(1.0);

    // A flap every second, on one and on a third of the fleet.
    let mut moved = Vec::new();
    for flapping in [vec![8], vec![8, 9, 10, 11]] {
        // What was logged before is not counted.
        site.program.lines();
        let from = site.now();
        for second in 0..FLAPS {
            let mut list = full();
            if second % 2 == 0 {
                flapping.iter().for_each(|&i| list[i].status = Status::Critical);
            }
            site.tell(list);
            site.pass(1.0);
        }
        let lines = site.program.lines();
        let turns =
            lines.iter().filter(|l| l.contains("takes work") || l.contains("takes no work: it is c")).count();
        moved.push((flapping.len(), turns as f64 / flapping.len() as f64, site.served((from, site.now())).0));
        site.tell(full());
    }

    // The catalogue wiped and restored.
    let wiped_at = site.tell(Vec::new());
    site.pass(3.0);
    site.tell(full());
    let restored = site.pass(2.0);
    let wiped = site.served((wiped_at, restored.1));

    // A body cut in the middle, and an index that goes back.
    site.fail(Fault::Cut);
    let cut = site.pass(2.0);
    site.fail(Fault::None);
    site.index.store(3, Ordering::Relaxed);
    site.tell(full());
    let index_back = site.pass(2.0);

    // An instance replaced at the same address.
    let mut list = full();
    list[0] = Service::new("loans-new", site.destinations[0].address);
    let replaced_at = site.tell(list);
    site.pass(2.0);
    let replaced = site.destinations[0].since(replaced_at + 1.0).len();

    // Weights 1 to 3.
    let mut list = full();
    list[0].id = "loans-new".into();
    list.iter_mut().enumerate().for_each(|(i, s)| s.weights = (i as u32 % 3 + 1, 1));
    site.tell(list.clone());
    site.pass(1.0);
    let weighed = site.pass(5.0);
    let mut by_weight = [0.0; 3];
    for (i, destination) in site.destinations.iter().enumerate() {
        by_weight[i % 3] += destination.since(weighed.0).len() as f64;
    }

    // A restart while Consul is away.
    site.tell(full());
    site.pass(2.0);
    site.fail(Fault::Silence);
    site.pass(0.5);
    site.program.signal("-TERM");
    site.program.wait();
    let file = site.folder.0.join("a.toml").display().to_string();
    let restarted = site.now();
    site.program = Program::start(&["serve", &file]);
    let said = site.program.logged("the list on disk serves until Consul answers: ");
    let outage = site.pass(4.0);
    let answers = site.answers.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let first_served =
        answers.iter().find(|a| a.0 > restarted && a.1 == 200).map_or(f64::INFINITY, |a| a.0 - restarted);
    let served_from_disk = site.served((restarted + first_served, outage.1)).0;
    let shown = status(site.status);
    site.fail(Fault::None);
    site.pass(2.0);
    // An altered file is refused.
    site.fail(Fault::Silence);
    site.program.signal("-TERM");
    site.program.wait();
    let list_file = site.folder.0.join("list");
    let mut text = std::fs::read_to_string(&list_file).unwrap_or_default();
    text = text.replacen("127.0.0.1", "127.0.0.2", 1);
    let _ = std::fs::write(&list_file, text);
    site.program = Program::start(&["serve", &file]);
    let refused = site.program.logged("is not used: ");
    site.fail(Fault::None);
    site.program.logged("take work");
    site.pass(2.0);
    over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    // Sizes, and memory over replaced ids: the many take no work.
    let crowd = |turn: usize, count: usize| -> Vec<Service> {
        let mut list = all(&site.destinations);
        list.extend((0..count).map(|i| {
            let at = SocketAddr::from(([127, 1, (i >> 8) as u8, i as u8], 80));
            Service::new(&format!("c{turn}-{i}"), at).with(Status::Critical)
        }));
        list
    };
    let mut sizes = Vec::new();
    for count in [0, 500, 5_000] {
        site.tell(crowd(0, count));
        site.pass(1.0);
        let before = site.program.used().0;
        let from = site.now();
        // Fifty changes a second, of one instance each.
        for turn in 0..150 {
            let mut list = crowd(0, count);
            list[turn % DESTINATIONS].meta.insert("turn".into(), turn.to_string());
            site.tell(list);
            site.pass(0.02);
        }
        let cpu = (site.program.used().0 - before) / (site.now() - from);
        sizes.push((count + DESTINATIONS, cpu, site.program.used().1));
    }
    site.tell(crowd(0, 0));
    site.pass(2.0);
    let memory_before = site.program.used().1;
    for turn in 1..=50 {
        site.tell(crowd(turn, 2_000));
        site.pass(0.15);
    }
    site.tell(crowd(0, 0));
    site.pass(3.0);
    let memory_after = site.program.used().1;

    table.tell("size", format!("{DESTINATIONS} destinations, {CLIENTS} clients, {:.0} s", site.now()));
    table.tell("answers a second, calm", format!("{:.0}", calm_answers as f64 / (calm.1 - calm.0)));
    table.at_least("served share, calm", calm_share, 0.999);
    table.tell(
        "last request begun after the word of a drain, s: median of 20",
        format!("{:.4}", percentile(&lags, 0.5)),
    );
    table.at_most("... worst, s", percentile(&lags, 1.0), 1.0);
    table.at_most("... through the second agent, s", failover, 1.0);
    for (kind, share) in &shares {
        // Two of twelve are really dead; what is tried there is tried elsewhere.
        table.at_least(
            &format!("served share while Consul is {kind} and 2 of 12 die"),
            *share,
            calm_share - 2.0 / 12.0,
        );
    }
    for (count, turns, share) in &moved {
        table.at_most(&format!("{count} flapping each second for {FLAPS} s: turns of each"), *turns, 8.0);
        table.at_least("... served share", *share, calm_share - 0.01);
    }
    table.at_least("served share, catalogue wiped for 3 s", wiped.0, calm_share - 0.001);
    table.at_least("served share, bodies cut", site.served(cut).0, calm_share - 0.001);
    table.at_least("served share, index going back", site.served(index_back).0, calm_share - 0.001);
    table.at_least("requests at an address whose instance was replaced", replaced as f64, 1.0);
    table.tell("requests by weight 1, 2, 3", format!("{:?}", by_weight.map(|n| n as u64)));
    table.at_least("weight 3 against 1", by_weight[2] / by_weight[0].max(1.0), 2.4);
    table.at_most("weight 3 against 1, at most", by_weight[2] / by_weight[0].max(1.0), 3.6);
    table.tell("restart while Consul is silent: the log says", said);
    table.at_most("... first served after, s", first_served, 2.0);
    table.at_least("... served share from then on", served_from_disk, 0.999);
    table.at_least("... the status says so", f64::from(u8::from(shown.contains("the list on disk"))), 1.0);
    table.tell("an altered file is refused", refused);
    table.at_most("requests without a final answer", site.lost() as f64, 0.0);
    for (count, cpu, memory) in &sizes {
        table.tell(
            &format!("{count} instances, 50 changes a second"),
            format!("{:.1}% of a core, {memory} kB", cpu * 100.0),
        );
    }
    table
        .tell("memory before and after 100,000 replaced ids, kB", format!("{memory_before}, {memory_after}"));
    table.at_most("... growth, kB", memory_after as f64 - memory_before as f64, 20_000.0);
    let fine = table.print();
    println!(
        "proof catalogue: drains {:.4} s at worst, weight 3:1 as {:.2}, served {:.4} at least in outages, {}",
        percentile(&lags, 1.0),
        by_weight[2] / by_weight[0].max(1.0),
        shares.iter().map(|s| s.1).fold(1.0, f64::min),
        if fine { "all within bounds" } else { "OUT OF BOUNDS" }
    );
    if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
