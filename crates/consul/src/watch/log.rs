//! Log events of a watch. Each message is explained in docs/ONCALL.md.

use super::ServiceWatch;
use crate::QueryError;
use catalogue::{EligibilityReason, InvalidInstance, WatchEvent};
use timestamps::MonotonicTime;

/// Maximum number of log events about single instances for one response or list change.
const MAX_INSTANCE_EVENTS: usize = 8;

impl ServiceWatch {
    pub(super) fn log_agent_selected(&self, agent: usize) {
        let (service, agent) = (&self.config.service, self.consul_config.agents[agent]);
        tracing::info!(service, %agent, "agent selected");
    }

    pub(super) fn log_agent_recovered(&self, agent: usize) {
        let (service, agent) = (&self.config.service, self.consul_config.agents[agent]);
        tracing::info!(service, %agent, "agent recovered");
    }

    pub(super) fn log_agent_failed(&self, agent: usize, error: &QueryError) {
        let (service, agent) = (&self.config.service, self.consul_config.agents[agent]);
        tracing::warn!(service, %agent, %error, "agent unreachable, previous list kept in force");
    }

    pub(super) fn log_stale_response(&self, error: &QueryError) {
        let service = &self.config.service;
        tracing::warn!(service, %error, "watch failed, previous list kept in force");
    }

    pub(super) fn log_invalid(&self, invalid: &[InvalidInstance]) {
        let service = &self.config.service;
        for InvalidInstance { id, error } in invalid.iter().take(MAX_INSTANCE_EVENTS) {
            tracing::warn!(service, backend = %id, %error, "invalid instance in health response ignored");
        }
    }

    pub(super) fn log_events(&self, events: &[WatchEvent]) {
        let mut change_count: usize = 0;
        for event in events {
            let is_change = matches!(event, WatchEvent::EligibilityChanged { .. });
            change_count += usize::from(is_change);
            if !is_change || change_count <= MAX_INSTANCE_EVENTS {
                self.log_event(event);
            }
        }
        let count = change_count.saturating_sub(MAX_INSTANCE_EVENTS);
        if count > 0 {
            let service = &self.config.service;
            tracing::info!(service, count, "further eligibility changes not logged");
        }
    }

    fn log_event(&self, event: &WatchEvent) {
        let service = &self.config.service;
        match event {
            WatchEvent::ListChanged { listed, eligible } => {
                tracing::info!(service, listed, eligible_count = eligible, "endpoint list changed")
            }
            WatchEvent::EligibilityChanged { id, eligible: true, .. } => tracing::info!(
                service, backend = %id, eligible = true, "endpoint eligible"
            ),
            WatchEvent::EligibilityChanged { id, eligible: false, reason } => {
                let reason = self.describe_reason(*reason);
                tracing::info!(service, backend = %id, eligible = false, reason, "endpoint not eligible");
            }
            WatchEvent::SuddenLoss { vanished, eligible_before, retained } => {
                let hold_seconds = self.config.stability.sudden_loss_retention.as_secs();
                tracing::info!(
                    service,
                    vanished,
                    listed = eligible_before,
                    retained,
                    hold_seconds,
                    "sudden loss of endpoints, those that still answer are retained"
                );
            }
            WatchEvent::RetentionEnded { count } => {
                tracing::info!(service, count, "retention after a sudden loss ended, endpoints removed");
            }
        }
    }

    /// Returns the text for operators on why an endpoint is eligible or not, which appears in the log and on the console.
    pub(super) fn describe_reason(&self, reason: EligibilityReason) -> String {
        let seconds_left =
            |until: MonotonicTime| until.saturating_since(self.last_answers.now()).as_millis().div_ceil(1000);
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
