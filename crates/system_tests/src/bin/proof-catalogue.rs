//! The list of loan servers through Consul's faults, on the rig: the real program with two agents, and 12 loan servers under
//! steady load. For each drain the time of the word and of the last request that came there.

use fault_injection::checkers::{final_answers, unexpected_exits};
use fault_injection::history::{Observation, Outcome, Record, now_us};
use fault_injection::load::{Tenant, UNLIMITED_TENANT};
use fault_injection::schedule::{DiskFault, FailureMode, FaultKind, Form, Schedule, SiteOptions};
use fault_injection::site::{Site, write_common_files};
use stand_in_consul::{CheckStatus, Fault, Service, Weights};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;
use system_tests::{Table, percentile, program};

const LOANS: usize = 12;
const CLIENTS: usize = 6;
/// Between two requests of a client: together well below the quota of the lender for whom they ask.
const PAUSE: Duration = Duration::from_millis(25);
/// s; that each kind of outage lasts.
const OUTAGE: f64 = 30.0;
/// Flaps, one a second.
const FLAPS: u32 = 60;

/// A span of the history, in us.
type Span = (u64, u64);

/// What a history says of requests.
struct Seen {
    /// By operation when it was asked.
    ends: Vec<(u64, Outcome)>,
    /// When which loan server got one.
    arrived: Vec<(u64, String)>,
    lines: Vec<(u64, String)>,
}

impl Seen {
    fn of(history: &[Record]) -> Self {
        let mut asked = HashMap::new();
        let mut seen = Self { ends: Vec::new(), arrived: Vec::new(), lines: Vec::new() };
        for record in history {
            match &record.observation {
                Observation::RequestSent { request_id: op, .. } => drop(asked.insert(*op, record.at_us)),
                // Nobody there is nobody's answer.
                Observation::RequestEnded { request_id: op, outcome: end }
                    if *end != Outcome::NotAccepted && asked.contains_key(op) =>
                {
                    seen.ends.push((record.at_us, *end));
                }
                Observation::AttemptArrived { backend: server, .. } => {
                    seen.arrived.push((record.at_us, server.clone()))
                }
                Observation::LogLine { text, .. } => seen.lines.push((record.at_us, text.clone())),
                _ => {}
            }
        }
        seen
    }

    /// The share of answers in a span that were a loan server's, and how many answers there were.
    fn served(&self, (from, to): Span) -> (f64, usize) {
        let here = || self.ends.iter().filter(|e| e.0 >= from && e.0 < to);
        let served = here().filter(|e| e.1 == Outcome::Served).count();
        (served as f64 / here().count().max(1) as f64, here().count())
    }

    /// How long after this the last request came to a loan server before `until`, in seconds.
    fn lag(&self, server: &str, (from, until): Span) -> f64 {
        let after = self.arrived.iter().filter(|a| a.1 == server && a.0 > from && a.0 < until).map(|a| a.0);
        after.max().map_or(0.0, |last| seconds(last - from))
    }

    fn count(&self, server: &str, (from, to): Span) -> usize {
        self.arrived.iter().filter(|a| a.1 == server && a.0 > from && a.0 < to).count()
    }

    fn lines(&self, (from, to): Span, text: &str) -> Vec<&str> {
        let here = self.lines.iter().filter(|l| l.0 >= from && l.0 < to && l.1.contains(text));
        here.map(|l| l.1.as_str()).collect()
    }
}

fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

fn pass(seconds: f64) -> Span {
    let from = now_us();
    sleep(Duration::from_secs_f64(seconds));
    (from, now_us())
}

/// Processor time in ms and memory in kB of the program now.
fn held(site: &Site) -> (u64, u64) {
    site.record_resource_use();
    let last = |r: &Record| match r.observation {
        Observation::ResourceUse { memory_kb: kb, cpu_ms, .. } => Some((cpu_ms, kb)),
        _ => None,
    };
    site.recorder.records_by_time().iter().rev().find_map(last).unwrap_or_default()
}

/// What was done and when, to be looked up in the history at the end.
#[derive(Default)]
struct Course {
    calm: Span,
    /// Loan server, word, when it was listed again.
    drains: Vec<(String, Span)>,
    outages: Vec<(&'static str, Span)>,
    failover: Span,
    /// Loan servers that flap, and when.
    flaps: Vec<(usize, Span)>,
    wiped: Span,
    cut: Span,
    index_back: Span,
    replaced: Span,
    weighed: Span,
    restart: Span,
    shown: String,
    torn: Span,
    load: Span,
    /// Instances listed, share of a core, kB.
    sizes: Vec<(usize, f64, u64)>,
    memory: (u64, u64),
}

fn fail(site: &Site, fault: Fault) {
    site.consul_agents(0).iter().for_each(|door| door.fail(fault));
}

fn played(site: &Arc<Site>) -> Result<Course, String> {
    let mut course = Course::default();
    let over = Arc::new(AtomicBool::new(false));
    let begun = now_us();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (mut client, over) = (site.client(0), over.clone());
            thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    client.send_request(&Tenant { request_interval: PAUSE, ..UNLIMITED_TENANT });
                    sleep(PAUSE);
                }
            })
        })
        .collect();
    let full = || site.healthy_services();
    let marked = |which: &[usize], status: CheckStatus| {
        let mut list = full();
        which.iter().for_each(|&i| list[i].status = status);
        list
    };
    pass(2.0);
    course.calm = pass(5.0);

    // Drains of every kind, one after the other.
    for (turn, kind) in
        ["critical", "maintenance", "node down", "warning", "gone"].iter().cycle().take(20).enumerate()
    {
        let i = turn % LOANS;
        let mut list = full();
        let name = list[i].id.clone();
        match *kind {
            "critical" => list[i].status = CheckStatus::Critical,
            "maintenance" => list[i].in_maintenance = true,
            "node down" => list[i].is_node_healthy = false,
            "warning" => list[i].status = CheckStatus::Warning,
            _ => drop(list.remove(i)),
        }
        let word = site.set_services(list);
        pass(0.5);
        course.drains.push((name, (word, now_us())));
        site.set_services(full());
        pass(0.1);
    }
    // All are back for good before anything else; their holds for flaps run out.
    pass(1.0);

    // Outages of three kinds, in each of which two loan servers die for real.
    for (turn, (kind, fault)) in
        [("silent", Fault::Silent), ("refusing", Fault::Closed), ("answering 500", Fault::Status(500))]
            .into_iter()
            .enumerate()
    {
        fail(site, fault);
        pass(1.0);
        let stretch = thread::scope(|scope| {
            let dead = [2 * turn, 2 * turn + 1].map(|i| format!("l{i}"));
            let die = |who: String| {
                scope.spawn(move || {
                    site.inject_fault(
                        0,
                        &FaultKind::Backends { target: who, mode: FailureMode::Closed },
                        &|| {
                            pass(OUTAGE);
                        },
                    )
                })
            };
            let dying = dead.map(die);
            let stretch = pass(OUTAGE);
            dying.into_iter().for_each(|d| drop(d.join()));
            stretch
        });
        course.outages.push((kind, stretch));
        fail(site, Fault::None);
        pass(6.0);
    }

    // The first agent alone is away: the second is asked.
    site.consul_agents(0)[0].fail(Fault::Closed);
    pass(3.0);
    let word = site.set_services(marked(&[7], CheckStatus::Critical));
    pass(1.5);
    course.failover = (word, now_us());
    site.consul_agents(0)[0].fail(Fault::None);
    site.set_services(full());
    pass(1.0);

    // A flap every second, on one and on a third of the fleet.
    for flapping in [&[8][..], &[8, 9, 10, 11]] {
        let from = now_us();
        for second in 0..FLAPS {
            site.set_services(if second % 2 == 0 { marked(flapping, CheckStatus::Critical) } else { full() });
            pass(1.0);
        }
        course.flaps.push((flapping.len(), (from, now_us())));
        site.set_services(full());
    }

    // The catalogue wiped and restored.
    let wiped = site.set_services(Vec::new());
    pass(3.0);
    site.set_services(full());
    course.wiped = (wiped, pass(2.0).1);

    // Answers cut in the middle, and an index that goes back.
    fail(site, Fault::ResponseTruncated);
    course.cut = pass(2.0);
    fail(site, Fault::None);
    site.set_catalogue_index(3);
    site.set_services(full());
    course.index_back = pass(2.0);

    // An instance replaced at the same address.
    let mut list = full();
    list[0].id = "l-new".into();
    let word = site.set_services(list.clone());
    pass(2.0);
    course.replaced = (word + 1_000_000, now_us());

    // Weights 1 to 3.
    list.iter_mut()
        .enumerate()
        .for_each(|(i, s)| s.weights = Weights { passing: i as u32 % 3 + 1, warning: 1 });
    site.set_services(list);
    pass(1.0);
    course.weighed = pass(6.0);

    // A restart while Consul is away, and one that finds half of the list file.
    site.set_services(full());
    pass(2.0);
    fail(site, Fault::Silent);
    pass(0.5);
    let from = now_us();
    site.inject_fault(1, &FaultKind::ShutDown { target: "m0".into() }, &|| ()).map_err(|e| e.to_string())?;
    pass(4.0);
    course.restart = (from, now_us());
    course.shown = site.status(0);
    let from = now_us();
    site.inject_fault(2, &FaultKind::Disk { target: "m0".into(), fault: DiskFault::Torn(500) }, &|| ())
        .map_err(|e| e.to_string())?;
    course.torn = (from, now_us());
    fail(site, Fault::None);
    pass(4.0);
    course.load = (begun, now_us());
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));

    // Sizes, and memory over replaced ids: the many take no work.
    let crowd = |turn: usize, count: usize| -> Vec<Service> {
        let mut list = full();
        list.extend((0..count).map(|i| {
            let at = SocketAddr::from(([127, 1, (i >> 8) as u8, i as u8], 80));
            Service::new(&format!("c{turn}-{i}"), at).with_status(CheckStatus::Critical)
        }));
        list
    };
    for count in [0, 500, 5_000] {
        site.set_services(crowd(0, count));
        pass(1.0);
        let before = held(site).0;
        let from = now_us();
        // Fifty changes a second, of one instance each.
        for turn in 0..150 {
            let mut list = crowd(0, count);
            list[turn % LOANS].meta.insert("turn".into(), turn.to_string());
            site.set_services(list);
            pass(0.02);
        }
        let (cpu, memory) = held(site);
        let share = (cpu - before) as f64 / 1_000.0 / seconds(now_us() - from);
        course.sizes.push((count + LOANS, share, memory));
    }
    site.set_services(crowd(0, 0));
    pass(2.0);
    let before = held(site).1;
    for turn in 1..=50 {
        site.set_services(crowd(turn, 2_000));
        pass(0.15);
    }
    site.set_services(crowd(0, 0));
    pass(3.0);
    course.memory = (before, held(site).1);
    Ok(course)
}

fn judged(table: &mut Table, course: &Course, history: &[Record]) -> String {
    let seen = Seen::of(history);
    let (calm, count) = seen.served(course.calm);
    table.tell(
        "size",
        format!("{LOANS} loan servers, {CLIENTS} clients, {:.0} s", seconds(course.load.1 - course.load.0)),
    );
    table.tell(
        "answers a second, calm",
        format!("{:.0}", count as f64 / seconds(course.calm.1 - course.calm.0)),
    );
    table.at_least("served share, calm", calm, 0.999);
    let mut lags: Vec<f64> = course.drains.iter().map(|(server, span)| seen.lag(server, *span)).collect();
    lags.sort_by(f64::total_cmp);
    let last = "last request come after the word of a drain, s: median of 20";
    table.tell(last, format!("{:.4}", percentile(&lags, 0.5)));
    table.at_most("... worst, s", percentile(&lags, 1.0), 1.0);
    table.at_most("... through the second agent, s", seen.lag("l7", course.failover), 1.0);
    let mut least: f64 = 1.0;
    for (kind, span) in &course.outages {
        // Two of twelve are really dead; what is tried there is tried elsewhere.
        let share = seen.served(*span).0;
        least = least.min(share);
        table.at_least(
            &format!("served share while Consul is {kind} and 2 of 12 die"),
            share,
            calm - 2.0 / LOANS as f64,
        );
    }
    for (count, span) in &course.flaps {
        let turns = seen.lines(*span, "takes work").len() + seen.lines(*span, "takes no work: it is c").len();
        let each = turns as f64 / *count as f64;
        table.at_most(&format!("{count} flapping each second for {FLAPS} s: turns of each"), each, 8.0);
        table.at_least("... served share", seen.served(*span).0, calm - 0.01);
    }
    for (what, span) in [
        ("catalogue wiped for 3 s", course.wiped),
        ("answers cut", course.cut),
        ("index going back", course.index_back),
    ] {
        table.at_least(&format!("served share, {what}"), seen.served(span).0, calm - 0.001);
    }
    let replaced = seen.count("l0", course.replaced);
    table.at_least("requests at an address whose instance was replaced", replaced as f64, 1.0);
    let weight = |w: usize| -> f64 {
        let mine = (0..LOANS).filter(|i| i % 3 == w).map(|i| seen.count(&format!("l{i}"), course.weighed));
        mine.sum::<usize>() as f64
    };
    let weights = [0, 1, 2].map(weight);
    let ratio = weights[2] / weights[0].max(1.0);
    table.tell("requests by weight 1, 2, 3", format!("{:?}", weights.map(|n| n as u64)));
    table.at_least("weight 3 against 1", ratio, 2.4);
    table.at_most("weight 3 against 1, at most", ratio, 3.6);
    let said = seen.lines(course.restart, "the list on disk serves until Consul answers");
    table.at_least("restart while Consul is silent: the log says so", said.len() as f64, 1.0);
    let again = history.iter().rev().filter(|r| r.at_us < course.restart.1);
    let started = again
        .filter(|r| matches!(r.observation, Observation::ProcessStarted { .. }))
        .map(|r| r.at_us)
        .next()
        .unwrap_or(course.restart.0);
    let first = seen.ends.iter().find(|e| e.0 > started && e.1 == Outcome::Served);
    table.at_most("... first served after, s", first.map_or(f64::INFINITY, |e| seconds(e.0 - started)), 2.0);
    let from_disk = first.map_or(0.0, |e| seen.served((e.0, course.restart.1)).0);
    table.at_least("... served share from then on", from_disk, 0.999);
    let shown = course.shown.contains("the list on disk");
    table.at_least("... the status says so", f64::from(u8::from(shown)), 1.0);
    let refused = seen.lines(course.torn, "is not used").len();
    table.at_least("half of a list file is refused", refused as f64, 1.0);
    for rule in [final_answers, unexpected_exits] {
        let broken = rule(history, &Site::bounds());
        let text = broken.first().map_or("rules on answers and exits broken", |v| &v.text);
        table.at_most(text, broken.len() as f64, 0.0);
    }
    for (count, cpu, memory) in &course.sizes {
        let figures = format!("{:.1}% of a core, {memory} kB", cpu * 100.0);
        table.tell(&format!("{count} instances, 50 changes a second"), figures);
    }
    let (before, after) = course.memory;
    table.tell("memory before and after 100,000 replaced ids, kB", format!("{before}, {after}"));
    table.at_most("... growth, kB", after as f64 - before as f64, 20_000.0);
    format!(
        "drains {:.4} s at worst, weight 3:1 as {ratio:.2}, served {least:.4} at least in outages",
        percentile(&lags, 1.0)
    )
}

fn run() -> Result<bool, String> {
    let has = SiteOptions {
        jobs: 0,
        consul_agents: 2,
        load: false,
        health_checks: false,
        ..SiteOptions::default()
    };
    let (seed, form, faults) = (1, Form::Appliance, Vec::new());
    let schedule = Schedule {
        name: "catalogue".into(),
        seed,
        form,
        gatekeepers: 1,
        backends: LOANS,
        length_ms: 0,
        options: has,
        faults,
    };
    let folder = std::env::temp_dir().join(format!("sf-catalogue-{}", std::process::id()));
    write_common_files(&folder).map_err(|e| e.to_string())?;
    let site = Site::start(&schedule, &program(), &folder).map_err(|e| e.to_string())?;
    let course = played(&site);
    site.shut_down();
    let _ = std::fs::remove_dir_all(&folder);
    let mut table = Table::default();
    let said = judged(&mut table, &course?, &site.recorder.records_by_time());
    let fine = table.print();
    println!("proof catalogue: {said}, {}", if fine { "all within bounds" } else { "OUT OF BOUNDS" });
    Ok(fine)
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("proof catalogue: {why}");
            ExitCode::FAILURE
        }
    }
}
