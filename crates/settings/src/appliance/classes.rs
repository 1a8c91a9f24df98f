//! The table `[[class]]`: classes of requests and their times.

use super::LimitsConfig;
use serde::Deserialize;

/// What a repetition of a request may do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RepeatEffect {
    /// Nothing: requests are idempotent, and may be retried and hedged.
    Safe,
    /// Harm: a request that may have been executed is never sent again.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// Its name in the descriptions.
    pub name: String,
    /// What a repetition may do.
    pub repeat: RepeatEffect,
    /// Latency objective in milliseconds.
    #[serde(rename = "wanted_ms")]
    pub latency_objective_ms: u64,
    /// Clients give up after this many milliseconds.
    pub deadline_ms: u64,
    /// Limit on the attempts of one request, if not `limits.route_steps`.
    #[serde(rename = "attempts")]
    pub max_attempts: Option<u32>,
    /// Time-out of one attempt in milliseconds, connecting included; without it, until the client gives up.
    #[serde(rename = "attempt_ms")]
    pub attempt_timeout_ms: Option<u64>,
    /// A hedged request may be sent after this many milliseconds; without it, after a part of the latency objective.
    #[serde(rename = "copy_after_ms")]
    pub hedge_after_ms: Option<u64>,
    /// Priority weight of one unit.
    #[serde(rename = "worth", default = "one")]
    pub priority_weight: f64,
}

fn one() -> f64 {
    1.0
}

impl ClassConfig {
    /// The stated times, as their rules are checked.
    pub(super) fn timing(&self, limits: &LimitsConfig) -> timing::ClassTiming {
        timing::ClassTiming {
            class: self.name.clone(),
            idempotent: self.repeat == RepeatEffect::Safe,
            latency_objective_ms: self.latency_objective_ms,
            deadline_ms: self.deadline_ms,
            connect_timeout_ms: limits.connect_timeout_ms,
            attempt_limit: limits.max_attempts,
            max_attempts: self.max_attempts,
            attempt_timeout_ms: self.attempt_timeout_ms,
            hedge_after_ms: self.hedge_after_ms,
        }
    }
}
