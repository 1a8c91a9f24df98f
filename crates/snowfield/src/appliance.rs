//! The appliance: the OpenAPI front, Consul and the console's status.

use crate::{duties, signals};
use cluster::Cluster;
use consul::{Health, Instance, Watch, Watched};
use counter::CounterClient;
use destination::{HttpDestination, Limits, Place, Pools};
use dewproxy::interface::{BackendEntry, ListKind, State};
use exchange::{Clock, Exchange, QuotaCounter};
use front_openapi::{Front, HttpExchange, Lender, Setup};
use link::{Door, LARGE_STACK, locked, spawn, spawn_with};
use openapi::{Description, RouteTable};
use settings::appliance::{self, Appliance};
use std::collections::{BTreeSet, HashMap};
use std::fmt::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

/// Descriptors kept for listeners, Consul, the counter, `may` and the standard streams.
const SPARE_SOCKETS: usize = 64;

/// A file with its descriptions, checked together.
pub struct Checked {
    /// The file.
    pub file: Appliance,
    /// Its routes.
    pub table: RouteTable,
}

/// Reads a file and its descriptions, and checks all that can be checked without a connection.
///
/// # Errors
///
/// The text names what is missing or cannot be used.
pub fn check(path: &Path) -> Result<Checked, String> {
    let read = |path: &Path| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    let file = appliance::parse(&read(path)?).map_err(|e| format!("{}: {e}", path.display()))?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let texts = file
        .descriptions
        .iter()
        .map(|name| Ok((name.display().to_string(), read(&folder.join(name))?)))
        .collect::<Result<Vec<_>, String>>()?;
    let descriptions: Vec<_> = texts.iter().map(|(name, text)| Description { name, text }).collect();
    let table = RouteTable::load(&descriptions).map_err(|e| e.to_string())?;
    for route in table.routes() {
        let called = format!("{}: {} {}", route.source, route.method, route.path);
        if file.class_number(&route.class).is_none() {
            return Err(format!("{called} has the class {:?}, which the file does not define", route.class));
        }
        // What no plan can ever hold would be refused for ever.
        if let Some(plan) = file.plans.iter().find(|p| p.burst < route.units) {
            return Err(format!(
                "{called} takes {} units, more than the burst of plan {:?}",
                route.units, plan.name
            ));
        }
    }
    Ok(Checked { file, table })
}

/// Serves until a signal.
///
/// # Errors
///
/// The text says what cannot be used.
pub fn serve(path: &Path) -> Result<(), String> {
    let caught = signals::catch()?;
    let Checked { file, table } = check(path)?;
    link::set_up();
    let longest = file.classes.iter().map(|c| c.deadline_ms).max().unwrap_or(0);
    let folder = path.parent().unwrap_or(Path::new("."));
    let shared = duties::settings(&file, folder)?;
    let (front, door, cluster) = start(file, table, shared)?;
    signals::serve_until(
        caught,
        &door,
        Duration::from_millis(longest),
        // Routes, lenders and plans are part of the decisions in hand: they change with a restart, which loses nothing.
        || match &cluster {
            Some(cluster) => duties::reload(path, cluster),
            None => println!("reload: SIGHUP changes nothing here; a restart takes the new file"),
        },
        || {
            // First of all, so that the others take over while this instance finishes.
            if let Some(cluster) = &cluster {
                cluster.leave();
            }
            front.close();
        },
        || front.open(),
    );
    Ok(())
}

type Started = (Arc<Front>, Arc<Door>, Option<Arc<Cluster>>);

fn start(file: Appliance, table: RouteTable, shared: Option<duties::Shared>) -> Result<Started, String> {
    let largest = table.routes().iter().map(|r| r.units).fold(0.0, f64::max);
    let settings = file.settings(largest).map_err(|e| e.to_string())?;
    let clock = Clock::start();
    let exchange: Arc<HttpExchange> =
        Exchange::new(settings, clock.now(), clock).map_err(|e| e.to_string())?;
    let sockets = file.limits.sockets - SPARE_SOCKETS;
    let limits = Limits {
        connect: Duration::from_millis(file.limits.connect_ms),
        idle: Duration::from_millis(file.limits.idle_ms),
        connections: sockets / 2,
        answer: file.limits.answer_bytes + http::LARGEST_HEAD,
    };
    let pools = Pools::new(HttpDestination, limits);
    pools.connect(exchange.clone());
    let counter = file.quota.counter.map(|at| CounterClient::of(at, exchange.clone()));
    let calls = counter.clone().map(|c| c as Arc<dyn QuotaCounter>);
    exchange.connect(pools.clone(), calls);

    let (door, status_door) = (open(file.listen)?, file.status.map(open).transpose()?);
    let front = Front::new(exchange.clone(), setup(&file, table, sockets / 2));
    let fleet = Arc::new(Fleet {
        clock,
        exchange,
        pools: pools.clone(),
        known: Mutex::default(),
        cluster: OnceLock::new(),
    });
    let cluster = match shared {
        Some((settings, calls)) => {
            let told = fleet.clone();
            let on_out = Box::new(move |out: &BTreeSet<String>| told.probed(out));
            let cluster = Cluster::start(settings, calls, on_out).map_err(|e| format!("cluster: {e}"))?;
            fleet.cluster.get_or_init(|| cluster.clone());
            Some(cluster)
        }
        None => None,
    };
    let watch = Watch::new(Watched {
        address: file.consul.address,
        service: file.consul.service.clone(),
        tag: file.consul.tag.clone(),
        wait: Duration::from_millis(file.consul.wait_ms),
    });
    for run in [Watch::run_health, Watch::run_catalog] {
        let (watch, fleet) = (watch.clone(), fleet.clone());
        spawn_with(LARGE_STACK, move || run(&watch, &|list| fleet.listed(list)));
    }
    let swept = front.clone();
    crate::clock::run(fleet.exchange.clone(), move || {
        pools.sweep();
        watch.sweep();
        swept.sweep();
        if let Some(counter) = &counter {
            counter.sweep();
        }
    });
    if let Some(door) = status_door {
        let shown = front.clone();
        spawn(move || show_status(&door, &shown, &fleet));
    }
    println!("serving OpenAPI on {}", door.address().map_err(|e| e.to_string())?);
    let (accepting, entrance) = (front.clone(), door.clone());
    spawn(move || accepting.run(&entrance));
    Ok((front, door, cluster))
}

fn open(at: std::net::SocketAddr) -> Result<Arc<Door>, String> {
    Door::open(at).map(Arc::new).map_err(|e| format!("{at}: {e}"))
}

fn setup(file: &Appliance, table: RouteTable, most_sockets: usize) -> Setup {
    let class = |name: &str| file.class_number(name).unwrap_or(0);
    let classes = table.routes().iter().map(|r| class(&r.class));
    let classes = classes.map(|c| (c as u16, file.classes[c].deadline_ms * 1000)).collect();
    let lender = |l: &appliance::Lender| Lender {
        name: l.name.clone(),
        customer: appliance::customer_number(&l.name),
        plan: file.plan_number(&l.plan).unwrap_or(0) as u32,
        plan_name: l.plan.clone(),
    };
    Setup {
        classes,
        table,
        lender_header: file.lender_header.clone(),
        lenders: file.lenders.iter().map(lender).collect(),
        set_size: f64::from(file.quota.gatekeepers),
        largest_body: file.limits.body_bytes,
        most_sockets,
        patience: Duration::from_millis(file.limits.patience_ms),
    }
}

/// Consul's instances as destinations.
struct Fleet {
    clock: Clock,
    exchange: Arc<HttpExchange>,
    pools: Arc<Pools<HttpDestination>>,
    known: Mutex<Known>,
    cluster: OnceLock<Arc<Cluster>>,
}

#[derive(Default)]
struct Known {
    numbers: HashMap<String, u32>,
    /// The list as it was told last, with the time from which each one counts as started.
    list: Vec<(Instance, u64)>,
    /// The ids that get no new work by their probes.
    out: BTreeSet<String>,
    told: bool,
}

impl Known {
    fn is_ready(&self, instance: &Instance) -> bool {
        instance.health == Health::Passing && !self.out.contains(&instance.id)
    }
}

impl Fleet {
    /// Consul's list has changed.
    fn listed(&self, instances: Vec<Instance>) {
        let fleet = instances.iter().map(|i| (i.id.clone(), i.address)).collect();
        {
            let mut known = locked(&self.known);
            let passing = instances.iter().filter(|i| i.health == Health::Passing).count();
            println!("consul: {} instances, {passing} of them passing", instances.len());
            self.tell(&mut known, instances, None);
        }
        if let Some(cluster) = self.cluster.get() {
            cluster.set_fleet(fleet);
        }
    }

    /// Probes say which destinations are to get no new work.
    fn probed(&self, out: &BTreeSet<String>) {
        let mut known = locked(&self.known);
        let instances = known.list.iter().map(|(i, _)| i.clone()).collect();
        self.tell(&mut known, instances, Some(out));
    }

    /// Tells the destination side and the module the list as Consul and the probes together have it.
    fn tell(&self, known: &mut Known, instances: Vec<Instance>, out: Option<&BTreeSet<String>>) {
        let now = self.clock.now();
        let before: HashMap<String, (Instance, u64, bool)> = known
            .list
            .iter()
            .map(|(i, started)| (i.id.clone(), (i.clone(), *started, known.is_ready(i))))
            .collect();
        if let Some(out) = out {
            known.out.clone_from(out);
        }
        let (mut entries, mut places, mut list) = (Vec::new(), Vec::new(), Vec::new());
        for instance in instances {
            let next = known.numbers.len() as u32 + 1;
            let id = *known.numbers.entry(instance.id.clone()).or_insert(next);
            let ready = known.is_ready(&instance);
            // Consul does not tell when an instance started. One that was there from the first list on has been
            // running; one that appears, or passes again, may be cold.
            let started = match before.get(&instance.id).filter(|(old, ..)| old.address == instance.address) {
                Some((_, started, was_ready)) if *was_ready || !ready => *started,
                _ if known.told => now,
                _ => 0,
            };
            let state = if ready { State::Ready } else { State::Draining };
            places.push(Place { id, address: instance.address, state, started });
            entries.push(BackendEntry { id, state, started, ..BackendEntry::default() });
            list.push((instance, started));
        }
        // Before Consul has told its first list there is nothing to tell.
        if out.is_none() {
            known.told = true;
        }
        known.list = list;
        if known.told {
            self.pools.listed(ListKind::Full, &places);
            self.exchange.listed(ListKind::Full, entries);
        }
    }

    fn report(&self) -> String {
        let status = self.exchange.status();
        let [served, busy, failed] = status.answers;
        let mut out = format!(
            "operations\n  unanswered {}  served {served}  busy {busy}  failed {failed}  units {}  counter calls {}\n",
            status.unanswered, status.units_sent, status.calls
        );
        out.push_str("destinations\n");
        let known = locked(&self.known);
        for (instance, _) in &known.list {
            let number = known.numbers.get(&instance.id);
            let steps = number.and_then(|n| status.destinations.get(n)).map_or(0, |d| d.1);
            let health = match (instance.health, known.is_ready(instance)) {
                (Health::Passing, true) => "passing",
                (Health::Passing, false) => "out by its probes",
                (Health::Critical, _) => "draining",
            };
            let _ =
                writeln!(out, "  {}  {}  {health}  route steps out {steps}", instance.id, instance.address);
        }
        let _ = writeln!(out, "connections to destinations {}", self.pools.open());
        drop(known);
        if let Some(cluster) = self.cluster.get() {
            out.push_str(&cluster_report(cluster));
        }
        out
    }
}

/// The cluster's part of the status. Its threads are asked, and the worker does not wait for them.
fn cluster_report(cluster: &Cluster) -> String {
    let told = cluster.ask_report();
    for _ in 0..100 {
        if let Ok(report) = told.try_recv() {
            return report;
        }
        link::sleep(Duration::from_millis(5));
    }
    "cluster\n  it does not answer\n".into()
}

/// Answers whoever connects with the status as text.
fn show_status(door: &Door, front: &Arc<Front>, fleet: &Arc<Fleet>) {
    while let Some(link) = door.accept() {
        let (front, fleet) = (front.clone(), fleet.clone());
        spawn(move || {
            let body = front.report() + &fleet.report();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\
                 Connection: close\r\n\r\n",
                body.len()
            );
            if link.send((head + &body).as_bytes()).is_ok() {
                link.finish();
            }
        });
    }
}
