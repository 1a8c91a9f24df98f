//! Leases in Consul's KV store: requests to Consul's HTTP API (KV store, sessions and transactions) and their responses.
//!
//! An instance creates a session and acquires one key with it, the session key. A compare-and-set is a transaction of two
//! operations. `check-session` on the session key fails if the session has ended or the store has lost its data. `cas` on the
//! job's key fails if the key has changed. The response contains the new `ModifyIndex`, so the next compare-and-set on the
//! same key needs no read.

mod response;

pub use response::Response;

use crate::{LeaseRecord, Session};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use std::time::Duration;

/// The folder of the job keys below the prefix.
const JOBS_FOLDER: &str = "duties";
/// The folder of the session keys below the prefix.
const SESSIONS_FOLDER: &str = "holders";

/// An HTTP method of Consul's API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// `GET`, for reads.
    Get,
    /// `PUT`, for writes and for calls that concern a session.
    Put,
}

impl Method {
    /// Returns the method's name in the HTTP request line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Put => "PUT",
        }
    }
}

/// An HTTP request to Consul.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// `GET` for reads, `PUT` for all other calls.
    pub method: Method,
    /// The percent-encoded path and query.
    pub target: String,
    /// The request body: JSON or a plain value. Empty for a request without a body.
    pub body: String,
}

impl Request {
    fn put(target: String, body: String) -> Self {
        Self { method: Method::Put, target, body }
    }

    /// Builds the request that renews a session, so that its TTL starts again. Parse the response with
    /// [`Response::session_exists`].
    pub fn renew_session(session: &Session) -> Self {
        Self::put(format!("/v1/session/renew/{}", session.id), String::new())
    }

    /// Builds the request that ends a session. Consul then deletes the session key.
    pub fn destroy_session(session: &Session) -> Self {
        Self::put(format!("/v1/session/destroy/{}", session.id), String::new())
    }

    /// Acquires the session key and stores the instance's name in it. Parse the response with [`Response::key_acquired`].
    pub fn acquire_session_key(session: &Session, instance: &str) -> Self {
        let target = format!("/v1/kv/{}?acquire={}", escape_path(&session.key), session.id);
        Self::put(target, instance.to_owned())
    }

    /// Creates a session that expires after `ttl` without renewal. Consul then deletes the session key. Fractions of a second
    /// of `ttl` are dropped. There is no lock delay: compare-and-set makes runs exclusive, and a delay would only block a
    /// restarted instance. Parse the response with [`LeaseKeys::created_session`].
    pub fn create_session(instance: &str, ttl: Duration) -> Self {
        let body = serde_json::json!({
            "Name": format!("snowfield {instance}"),
            "TTL": format!("{}s", ttl.as_secs()),
            "LockDelay": "0s",
            "Behavior": "delete",
        });
        Self::put("/v1/session/create".into(), body.to_string())
    }
}

/// The layout of the keys of leases and sessions in Consul's KV store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseKeys {
    /// The prefix of all keys, without a trailing slash.
    pub prefix: String,
}

impl LeaseKeys {
    /// Returns the key that holds the lease record of a job.
    pub fn job_key(&self, job: &str) -> String {
        format!("{}/{JOBS_FOLDER}/{job}", self.prefix)
    }

    /// Returns the key that the session with this id holds.
    fn session_key(&self, id: &str) -> String {
        format!("{}/{SESSIONS_FOLDER}/{id}", self.prefix)
    }

    /// Builds the request that reads the lease of one job, or of all jobs if `job` is `None`. Parse the response with
    /// [`LeaseKeys::listing`].
    pub fn read_request(&self, job: Option<&str>) -> Request {
        let target = match job {
            Some(job) => format!("/v1/kv/{}?consistent", escape_path(&self.job_key(job))),
            None => format!("/v1/kv/{}/{JOBS_FOLDER}/?recurse&consistent", escape_path(&self.prefix)),
        };
        Request { method: Method::Get, target, body: String::new() }
    }

    /// Writes a record if the job's key has the expected index and the session exists.
    /// [`ABSENT_KEY_INDEX`](crate::ABSENT_KEY_INDEX) means that the key must not exist. Parse the response with
    /// [`LeaseKeys::compare_and_set_outcome`].
    pub fn compare_and_set_request(
        &self,
        session: &Session,
        job: &str,
        record: &LeaseRecord,
        expected_index: u64,
    ) -> Request {
        let value = STANDARD.encode(serde_json::to_vec(record).unwrap_or_default());
        let verb = if seeded_faults::is_active("rounds") { "set" } else { "cas" };
        let body = serde_json::json!([
            {"KV": {"Verb": "check-session", "Key": session.key, "Session": session.id}},
            {"KV": {"Verb": verb, "Key": self.job_key(job), "Value": value, "Index": expected_index}},
        ]);
        Request::put("/v1/txn".into(), body.to_string())
    }
}

/// Percent-encodes each segment of a path and keeps the slashes.
fn escape_path(path: &str) -> String {
    path.split('/').map(http::percent_encode).collect::<Vec<_>>().join("/")
}

#[cfg(test)]
mod tests;
