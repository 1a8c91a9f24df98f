//! The table `[[class]]`: classes of requests and their timing.

use super::LimitsConfig;
use serde::Deserialize;

/// Effect of executing a request again.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RepeatEffect {
    /// No effect: requests are idempotent, and may be retried and hedged.
    Safe,
    /// A harmful effect: a request that may have been executed is never retried.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// Name of the class, as in the OpenAPI descriptions.
    pub name: String,
    /// Effect of executing a request of this class again, which decides on retries and hedged requests.
    pub repeat: RepeatEffect,
    /// Latency objective: the time in milliseconds within which clients want the answer.
    #[serde(rename = "wanted_ms")]
    pub latency_objective_ms: u64,
    /// Deadline in milliseconds, after which clients give up.
    pub deadline_ms: u64,
    /// Maximum number of attempts of one request; `limits.route_steps` by default.
    #[serde(rename = "attempts")]
    pub max_attempts: Option<u32>,
    /// Timeout of one attempt in milliseconds, including the time to connect. By default an attempt may last until the deadline.
    #[serde(rename = "attempt_ms")]
    pub attempt_timeout_ms: Option<u64>,
    /// Delay of a hedged request in milliseconds; by default a fraction of the latency objective.
    #[serde(rename = "copy_after_ms")]
    pub hedge_after_ms: Option<u64>,
    /// Priority weight of one unit of this class, relative to other classes.
    #[serde(rename = "worth", default = "one")]
    pub priority_weight: f64,
}

fn one() -> f64 {
    1.0
}

impl ClassConfig {
    /// The values of the class that the timing rules check.
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
