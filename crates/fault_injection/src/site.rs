//! Programs, stand-ins and links of one site. What is done to them is in `faults`, the programs' files in `files`.

mod faults;
mod files;

pub use files::{LOANS, common_files};
use files::{appliance, platform};

use crate::builds::Builds;
use crate::checks::Bounds;
use crate::history::{Observation, Outcome, Recorder, now_us};
use crate::load::{Client, FREE, LENDERS, Lender, Manner};
use crate::net::{Network, Pairs, Party, Quality};
use crate::process::{LONG, Process, until};
use crate::schedule::{DiskFault, FailureMode, FaultKind, Form, MAX_NODES, Schedule, SiteOptions};
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
/// The port at which programs serve clients.
const FRONT: u16 = 8_080;
/// The port at which voters take words in.
const AGREED: u16 = 7_947;
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
    builds: Builds,
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
    let first = now_us() as u8;
    for i in 0..=255u8 {
        let net = first.wrapping_add(i).max(2);
        let Ok(lock) = TcpListener::bind((Ipv4Addr::new(127, net, 0, 1), 7_999)) else { continue };
        // Programs outlive a rig that was killed, and share their port with whoever is started at their address: their answers
        // once were taken for those of the new ones.
        let left =
            (1..=MAX_NODES as u8).any(|i| TcpListener::bind((Ipv4Addr::new(127, net, i, 1), FRONT)).is_err());
        if !left {
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
    pub fn start(schedule: &Schedule, builds: impl Into<Builds>, folder: &Path) -> Result<Arc<Self>, String> {
        let site = Self::set_up(schedule, builds.into(), folder).map_err(|e| e.to_string())?;
        for i in 0..schedule.options.replicas {
            let file = site.write(i, &Running::default()).map_err(|e| e.to_string())?;
            let (code, said) = site.run(i, &["settings", "begin", &file])?;
            if code != 0 {
                return Err(said);
            }
        }
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

    fn set_up(schedule: &Schedule, builds: Builds, folder: &Path) -> std::io::Result<Arc<Self>> {
        let (net, lock) = own_net()?;
        let ip = |last: u8, of: u8| Ipv4Addr::new(127, net, of, last);
        let (stand, links) = (IpAddr::V4(ip(1, 200)), ip(1, 201));
        let free = SocketAddr::from((links, 0));
        let recorder = Recorder::default();
        let network = Network::new(schedule.seed);
        let names =
            |prefix: &str, count: usize| (0..count).map(move |i| format!("{prefix}{i}")).collect::<Vec<_>>();
        let (programs, servers) = (names("m", schedule.gatekeepers), names("l", schedule.backends));
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
            let agents: Vec<Door> =
                (0..schedule.options.consul_agents.max(1)).map(|_| consul.open()).collect();
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
            let voters = (0..schedule.options.replicas).map(|v| {
                // A voter is reached at its own address by nobody but itself.
                let behind = SocketAddr::from((ip(1, v as u8 + 1), AGREED));
                let at = if v == i { Ok(behind) } else { network.stream(i, v, free, behind) };
                at.map(|at| format!("{{ name = \"m{v}\", address = \"{at}\" }}"))
            });
            let voters = voters.collect::<std::io::Result<Vec<_>>>()?;
            let (target_link, known) = (link("target", target_at)?, discovery.list(&at).1);
            let told = (network.clone(), parties["discovery"], i);
            let agent = link("discovery", discovery.open(stand, name, at, told, &recorder)?)?;
            let listen = SocketAddr::from((host, FRONT));
            texts.push(match schedule.form {
                Form::Appliance => {
                    let peers: Vec<String> = advertised.iter().map(|a| format!("\"{a}\"")).collect();
                    let peers = peers.join(", ");
                    let gossip = (gossip_at(i), advertised[i], peers.as_str());
                    let at = [listen, SocketAddr::from((host, 8_081)), counter_link];
                    let mut text = appliance(i, programs.len(), &schedule.options, at, &consul_links, gossip);
                    if !voters.is_empty() {
                        let listen = SocketAddr::from((host, AGREED));
                        let listen =
                            if i < voters.len() { format!("listen = \"{listen}\"\n") } else { String::new() };
                        text += &format!("[agreed]\n{listen}voters = [{}]\n", voters.join(", "));
                    }
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
            builds,
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
            // T is 3 s. With leases two contradict each other for no longer than a thread takes to be woken.
            apart: 250,
            holds: (64 * 1024, 1_024, 96),
        }
    }

    /// Starts the clients of all programs.
    pub fn load(&self, over: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
        if !self.schedule.options.load {
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
                    self.recorder.record(Observation::ResourceUse {
                        process: who,
                        memory_kb: kb,
                        descriptors: files,
                        threads,
                        cpu_ms,
                    });
                }
            }
        }
        self.recorder.record(Observation::Traffic {
            consul_requests: self.consul.counts(),
            gossip_bytes: self.network.gossip(),
        });
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
        let build = self.builds.of(i, running.starts);
        let started = match self.schedule.form {
            Form::Appliance => Process::start(&member.name, build, &["serve", &path], &[], &self.recorder),
            Form::Platform => {
                let variables = [
                    ("BALANCER_CONFIG", path),
                    ("BALANCER_OPERATOR", self.door(i, running.starts).to_string()),
                    ("TMPDIR", member.folder.join("tmp").display().to_string()),
                ];
                Process::start(&member.name, build, &[], &variables, &self.recorder)
            }
        };
        started.map_err(|e| format!("{}: {e}", build.display()))
    }

    /// Writes the files of a program as it is to run now, and brings the path of the one that it is started with.
    fn write(&self, i: usize, running: &Running) -> std::io::Result<String> {
        let member = &self.members[i];
        let (file, text) = &self.texts[i];
        let path = member.folder.join(file);
        let name = running.name.as_ref().unwrap_or(&member.name);
        let duties = running.duties.clone().unwrap_or(0..self.schedule.options.jobs);
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

    /// Runs the build of this program's last start to its end: its exit code, and all that it wrote.
    fn run(&self, i: usize, words: &[&str]) -> Result<(i32, String), String> {
        let build = self.builds.of(i, held(&self.members[i].running).starts.max(1));
        let done = std::process::Command::new(build).args(words).output();
        let done = done.map_err(|e| format!("{}: {e}", build.display()))?;
        let said = [done.stdout, done.stderr].concat();
        Ok((done.status.code().unwrap_or(-1), String::from_utf8_lossy(&said).trim().to_owned()))
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
        let at = now_us();
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
            Outcome::Served => String::new(),
            end => format!("{}: a request was {}", member.name, end.name()),
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
