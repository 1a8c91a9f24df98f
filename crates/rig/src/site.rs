//! Programs, stand-ins and links of one site, and what is done to them.

use crate::checks::Bounds;
use crate::history::{End, Recorder, What, now};
use crate::load::{Client, FREE, LENDERS, Lender, Manner};
use crate::net::{Network, Pairs, Party, Quality};
use crate::process::{LONG, Process, until};
use crate::schedule::{Disk, Form, Has, How, Kind, Schedule};
use crate::stand_ins::{Counter, Discovery, Failing, Loans, target};
use crate::wire;
use stand_in_consul::{Consul, Door, Fault as ConsulFault, Service, Status};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

const SERVICE: &str = "loan-server";
/// Between two looks at whether a program is ready.
const LOOK: Duration = Duration::from_millis(20);
/// The node that the stand-in of Consul names for all.
const NODE: &str = "a";
const ZONES: [&str; 3] = ["a", "b", "c"];
/// ms; an operation of the load is given up after this.
pub const DEADLINE: u64 = 1_000;
/// ms between the rounds of an appliance's duties.
pub const PERIOD: u64 = 500;
/// Units a second, units at once, ceiling a second, ceiling at once.
const PLANS: [(&str, f64, f64, f64, f64); 3] =
    [("basic", 20.0, 40.0, 0.0, 0.0), ("standard", 10.0, 20.0, 20.0, 40.0), ("free", 400.0, 800.0, 0.0, 0.0)];
/// The largest request.
const LARGEST: f64 = 4.0;

fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A program of the site.
struct Member {
    name: String,
    /// 127.x.y.z, its own.
    host: Ipv4Addr,
    /// Its address for clients, as they see it.
    front: SocketAddr,
    folder: PathBuf,
    running: Mutex<Running>,
}

#[derive(Default)]
struct Running {
    process: Option<Process>,
    /// Started beside it, to take its place.
    next: Option<Process>,
    /// Programs so far; each has an operators' door of its own.
    starts: u8,
    /// ms that its wall clock is off.
    clock: i64,
    /// Another one's name, under which it runs.
    name: Option<String>,
    /// Other duties than the usual ones.
    duties: Option<std::ops::Range<usize>>,
    /// What its key file holds: the numbers of keys, the one that seals first. None stands for the first key alone.
    keys: Vec<u64>,
    /// A fault has it: others leave it alone.
    busy: bool,
}

/// Programs, stand-ins and links.
pub struct Site {
    schedule: Schedule,
    build: PathBuf,
    /// What is seen.
    pub recorder: Recorder,
    /// The links.
    pub network: Network,
    parties: HashMap<String, Party>,
    members: Vec<Member>,
    loans: Vec<Loans>,
    consul: Consul,
    /// Agents of Consul, by program.
    doors: Vec<Vec<Door>>,
    counter: Counter,
    discovery: Discovery,
    manner: Manner,
    consul_index: AtomicU64,
    listed: Vec<Service>,
    /// The number of the gossip's key; held while it is changed.
    key: Mutex<u64>,
    texts: Vec<(String, String)>,
    /// Where each program reaches the target of duties.
    targets: Vec<SocketAddr>,
    folder: PathBuf,
    /// Held so that no other site takes the same addresses.
    _lock: TcpListener,
}

/// A second byte of 127.x.y.z that no other site of this machine has, and what holds it.
fn own_net() -> std::io::Result<(u8, TcpListener)> {
    let first = now() as u8;
    for i in 0..=255u8 {
        let net = first.wrapping_add(i).max(2);
        if let Ok(lock) = TcpListener::bind((Ipv4Addr::new(127, net, 0, 1), 7_999)) {
            return Ok((net, lock));
        }
    }
    Err(std::io::Error::other("no free addresses"))
}

impl Site {
    /// Sets all up and starts the programs; they serve when this returns.
    ///
    /// # Errors
    ///
    /// The text says what cannot be had.
    pub fn start(schedule: &Schedule, build: &Path, folder: &Path) -> Result<Arc<Self>, String> {
        let site = Self::set_up(schedule, build, folder).map_err(|e| e.to_string())?;
        for i in 0..site.members.len() {
            site.begin(i)?;
        }
        for (i, member) in site.members.iter().enumerate() {
            if !site.serves(i) {
                return Err(format!("{} does not serve", member.name));
            }
        }
        Ok(site)
    }

    fn set_up(schedule: &Schedule, build: &Path, folder: &Path) -> std::io::Result<Arc<Self>> {
        let (net, lock) = own_net()?;
        let ip = |last: u8, of: u8| Ipv4Addr::new(127, net, of, last);
        let (stand, links) = (IpAddr::V4(ip(1, 200)), ip(1, 201));
        let free = SocketAddr::from((links, 0));
        let recorder = Recorder::default();
        let network = Network::new(schedule.seed);
        let names =
            |prefix: &str, count: usize| (0..count).map(move |i| format!("{prefix}{i}")).collect::<Vec<_>>();
        let (programs, servers) = (names("m", schedule.programs), names("l", schedule.loans));
        let fixed = ["consul", "counter", "discovery", "target", "load"].map(str::to_owned);
        let all = programs.iter().chain(&servers).chain(&fixed);
        let parties: HashMap<String, Party> = all.cloned().enumerate().map(|(i, n)| (n, i)).collect();
        let counter = Counter::default();
        let target_at = target(&network, stand, &recorder)?;
        let consul = Consul::start();
        let loans: Vec<Loans> = servers.iter().map(|n| Loans::new(n, schedule.form, &recorder)).collect();
        // Consul's own record; each program sees an address of its own.
        let recorded = |k: usize| SocketAddr::from((ip(k as u8 + 1, 202), 6_379));
        let listed: Vec<Service> =
            servers.iter().enumerate().map(|(k, n)| Service::new(n, recorded(k))).collect();
        consul.set_service(11, SERVICE, listed.clone());
        let discovery = Discovery::new(&servers);
        let gossip_at = |i: usize| SocketAddr::from((ip(1, i as u8 + 1), 7_946));
        let advertised = (0..programs.len())
            .map(|i| {
                network.sends_from(i, gossip_at(i));
                network.datagrams(i, free, gossip_at(i))
            })
            .collect::<std::io::Result<Vec<_>>>()?;
        let (mut members, mut doors) = (Vec::new(), Vec::new());
        let (mut texts, mut targets) = (Vec::new(), Vec::new());
        for (i, name) in programs.iter().enumerate() {
            let host = ip(1, i as u8 + 1);
            let folder = folder.join(name);
            std::fs::create_dir_all(folder.join("list"))?;
            std::fs::create_dir_all(folder.join("tmp"))?;
            let link = |to: &str, behind| network.stream(i, parties[to], free, behind);
            let agents: Vec<Door> = (0..schedule.has.agents.max(1)).map(|_| consul.open()).collect();
            let mut at = HashMap::new();
            for (k, server) in loans.iter().enumerate() {
                let seen = link(&server.name, server.open(&network, stand, name)?)?;
                agents.iter().for_each(|door| door.translate(recorded(k), seen));
                at.insert(server.name.clone(), seen);
            }
            let consul_links = agents
                .iter()
                .map(|door| link("consul", door.address))
                .collect::<std::io::Result<Vec<_>>>()?;
            let counter_link = link("counter", counter.open(&network, stand, name, &recorder)?)?;
            let (target_link, known) = (link("target", target_at)?, discovery.list(&at).1);
            let told = (network.clone(), parties["discovery"], i);
            let agent = link("discovery", discovery.open(stand, name, at, told, &recorder)?)?;
            let listen = SocketAddr::from((host, 8_080));
            texts.push(match schedule.form {
                Form::Appliance => {
                    let peers: Vec<String> = advertised.iter().map(|a| format!("\"{a}\"")).collect();
                    let peers = peers.join(", ");
                    let gossip = (gossip_at(i), advertised[i], peers.as_str());
                    let at = [listen, SocketAddr::from((host, 8_081)), counter_link];
                    let text = appliance(i, programs.len(), &schedule.has, at, &consul_links, gossip);
                    ("gatekeeper.toml".to_owned(), text)
                }
                Form::Platform => {
                    let at = [listen, agent, counter_link];
                    ("config.json".to_owned(), platform(i, programs.len(), at, &known))
                }
            });
            doors.push(agents);
            targets.push(target_link);
            let front = network.stream(parties["load"], i, free, listen)?;
            let running = Mutex::default();
            members.push(Member { name: name.clone(), host, front, folder, running });
        }
        let manner = Manner {
            form: schedule.form,
            deadline: DEADLINE,
            programs: programs.len(),
            numbers: Arc::new(AtomicU64::new(1)),
        };
        Ok(Arc::new(Self {
            schedule: schedule.clone(),
            build: build.to_owned(),
            recorder,
            network,
            parties,
            members,
            loans,
            consul,
            doors,
            counter,
            discovery,
            manner,
            consul_index: AtomicU64::new(11),
            listed,
            key: Mutex::default(),
            texts,
            targets,
            folder: folder.to_owned(),
            _lock: lock,
        }))
    }

    /// What the rules go by here.
    pub fn bounds() -> Bounds {
        let (_, _, _, rate, burst) = PLANS[1];
        let standard = LENDERS.iter().filter(|l| l.plan == PLANS[1].0);
        Bounds {
            deadline: DEADLINE,
            late: 400,
            ceilings: standard.map(|l| (l.name.to_owned(), (rate, burst, LARGEST))).collect(),
            drain: 1_000,
            agree: 10_000,
            agree_after_loss: 32_000,
            holds: (64 * 1024, 1_024, 96),
        }
    }

    /// Starts the clients of all programs.
    pub fn load(&self, over: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
        if !self.schedule.has.load {
            return Vec::new();
        }
        let starts = (0..self.members.len()).flat_map(|i| {
            crate::load::start(
                || self.client(i),
                self.members.len(),
                over,
                self.schedule.seed + 100 * i as u64,
            )
        });
        starts.collect()
    }

    /// Notes what each program holds.
    pub fn look(&self) {
        for member in &self.members {
            let running = held(&member.running);
            for process in running.process.iter().chain(&running.next) {
                if let Some((kb, files, threads, cpu_ms)) = process.holds() {
                    let who = process.who().to_owned();
                    self.recorder.note(What::Holds { who, kb, files, threads, cpu_ms });
                }
            }
        }
        self.recorder.note(What::Carried { consul: self.consul.counts(), gossip: self.network.gossip() });
    }

    fn door(&self, i: usize, starts: u8) -> SocketAddr {
        let [a, b, c, _] = self.members[i].host.octets();
        SocketAddr::from((Ipv4Addr::new(a, b, c, starts.max(1)), 9_600))
    }

    /// Starts a program; where another one serves, beside it.
    fn spawn(&self, i: usize, running: &mut Running) -> Result<Process, String> {
        let member = &self.members[i];
        running.starts = running.starts % 250 + 1;
        let path = self.write(i, running).map_err(|e| format!("{}: {e}", member.folder.display()))?;
        let started = match self.schedule.form {
            Form::Appliance => {
                Process::start(&member.name, &self.build, &["serve", &path], &[], &self.recorder)
            }
            Form::Platform => {
                let variables = [
                    ("BALANCER_CONFIG", path),
                    ("BALANCER_OPERATOR", self.door(i, running.starts).to_string()),
                    ("TMPDIR", member.folder.join("tmp").display().to_string()),
                ];
                Process::start(&member.name, &self.build, &[], &variables, &self.recorder)
            }
        };
        started.map_err(|e| format!("{}: {e}", self.build.display()))
    }

    /// Writes the files of a program as it is to run now, and brings the path of the one that it is started with.
    fn write(&self, i: usize, running: &Running) -> std::io::Result<String> {
        let member = &self.members[i];
        let (file, text) = &self.texts[i];
        let path = member.folder.join(file);
        let name = running.name.as_ref().unwrap_or(&member.name);
        let duties = running.duties.clone().unwrap_or(0..self.schedule.has.duties);
        let target = self.targets[i];
        let duty = |n: usize| {
            format!(
                "[[duty]]\nname = \"duty-{n}\"\nperiod_ms = {PERIOD}\ntimeout_ms = 400\nurl = \"http://{target}/\"\n"
            )
        };
        let text = text.replace("CLOCK", &running.clock.to_string()).replace("NAME", name);
        let text = text.replace("DUTIES", &duties.map(duty).collect::<String>());
        std::fs::write(&path, text)?;
        let keys = if running.keys.is_empty() { &[0][..] } else { &running.keys };
        let keys: String = keys.iter().map(|number| format!("{:064x}\n", number + 0x0a11)).collect();
        std::fs::write(member.folder.join("cluster.key"), keys)?;
        Ok(path.display().to_string())
    }

    /// Gives these other files and tells them to take them; waits a while until they have.
    fn reload(&self, mine: &[usize], change: impl Fn(&mut Running)) -> Result<(), String> {
        const TAKEN: &str = "reload: ";
        let mut waits = Vec::new();
        for &i in mine {
            let mut running = held(&self.members[i].running);
            change(&mut running);
            self.write(i, &running).map_err(|e| e.to_string())?;
            if let Some(process) = &running.process {
                waits.push((process.listens(), process.listens().count(TAKEN)));
                process.reload();
            }
        }
        // One that is stopped or has ended takes them later, or at its start.
        for (log, before) in waits {
            until(Duration::from_secs(1), LOOK, || log.count(TAKEN) > before);
        }
        Ok(())
    }

    /// Changes the gossip's key in all without a gap; in these first, in the others at the fault's end.
    fn change_keys(&self, first: &[usize], end: &dyn Fn()) -> Result<(), String> {
        let mut key = held(&self.key);
        let (old, new) = (*key, *key + 1);
        let all: Vec<usize> = (0..self.members.len()).collect();
        let rest: Vec<usize> = all.iter().copied().filter(|i| !first.contains(i)).collect();
        self.reload(&all, |running| running.keys = vec![old, new])?;
        self.reload(first, |running| running.keys = vec![new, old])?;
        end();
        self.reload(&rest, |running| running.keys = vec![new, old])?;
        self.reload(&all, |running| running.keys = vec![new])?;
        *key = new;
        Ok(())
    }

    fn begin(&self, i: usize) -> Result<(), String> {
        let mut running = held(&self.members[i].running);
        let process = self.spawn(i, &mut running)?;
        running.process = Some(process);
        Ok(())
    }

    /// Waits until a program says that it serves.
    fn serves(&self, i: usize) -> bool {
        let member = &self.members[i];
        let seen = held(&member.running).process.as_ref().map(Process::listens);
        seen.is_some_and(|s| s.logged("serving "))
    }

    /// Whether the program that was started last says that it is ready.
    fn ready(&self, i: usize) -> bool {
        let starts = held(&self.members[i].running).starts;
        call(self.door(i, starts), "readyz").is_some_and(|reply| reply == "OK\n")
    }

    /// A client of this program.
    pub fn client(&self, i: usize) -> Client {
        let member = &self.members[i];
        Client::new(&self.manner, &member.name, member.front, &self.network, &self.recorder)
    }

    /// Agents of Consul of this program.
    pub fn agents(&self, i: usize) -> &[Door] {
        &self.doors[i]
    }

    /// Loan servers as the catalogue lists them while all is well.
    pub fn listed(&self) -> Vec<Service> {
        self.listed.clone()
    }

    /// The catalogue lists these from now on; brings the time.
    pub fn list(&self, services: Vec<Service>) -> u64 {
        let index = self.consul_index.fetch_add(1, Ordering::Relaxed) + 1;
        let at = now();
        self.consul.set_service(index, SERVICE, services);
        at
    }

    /// The catalogue's index goes on from here, which may be one that it had before.
    pub fn set_index(&self, index: u64) {
        self.consul_index.store(index, Ordering::Relaxed);
    }

    /// What an appliance shows at its status address.
    pub fn status(&self, i: usize) -> String {
        status(SocketAddr::from((self.members[i].host, 8_081)))
    }

    /// What is still apart, in words; empty where all agree.
    pub fn apart(&self) -> String {
        let parts = thread::scope(|scope| {
            let looks: Vec<_> =
                (0..self.members.len()).map(|i| scope.spawn(move || self.apart_at(i))).collect();
            looks.into_iter().map(|l| l.join().unwrap_or_default()).collect::<Vec<_>>()
        });
        parts.into_iter().filter(|p| !p.is_empty()).collect::<Vec<_>>().join("; ")
    }

    fn apart_at(&self, i: usize) -> String {
        let member = &self.members[i];
        let lacks = match self.schedule.form {
            Form::Appliance => self.lacks(&self.status(i)),
            Form::Platform => {
                let starts = held(&member.running).starts;
                let text = call(self.door(i, starts), "telemetry").unwrap_or_default();
                let figure = |name: &str| {
                    text.lines().find_map(|l| l.strip_prefix(name)?.trim().parse::<usize>().ok())
                };
                match (figure("balancer_members "), figure("balancer_members_unavailable ")) {
                    (Some(all), Some(0)) if all == self.loans.len() => None,
                    (Some(all), Some(out)) => Some(format!("{all} loan servers, {out} out")),
                    _ => Some("its door does not answer".into()),
                }
            }
        };
        if let Some(lack) = lacks {
            return format!("{}: {lack}", member.name);
        }
        // A client who was never there before.
        let mut client = self.client(i);
        let probe = Lender { pause: Duration::ZERO, ..FREE };
        match client.ask(&probe) {
            End::Served => String::new(),
            end => format!("{}: a request was {end:?}", member.name),
        }
    }

    /// What an appliance's status lacks.
    fn lacks(&self, status: &str) -> Option<String> {
        if status.is_empty() {
            return Some("no status".into());
        }
        let rest = |name: &str| {
            status
                .lines()
                .find_map(|l| l.strip_prefix("  ")?.strip_prefix(name)?.strip_prefix("  ").map(str::to_owned))
        };
        for member in &self.members {
            let seen = rest(&member.name);
            if !seen.as_deref().is_some_and(|s| s.contains("alive") || s.contains("this instance")) {
                return Some(format!("{} is {}", member.name, seen.unwrap_or("unknown".into())));
            }
        }
        for loans in &self.loans {
            let seen = rest(&format!("{NODE}/{}", loans.name));
            if seen.as_deref().is_none_or(|s| s.contains("no new work") || s.contains("out by its probes")) {
                return Some(format!("{} is {}", loans.name, seen.unwrap_or("unknown".into())));
            }
        }
        (!status.contains("claim store answers")).then(|| "its claim store is away".into())
    }

    /// Numbers of the programs that a fault names.
    fn programs(&self, who: &str) -> Vec<usize> {
        (0..self.members.len()).filter(|&i| is(who, &self.members[i].name)).collect()
    }

    fn loans(&self, who: &str) -> Vec<&Loans> {
        self.loans.iter().filter(|l| is(who, &l.name)).collect()
    }

    /// All ordered pairs between two sides, there and, if so, back.
    fn pairs(&self, from: &str, to: &str, back: bool, quality: Quality) -> Pairs {
        let side = |who: &str| -> Vec<(&String, Party)> {
            // All of a zone against all: clients are in no zone, so that they are cut off only by name.
            let named = self.parties.iter().filter(|(name, _)| is(who, name));
            named.filter(|(name, _)| who == "load" || *name != "load").map(|(n, p)| (n, *p)).collect()
        };
        let mut pairs = Pairs::new();
        for (_, a) in side(from) {
            for (_, b) in side(to) {
                if a != b {
                    pairs.push(((a, b), quality));
                    if back {
                        pairs.push(((b, a), quality));
                    }
                }
            }
        }
        pairs
    }

    /// Programs whose clients may miss an answer while these links are spoilt, and whether sends may arrive late.
    fn spoilt(&self, pairs: &Pairs) -> (Vec<String>, bool) {
        let load = self.parties["load"];
        let programs = self.members.len();
        let loans = programs..programs + self.loans.len();
        let mut hits = Vec::new();
        let mut late = false;
        for ((a, b), _) in pairs {
            for (one, two) in [(*a, *b), (*b, *a)] {
                if one == load && two < programs {
                    hits.push(self.members[two].name.clone());
                }
                late |= one < programs && loans.contains(&two);
            }
        }
        hits.sort();
        hits.dedup();
        (hits, late)
    }

    /// Begins this fault, holds it until `end` returns, and ends it. False where other faults have its programs.
    pub fn play(&self, number: usize, kind: &Kind, end: &dyn Fn()) -> Result<bool, String> {
        let id = number as u64;
        let link = |pairs: Pairs| {
            let (hits, late) = self.spoilt(&pairs);
            self.noted(number, kind, hits, late, || {
                self.network.spoil(id, pairs);
                end();
                self.network.heal(id);
                Ok(())
            })
        };
        let cut = Quality { cut: true, ..Quality::default() };
        match kind {
            Kind::Cut { from, to, one_way } => link(self.pairs(from, to, !one_way, cut)),
            Kind::Closed { from, to } => {
                link(self.pairs(from, to, true, Quality { closed: true, ..Quality::default() }))
            }
            Kind::Spoilt { from, to, reset, loss, repeat, reorder, delay_ms, jitter_ms, bytes_per_s } => {
                let quality = Quality {
                    reset: *reset,
                    loss: *loss,
                    repeat: *repeat,
                    reorder: *reorder,
                    delay: Duration::from_millis(*delay_ms),
                    jitter: Duration::from_millis(*jitter_ms),
                    rate: *bytes_per_s,
                    ..Quality::default()
                };
                link(self.pairs(from, to, true, quality))
            }
            Kind::Flapping { from, to, period_ms } => {
                let pairs = self.pairs(from, to, true, cut);
                let (hits, late) = self.spoilt(&pairs);
                self.noted(number, kind, hits, late, || {
                    let over = AtomicBool::new(false);
                    thread::scope(|scope| {
                        scope.spawn(|| {
                            while !over.load(Ordering::Relaxed) {
                                self.network.spoil(id, pairs.clone());
                                thread::sleep(Duration::from_millis(*period_ms));
                                self.network.heal(id);
                                thread::sleep(Duration::from_millis(*period_ms));
                            }
                        });
                        end();
                        over.store(true, Ordering::Relaxed);
                    });
                    Ok(())
                })
            }
            Kind::Consul { who, how } => {
                let fault = match how {
                    How::Silent => ConsulFault::Silence,
                    How::Slow => ConsulFault::Delay(Duration::from_millis(200)),
                    How::Error => ConsulFault::Status(500),
                    How::Lost => ConsulFault::Lost,
                    How::Cut => ConsulFault::Cut,
                    How::Closed => ConsulFault::Closed,
                    How::Empty => ConsulFault::None,
                };
                self.noted(number, kind, Vec::new(), false, || {
                    if *how == How::Empty {
                        self.consul.restart_empty();
                    }
                    let agents = || self.programs(who).into_iter().flat_map(|i| &self.doors[i]);
                    agents().for_each(|door| door.fail(fault));
                    end();
                    agents().for_each(|door| door.fail(ConsulFault::None));
                    Ok(())
                })
            }
            Kind::Counter { how } => self.noted(number, kind, Vec::new(), false, || {
                if *how == How::Empty {
                    self.counter.empty();
                }
                failing([&self.counter.failing], *how, end);
                Ok(())
            }),
            Kind::Loans { who, how } => self.noted(number, kind, Vec::new(), false, || {
                failing(self.loans(who).iter().map(|l| &l.failing), *how, end);
                Ok(())
            }),
            Kind::Drained { who } => self.noted(number, kind, Vec::new(), false, || {
                self.mark(who, true);
                end();
                self.mark(who, false);
                Ok(())
            }),
            Kind::Keys { who } => {
                let first = self.programs(who);
                self.noted(number, kind, Vec::new(), false, || self.change_keys(&first, end))
            }
            Kind::Killed { who }
            | Kind::Ended { who }
            | Kind::Stopped { who }
            | Kind::Slowed { who }
            | Kind::Clock { who, .. }
            | Kind::Renamed { who, .. }
            | Kind::Duties { who, .. }
            | Kind::Disk { who, .. }
            | Kind::Upgrade { who, .. } => self.play_on(number, kind, who, end),
        }
    }

    fn noted(
        &self,
        number: usize,
        kind: &Kind,
        hits: Vec<String>,
        late: bool,
        act: impl FnOnce() -> Result<(), String>,
    ) -> Result<bool, String> {
        let note = |begins| {
            let (kind, hits) = (kind.name(), hits.clone());
            self.recorder.note(What::Fault { number, kind, begins, hits, late });
        };
        note(true);
        let done = act();
        note(false);
        done.map(|()| true)
    }

    /// Marks loan servers in the catalogue and in the list.
    fn mark(&self, who: &str, drains: bool) {
        let named: Vec<String> = self.loans(who).iter().map(|l| l.name.clone()).collect();
        named.iter().for_each(|name| self.discovery.drain(name, drains));
        let index = self.consul_index.fetch_add(1, Ordering::Relaxed) + 1;
        self.consul.change(|state| {
            for service in state.services.get_mut(SERVICE).into_iter().flatten() {
                if named.contains(&service.id) {
                    service.status = if drains { Status::Critical } else { Status::Passing };
                }
            }
            state.services_index = index;
        });
    }

    /// A fault of programs.
    fn play_on(&self, number: usize, kind: &Kind, who: &str, end: &dyn Fn()) -> Result<bool, String> {
        let mine: Vec<usize> = self.programs(who);
        let mine: Vec<usize> = mine
            .into_iter()
            .filter(|&i| {
                let mut running = held(&self.members[i].running);
                !std::mem::replace(&mut running.busy, true)
            })
            .collect();
        if mine.is_empty() {
            return Ok(false);
        }
        // An orderly end, a full disk and an upgrade that goes well take nobody's answer away.
        let whole = matches!(kind, Kind::Ended { .. })
            || matches!(kind, Kind::Disk { how: Disk::Full | Disk::Lost | Disk::ReadOnly, .. })
            || matches!(kind, Kind::Clock { running: true, .. } | Kind::Duties { .. })
            || matches!(kind, Kind::Upgrade { new_dies_after_us: None, old_dies_after_us: None, .. });
        let names: Vec<String> = mine.iter().map(|&i| self.members[i].name.clone()).collect();
        let hits = if whole { Vec::new() } else { names };
        let done = self.noted(number, kind, hits, false, || self.act_on(kind, &mine, end));
        mine.iter().for_each(|&i| held(&self.members[i].running).busy = false);
        done
    }

    fn each(&self, mine: &[usize], act: impl Fn(&Process)) {
        mine.iter().for_each(|&i| held(&self.members[i].running).process.iter().for_each(&act));
    }

    /// Starts these anew and waits until they serve.
    fn again(&self, mine: &[usize]) -> Result<(), String> {
        for &i in mine {
            self.begin(i)?;
        }
        mine.iter().try_for_each(|&i| {
            let serves = self.serves(i);
            serves.then_some(()).ok_or_else(|| format!("{} does not serve again", self.members[i].name))
        })
    }

    fn act_on(&self, kind: &Kind, mine: &[usize], end: &dyn Fn()) -> Result<(), String> {
        match kind {
            Kind::Killed { .. } => {
                self.each(mine, Process::kill);
                end();
                self.again(mine)
            }
            Kind::Ended { .. } => {
                self.each(mine, Process::end);
                end();
                self.each(mine, Process::has_ended_in_order);
                self.again(mine)
            }
            Kind::Stopped { .. } => {
                self.each(mine, Process::stop);
                end();
                self.each(mine, Process::go_on);
                Ok(())
            }
            Kind::Slowed { .. } => {
                self.each(mine, Process::slow_down);
                end();
                self.each(mine, Process::go_on);
                Ok(())
            }
            Kind::Clock { ms, running: true, .. } => {
                self.reload(mine, |running| running.clock = *ms)?;
                end();
                self.reload(mine, |running| running.clock = 0)
            }
            Kind::Duties { first, count, .. } => {
                self.reload(mine, |running| running.duties = Some(*first..*first + *count))?;
                end();
                self.reload(mine, |running| running.duties = None)
            }
            Kind::Renamed { name, .. } => {
                let set = |name: Option<&String>| {
                    self.each(mine, Process::kill);
                    mine.iter().for_each(|&i| held(&self.members[i].running).name = name.cloned());
                    self.again(mine)
                };
                set(Some(name))?;
                end();
                set(None)
            }
            Kind::Clock { ms, .. } => {
                let set = |ms: i64| {
                    self.each(mine, Process::kill);
                    mine.iter().for_each(|&i| held(&self.members[i].running).clock = ms);
                    self.again(mine)
                };
                set(*ms)?;
                end();
                set(0)
            }
            Kind::Disk { how, .. } => self.spoil_disk(*how, mine, end),
            Kind::Upgrade { new_dies_after_us, old_dies_after_us, .. } => {
                self.upgrade(mine, *new_dies_after_us, *old_dies_after_us, end)
            }
            _ => Ok(()),
        }
    }

    fn spoil_disk(&self, how: Disk, mine: &[usize], end: &dyn Fn()) -> Result<(), String> {
        let folder = |i: usize| self.members[i].folder.join("list");
        match how {
            Disk::Torn(part) => {
                self.each(mine, Process::kill);
                for &i in mine {
                    let file = folder(i).join("loans.list");
                    if let Ok(bytes) = std::fs::read(&file) {
                        let most = bytes.len() * part.min(1_000) as usize / 1_000;
                        std::fs::write(&file, &bytes[..most]).map_err(|e| e.to_string())?;
                    }
                }
                self.again(mine)?;
                end();
                Ok(())
            }
            Disk::Lost | Disk::ReadOnly => {
                let aside = |i: usize| self.members[i].folder.join("list.aside");
                let text = |e: std::io::Error| e.to_string();
                for &i in mine {
                    std::fs::rename(folder(i), aside(i)).map_err(text)?;
                    if how == Disk::ReadOnly {
                        // A file system that takes no new file from anybody.
                        std::os::unix::fs::symlink("/proc", folder(i)).map_err(text)?;
                    }
                }
                end();
                for &i in mine {
                    if how == Disk::ReadOnly {
                        std::fs::remove_file(folder(i)).map_err(text)?;
                    }
                    std::fs::rename(aside(i), folder(i)).map_err(text)?;
                }
                Ok(())
            }
            Disk::Full => {
                let over = AtomicBool::new(false);
                thread::scope(|scope| {
                    scope.spawn(|| {
                        while !over.load(Ordering::Relaxed) {
                            for &i in mine {
                                let number =
                                    held(&self.members[i].running).process.as_ref().map(Process::number);
                                // What the program writes beside its list goes where nothing can be written.
                                let beside = number.map(|n| folder(i).join(format!("loans.{n}.new")));
                                let _ = beside.map(|b| std::os::unix::fs::symlink("/dev/full", b));
                            }
                            thread::sleep(Duration::from_millis(5));
                        }
                    });
                    end();
                    over.store(true, Ordering::Relaxed);
                });
                Ok(())
            }
        }
    }

    fn upgrade(
        &self,
        mine: &[usize],
        new_dies: Option<u64>,
        old_dies: Option<u64>,
        end: &dyn Fn(),
    ) -> Result<(), String> {
        let after = |us: u64| thread::sleep(Duration::from_micros(us));
        for &i in mine {
            let mut running = held(&self.members[i].running);
            running.next = Some(self.spawn(i, &mut running)?);
        }
        if let Some(us) = new_dies {
            after(us);
            for &i in mine {
                let mut running = held(&self.members[i].running);
                // Its door is the one to call again.
                running.starts -= 1;
                drop(running.next.take());
            }
            end();
            return Ok(());
        }
        if let Some(us) = old_dies {
            after(us);
            self.each(mine, Process::kill);
        } else if !mine.iter().all(|&i| until(LONG, LOOK, || self.ready(i))) {
            return Err("the new program of an upgrade is not ready".into());
        }
        end();
        self.each(mine, Process::end);
        self.each(mine, Process::has_ended_in_order);
        for &i in mine {
            let mut running = held(&self.members[i].running);
            running.process = running.next.take();
        }
        let serve = mine.iter().all(|&i| self.serves(i) && until(LONG, LOOK, || self.ready(i)));
        serve.then_some(()).ok_or_else(|| "the new program of an upgrade does not serve".into())
    }

    /// Tells all programs to end in order and waits for that.
    pub fn end(&self) {
        let all: Vec<usize> = (0..self.members.len()).collect();
        self.each(&all, Process::end);
        self.each(&all, Process::has_ended_in_order);
        all.iter().for_each(|&i| drop(held(&self.members[i].running).process.take()));
        self.network.end();
        self.consul.stop();
        self.doors.iter().flatten().for_each(|door| drop(TcpStream::connect(door.address)));
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    /// Calls of the counter so far.
    pub fn counter_calls(&self) -> u64 {
        self.counter.calls()
    }
}

/// These fail for as long as `end` takes.
fn failing<'a>(them: impl IntoIterator<Item = &'a Failing> + Clone, how: How, end: &dyn Fn()) {
    them.clone().into_iter().for_each(|f| *held(f) = Some(how));
    end();
    them.into_iter().for_each(|f| *held(f) = None);
}

/// The zone of a party, if it is in one.
fn zone(party: &str) -> Option<&'static str> {
    let number = |prefix: char| party.strip_prefix(prefix)?.parse::<usize>().ok();
    match number('m').or_else(|| number('l')) {
        Some(i) => Some(ZONES[i % ZONES.len()]),
        None if party == "load" => None,
        None => Some(ZONES[0]),
    }
}

/// Whether a fault that names this means that party.
fn is(named: &str, party: &str) -> bool {
    match named.split_once(':') {
        Some(("zone", name)) => zone(party) == Some(name),
        Some(("region", "north")) => matches!(zone(party), Some("a" | "b")),
        Some(("region", "south")) => zone(party) == Some("c"),
        _ => named == "*" || named == party,
    }
}

fn appliance(
    i: usize,
    programs: usize,
    has: &Has,
    [listen, status, counter]: [SocketAddr; 3],
    agents: &[SocketAddr],
    (gossip, advertise, peers): (SocketAddr, SocketAddr, &str),
) -> String {
    let plan = |(name, rate, burst, ceiling, at_once): (&str, f64, f64, f64, f64)| {
        format!(
            "[[plan]]\nname = \"{name}\"\nunits_per_second = {rate:?}\nburst = {burst:?}\n\
             ceiling_per_second = {ceiling:?}\nceiling_burst = {at_once:?}\n"
        )
    };
    let lender = |l: Lender| format!("[[lender]]\nname = \"{}\"\nplan = \"{}\"\n", l.name, l.plan);
    let (consul, others) = (agents[0], &agents[1..]);
    let others: Vec<String> = others.iter().map(|a| format!("\"{a}\"")).collect();
    format!(
        "listen = \"{listen}\"\nstatus = \"{status}\"\ndescriptions = [\"../loans.json\"]\nlender_header = \"X-Lender\"\n\
         [consul]\naddress = \"{consul}\"\nagents = [{}]\nservice = \"{SERVICE}\"\nwait_ms = 2000\nlist_file = \"list/loans.list\"\n\
         [quota]\ngatekeepers = {programs}\nnumber = {i}\ncounter = \"{counter}\"\n\
         [cluster]\nname = \"NAME\"\nlisten = \"{gossip}\"\nadvertise = \"{advertise}\"\npeers = [{peers}]\n\
         key_file = \"cluster.key\"\nstandbys = {}\nskew_ms = 300\nstore_timeout_ms = 150\nclock_offset_ms = CLOCK\n\
         {}[[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 400\ndeadline_ms = {DEADLINE}\n{}{}DUTIES",
        others.join(", "),
        has.standbys,
        if has.probes { PROBE } else { "" },
        PLANS.map(plan).concat(),
        LENDERS.map(lender).concat(),
    )
}

/// The description that all appliances serve.
pub const LOANS: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"paths":{
  "/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}},
  "/loans/history":{"get":{"x-snowfield-units":4,"x-snowfield-class":"lookup","responses":{}}}}}"#;

/// Writes what the files of all programs name.
///
/// # Errors
///
/// The folder cannot be written.
pub fn common_files(folder: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("loans.json"), LOANS)
}

fn platform(i: usize, programs: usize, [listen, agent, counter]: [SocketAddr; 3], known: &str) -> String {
    let plan = |(name, rate, burst, ceiling, at_once): (&str, f64, f64, f64, f64)| {
        format!(
            r#"{{"name":"{name}","per-second":{rate:?},"depth":{burst:?},"ceiling-rate":{ceiling:?},"ceiling-burst":{at_once:?}}}"#
        )
    };
    format!(
        r#"{{"name":"m{i}","listen":"{listen}","discovery":"{agent}","seed":"8c1f30d27a5be964","counter":"{counter}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
        "settings":{{"balancers":{programs},"me":{i},"tick-us":4000,"zone":0,"localities":["z"],"kinds":["m"],
        "bounds":{{"cancel":true,"connect-timeout-us":250000,"keepalive-us":30000000,"max-attempts":3,
        "max-retry-after-us":1000000,"retry-after":true,"second-copies":true}},
        "classes":[{{"name":"lookup","goal-time-us":400000,"deadline-us":{deadline},"effect":"read_like","group":"all"}}],
        "contracts":[{plans}],
        "report":{{"columns":["active","waiting","avg_ms"],"how":"inline"}},
        "specifics":{{"may-count":true,"count-wait-us":30000,"largest":4}}}}}}"#,
        deadline = DEADLINE * 1_000,
        plans = PLANS.map(plan).join(","),
    )
}

const PROBE: &str = "[probe]\npath = \"/health\"\nperiod_ms = 1000\ntimeout_ms = 300\n";

/// The body that a status address answers with; empty where nobody does.
fn status(at: SocketAddr) -> String {
    let ask = || -> Option<wire::Message> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(format!("GET / HTTP/1.1\r\nHost: {at}\r\n\r\n").as_bytes()).ok()?;
        wire::message(&mut BufReader::new(stream))
    };
    ask().map_or(String::new(), |m| String::from_utf8_lossy(&m.body).into_owned())
}

/// An operator's call and its whole reply.
fn call(door: SocketAddr, line: &str) -> Option<String> {
    let mut caller = TcpStream::connect_timeout(&door, Duration::from_secs(1)).ok()?;
    caller.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    caller.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut reply = String::new();
    caller.read_to_string(&mut reply).ok()?;
    Some(reply)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_fault_names_parties_zones_and_regions() {
        assert!(is("m4", "m4") && !is("m4", "m1"));
        assert!(is("zone:b", "m4") && is("zone:b", "l1") && !is("zone:b", "counter"));
        assert!(is("region:south", "m2") && is("region:north", "consul") && !is("region:south", "load"));
        assert!(is("*", "load"));
    }
}
