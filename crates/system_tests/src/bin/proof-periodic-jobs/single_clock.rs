//! The schedule with all phases, in which the clocks of the instances agree.

use crate::gaps::{all_run_again_after, longest_gap, max_missed_runs, take_over_times};
use crate::phases::{LEAVING_INSTANCE, Phase, every_other_instance, span_of_faults};
use crate::run_and_report;
use crate::schedule::{INSTANCES, JOBS, all_jobs, changed_jobs, schedule};
use fault_injection::history::{Observation, Record, Span};
use fault_injection::site::JOB_PERIOD_MS;
use std::collections::BTreeSet;
use system_tests::gatekeeper_output::log_events::LEASE_RECOVERED;
use system_tests::{Distribution, Error, JobRuns, Table, seconds_or_infinity};

const LENGTH_MS: u64 = 92_000;
/// Time from which all jobs are expected to run.
const ALL_JOBS_RUN_FROM_MS: u64 = 12_000;
/// Duration of the measured time without faults before the first phase, s.
const FAULT_FREE_S: u64 = 10;
/// Minimum number of runs, as a share of the scheduled runs.
const MIN_RUN_SHARE: f64 = 0.9;
/// Maximum number of consecutive runs that a job misses.
const MAX_MISSED_RUNS: f64 = 1.0;
/// Maximum time until another instance runs a job whose instance is gone, s.
const MAX_TAKE_OVER_S: f64 = 2.0 * JOB_PERIOD_MS as f64 / 1_000.0;
/// Maximum time between two runs of a job when half of the instances are killed, s.
const MAX_GAP_S: f64 = MAX_TAKE_OVER_S + 0.1;
/// Time from the start of a lease-store outage in which runs that began before the outage may still reach their targets.
const EARLIER_RUNS_ARRIVE_US: u64 = 300_000;
/// Time from the return of the lease store after which all jobs are expected to run again.
const STORE_RECOVERY_US: u64 = 1_000_000;
/// Time from the start of the reload fault after which all instances have reloaded the changed jobs.
const RELOADED_AFTER_US: u64 = 1_500_000;
/// Margin before the end of the reload fault. All instances keep the changed jobs until this margin starts.
const RELOAD_END_MARGIN_US: u64 = 200_000;
/// The gatekeeper whose processor time is in the table.
const MEASURED_GATEKEEPER: &str = "m1";
/// Key of the lease writes in the request counts of a traffic observation.
const LEASE_WRITES: &str = "PUT /v1/txn";
/// Key of the lease reads in the request counts of a traffic observation.
const LEASE_READS: &str = "GET /v1/kv";

/// Runs all phases, adds their figures to the table, and returns the figures for the last line of the output.
pub(crate) fn run(table: &mut Table) -> Result<String, Error> {
    let faults = Phase::ALL.into_iter().flat_map(Phase::faults).collect();
    let result = run_and_report(&schedule("duties", LENGTH_MS, faults), table)?;
    Ok(Measurement::new(&result.history).report(table))
}

/// A phase and its span, from the start of its first fault to the end of its last fault.
struct TimedPhase {
    phase: Phase,
    span: Span,
}

/// The history of all phases, evaluated by phase.
struct Measurement<'a> {
    history: &'a [Record],
    runs: JobRuns<'a>,
    jobs: BTreeSet<String>,
    phases: Vec<TimedPhase>,
    /// The measured time without faults before the first phase.
    fault_free: Span,
}

impl<'a> Measurement<'a> {
    fn new(history: &'a [Record]) -> Self {
        let phases = timed_phases(history);
        let first_fault_us = phases[0].span.from_us;
        let fault_free = Span { from_us: first_fault_us - FAULT_FREE_S * 1_000_000, to_us: first_fault_us };
        Self { history, runs: JobRuns::of(history), jobs: all_jobs(), phases, fault_free }
    }

    fn span_of(&self, phase: Phase) -> Span {
        let timed = self.phases.iter().find(|timed| timed.phase == phase);
        timed.map_or(Span::default(), |timed| timed.span)
    }

    fn report(&self, table: &mut Table) -> String {
        self.add_runs(table);
        self.add_phases(table);
        let max_take_over_s = self.add_take_overs(table);
        self.add_cost(table);
        let (count, repeated) = (self.runs.count(), self.runs.repeated());
        format!("{count} runs, {repeated} doubles, worst take-over {max_take_over_s:.3} s")
    }

    fn add_runs(&self, table: &mut Table) {
        let length_s = LENGTH_MS / 1_000;
        let size = format!("{INSTANCES} instances, {JOBS} duties, period {JOB_PERIOD_MS} ms, {length_s} s");
        table.add("size", size);
        let scheduled_runs = JOBS as f64 * (LENGTH_MS - ALL_JOBS_RUN_FROM_MS) as f64 / JOB_PERIOD_MS as f64;
        table.add_with_minimum("runs", self.runs.count() as f64, MIN_RUN_SHARE * scheduled_runs);
        table.add_with_maximum("rounds run twice", self.runs.repeated() as f64, 0.0);
        self.add_missed_runs(table, "rounds missed in a row, calm", self.fault_free);
    }

    fn add_missed_runs(&self, table: &mut Table, name: &str, span: Span) {
        table.add_with_maximum(name, max_missed_runs(&self.runs, &self.jobs, span), MAX_MISSED_RUNS);
    }

    fn add_phases(&self, table: &mut Table) {
        let end_us = self.history.last().map_or(0, |record| record.at_us);
        for (index, timed) in self.phases.iter().enumerate() {
            let next_phase_us = self.phases.get(index + 1).map_or(end_us, |next| next.span.from_us);
            self.add_phase(table, timed, next_phase_us);
        }
    }

    /// Adds the figures of a phase, measured until `next_phase_us`, when the next phase starts.
    fn add_phase(&self, table: &mut Table, TimedPhase { phase, span }: &TimedPhase, next_phase_us: u64) {
        match phase {
            Phase::StoreSilent => self.add_runs_without_store(table, span.from_us),
            Phase::StoreEmpty => self.add_store_recovery(table, span.to_us, next_phase_us),
            Phase::JobsChanged => self.add_changed_jobs(table, *span),
            _ => {
                let until_next = Span { from_us: span.from_us, to_us: next_phase_us };
                self.add_missed_runs(table, &format!("... {}, and after", phase.name()), until_next);
            }
        }
    }

    /// Adds the number of runs while the lease store does not respond. No job may run then.
    fn add_runs_without_store(&self, table: &mut Table, outage_start_us: u64) {
        let to_us = self.span_of(Phase::StoreEmpty).from_us;
        let silent = Span { from_us: outage_start_us + EARLIER_RUNS_ARRIVE_US, to_us };
        let runs = self.runs.within(silent).count();
        table.add_with_maximum("runs while the store is silent (from 0.3 s on)", runs as f64, 0.0);
    }

    /// Adds how long it takes until all jobs run again after the lease store returned without its state, and the runs that they
    /// miss later.
    fn add_store_recovery(&self, table: &mut Table, store_back_us: u64, next_phase_us: u64) {
        let recovery_s = seconds_or_infinity(all_run_again_after(&self.runs, &self.jobs, store_back_us));
        let name = "the store back empty: the last duty runs again after, s";
        table.add_with_maximum(name, recovery_s, MAX_TAKE_OVER_S);
        let recovered = Span { from_us: store_back_us + STORE_RECOVERY_US, to_us: next_phase_us };
        self.add_missed_runs(table, "... rounds missed in a row later", recovered);
    }

    /// Adds the missed runs of the changed jobs, and the runs of jobs that the reload removed.
    fn add_changed_jobs(&self, table: &mut Table, span: Span) {
        let jobs = changed_jobs();
        let reloaded =
            Span { from_us: span.from_us + RELOADED_AFTER_US, to_us: span.to_us - RELOAD_END_MARGIN_US };
        let missed = max_missed_runs(&self.runs, &jobs, reloaded);
        let name = format!("... {}", Phase::JobsChanged.name());
        table.add_with_maximum(&name, missed, MAX_MISSED_RUNS);
        let runs = self.runs.within(reloaded);
        let removed = runs.iter().filter(|run| !jobs.contains(run.job)).count();
        table.add_with_maximum("runs of duties that the reload took away", removed as f64, 0.0);
    }

    /// Adds the gaps between runs and the take-over times of jobs whose instances were killed or left. Returns the maximum
    /// take-over time after the kills, s.
    fn add_take_overs(&self, table: &mut Table) -> f64 {
        let kills = self.span_of(Phase::HalfKilled);
        let fault_free_gap_s = longest_gap(&self.runs, self.fault_free).as_secs_f64();
        table.add("longest gap between two runs of a duty, calm, s", format!("{fault_free_gap_s:.3}"));
        let until_kills_end = Span { from_us: self.fault_free.from_us, to_us: kills.to_us };
        let gap_s = longest_gap(&self.runs, until_kills_end).as_secs_f64();
        table.add_with_maximum("... half killed at once, s", gap_s, MAX_GAP_S);

        let killed_instances: Vec<String> = every_other_instance().collect();
        let times_s = self.take_over_times_s(kills.from_us, &killed_instances);
        let median_s = times_s.median();
        let max_s = times_s.maximum().unwrap_or(f64::INFINITY);
        table.add("time to take over when half die, median, s", format!("{median_s:.3}"));
        table.add_with_maximum("... worst, s", max_s, MAX_TAKE_OVER_S);

        let left_us = self.span_of(Phase::OneLeaves).from_us;
        let times_s = self.take_over_times_s(left_us, &[LEAVING_INSTANCE.to_owned()]);
        let max_after_leave_s = times_s.maximum().unwrap_or(0.0);
        table.add("time to take over when one leaves, worst, s", format!("{max_after_leave_s:.3}"));
        max_s
    }

    fn take_over_times_s(&self, gone_us: u64, gone_instances: &[String]) -> Distribution {
        let times = take_over_times(&self.runs, gone_us, gone_instances);
        times.into_iter().map(seconds_or_infinity).collect()
    }

    /// Adds the requests to the lease store, the gossip traffic and the processor time without faults, and the number of leases
    /// that were recovered in the whole history.
    fn add_cost(&self, table: &mut Table) {
        for (name, kind) in [("claims", LEASE_WRITES), ("reads of the claim store", LEASE_READS)] {
            let requests = self.fault_free_increase(|observation| consul_requests(observation, kind));
            let per_second = requests as f64 / FAULT_FREE_S as f64;
            table.add(&format!("{name} a second, calm"), format!("{per_second:.0}"));
        }
        let gossip_bytes = self.fault_free_increase(gossip_bytes);
        table.add("bytes of gossip a second, all instances, calm", gossip_bytes / FAULT_FREE_S);
        let cpu_ms = self.fault_free_increase(cpu_ms);
        table
            .add("processor time of m1, calm", format!("{:.1}%", cpu_ms as f64 / (10 * FAULT_FREE_S) as f64));
        let is_recovery = |record: &&Record| record.observation.is_log_line_with(&LEASE_RECOVERED);
        let recoveries = self.history.iter().filter(is_recovery).count();
        table.add("log lines on claims recovered", recoveries);
    }

    /// Returns by how much a counter grows during the measured time without faults.
    fn fault_free_increase(&self, counter: impl Fn(&Observation) -> Option<u64>) -> u64 {
        self.counter_at(self.fault_free.to_us, &counter) - self.counter_at(self.fault_free.from_us, &counter)
    }

    /// Returns the last value of a counter up to a time, or 0 if there is none.
    fn counter_at(&self, at_us: u64, counter: impl Fn(&Observation) -> Option<u64>) -> u64 {
        let mut before = self.history.iter().rev().filter(|record| record.at_us <= at_us);
        before.find_map(|record| counter(&record.observation)).unwrap_or(0)
    }
}

fn timed_phases(history: &[Record]) -> Vec<TimedPhase> {
    let mut next_index = 0;
    let timed = Phase::ALL.into_iter().map(|phase| {
        let first_index = next_index;
        next_index += phase.faults().len();
        TimedPhase { phase, span: span_of_faults(history, first_index..next_index) }
    });
    timed.collect()
}

/// Returns the number of requests of a kind that Consul has received so far, or `None` if this is no traffic observation.
fn consul_requests(observation: &Observation, kind: &str) -> Option<u64> {
    let Observation::Traffic { consul_requests, .. } = observation else { return None };
    Some(consul_requests.get(kind).copied().unwrap_or(0))
}

/// Returns the number of gossip bytes so far, or `None` if this is no traffic observation.
fn gossip_bytes(observation: &Observation) -> Option<u64> {
    let Observation::Traffic { gossip_bytes, .. } = observation else { return None };
    Some(*gossip_bytes)
}

/// Returns the processor time of [`MEASURED_GATEKEEPER`] so far in ms, or `None` if this observation does not have it.
fn cpu_ms(observation: &Observation) -> Option<u64> {
    match observation {
        Observation::ResourceUse { process, cpu_ms, .. } if process == MEASURED_GATEKEEPER => Some(*cpu_ms),
        _ => None,
    }
}
