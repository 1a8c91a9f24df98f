//! The status text for operators. Its wording is documented in docs/operate/periodic-jobs.md.

use super::{Coordinator, RunCounts};
use crate::gossip_node::GossipNode;
use health_check::{BackendHealth, HealthStatus};
use membership::MemberStatus;
use periodic_jobs::{ClockReading, JobStatus};
use std::fmt::Write;
use std::sync::atomic::Ordering;

impl Coordinator {
    pub(super) fn status(&self, now: ClockReading) -> String {
        let mut out = String::from("cluster\n");
        match &self.gossip {
            Some(gossip) => self.write_members(gossip, &mut out),
            None => {
                let _ = writeln!(out, "  {}  alone", self.instance_name);
            }
        }
        self.write_jobs(now, &mut out);
        self.write_health(now, &mut out);
        out
    }

    fn write_members(&self, gossip: &GossipNode, out: &mut String) {
        let counts = gossip.counts();
        let _ = writeln!(
            out,
            "  gossip sent {} ({} bytes)  taken {}  wrong key {}  unusable {}  no room {}",
            counts.datagrams_sent,
            counts.bytes_sent,
            counts.datagrams_accepted,
            counts.authentication_failures,
            counts.malformed,
            counts.over_capacity + self.dropped_datagrams.load(Ordering::Relaxed)
        );
        let _ = writeln!(out, "  {}  this instance", self.instance_name);
        for MemberStatus { member, alive } in gossip.members() {
            let state = if alive { "alive" } else { "down" };
            let _ =
                writeln!(out, "  {}  {}  {state}  since {}", member.name, member.address, member.generation);
        }
    }

    fn write_jobs(&self, now: ClockReading, out: &mut String) {
        let store = if self.scheduler.is_store_unavailable() { "away" } else { "answers" };
        let RunCounts { succeeded, failed, deadline_passed, queue_full } = self.run_counts;
        let _ = writeln!(
            out,
            "duties\n  claim store {store}  done {succeeded}  failed {failed}  too late {deadline_passed}  \
             no room {queue_full}"
        );
        for status in self.scheduler.job_statuses() {
            let _ = writeln!(
                out,
                "  {}  every {} ms  owner {}  {}  token here {}",
                status.job.name,
                status.job.period.as_millis(),
                status.owner,
                last_run(now, &status),
                status.last_started_run
            );
        }
    }

    fn write_health(&self, now: ClockReading, out: &mut String) {
        let Some(health) = &self.health_monitor else { return };
        out.push_str("probes\n");
        for (id, BackendHealth { status, report_age }) in health.health(now.monotonic) {
            let status = match status {
                HealthStatus::Unknown => "unknown, by its traffic alone",
                HealthStatus::Healthy => "well",
                HealthStatus::Ejected => "out",
                HealthStatus::EjectionLimited => "fails, in use since too many are out",
            };
            let age = report_age.map_or("never probed".into(), |age| format!("{} ms old", age.as_millis()));
            let _ = writeln!(out, "  {id}  {status}  {age}");
        }
    }
}

fn last_run(now: ClockReading, status: &JobStatus) -> String {
    match &status.last_run {
        Some(last) if last.holder.is_empty() => format!("begins after round {}", last.run),
        Some(last) => {
            let age_ms = now.unix.saturating_since(last.run.into()).as_millis();
            format!("last round {} by {}, {age_ms} ms ago", last.run, last.holder)
        }
        None => "no round seen".into(),
    }
}
