//! Leases in Consul's KV store: the requests to its HTTP API (its pages on the KV store, sessions and transactions), and
//! the parsing of the responses.
//!
//! A session is created, and a key of its own is acquired with it. A compare-and-set is then one transaction of two
//! operations: `check-session` on that key, which fails once the session has ended or the store came back empty, and `cas`
//! on the job's key, which fails where the key has changed. The response holds the new `ModifyIndex`, so the next
//! compare-and-set on the same key needs no read.

mod response;

pub use response::Response;

use crate::{LeaseRecord, Session};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;

/// The folder of the jobs' keys below the prefix.
const JOBS_FOLDER: &str = "duties";
/// The folder of the sessions' own keys below the prefix.
const SESSIONS_FOLDER: &str = "holders";

/// An HTTP method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// `GET`.
    Get,
    /// `PUT`.
    Put,
}

impl Method {
    /// Its name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Put => "PUT",
        }
    }
}

/// A request to Consul.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The body; empty for none.
    pub body: String,
}

impl Request {
    fn put(target: String, body: String) -> Self {
        Self { method: Method::Put, target, body }
    }

    /// Renews a session; answered by [`Response::session_exists`].
    pub fn renew_session(session: &Session) -> Self {
        Self::put(format!("/v1/session/renew/{}", session.id), String::new())
    }

    /// Ends a session.
    pub fn destroy_session(session: &Session) -> Self {
        Self::put(format!("/v1/session/destroy/{}", session.id), String::new())
    }

    /// Acquires the session's own key; answered by [`Response::key_acquired`].
    pub fn acquire_session_key(session: &Session, instance: &str) -> Self {
        let target = format!("/v1/kv/{}?acquire={}", escape_path(&session.key), session.id);
        Self::put(target, instance.to_owned())
    }

    /// Creates a session that ends after `ttl_s` seconds without renewal, and its key with it. There is no lock delay:
    /// runs are made exclusive by compare-and-set, and a delay would only keep a restarted instance out. Answered by
    /// [`LeaseKeys::created_session`].
    pub fn create_session(instance: &str, ttl_s: u64) -> Self {
        let body = serde_json::json!({
            "Name": format!("snowfield {instance}"), "TTL": format!("{ttl_s}s"), "LockDelay": "0s", "Behavior": "delete"
        });
        Self::put("/v1/session/create".into(), body.to_string())
    }
}

/// The keys of the leases in Consul's KV store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseKeys {
    /// In front of every key, without a slash at the end.
    pub prefix: String,
}

impl LeaseKeys {
    /// The key of a job.
    pub fn job(&self, job: &str) -> String {
        format!("{}/{JOBS_FOLDER}/{job}", self.prefix)
    }

    /// The key that a session holds.
    fn session(&self, id: &str) -> String {
        format!("{}/{SESSIONS_FOLDER}/{id}", self.prefix)
    }

    /// Reads the lease of one job, or of all jobs where `job` is `None`; answered by [`LeaseKeys::listing`].
    pub fn read_request(&self, job: Option<&str>) -> Request {
        let target = match job {
            Some(job) => format!("/v1/kv/{}?consistent", escape_path(&self.job(job))),
            None => format!("/v1/kv/{}/{JOBS_FOLDER}/?recurse&consistent", escape_path(&self.prefix)),
        };
        Request { method: Method::Get, target, body: String::new() }
    }

    /// Writes a record if the index of the job's key is still this one, 0 standing for no key, and the session exists;
    /// answered by [`LeaseKeys::compare_and_set_outcome`].
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
            {"KV": {"Verb": verb, "Key": self.job(job), "Value": value, "Index": expected_index}},
        ]);
        Request::put("/v1/txn".into(), body.to_string())
    }
}

/// Percent-encodes what must not stand in a path; the slash may.
fn escape_path(path: &str) -> String {
    path.split('/').map(http::percent_encode).collect::<Vec<_>>().join("/")
}

#[cfg(test)]
mod tests;
