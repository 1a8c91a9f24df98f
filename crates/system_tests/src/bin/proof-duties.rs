//! Shared duties on real programs: 8 instances, 64 duties every 500 ms, with kills, pauses, splits and outages of the claim
//! store, played on the rig. The target takes every call, so a round that ran twice is seen twice.

use fault_injection::history::{Observation, Record};
use fault_injection::runner::{RunResult, run as run_schedule};
use fault_injection::schedule::{FailureMode, Fault, FaultKind, Form, Schedule, SiteOptions};
use fault_injection::site::JOB_PERIOD_MS;
use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;
use system_tests::{Table, percentile, program};

const INSTANCES: usize = 8;
const DUTIES: usize = 64;
/// ms, stated to the instances as the most by which clocks differ.
const SKEW: i64 = 300;

/// Spans of the history, in us.
type Span = (u64, u64);

fn fault(at_ms: u64, for_ms: u64, kind: FaultKind) -> Fault {
    Fault { start_ms: at_ms, duration_ms: for_ms, kind }
}

fn half() -> impl Iterator<Item = String> {
    (0..INSTANCES).step_by(2).map(|i| format!("m{i}"))
}

fn schedule(name: &str, length_ms: u64, faults: Vec<Fault>) -> Schedule {
    let has = SiteOptions { jobs: DUTIES, standbys: INSTANCES - 1, load: false, ..SiteOptions::default() };
    let (seed, form) = (1, Form::Appliance);
    Schedule {
        name: name.into(),
        seed,
        form,
        gatekeepers: INSTANCES,
        backends: 1,
        length_ms,
        options: has,
        faults,
    }
}

/// What happens, by what the table calls it; the bounds on missed rounds hold from each begin to the next one's.
fn course() -> Vec<(&'static str, Vec<Fault>)> {
    let stopped = |who: &str, at, lasts| fault(at, lasts, FaultKind::Suspended { target: who.into() });
    let first_four = || (0..4).map(|i| format!("m{i}"));
    let consul =
        |who: &str, at, lasts, how| fault(at, lasts, FaultKind::Consul { target: who.into(), mode: how });
    let split = |at, lasts| {
        let cut = |a: String| {
            (4..INSTANCES).map(move |b| FaultKind::Cut {
                from: a.clone(),
                to: format!("m{b}"),
                one_way: false,
            })
        };
        first_four().flat_map(cut).map(|kind| fault(at, lasts, kind)).collect::<Vec<_>>()
    };
    vec![
        (
            "half killed at once",
            half().map(|who| fault(14_000, 6_000, FaultKind::Killed { target: who })).collect(),
        ),
        ("one paused", vec![stopped("m1", 26_000, 5_000)]),
        ("two paused", vec![stopped("m3", 35_000, 4_000), stopped("m5", 35_000, 4_000)]),
        ("the store silent", vec![consul("*", 43_000, 5_000, FailureMode::Silent)]),
        ("the store back empty", vec![consul("*", 48_000, 10, FailureMode::RestartedEmpty)]),
        ("split, store reachable from both sides", split(53_000, 5_000)),
        ("split, store reachable from one side", {
            let closed = first_four().map(|who| consul(&who, 60_000, 4_000, FailureMode::Closed));
            split(60_000, 4_000).into_iter().chain(closed).collect()
        }),
        ("answers to claims lost", vec![consul("*", 69_000, 1_000, FailureMode::ResponseLost)]),
        ("one leaves", vec![fault(74_000, 2_000, FaultKind::ShutDown { target: "m7".into() })]),
        (
            "duties changed by a reload",
            vec![fault(
                80_000,
                5_000,
                FaultKind::JobsChanged { target: "*".into(), first_job: 16, job_count: DUTIES - 12 },
            )],
        ),
    ]
}

/// Runs of a history.
struct Runs<'a> {
    /// us, duty, round, instance.
    came: Vec<(u64, &'a str, u64, &'a str)>,
}

impl<'a> Runs<'a> {
    fn of(history: &'a [Record]) -> Self {
        let run = |r: &'a Record| match &r.observation {
            Observation::JobRan { job: duty, run: round, instance: by } => {
                Some((r.at_us, duty.as_str(), *round, by.as_str()))
            }
            _ => None,
        };
        Self { came: history.iter().filter_map(run).collect() }
    }

    fn within(&self, (from, to): Span) -> impl Iterator<Item = &(u64, &'a str, u64, &'a str)> {
        self.came.iter().filter(move |c| c.0 >= from && c.0 <= to)
    }

    /// The most rounds in a row that one of these duties misses in a span.
    fn missed(&self, duties: &BTreeSet<String>, (from, to): Span) -> f64 {
        let mut ran: BTreeMap<&str, (BTreeSet<u64>, u64, u64)> = BTreeMap::new();
        for &(at, duty, round, _) in self.within((from, to)) {
            let entry = ran.entry(duty).or_insert((BTreeSet::new(), at, at));
            entry.0.insert(round);
            entry.2 = at;
        }
        let periods = |us: u64| us as f64 / (1_000 * JOB_PERIOD_MS) as f64;
        let worst = |duty: &String| {
            let Some((rounds, first, last)) = ran.get(duty.as_str()) else { return periods(to - from) };
            let rounds: Vec<u64> = rounds.iter().copied().collect();
            let between = rounds.windows(2).map(|w| (w[1] - w[0]) / JOB_PERIOD_MS - 1).max().unwrap_or(0);
            // At the ends too: a duty that stops is missed from its last round on, once it is late by more than half a period.
            let edge = (periods((first - from).max(to - last)) - 1.6).max(0.0).ceil();
            (between as f64).max(edge)
        };
        duties.iter().map(worst).fold(0.0, f64::max)
    }

    /// The longest time between two runs of a duty in a span, in seconds.
    fn longest_gap(&self, span: Span) -> f64 {
        let mut last: BTreeMap<&str, u64> = BTreeMap::new();
        let gaps = self
            .within(span)
            .filter_map(|&(at, duty, ..)| Some(at - last.insert(duty, at)?))
            .max()
            .unwrap_or(0);
        seconds(gaps)
    }

    /// For each duty that one of these did last before a time: how long until it ran again, in seconds, sorted.
    fn taken_over(&self, at: u64, gone: &[String]) -> Vec<f64> {
        let duties: BTreeSet<&str> = self.came.iter().map(|c| c.1).collect();
        let before = |d: &str| self.came.iter().rev().find(|c| c.1 == d && c.0 < at);
        let mut spans: Vec<f64> = duties
            .into_iter()
            .filter(|d| before(d).is_some_and(|c| gone.iter().any(|g| g == c.3)))
            .map(|d| {
                self.came.iter().find(|c| c.1 == d && c.0 > at).map_or(f64::INFINITY, |c| seconds(c.0 - at))
            })
            .collect();
        spans.sort_by(f64::total_cmp);
        spans
    }

    /// Until the last of these duties runs again after a time, in seconds.
    fn all_again(&self, duties: &BTreeSet<String>, at: u64) -> f64 {
        let next = |d: &String| {
            let run = self.came.iter().find(|c| c.1 == d && c.0 > at);
            run.map_or(f64::INFINITY, |c| seconds(c.0 - at))
        };
        duties.iter().map(next).fold(0.0, f64::max)
    }

    fn doubles(&self) -> usize {
        let rounds: BTreeSet<(&str, u64)> = self.came.iter().map(|c| (c.1, c.2)).collect();
        self.came.len() - rounds.len()
    }
}

fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

/// When the faults of these numbers began first and ended last.
fn span(history: &[Record], numbers: std::ops::Range<usize>) -> Span {
    let times = |asked: bool| {
        history
            .iter()
            .filter_map(move |r| match r.observation {
                Observation::Fault { index: number, begins, .. } => Some((number, begins, r.at_us)),
                _ => None,
            })
            .filter(move |f| f.1 == asked)
    };
    let from = times(true).filter(|f| numbers.contains(&f.0)).map(|f| f.2).min().unwrap_or(0);
    (from, times(false).filter(|f| numbers.contains(&f.0)).map(|f| f.2).max().unwrap_or(0))
}

/// What was carried by a time: calls of Consul of this kind, and bytes of gossip.
fn carried(history: &[Record], at: u64, kind: &str) -> (u64, u64) {
    let so_far = history.iter().rev().find_map(|r| match &r.observation {
        Observation::Traffic { consul_requests: consul, gossip_bytes: gossip } if r.at_us <= at => {
            Some((consul.get(kind).copied().unwrap_or(0), *gossip))
        }
        _ => None,
    });
    so_far.unwrap_or_default()
}

fn played(schedule: &Schedule) -> Result<RunResult, String> {
    let folder = std::env::temp_dir().join(format!("sf-duties-{}", std::process::id()));
    let done = run_schedule(schedule, &program(), &folder);
    let _ = std::fs::remove_dir_all(&folder);
    done.map_err(|e| e.to_string())
}

fn told(table: &mut Table, played: &RunResult) {
    for violation in &played.violations {
        table.at_most(&format!("broken: {}: {}", violation.rule, violation.text), 1.0, 0.0);
    }
}

/// The first course, and what the last line says of it.
fn in_one_clock(table: &mut Table) -> Result<String, String> {
    let course = course();
    let length = 92_000;
    let played = played(&schedule("duties", length, course.iter().flat_map(|c| c.1.clone()).collect()))?;
    told(table, &played);
    let history = &played.history;
    let runs = Runs::of(history);
    let duties: BTreeSet<String> = (0..DUTIES).map(|n| format!("duty-{n}")).collect();
    let last = history.last().map_or(0, |r| r.at_us);
    let mut number = 0;
    let spans: Vec<(&str, Span)> = course
        .iter()
        .map(|(name, faults)| {
            number += faults.len();
            (*name, span(history, number - faults.len()..number))
        })
        .collect();
    let of = |name: &str| spans.iter().find(|s| s.0 == name).map_or((0, 0), |s| s.1);
    let killed = of("half killed at once");
    let calm = (killed.0 - 10_000_000, killed.0);
    table.tell(
        "size",
        format!("{INSTANCES} instances, {DUTIES} duties, period {JOB_PERIOD_MS} ms, {} s", length / 1_000),
    );
    let expected = DUTIES as f64 * (length - 12_000) as f64 / JOB_PERIOD_MS as f64;
    table.at_least("runs", runs.came.len() as f64, 0.9 * expected);
    table.at_most("rounds run twice", runs.doubles() as f64, 0.0);
    table.at_most("rounds missed in a row, calm", runs.missed(&duties, calm), 1.0);
    for (i, (name, (from, to))) in spans.iter().enumerate() {
        let next = spans.get(i + 1).map_or(last, |s| s.1.0);
        match *name {
            // Nothing runs then, and then all begins anew.
            "the store silent" => {
                let late = runs.within((from + 300_000, of("the store back empty").0)).count();
                table.at_most("runs while the store is silent (from 0.3 s on)", late as f64, 0.0);
            }
            "the store back empty" => {
                let again = runs.all_again(&duties, *to);
                table.at_most(
                    "the store back empty: the last duty runs again after, s",
                    again,
                    2.0 * JOB_PERIOD_MS as f64 / 1_000.0,
                );
                let later = runs.missed(&duties, (to + 1_000_000, next));
                table.at_most("... rounds missed in a row later", later, 1.0);
            }
            "duties changed by a reload" => {
                let now: BTreeSet<String> = (16..DUTIES + 4).map(|n| format!("duty-{n}")).collect();
                // Taken by all within a second.
                let stretch = (from + 1_500_000, to - 200_000);
                table.at_most("... duties changed by a reload", runs.missed(&now, stretch), 1.0);
                let gone = runs.within(stretch).filter(|c| !now.contains(c.1)).count();
                table.at_most("runs of duties that the reload took away", gone as f64, 0.0);
            }
            name => {
                table.at_most(&format!("... {name}, and after"), runs.missed(&duties, (*from, next)), 1.0)
            }
        }
    }
    table.tell("longest gap between two runs of a duty, calm, s", format!("{:.3}", runs.longest_gap(calm)));
    let gap = runs.longest_gap((calm.0, killed.1));
    table.at_most("... half killed at once, s", gap, 2.0 * JOB_PERIOD_MS as f64 / 1_000.0 + 0.1);
    let over = runs.taken_over(killed.0, &half().collect::<Vec<_>>());
    let worst = over.last().copied().unwrap_or(f64::INFINITY);
    table.tell("time to take over when half die, median, s", format!("{:.3}", percentile(&over, 0.5)));
    table.at_most("... worst, s", worst, 2.0 * JOB_PERIOD_MS as f64 / 1_000.0);
    let left = runs.taken_over(of("one leaves").0, &["m7".to_owned()]);
    table.tell(
        "time to take over when one leaves, worst, s",
        format!("{:.3}", left.last().copied().unwrap_or(0.0)),
    );
    for (what, kind) in [("claims", "PUT /v1/txn"), ("reads of the claim store", "GET /v1/kv")] {
        let rate = (carried(history, calm.1, kind).0 - carried(history, calm.0, kind).0) as f64 / 10.0;
        table.tell(&format!("{what} a second, calm"), format!("{rate:.0}"));
    }
    let gossip = carried(history, calm.1, "").1 - carried(history, calm.0, "").1;
    table.tell("bytes of gossip a second, all instances, calm", gossip / 10);
    let cpu = |at: u64| -> u64 {
        let mine = history.iter().rev().filter(|r| r.at_us <= at).find_map(|r| match &r.observation {
            Observation::ResourceUse { process: who, cpu_ms, .. } if who == "m1" => Some(*cpu_ms),
            _ => None,
        });
        mine.unwrap_or(0)
    };
    table.tell("processor time of m1, calm", format!("{:.1}%", (cpu(calm.1) - cpu(calm.0)) as f64 / 100.0));
    let recovered = history.iter().filter(
        |r| matches!(&r.observation, Observation::LogLine { text, .. } if text.contains("holds, though the response was lost")),
    );
    table.tell("log lines on claims recovered", recovered.count());
    Ok(format!("{} runs, {} doubles, worst take-over {worst:.3} s", runs.came.len(), runs.doubles()))
}

/// The same with clocks apart by as much as is stated: two are killed, and the store is emptied.
fn in_clocks_apart(table: &mut Table) -> Result<(), String> {
    let ahead = [0, SKEW, SKEW / 2, 0, SKEW, 50, 250, 100];
    let clock = |(i, ms): (usize, i64)| {
        fault(500, 17_000, FaultKind::ClockOffset { target: format!("m{i}"), offset_ms: ms, running: true })
    };
    let mut faults: Vec<Fault> = ahead.into_iter().enumerate().filter(|a| a.1 != 0).map(clock).collect();
    let clocks = faults.len();
    // Those whose clocks are right.
    faults.extend(["m0", "m3"].map(|who| fault(8_000, 2_000, FaultKind::Killed { target: who.into() })));
    let killed = faults.len();
    faults.push(fault(
        13_000,
        10,
        FaultKind::Consul { target: "*".into(), mode: FailureMode::RestartedEmpty },
    ));
    let played = played(&schedule("duties, clocks apart", 18_000, faults))?;
    told(table, &played);
    let runs = Runs::of(&played.history);
    let duties: BTreeSet<String> = (0..DUTIES).map(|n| format!("duty-{n}")).collect();
    let set = span(&played.history, 0..clocks).0;
    let emptied = span(&played.history, killed..killed + 1).1;
    table.at_most("clocks 300 ms apart: rounds run twice", runs.doubles() as f64, 0.0);
    let missed = runs.missed(&duties, (set + 3_000_000, emptied));
    table.at_most("... rounds missed in a row, two killed meanwhile", missed, 1.0);
    let bound = (2 * JOB_PERIOD_MS) as f64 / 1_000.0 + 2.0 * SKEW as f64 / 1_000.0;
    table.at_most(
        "... store emptied: the last duty runs again after, s",
        runs.all_again(&duties, emptied),
        bound,
    );
    Ok(())
}

fn main() -> ExitCode {
    let mut table = Table::default();
    let done = in_one_clock(&mut table).and_then(|said| in_clocks_apart(&mut table).map(|()| said));
    let said = match done {
        Ok(said) => said,
        Err(why) => {
            eprintln!("proof duties: {why}");
            return ExitCode::FAILURE;
        }
    };
    let fine = table.print();
    println!("proof duties: {said}, {}", if fine { "all within bounds" } else { "OUT OF BOUNDS" });
    if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
