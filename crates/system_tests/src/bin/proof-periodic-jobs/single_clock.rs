//! All phases, with clocks that agree.

use crate::job_runs::{JobRuns, span_of_faults};
use crate::run_and_report;
use crate::schedules::{
    HALF_KILLED, INSTANCES, JOBS, JOBS_CHANGED, ONE_LEAVES, Phase, STORE_EMPTY, STORE_SILENT, changed_jobs,
    half, phases, schedule, usual_jobs,
};
use fault_injection::history::{Observation, Record, Span};
use fault_injection::site::JOB_PERIOD_MS;
use std::collections::BTreeSet;
use system_tests::gatekeeper_output::log_events::LEASE_RECOVERED;
use system_tests::{Error, Table, percentile};

const LENGTH_MS: u64 = 92_000;
/// Runs are expected from then on.
const JOBS_RUN_FROM_MS: u64 = 12_000;
/// The stretch without faults before the first one.
const CALM_S: u64 = 10;
/// Two periods, s: by then a job runs again.
const TWO_PERIODS_S: f64 = 2.0 * JOB_PERIOD_MS as f64 / 1_000.0;
/// The gatekeeper whose processor time is shown.
const MEASURED: &str = "m1";

/// A phase and when it was.
struct TimedPhase {
    name: &'static str,
    span: Span,
}

/// What is measured.
struct Measurement<'a> {
    history: &'a [Record],
    runs: JobRuns<'a>,
    jobs: BTreeSet<String>,
    phases: Vec<TimedPhase>,
    calm: Span,
}

/// Runs all phases, fills the table, and returns the last line's figures.
pub(crate) fn run(table: &mut Table) -> Result<String, Error> {
    let phases = phases();
    let faults = phases.iter().flat_map(|phase| phase.faults.clone()).collect();
    let result = run_and_report(&schedule("duties", LENGTH_MS, faults), table)?;
    Ok(Measurement::new(&result.history, &phases).report(table))
}

impl<'a> Measurement<'a> {
    fn new(history: &'a [Record], phases: &[Phase]) -> Self {
        let mut next_index = 0;
        let timed = phases.iter().map(|phase| {
            let first = next_index;
            next_index += phase.faults.len();
            TimedPhase { name: phase.name, span: span_of_faults(history, &(first..next_index)) }
        });
        let phases: Vec<TimedPhase> = timed.collect();
        let begin_us = phases[0].span.from_us;
        let calm = Span { from_us: begin_us - CALM_S * 1_000_000, to_us: begin_us };
        Self { history, runs: JobRuns::of(history), jobs: usual_jobs(), phases, calm }
    }

    fn span_of(&self, name: &str) -> Span {
        let phase = self.phases.iter().find(|phase| phase.name == name);
        phase.map_or(Span::default(), |phase| phase.span)
    }

    fn report(&self, table: &mut Table) -> String {
        let size = format!(
            "{INSTANCES} instances, {JOBS} duties, period {JOB_PERIOD_MS} ms, {} s",
            LENGTH_MS / 1_000
        );
        table.add("size", size);
        let expected = JOBS as f64 * (LENGTH_MS - JOBS_RUN_FROM_MS) as f64 / JOB_PERIOD_MS as f64;
        table.add_with_minimum("runs", self.runs.count() as f64, 0.9 * expected);
        table.add_with_maximum("rounds run twice", self.runs.repeated() as f64, 0.0);
        table.add_with_maximum("rounds missed in a row, calm", self.runs.missed(&self.jobs, self.calm), 1.0);
        let end_us = self.history.last().map_or(0, |record| record.at_us);
        for (i, phase) in self.phases.iter().enumerate() {
            let next_us = self.phases.get(i + 1).map_or(end_us, |next| next.span.from_us);
            self.report_phase(table, phase, next_us);
        }
        let worst = self.report_take_overs(table);
        self.report_cost(table);
        let (count, repeated) = (self.runs.count(), self.runs.repeated());
        format!("{count} runs, {repeated} doubles, worst take-over {worst:.3} s")
    }

    /// The bounds of a phase, up to the begin of the next.
    fn report_phase(&self, table: &mut Table, phase: &TimedPhase, next_us: u64) {
        let Span { from_us, to_us } = phase.span;
        match phase.name {
            // Nothing runs then, and then all begins anew.
            STORE_SILENT => {
                let silent = Span { from_us: from_us + 300_000, to_us: self.span_of(STORE_EMPTY).from_us };
                let late = self.runs.within(silent).count();
                table.add_with_maximum("runs while the store is silent (from 0.3 s on)", late as f64, 0.0);
            }
            STORE_EMPTY => {
                let again = self.runs.all_run_again_after(&self.jobs, to_us);
                table.add_with_maximum(
                    "the store back empty: the last duty runs again after, s",
                    again,
                    TWO_PERIODS_S,
                );
                let later = Span { from_us: to_us + 1_000_000, to_us: next_us };
                table.add_with_maximum(
                    "... rounds missed in a row later",
                    self.runs.missed(&self.jobs, later),
                    1.0,
                );
            }
            JOBS_CHANGED => self.report_changed_jobs(table, phase.span),
            name => {
                let missed = self.runs.missed(&self.jobs, Span { from_us, to_us: next_us });
                table.add_with_maximum(&format!("... {name}, and after"), missed, 1.0);
            }
        }
    }

    fn report_changed_jobs(&self, table: &mut Table, span: Span) {
        let jobs = changed_jobs();
        // All have reloaded within a second.
        let reloaded = Span { from_us: span.from_us + 1_500_000, to_us: span.to_us - 200_000 };
        table.add_with_maximum("... duties changed by a reload", self.runs.missed(&jobs, reloaded), 1.0);
        let removed = self.runs.within(reloaded).filter(|run| !jobs.contains(run.job)).count();
        table.add_with_maximum("runs of duties that the reload took away", removed as f64, 0.0);
    }

    /// How long others took to run the jobs of instances that died or left; returns the worst time, s.
    fn report_take_overs(&self, table: &mut Table) -> f64 {
        let killed = self.span_of(HALF_KILLED);
        let calm_gap = self.runs.longest_gap(self.calm);
        table.add("longest gap between two runs of a duty, calm, s", format!("{calm_gap:.3}"));
        let gap = self.runs.longest_gap(Span { from_us: self.calm.from_us, to_us: killed.to_us });
        table.add_with_maximum("... half killed at once, s", gap, TWO_PERIODS_S + 0.1);
        let times = self.runs.take_over_times(killed.from_us, &half().collect::<Vec<_>>());
        let worst = times.last().copied().unwrap_or(f64::INFINITY);
        table.add("time to take over when half die, median, s", format!("{:.3}", percentile(&times, 0.5)));
        table.add_with_maximum("... worst, s", worst, TWO_PERIODS_S);
        let left = self.runs.take_over_times(self.span_of(ONE_LEAVES).from_us, &["m7".to_owned()]);
        let worst_left = left.last().copied().unwrap_or(0.0);
        table.add("time to take over when one leaves, worst, s", format!("{worst_left:.3}"));
        worst
    }

    /// What it costs in the calm stretch.
    fn report_cost(&self, table: &mut Table) {
        for (what, kind) in [("claims", "PUT /v1/txn"), ("reads of the claim store", "GET /v1/kv")] {
            let requests =
                self.consul_requests(self.calm.to_us, kind) - self.consul_requests(self.calm.from_us, kind);
            table.add(&format!("{what} a second, calm"), format!("{:.0}", requests as f64 / CALM_S as f64));
        }
        let gossip = self.gossip_bytes(self.calm.to_us) - self.gossip_bytes(self.calm.from_us);
        table.add("bytes of gossip a second, all instances, calm", gossip / CALM_S);
        let cpu_ms = self.cpu_ms(self.calm.to_us) - self.cpu_ms(self.calm.from_us);
        table.add("processor time of m1, calm", format!("{:.1}%", cpu_ms as f64 / (10 * CALM_S) as f64));
        let is_recovery = |record: &&Record| record.observation.is_log_line_with(&LEASE_RECOVERED);
        let recovered = self.history.iter().filter(is_recovery).count();
        table.add("log lines on claims recovered", recovered);
    }

    /// The last figure that a record up to a time gives; 0 where there is none.
    fn last_figure(&self, at_us: u64, figure: impl Fn(&Observation) -> Option<u64>) -> u64 {
        let mut before = self.history.iter().rev().filter(|record| record.at_us <= at_us);
        before.find_map(|record| figure(&record.observation)).unwrap_or(0)
    }

    /// Requests to Consul of this kind up to a time.
    fn consul_requests(&self, at_us: u64, kind: &str) -> u64 {
        self.last_figure(at_us, |observation| match observation {
            Observation::Traffic { consul_requests, .. } => {
                Some(consul_requests.get(kind).copied().unwrap_or(0))
            }
            _ => None,
        })
    }

    /// Bytes of datagrams up to a time.
    fn gossip_bytes(&self, at_us: u64) -> u64 {
        self.last_figure(at_us, |observation| match observation {
            Observation::Traffic { gossip_bytes, .. } => Some(*gossip_bytes),
            _ => None,
        })
    }

    /// Processor time of the measured gatekeeper up to a time, ms.
    fn cpu_ms(&self, at_us: u64) -> u64 {
        self.last_figure(at_us, |observation| match observation {
            Observation::ResourceUse { process, cpu_ms, .. } if process == MEASURED => Some(*cpu_ms),
            _ => None,
        })
    }
}
