//! What it came to.

use crate::requests::Requests;
use crate::scenario::FAILOVER_BACKEND;
use crate::timeline::{Drain, MemoryGrowth, SizeCost, Timeline};
use crate::{BACKENDS, CLIENTS, FLAPS};
use fault_injection::checkers::{final_answers, unexpected_exits};
use fault_injection::history::{Observation, Outcome, Record, Span};
use fault_injection::site::Site;
use system_tests::gatekeeper_output::log_events::{
    CACHE_NOT_USABLE, CACHED_LIST_IN_USE, ENDPOINT_ELIGIBLE, ENDPOINT_NOT_ELIGIBLE, REASON_CRITICAL,
};
use system_tests::gatekeeper_output::status_report;
use system_tests::{Table, percentile, seconds};

/// Backends that are really dead in an outage.
const DEAD_IN_OUTAGE: f64 = 2.0;

struct Report<'a> {
    table: &'a mut Table,
    timeline: &'a Timeline,
    history: &'a [Record],
    requests: Requests,
    /// The served share without faults.
    calm_share: f64,
}

/// Fills the table and returns the last line's figures.
pub(crate) fn report(table: &mut Table, timeline: &Timeline, history: &[Record]) -> String {
    let requests = Requests::of(history);
    let calm_share = requests.served(timeline.calm).share;
    let mut report = Report { table, timeline, history, requests, calm_share };
    report.calm();
    let worst_lag = report.drains();
    let least_share = report.outages();
    report.flapping();
    report.damaged_answers();
    let ratio = report.weights();
    report.restarts();
    report.rules();
    report.sizes();
    format!(
        "drains {worst_lag:.4} s at worst, weight 3:1 as {ratio:.2}, served {least_share:.4} at least in outages"
    )
}

impl Report<'_> {
    fn calm(&mut self) {
        let length = self.timeline.load.seconds();
        self.table.add("size", format!("{BACKENDS} loan servers, {CLIENTS} clients, {length:.0} s"));
        let rate = self.requests.served(self.timeline.calm).answers as f64 / self.timeline.calm.seconds();
        self.table.add("answers a second, calm", format!("{rate:.0}"));
        self.table.add_with_minimum("served share, calm", self.calm_share, 0.999);
    }

    /// Returns how long after a drain the last request came, at worst, s.
    fn drains(&mut self) -> f64 {
        let lag = |drain: &Drain| self.requests.last_arrival_after(&drain.backend, drain.span);
        let mut lags: Vec<f64> = self.timeline.drains.iter().map(lag).collect();
        lags.sort_by(f64::total_cmp);
        let name = "last request come after the word of a drain, s: median of 20";
        self.table.add(name, format!("{:.4}", percentile(&lags, 0.5)));
        let worst = percentile(&lags, 1.0);
        self.table.add_with_maximum("... worst, s", worst, 1.0);
        let backend = format!("l{FAILOVER_BACKEND}");
        let failover = self.requests.last_arrival_after(&backend, self.timeline.failover);
        self.table.add_with_maximum("... through the second agent, s", failover, 1.0);
        worst
    }

    /// Returns the least share that was served in an outage.
    fn outages(&mut self) -> f64 {
        let mut least: f64 = 1.0;
        for outage in &self.timeline.outages {
            // What is tried at the dead ones is tried elsewhere.
            let share = self.requests.served(outage.span).share;
            least = least.min(share);
            let name = format!("served share while Consul is {} and 2 of 12 die", outage.kind);
            self.table.add_with_minimum(&name, share, self.calm_share - DEAD_IN_OUTAGE / BACKENDS as f64);
        }
        least
    }

    fn flapping(&mut self) {
        for flapping in &self.timeline.flapping {
            let (count, span) = (flapping.backends, flapping.span);
            let changes = self.requests.logged(span, ENDPOINT_ELIGIBLE)
                + self.requests.logged_with_reason(span, ENDPOINT_NOT_ELIGIBLE, REASON_CRITICAL);
            let each = changes as f64 / count as f64;
            let name = format!("{count} flapping each second for {FLAPS} s: turns of each");
            self.table.add_with_maximum(&name, each, 8.0);
            let share = self.requests.served(span).share;
            self.table.add_with_minimum("... served share", share, self.calm_share - 0.01);
        }
    }

    fn damaged_answers(&mut self) {
        for (what, span) in [
            ("catalogue wiped for 3 s", self.timeline.wiped),
            ("answers cut", self.timeline.truncated),
            ("index going back", self.timeline.index_back),
        ] {
            let share = self.requests.served(span).share;
            self.table.add_with_minimum(&format!("served share, {what}"), share, self.calm_share - 0.001);
        }
        let replaced = self.requests.arrived("l0", self.timeline.replaced);
        let name = "requests at an address whose instance was replaced";
        self.table.add_with_minimum(name, replaced as f64, 1.0);
    }

    /// Returns how many requests weight 3 got for one of weight 1.
    fn weights(&mut self) -> f64 {
        let arrived = |weight: usize| -> usize {
            let backends = (0..BACKENDS).filter(|i| i % 3 + 1 == weight);
            backends.map(|i| self.requests.arrived(&format!("l{i}"), self.timeline.weighted)).sum()
        };
        let by_weight = [1, 2, 3].map(arrived);
        let ratio = by_weight[2] as f64 / (by_weight[0] as f64).max(1.0);
        self.table.add("requests by weight 1, 2, 3", format!("{by_weight:?}"));
        self.table.add_with_minimum("weight 3 against 1", ratio, 2.4);
        self.table.add_with_maximum("weight 3 against 1, at most", ratio, 3.6);
        ratio
    }

    fn restarts(&mut self) {
        let restart = self.timeline.restart;
        let logged = self.requests.logged(restart, CACHED_LIST_IN_USE);
        self.table.add_with_minimum("restart while Consul is silent: the log says so", logged as f64, 1.0);
        let is_start = |record: &&Record| {
            record.at_us < restart.to_us && matches!(record.observation, Observation::ProcessStarted { .. })
        };
        let start = self.history.iter().rev().find(is_start);
        let started_us = start.map_or(restart.from_us, |record| record.at_us);
        let answers = self.requests.answers.iter();
        let first = answers.clone().find(|a| a.at_us > started_us && a.outcome == Outcome::Served);
        let first_us = first.map(|answer| answer.at_us);
        let after = first_us.map_or(f64::INFINITY, |at_us| seconds(at_us - started_us));
        self.table.add_with_maximum("... first served after, s", after, 2.0);
        let from_disk = |from_us| self.requests.served(Span { from_us, ..restart }).share;
        let share = first_us.map_or(0.0, from_disk);
        self.table.add_with_minimum("... served share from then on", share, 0.999);
        let shown = self.timeline.status.contains(status_report::CACHED_LIST);
        self.table.add_condition("... the status says so", shown);
        let rejected = self.requests.logged(self.timeline.torn, CACHE_NOT_USABLE);
        self.table.add_with_minimum("half of a list file is refused", rejected as f64, 1.0);
    }

    fn rules(&mut self) {
        for rule in [final_answers, unexpected_exits] {
            let violations = rule(self.history, &Site::bounds());
            let text =
                violations.first().map_or("rules on answers and exits broken", |violation| &violation.text);
            self.table.add_with_maximum(text, violations.len() as f64, 0.0);
        }
    }

    fn sizes(&mut self) {
        for SizeCost { instances, cpu_share, memory_kb } in &self.timeline.sizes {
            let figures = format!("{:.1}% of a core, {memory_kb} kB", cpu_share * 100.0);
            self.table.add(&format!("{instances} instances, 50 changes a second"), figures);
        }
        let MemoryGrowth { before_kb, after_kb } = self.timeline.memory;
        let name = "memory before and after 100,000 replaced ids, kB";
        self.table.add(name, format!("{before_kb}, {after_kb}"));
        self.table.add_with_maximum("... growth, kB", after_kb as f64 - before_kb as f64, 20_000.0);
    }
}
