//! The tables `[quota]`, `[limits]` and `[fleet]`: sharing of quotas, limits and timeouts, and slow start.

use crate::SettingsError;
use crate::validation::{check_minimum, check_range};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Minimum of `limits.sockets`: enough for the descriptors of the program itself and some connections on both sides.
const MIN_SOCKETS: usize = 128;
const MAX_ATTEMPTS_RANGE: RangeInclusive<u32> = 1..=16;

/// Sharing of quotas among gatekeepers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaConfig {
    /// Number of gatekeepers that share the quotas.
    pub gatekeepers: u32,
    /// Number of this gatekeeper among the gatekeepers that share the quotas, from 0.
    pub number: u32,
    /// Address of the quota counter; `None` if there is no counter, so that each gatekeeper grants an even share of each quota.
    pub counter: Option<SocketAddr>,
    /// Timeout of a call to the counter, in milliseconds.
    #[serde(rename = "counter_wait_ms")]
    pub counter_timeout_ms: u64,
    /// Maximum Retry-After of a rejection in milliseconds.
    #[serde(rename = "longest_retry_after_ms")]
    pub max_retry_after_ms: u64,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        Self { gatekeepers: 1, number: 0, counter: None, counter_timeout_ms: 30, max_retry_after_ms: 60_000 }
    }
}

/// Limits on sizes, connections and attempts, and timeouts of connections.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsConfig {
    /// Maximum size of a request body in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Maximum size of a backend's response in bytes.
    #[serde(rename = "answer_bytes")]
    pub max_response_bytes: usize,
    /// Maximum number of connections to clients and backends together.
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
    /// Timeout for connecting to a backend, in milliseconds.
    #[serde(rename = "connect_ms")]
    pub connect_timeout_ms: u64,
    /// Time in milliseconds after which an idle connection to a backend is closed.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: u64,
    /// Maximum number of attempts of one request.
    #[serde(rename = "route_steps")]
    pub max_attempts: u32,
    /// Time in milliseconds within which a client has to send a complete request, or to read its response.
    #[serde(rename = "patience_ms")]
    pub client_timeout_ms: u64,
}

impl Default for LimitsConfig {
    fn default() -> Self {
        Self {
            max_body_bytes: 65_536,
            max_response_bytes: 1_048_576,
            max_sockets: 1024,
            connect_timeout_ms: 250,
            idle_timeout_ms: 15_000,
            max_attempts: 3,
            client_timeout_ms: 10_000,
        }
    }
}

impl LimitsConfig {
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        check_minimum("limits.sockets", self.max_sockets, MIN_SOCKETS)?;
        check_range("limits.route_steps", self.max_attempts, MAX_ATTEMPTS_RANGE)
    }
}

/// The table `[fleet]`: how backends behave after their start, which limits the load they are sent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SlowStartConfig {
    /// Share of its capacity that a backend has right after its start.
    #[serde(rename = "cold_share")]
    pub initial_share: f64,
    /// Duration of slow start in milliseconds; 0 for no slow start.
    #[serde(rename = "cold_ms")]
    pub duration_ms: u64,
    /// Load at which a backend in slow start becomes overloaded, as a multiple of its current capacity.
    pub overload_factor: f64,
    /// Time in milliseconds after which a backend in slow start fails under a load above `overload_factor`.
    #[serde(rename = "fall_ms")]
    pub collapse_after_ms: u64,
}

impl Default for SlowStartConfig {
    fn default() -> Self {
        Self { initial_share: 1.0, duration_ms: 0, overload_factor: 2.0, collapse_after_ms: 1_000 }
    }
}
