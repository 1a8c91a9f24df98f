//! Parsers for the responses of Consul's HTTP API.

use super::LeaseKeys;
use crate::{
    CompareAndSetOutcome, LeaseListing, LeaseRecord, ListedLease, Session, StoreError, StoreErrorCause,
    StoredLease,
};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use std::collections::HashMap;

/// The size limit of a lease record, encoded in base64.
const MAX_RECORD_BYTES: usize = 1024;
/// The length limit of a session id.
const MAX_SESSION_ID_BYTES: usize = 64;
/// The position of the `check-session` operation in a transaction.
const CHECK_SESSION_OPERATION: usize = 0;
const HTTP_OK: u16 = 200;
const HTTP_NOT_FOUND: u16 = 404;
/// The status of a transaction that was rolled back.
const HTTP_CONFLICT: u16 = 409;

/// An HTTP response from Consul.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the header `X-Consul-Index`. 0 if the header is absent.
    pub index: u64,
    /// The complete response body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns whether the session key was acquired.
    ///
    /// # Errors
    ///
    /// Returns an error if the status is not 200 or the body is not a JSON boolean.
    pub fn key_acquired(&self) -> Result<bool, StoreError> {
        self.parse()
    }

    /// Returns whether the session to renew still exists.
    ///
    /// # Errors
    ///
    /// Returns an error if the status is neither 200 nor 404.
    pub fn session_exists(&self) -> Result<bool, StoreError> {
        match self.status {
            HTTP_OK => Ok(true),
            HTTP_NOT_FOUND => Ok(false),
            _ => Err(self.status_error()),
        }
    }

    fn parse<T: for<'a> Deserialize<'a>>(&self) -> Result<T, StoreError> {
        if self.status != HTTP_OK {
            return Err(self.status_error());
        }
        serde_json::from_slice(&self.body).map_err(unreadable_response)
    }

    /// Returns the error for an unexpected status. Consul responds with a client error (4xx) only before it applies
    /// anything. A response with any other status may follow an applied write.
    fn status_error(&self) -> StoreError {
        let cause = StoreErrorCause::Status(self.status);
        match self.status {
            400..=499 => StoreError::NotApplied(cause),
            _ => StoreError::OutcomeUnknown(cause),
        }
    }
}

fn unreadable_response(error: serde_json::Error) -> StoreError {
    StoreError::OutcomeUnknown(StoreErrorCause::UnreadableResponse(error))
}

/// The response to the creation of a session.
#[derive(Deserialize)]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: String,
}

/// A key and its value in the response to a read.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KeyEntry {
    key: String,
    modify_index: u64,
    value: Option<String>,
}

impl KeyEntry {
    fn stored_lease(&self) -> Result<StoredLease, StoreError> {
        let record = parse_record(self.value.as_deref().unwrap_or_default())
            .ok_or_else(|| StoreError::NotApplied(StoreErrorCause::ForeignValue { key: self.key.clone() }))?;
        Ok(StoredLease { record, modify_index: self.modify_index })
    }
}

fn parse_record(encoded: &str) -> Option<LeaseRecord> {
    if encoded.len() > MAX_RECORD_BYTES {
        return None;
    }
    serde_json::from_slice(&STANDARD.decode(encoded).ok()?).ok()
}

/// The response to a transaction.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Transaction {
    #[serde(default)]
    results: Option<Vec<TransactionResult>>,
    #[serde(default)]
    errors: Option<Vec<TransactionError>>,
}

#[derive(Deserialize)]
struct TransactionResult {
    #[serde(rename = "KV")]
    entry: Option<WrittenKey>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WrittenKey {
    key: String,
    modify_index: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TransactionError {
    op_index: usize,
}

impl LeaseKeys {
    /// Returns the created session, with the session key that it must acquire next.
    ///
    /// # Errors
    ///
    /// Returns an error if the response does not confirm a session, or if the session id cannot be used in a path.
    pub fn created_session(&self, response: &Response) -> Result<Session, StoreError> {
        let CreatedSession { id } = response.parse()?;
        let is_path_safe = id.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
        if id.is_empty() || id.len() > MAX_SESSION_ID_BYTES || !is_path_safe {
            return Err(StoreError::OutcomeUnknown(StoreErrorCause::UnusableSessionId { id }));
        }
        Ok(Session { key: self.session_key(&id), id })
    }

    /// Returns the leases of these jobs.
    ///
    /// # Errors
    ///
    /// Returns an error if the status is neither 200 nor 404, if the body cannot be parsed, or if the value under a requested
    /// key is not a lease record. Such a value must not be mistaken for an absent key and overwritten.
    pub fn listing(&self, response: &Response, jobs: &[String]) -> Result<LeaseListing, StoreError> {
        let no_key_exists = response.status == HTTP_NOT_FOUND;
        let entries: Vec<KeyEntry> = if no_key_exists { Vec::new() } else { response.parse()? };
        let folder = self.job_key("");
        let by_job: HashMap<&str, &KeyEntry> =
            entries.iter().filter_map(|entry| Some((entry.key.strip_prefix(&folder)?, entry))).collect();
        let leases = jobs.iter().map(|job| {
            let lease = by_job.get(job.as_str()).map(|entry| entry.stored_lease()).transpose()?;
            Ok(ListedLease { job: job.clone(), lease })
        });
        Ok(LeaseListing { leases: leases.collect::<Result<_, StoreError>>()?, store_index: response.index })
    }

    /// Returns the outcome of a compare-and-set on a job's key from the response to its transaction.
    pub fn compare_and_set_outcome(&self, response: &Response, job: &str) -> CompareAndSetOutcome {
        if response.status != HTTP_OK && response.status != HTTP_CONFLICT {
            return CompareAndSetOutcome::Failed(response.status_error());
        }
        let transaction: Transaction = match serde_json::from_slice(&response.body) {
            Ok(transaction) => transaction,
            Err(error) => return CompareAndSetOutcome::Failed(unreadable_response(error)),
        };
        let errors = transaction.errors.unwrap_or_default();
        if response.status == HTTP_CONFLICT {
            return rolled_back_outcome(&errors);
        }
        let key = self.job_key(job);
        let mut written =
            transaction.results.unwrap_or_default().into_iter().filter_map(|result| result.entry);
        match written.find(|entry| entry.key == key) {
            Some(entry) if errors.is_empty() && entry.modify_index > 0 => {
                CompareAndSetOutcome::Applied { modify_index: entry.modify_index }
            }
            _ => CompareAndSetOutcome::Failed(StoreError::OutcomeUnknown(
                StoreErrorCause::KeyMissingInResponse { key },
            )),
        }
    }
}

/// Returns the outcome of a transaction that was rolled back.
fn rolled_back_outcome(errors: &[TransactionError]) -> CompareAndSetOutcome {
    // If both operations failed, the outcome is the ended session and not the conflict, because the end of the session
    // invalidates all cached leases.
    if errors.iter().any(|error| error.op_index == CHECK_SESSION_OPERATION) {
        CompareAndSetOutcome::SessionEnded
    } else if errors.is_empty() {
        CompareAndSetOutcome::Failed(StoreError::OutcomeUnknown(StoreErrorCause::RollbackWithoutError))
    } else {
        CompareAndSetOutcome::Conflict
    }
}
