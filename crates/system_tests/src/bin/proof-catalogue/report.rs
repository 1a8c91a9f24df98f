//! The report with the figures of each step of the scenario and their bounds.

use crate::BACKENDS;
use crate::load::CLIENTS;
use crate::requests::Requests;
use crate::scenario::{FAILOVER_BACKEND, FLAPS, weight};
use crate::timeline::{Drain, MemoryGrowth, SizeCost, Timeline};
use fault_injection::checkers::{final_answers, unexpected_exits};
use fault_injection::history::{Observation, Record, Span};
use fault_injection::site::Site;
use std::time::Duration;
use system_tests::gatekeeper_output::log_events::{
    CACHE_NOT_USABLE, CACHED_LIST_IN_USE, ENDPOINT_ELIGIBLE, ENDPOINT_NOT_ELIGIBLE, REASON_CRITICAL,
};
use system_tests::gatekeeper_output::status_report;
use system_tests::{Distribution, Table, seconds_or_infinity};

/// The number of backends that die during each outage.
const DEAD_BACKENDS_IN_OUTAGE: f64 = 2.0;
/// Minimum share of requests that are served without faults.
const MIN_FAULT_FREE_SHARE: f64 = 0.999;
/// Maximum time from a change of the catalogue to the last request at the drained backend, s.
const MAX_DRAIN_LAG_S: f64 = 1.0;
/// Maximum number of changes between eligible and not eligible for each flapping backend.
const MAX_CHANGES_PER_FLAPPING_BACKEND: f64 = 8.0;
/// Minimum and maximum ratio of requests at backends with weight 3 to requests at backends with weight 1.
const WEIGHT_RATIO_BOUNDS: [f64; 2] = [2.4, 3.6];
/// Maximum time from a restart to the first served request, s.
const MAX_RESTART_S: f64 = 2.0;
/// Maximum memory growth after the replacement of 100,000 ids, kB.
const MAX_MEMORY_GROWTH_KB: f64 = 20_000.0;

struct Report<'a> {
    table: &'a mut Table,
    timeline: &'a Timeline,
    history: &'a [Record],
    requests: Requests,
    /// The share of requests that are served without faults.
    fault_free_share: f64,
}

/// Fills the table and returns the figures for the last line of the output.
pub(crate) fn report(table: &mut Table, timeline: &Timeline, history: &[Record]) -> String {
    let requests = Requests::of(history);
    let fault_free_share = requests.served_share(timeline.fault_free);
    let mut report = Report { table, timeline, history, requests, fault_free_share };
    report.add_fault_free();
    let max_drain_lag_s = report.add_drains();
    let min_outage_share = report.add_outages();
    report.add_flapping();
    report.add_damaged_responses();
    report.add_replaced_instance();
    let weight_ratio = report.add_weights();
    report.add_restart_with_cache();
    report.add_restart_with_truncated_cache();
    report.add_rule_violations();
    report.add_sizes();
    report.add_memory_growth();
    format!(
        "drains {max_drain_lag_s:.4} s at worst, weight 3:1 as {weight_ratio:.2}, served {min_outage_share:.4} at least in outages"
    )
}

impl Report<'_> {
    fn add_fault_free(&mut self) {
        let length = self.timeline.load.seconds();
        self.table.add("size", format!("{BACKENDS} loan servers, {CLIENTS} clients, {length:.0} s"));
        let fault_free = self.timeline.fault_free;
        let responses_per_second = self.requests.responses(fault_free).all as f64 / fault_free.seconds();
        self.table.add("answers a second, calm", format!("{responses_per_second:.0}"));
        self.table.add_with_minimum("served share, calm", self.fault_free_share, MIN_FAULT_FREE_SHARE);
    }

    /// Adds the drain times. Returns the maximum time from a change of the catalogue to the last request at the drained backend,
    /// s.
    fn add_drains(&mut self) -> f64 {
        let lag_s =
            |drain: &Drain| self.requests.last_arrival_after(&drain.backend, drain.span).as_secs_f64();
        let lags_s: Distribution = self.timeline.drains.iter().map(lag_s).collect();
        let name = "last request come after the word of a drain, s: median of 20";
        self.table.add(name, format!("{:.4}", lags_s.median()));
        let max_lag_s = lags_s.percentile(1.0);
        self.table.add_with_maximum("... worst, s", max_lag_s, MAX_DRAIN_LAG_S);
        let backend = format!("l{FAILOVER_BACKEND}");
        let failover_lag = self.requests.last_arrival_after(&backend, self.timeline.failover);
        let name = "... through the second agent, s";
        self.table.add_with_maximum(name, failover_lag.as_secs_f64(), MAX_DRAIN_LAG_S);
        max_lag_s
    }

    /// Adds the served share of each outage and returns the smallest one.
    fn add_outages(&mut self) -> f64 {
        // First attempts at the dead backends fail and are retried at other backends.
        let min_share = self.fault_free_share - DEAD_BACKENDS_IN_OUTAGE / BACKENDS as f64;
        let mut lowest_share: f64 = 1.0;
        for outage in &self.timeline.outages {
            let share = self.requests.served_share(outage.span);
            let name = format!("served share while Consul is {} and 2 of 12 die", outage.kind);
            self.table.add_with_minimum(&name, share, min_share);
            lowest_share = lowest_share.min(share);
        }
        lowest_share
    }

    fn add_flapping(&mut self) {
        for flapping in &self.timeline.flapping {
            let (backends, span) = (flapping.backends, flapping.span);
            let admitted = self.requests.log_event_count(span, ENDPOINT_ELIGIBLE);
            let drained =
                self.requests.log_event_count_with_reason(span, ENDPOINT_NOT_ELIGIBLE, REASON_CRITICAL);
            let changes_per_backend = (admitted + drained) as f64 / backends as f64;
            let name = format!("{backends} flapping each second for {FLAPS} s: turns of each");
            self.table.add_with_maximum(&name, changes_per_backend, MAX_CHANGES_PER_FLAPPING_BACKEND);
            let share = self.requests.served_share(span);
            self.table.add_with_minimum("... served share", share, self.fault_free_share - 0.01);
        }
    }

    fn add_damaged_responses(&mut self) {
        let damaged = &self.timeline.damaged_responses;
        for (name, span) in [
            ("catalogue wiped for 3 s", damaged.wiped),
            ("answers cut", damaged.truncated),
            ("index going back", damaged.index_back),
        ] {
            let share = self.requests.served_share(span);
            self.table.add_with_minimum(
                &format!("served share, {name}"),
                share,
                self.fault_free_share - 0.001,
            );
        }
    }

    fn add_replaced_instance(&mut self) {
        let arrivals = self.requests.arrival_count("l0", self.timeline.replaced);
        let name = "requests at an address whose instance was replaced";
        self.table.add_with_minimum(name, arrivals as f64, 1.0);
    }

    /// Adds the requests by weight. Returns the ratio of requests at backends with weight 3 to requests at those with weight 1.
    fn add_weights(&mut self) -> f64 {
        let arrivals = |wanted_weight: u32| -> usize {
            let backends = (0..BACKENDS).filter(|&backend| weight(backend) == wanted_weight);
            let names = backends.map(|backend| format!("l{backend}"));
            names.map(|name| self.requests.arrival_count(&name, self.timeline.weighted)).sum()
        };
        let by_weight = [1, 2, 3].map(arrivals);
        let ratio = by_weight[2] as f64 / (by_weight[0] as f64).max(1.0);
        let [min_ratio, max_ratio] = WEIGHT_RATIO_BOUNDS;
        self.table.add("requests by weight 1, 2, 3", format!("{by_weight:?}"));
        self.table.add_with_minimum("weight 3 against 1", ratio, min_ratio);
        self.table.add_with_maximum("weight 3 against 1, at most", ratio, max_ratio);
        ratio
    }

    fn add_restart_with_cache(&mut self) {
        let restart = self.timeline.restarts.with_cache;
        let logged = self.requests.log_event_count(restart, CACHED_LIST_IN_USE);
        let name = "restart while Consul is silent: the log says so";
        self.table.add_with_minimum(name, logged as f64, 1.0);

        let started_us = self.last_process_start_us(restart);
        let first_served_us = self.requests.first_served_after_us(started_us);
        let first_served_after = first_served_us.map(|at_us| Duration::from_micros(at_us - started_us));
        self.table.add_with_maximum(
            "... first served after, s",
            seconds_or_infinity(first_served_after),
            MAX_RESTART_S,
        );

        let share_from = |from_us| self.requests.served_share(Span { from_us, ..restart });
        let share = first_served_us.map_or(0.0, share_from);
        self.table.add_with_minimum("... served share from then on", share, MIN_FAULT_FREE_SHARE);

        let is_reported = self.timeline.restarts.status_report.contains(status_report::CACHED_LIST);
        self.table.add_condition("... the status says so", is_reported);
    }

    /// Returns the time of the last process start before the end of a span, or the start of the span if there is none.
    fn last_process_start_us(&self, span: Span) -> u64 {
        let is_start = |record: &&Record| {
            record.at_us < span.to_us && matches!(record.observation, Observation::ProcessStarted { .. })
        };
        self.history.iter().rev().find(is_start).map_or(span.from_us, |record| record.at_us)
    }

    fn add_restart_with_truncated_cache(&mut self) {
        let restart = self.timeline.restarts.with_truncated_cache;
        let rejected = self.requests.log_event_count(restart, CACHE_NOT_USABLE);
        self.table.add_with_minimum("half of a list file is refused", rejected as f64, 1.0);
    }

    /// Adds the numbers of violations of the rules on final answers and on process exits.
    fn add_rule_violations(&mut self) {
        for rule in [final_answers, unexpected_exits] {
            let violations = rule(self.history, &Site::bounds());
            let first_text = violations.first().map(|violation| violation.text.as_str());
            let name = first_text.unwrap_or("rules on answers and exits broken");
            self.table.add_with_maximum(name, violations.len() as f64, 0.0);
        }
    }

    fn add_sizes(&mut self) {
        for SizeCost { instances, cpu_share, memory_kb } in &self.timeline.sizes {
            let figures = format!("{:.1}% of a core, {memory_kb} kB", cpu_share * 100.0);
            self.table.add(&format!("{instances} instances, 50 changes a second"), figures);
        }
    }

    fn add_memory_growth(&mut self) {
        let MemoryGrowth { before_kb, after_kb } = self.timeline.memory;
        let name = "memory before and after 100,000 replaced ids, kB";
        self.table.add(name, format!("{before_kb}, {after_kb}"));
        let growth_kb = after_kb as f64 - before_kb as f64;
        self.table.add_with_maximum("... growth, kB", growth_kb, MAX_MEMORY_GROWTH_KB);
    }
}
