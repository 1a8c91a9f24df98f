//! Shared duties on real programs: 8 instances, 64 duties every 500 ms, with kills, pauses, splits and an outage of the
//! claim store. A receiver counts every run of every round.

use proofs::receiver::{Came, Target};
use proofs::relay::Relays;
use proofs::{Folder, Program, Table, after, free_ports, percentile, status, tally};
use stand_in_consul::{Consul, Door, Fault};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

const INSTANCES: usize = 8;
const DUTIES: usize = 64;
const PERIOD: f64 = 0.5;
const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

struct Site {
    folder: Folder,
    consul: Consul,
    doors: Vec<Door>,
    relays: Relays,
    gossip: Vec<SocketAddr>,
    statuses: Vec<SocketAddr>,
    target: Target,
    /// Milliseconds by which each clock is ahead.
    ahead: [i64; INSTANCES],
    programs: Vec<Option<Program>>,
    /// Seconds of processor time of programs that have ended, and for how long they ran.
    used: f64,
}

impl Site {
    fn new() -> Self {
        let consul = Consul::start();
        consul.set_service(11, "loan-server", Vec::new());
        let ports = free_ports(2 * INSTANCES);
        let (gossip, statuses) = ports.split_at(INSTANCES);
        let folder = Folder::new("proof-duties");
        folder.write("cluster.key", KEY);
        folder.write(
            "loans.json",
            r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"paths":{"/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}}}}"#,
        );
        Self {
            doors: (0..INSTANCES).map(|_| consul.open()).collect(),
            consul,
            relays: Relays::start(gossip),
            gossip: gossip.to_vec(),
            statuses: statuses.to_vec(),
            target: Target::start(),
            folder,
            ahead: [0; INSTANCES],
            programs: (0..INSTANCES).map(|_| None).collect(),
            used: 0.0,
        }
    }

    fn write(&self, i: usize, duties: &[String]) -> String {
        let peers: Vec<String> =
            self.relays.addresses.iter().map(|a| format!("{:?}", a.to_string())).collect();
        let duties: String = duties
            .iter()
            .map(|name| {
                let at = self.target.address;
                format!(
                    "[[duty]]\nname = \"{name}\"\nperiod_ms = 500\ntimeout_ms = 400\nurl = \"http://{at}/\"\n"
                )
            })
            .collect();
        let text = format!(
            "listen = \"127.0.0.1:0\"\nstatus = \"{status}\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
             [consul]\naddress = \"{consul}\"\nservice = \"loan-server\"\n\
             [cluster]\nname = \"m{i}\"\nlisten = \"{listen}\"\nadvertise = \"{advertise}\"\npeers = [{peers}]\n\
             key_file = \"cluster.key\"\nstandbys = 7\nskew_ms = 300\nstore_timeout_ms = 150\nclock_offset_ms = {ahead}\n\
             [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 300\ndeadline_ms = 1000\n\
             [[plan]]\nname = \"basic\"\nunits_per_second = 10.0\nburst = 20.0\n\
             [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n{duties}",
            status = self.statuses[i],
            consul = self.doors[i].address,
            listen = self.gossip[i],
            advertise = self.relays.addresses[i],
            peers = peers.join(", "),
            ahead = self.ahead[i],
        );
        self.folder.write(&format!("m{i}.toml"), &text)
    }

    fn start(&mut self, who: impl IntoIterator<Item = usize>) {
        for i in who {
            let file = self.write(i, &names(0..DUTIES));
            self.programs[i] = Some(Program::start(&["serve", &file]));
        }
    }

    fn program(&self, i: usize) -> &Program {
        self.programs[i].as_ref().expect("it runs")
    }

    fn kill(&mut self, who: impl IntoIterator<Item = usize>) -> f64 {
        let who: Vec<usize> = who.into_iter().collect();
        for &i in &who {
            self.used += self.program(i).used().0;
            self.program(i).signal("-KILL");
        }
        let at = self.target.now();
        for i in who {
            self.programs[i] = None;
        }
        at
    }

    /// Lets time pass and brings its begin and end.
    fn pass(&self, seconds: f64) -> (f64, f64) {
        let begin = self.target.now();
        sleep(Duration::from_secs_f64(seconds));
        (begin, self.target.now())
    }
}

fn names(numbers: std::ops::Range<usize>) -> Vec<String> {
    numbers.map(|n| format!("duty-{n:02}")).collect()
}

/// The most rounds in a row that a duty misses, for rounds that came between these times.
fn missed(came: &[Came], duties: &BTreeSet<String>, from: f64, to: f64) -> u64 {
    let mut rounds: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    for c in came.iter().filter(|c| c.at >= from && c.at <= to) {
        rounds.entry(&c.duty).or_default().insert(c.round);
    }
    let between = |a: u64, b: u64| (b - a) / 500 - 1;
    let worst = |duty: &String| -> u64 {
        let Some(rounds) = rounds.get(duty.as_str()) else { return ((to - from) / PERIOD) as u64 };
        let all: Vec<u64> = rounds.iter().copied().collect();
        let inside = all.windows(2).map(|w| between(w[0], w[1])).max().unwrap_or(0);
        // At the ends too: a duty that stops is missed from its last round on.
        let first = came.iter().find(|c| c.duty == *duty && c.at >= from).map_or(0.0, |c| c.at - from);
        let last = came.iter().rev().find(|c| c.duty == *duty && c.at <= to).map_or(0.0, |c| to - c.at);
        let edge = (first.max(last) / PERIOD - 1.0).max(0.0);
        inside.max(if edge > 1.6 { edge as u64 } else { 0 })
    };
    duties.iter().map(worst).max().unwrap_or(0)
}

/// The longest time between two runs of a duty in a stretch, in seconds.
fn longest_gap(came: &[Came], duties: &BTreeSet<String>, (from, to): (f64, f64)) -> f64 {
    let mut last: BTreeMap<&str, f64> = BTreeMap::new();
    let mut longest: f64 = 0.0;
    for c in came.iter().filter(|c| c.at >= from && c.at <= to && duties.contains(&c.duty)) {
        if let Some(before) = last.insert(&c.duty, c.at) {
            longest = longest.max(c.at - before);
        }
    }
    longest
}

/// For each duty that one of these did last before a time: how long until it ran again, in seconds, sorted.
fn taken_over(came: &[Came], at: f64, gone: &[usize]) -> Vec<f64> {
    let gone: Vec<String> = gone.iter().map(|i| format!("m{i}")).collect();
    let duties: BTreeSet<&str> = came.iter().map(|c| c.duty.as_str()).collect();
    let mut spans: Vec<f64> = duties
        .into_iter()
        .filter(|d| {
            came.iter().rev().find(|c| c.duty == *d && c.at < at).is_some_and(|c| gone.contains(&c.by))
        })
        .map(|d| came.iter().find(|c| c.duty == d && c.at > at).map_or(f64::INFINITY, |c| c.at - at))
        .collect();
    spans.sort_by(f64::total_cmp);
    spans
}

fn main() -> ExitCode {
    let mut table = Table::default();
    let duties: BTreeSet<String> = names(0..DUTIES).into_iter().collect();
    let mut site = Site::new();
    let begun = site.target.now();
    site.start(0..INSTANCES);
    for i in 0..INSTANCES {
        site.program(i).logged("serving OpenAPI on ");
    }
    site.pass(4.0);
    let (calls_before, bytes_before) = (site.consul.counts(), site.relays.bytes());
    let calm = site.pass(10.0);
    let (calls_after, bytes_after) = (site.consul.counts(), site.relays.bytes());

    // Half killed at once, and back under the same names and addresses in the middle of their rounds.
    let killed = [0, 2, 4, 6];
    let half = site.kill(killed);
    let without_half = site.pass(6.0);
    site.start(killed);
    let back = site.pass(5.0);

    // One paused for ten periods, then two together.
    site.program(1).signal("-STOP");
    let paused = site.pass(5.0);
    site.program(1).signal("-CONT");
    let continued = site.pass(3.0);
    for i in [3, 5] {
        site.program(i).signal("-STOP");
    }
    let two_paused = site.pass(4.0);
    for i in [3, 5] {
        site.program(i).signal("-CONT");
    }
    let two_continued = site.pass(3.0);

    // The store is silent for ten periods and comes back empty.
    let silent_at = site.target.now();
    for door in &site.doors {
        door.fail(Fault::Silence);
    }
    site.pass(5.0);
    site.consul.restart_empty();
    for door in &site.doors {
        door.fail(Fault::None);
    }
    let returned = site.target.now();
    let after_outage = site.pass(4.0);

    // A split that the store is reachable across, then one that leaves it to one side.
    site.relays.split(0b0000_1111);
    let split = site.pass(5.0);
    for door in &site.doors[..4] {
        door.fail(Fault::Closed);
    }
    let one_side = site.pass(4.0);
    for door in &site.doors[..4] {
        door.fail(Fault::None);
    }
    site.relays.split(0);
    let healed = site.pass(5.0);

    // Answers to claims lost after they were applied.
    for door in &site.doors {
        door.fail_writes(Fault::Lost, 10);
    }
    let lost = site.pass(4.0);

    // A planned restart of one.
    let left = site.target.now();
    site.program(7).signal("-TERM");
    let leaving = site.pass(2.0);
    site.used += site.program(7).used().0;
    site.start([7]);
    site.pass(2.0);

    // A reload: a quarter of the duties goes, and a few come.
    let mut kept: Vec<String> = names(16..DUTIES);
    kept.extend((0..4).map(|i| format!("new-{i}")));
    for i in 0..INSTANCES {
        site.write(i, &kept);
        site.program(i).signal("-HUP");
    }
    site.pass(2.0);
    let reloaded = site.pass(4.0);

    let run_time = site.target.now() - begun;
    let used: Vec<f64> = site.programs.iter().flatten().map(|p| p.used().0).collect();
    let status = status(site.statuses[1]);
    let sent_bytes: u64 = after(&status, "(").unwrap_or(0);
    let lines: Vec<String> = site.programs.iter().flatten().flat_map(Program::lines).collect();

    // Clocks that differ by up to 300 ms, kills and an emptied store.
    site.kill(0..INSTANCES);
    site.consul.restart_empty();
    site.ahead = [0, 300, 150, 0, 300, 50, 250, 100];
    site.start(0..INSTANCES);
    site.pass(4.0);
    let apart = site.pass(6.0);
    site.kill(killed);
    let apart_half = site.pass(4.0);
    site.start(killed);
    site.pass(2.0);
    site.consul.restart_empty();
    let emptied = site.target.now();
    let apart_emptied = site.pass(4.0);

    let came = site.target.came();
    let counts = tally(came.iter().map(|c| (c.duty.clone(), c.round)));
    let doubles = counts.values().filter(|&&n| n > 1).count();
    let refused = came.iter().filter(|c| c.refused).count();
    let all_missed = |(from, to): (f64, f64)| missed(&came, &duties, from, to) as f64;
    let first_after = |at: f64| -> f64 {
        duties
            .iter()
            .map(|d| {
                came.iter().find(|c| c.duty == *d && c.at > at + 0.05).map_or(f64::INFINITY, |c| c.at - at)
            })
            .fold(0.0, f64::max)
    };

    table.tell(
        "size",
        format!("{INSTANCES} instances, {DUTIES} duties, period 500 ms, {run_time:.0} s and 20 s more"),
    );
    table.at_least("runs", came.len() as f64, 0.9 * DUTIES as f64 * (run_time - 15.0) / PERIOD);
    table.at_most("rounds run twice", doubles as f64, 0.0);
    table.tell("runs refused by the receiver for an older token", refused);
    table.at_most("rounds missed in a row, calm", all_missed(calm), 1.0);
    table.at_most("... half killed at once", all_missed((calm.0, without_half.1)), 1.0);
    table.at_most("... half started again", all_missed((without_half.0, back.1)), 1.0);
    table.at_most("... one paused", all_missed((back.0, paused.1)), 1.0);
    table.at_most("... one continued", all_missed((paused.0, continued.1)), 1.0);
    table.at_most("... two paused", all_missed((continued.0, two_paused.1)), 1.0);
    table.at_most("... two continued", all_missed((two_paused.0, two_continued.1)), 1.0);
    table.at_most("... split, store reachable from both sides", all_missed(split), 1.0);
    table.at_most("... split, store reachable from one side", all_missed((split.0, one_side.1)), 1.0);
    table.at_most("... split healed", all_missed((one_side.0, healed.1)), 1.0);
    table.at_most("... 80 answers to claims lost", all_missed((healed.0, lost.1)), 1.0);
    table.at_most("... one leaves", all_missed((lost.0, leaving.1)), 1.0);
    let now: BTreeSet<String> = kept.into_iter().collect();
    table.at_most("... duties changed by a reload", missed(&came, &now, reloaded.0, reloaded.1) as f64, 1.0);
    let dropped: Vec<&Came> =
        came.iter().filter(|c| c.at > reloaded.0 && c.at < reloaded.1 && !now.contains(&c.duty)).collect();
    table.at_most("runs of duties that the reload took away", dropped.len() as f64, 0.0);
    let outage = came.iter().filter(|c| c.at > silent_at + 0.3 && c.at < returned).count();
    table.at_most("runs while the store is silent (from 0.3 s on)", outage as f64, 0.0);
    table.at_most("store back empty: last duty runs again after, s", first_after(returned), 2.0 * PERIOD);
    table.at_most(
        "... rounds missed in a row later",
        missed(&came, &duties, after_outage.0 + 1.0, after_outage.1) as f64,
        1.0,
    );
    table.tell(
        "longest gap between two runs of a duty, calm, s",
        format!("{:.3}", longest_gap(&came, &duties, calm)),
    );
    let stretch = (calm.0, without_half.1);
    table.at_most("... half killed at once, s", longest_gap(&came, &duties, stretch), 2.0 * PERIOD + 0.1);
    let spans = taken_over(&came, half, &killed);
    table.tell("time to take over when half die, median, s", format!("{:.3}", percentile(&spans, 0.5)));
    table.at_most("... worst, s", spans.last().copied().unwrap_or(f64::INFINITY), 2.0 * PERIOD);
    let spans = taken_over(&came, left, &[7]);
    table.tell(
        "time to take over when one leaves, worst, s",
        format!("{:.3}", spans.last().copied().unwrap_or(0.0)),
    );
    table.at_most("clocks 300 ms apart: rounds missed in a row", all_missed(apart), 1.0);
    table.at_most("... half killed", all_missed((apart.0, apart_half.1)), 1.0);
    table.at_most(
        "... store emptied: last duty runs again after, s",
        first_after(emptied),
        2.0 * PERIOD + 0.6,
    );
    table.tell("... rounds missed in a row then", all_missed(apart_emptied));
    let rate = |kind: &str| {
        let of = |c: &BTreeMap<String, u64>| c.get(kind).copied().unwrap_or(0) as f64;
        (of(&calls_after) - of(&calls_before)) / (calm.1 - calm.0)
    };
    table.tell("claims a second, calm", format!("{:.0}", rate("PUT /v1/txn")));
    table.tell("reads of the claim store a second, calm", format!("{:.0}", rate("GET /v1/kv")));
    let bytes = (bytes_after - bytes_before) as f64 / (calm.1 - calm.0);
    table.tell("bytes of gossip a second, all instances, calm", format!("{bytes:.0}"));
    table.tell("bytes of gossip that m1 says it sent", sent_bytes);
    table.tell("datagrams dropped by the split", site.relays.dropped());
    let cpu: Vec<String> = used.iter().map(|u| format!("{:.1}%", 100.0 * u / run_time)).collect();
    table.tell("processor time of each instance (short where started again)", cpu.join(" "));
    let recovered = lines.iter().filter(|l| l.contains("holds, though its answer was lost")).count();
    table.tell("log lines on claims recovered", recovered);

    let fine = table.print();
    println!(
        "proof duties: {} runs, {doubles} doubles, {refused} refused, worst take-over {:.3} s, {}",
        came.len(),
        taken_over(&came, half, &killed).last().copied().unwrap_or(0.0),
        if fine { "all within bounds" } else { "OUT OF BOUNDS" }
    );
    if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
