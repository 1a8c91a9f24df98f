//! The tables `[quota]`, `[limits]` and `[fleet]`.

use crate::SettingsError;
use crate::validation::{check_minimum, check_range};
use serde::Deserialize;
use std::net::SocketAddr;

/// What the program itself needs, and some connections on both sides.
const MIN_SOCKETS: usize = 128;
const ATTEMPTS: std::ops::RangeInclusive<u32> = 1..=16;

/// How the quotas are shared.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaConfig {
    /// Gatekeepers that share the quotas.
    pub gatekeepers: u32,
    /// The number of this one, from 0.
    pub number: u32,
    /// The quota counter; without one each gatekeeper keeps to an even share.
    pub counter: Option<SocketAddr>,
    /// Time-out of a call to it, in milliseconds.
    #[serde(rename = "counter_wait_ms")]
    pub counter_timeout_ms: u64,
    /// Limit on Retry-After, in milliseconds.
    #[serde(rename = "longest_retry_after_ms")]
    pub max_retry_after_ms: u64,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        Self { gatekeepers: 1, number: 0, counter: None, counter_timeout_ms: 30, max_retry_after_ms: 60_000 }
    }
}

/// Limits and time-outs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsConfig {
    /// Limit on a request's body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Limit on a backend's response, in bytes.
    #[serde(rename = "answer_bytes")]
    pub max_response_bytes: usize,
    /// Limit on the connections of both sides together.
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
    /// Time-out for connecting to a backend, in milliseconds.
    #[serde(rename = "connect_ms")]
    pub connect_timeout_ms: u64,
    /// An idle connection to a backend is closed after this many milliseconds.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: u64,
    /// Limit on the attempts of one request.
    #[serde(rename = "route_steps")]
    pub max_attempts: u32,
    /// A client must have sent a complete request, or read its response, within this many milliseconds.
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
        check_range("limits.route_steps", self.max_attempts, ATTEMPTS)
    }
}

/// How backends warm up after a start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SlowStartConfig {
    /// The share of its capacity that a backend has at first.
    #[serde(rename = "cold_share")]
    pub initial_share: f64,
    /// It is warm after this many milliseconds; 0 for at once.
    #[serde(rename = "cold_ms")]
    pub duration_ms: u64,
    /// A backend that is sent more than this multiple of its capacity while it warms up ...
    pub overload_factor: f64,
    /// ... for this many milliseconds collapses.
    #[serde(rename = "fall_ms")]
    pub collapse_after_ms: u64,
}

impl Default for SlowStartConfig {
    fn default() -> Self {
        Self { initial_share: 1.0, duration_ms: 0, overload_factor: 2.0, collapse_after_ms: 1_000 }
    }
}
