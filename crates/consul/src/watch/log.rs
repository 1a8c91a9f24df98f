//! The log lines of a watch. docs/ONCALL.md explains each.

use super::ServiceWatch;
use crate::QueryError;
use catalogue::{EligibilityReason, InvalidInstance, Timestamp, WatchEvent};

/// Maximum number of log lines about single instances for one change.
const MAX_INSTANCE_LINES: usize = 8;

impl ServiceWatch {
    pub(super) fn log_agent_selected(&self, agent: usize) {
        let (service, agent) = (&self.config.service, self.consul.agents[agent]);
        tracing::info!("consul: {service}: polling agent {agent} now");
    }

    pub(super) fn log_agent_recovered(&self, agent: usize) {
        let (service, agent) = (&self.config.service, self.consul.agents[agent]);
        tracing::info!("consul: {service}: agent {agent} answers again");
    }

    pub(super) fn log_agent_failed(&self, agent: usize, error: &QueryError) {
        let (service, agent) = (&self.config.service, self.consul.agents[agent]);
        tracing::warn!("consul: {service}: agent {agent} does not answer ({error}); the last list stays");
    }

    pub(super) fn log_stale_response(&self, error: &QueryError) {
        let service = &self.config.service;
        tracing::warn!("consul: {service}: no news ({error}); the last list stays");
    }

    pub(super) fn log_invalid(&self, invalid: &[InvalidInstance]) {
        let service = &self.config.service;
        for InvalidInstance { id, error } in invalid.iter().take(MAX_INSTANCE_LINES) {
            tracing::warn!("consul: {service}: {id} left out: {error}");
        }
    }

    pub(super) fn log_events(&self, events: &[WatchEvent]) {
        let is_change = |event: &&WatchEvent| matches!(event, WatchEvent::EligibilityChanged { .. });
        let mut instance_lines = 0;
        for event in events {
            if is_change(&event) {
                instance_lines += 1;
            }
            if !is_change(&event) || instance_lines <= MAX_INSTANCE_LINES {
                self.log_event(event);
            }
        }
        let more = events.iter().filter(is_change).count().saturating_sub(MAX_INSTANCE_LINES);
        if more > 0 {
            let service = &self.config.service;
            tracing::info!(service, more, "consul: {service}: and {more} more changes");
        }
    }

    fn log_event(&self, event: &WatchEvent) {
        let service = &self.config.service;
        match event {
            WatchEvent::ListChanged { listed, eligible } => tracing::info!(
                service,
                all = listed,
                working = eligible,
                "consul: {service}: {listed} instances, {eligible} of them take work"
            ),
            WatchEvent::EligibilityChanged { id, eligible: true, .. } => tracing::info!(
                service, server = %id, takes_work = true, "consul: {service}: {id} takes work"
            ),
            WatchEvent::EligibilityChanged { id, eligible: false, reason } => {
                let why = self.describe(*reason);
                tracing::info!(
                    service, server = %id, takes_work = false, "consul: {service}: {id} takes no work: {why}"
                );
            }
            WatchEvent::SuddenLoss { vanished, of, retained } => {
                let hold = self.config.stability.sudden_loss_retention.as_secs();
                tracing::info!(
                    "consul: {service}: {vanished} of {of} vanished in one response; {retained} that still answer are retained for {hold} s"
                );
            }
            WatchEvent::LossAccepted { count } => {
                tracing::info!("consul: {service}: the loss of {count} instances is accepted now");
            }
        }
    }

    /// Describes for operators why an endpoint is eligible or not.
    pub(super) fn describe(&self, reason: EligibilityReason) -> String {
        let seconds_left =
            |until: Timestamp| until.saturating_since(self.last_answers.now()).as_millis().div_ceil(1000);
        match reason {
            EligibilityReason::Listed => "it is listed".into(),
            EligibilityReason::Unhealthy(health) => format!("it is {}", health.name()),
            EligibilityReason::Flapping(until) => {
                format!("it is flapping, and is held for {} s", seconds_left(until))
            }
            EligibilityReason::DuplicateAddress => "another instance has its address".into(),
            EligibilityReason::ZeroWeight => "its weight is 0".into(),
            EligibilityReason::Retained(until) => {
                format!("it vanished with many, and is retained for {} s", seconds_left(until))
            }
            EligibilityReason::Deregistered => "it is no longer listed".into(),
        }
    }
}

#[cfg(test)]
mod tests;
