//! The parsing of Consul's responses.

use super::LeaseKeys;
use crate::{
    CompareAndSetOutcome, LeaseListing, LeaseRecord, ListedLease, Session, StoreError, StoreErrorCause,
    StoredLease,
};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use std::collections::HashMap;

/// The size limit of a value that is parsed as a record, as base64.
const MAX_RECORD_BYTES: usize = 1024;
/// The length limit of a session's id.
const MAX_SESSION_ID_BYTES: usize = 64;
/// The position of `check-session` in a transaction.
const CHECK_SESSION_OPERATION: usize = 0;

/// A response of Consul.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// `X-Consul-Index`; 0 where there was none.
    pub index: u64,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Whether the session's key was acquired.
    ///
    /// # Errors
    ///
    /// The response is not conclusive.
    pub fn key_acquired(&self) -> Result<bool, StoreError> {
        self.parse()
    }

    /// Whether the session that was to be renewed exists.
    ///
    /// # Errors
    ///
    /// The response is not conclusive.
    pub fn session_exists(&self) -> Result<bool, StoreError> {
        match self.status {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(self.status_error()),
        }
    }

    fn parse<T: for<'a> Deserialize<'a>>(&self) -> Result<T, StoreError> {
        if self.status != 200 {
            return Err(self.status_error());
        }
        serde_json::from_slice(&self.body).map_err(unreadable)
    }

    /// The error of an unexpected status. A status from 400 to 499 is sent before anything is done; others may come after.
    fn status_error(&self) -> StoreError {
        let cause = StoreErrorCause::Status(self.status);
        match self.status {
            400..=499 => StoreError::NotApplied(cause),
            _ => StoreError::OutcomeUnknown(cause),
        }
    }
}

fn unreadable(error: serde_json::Error) -> StoreError {
    StoreError::OutcomeUnknown(StoreErrorCause::UnreadableResponse(error))
}

/// The response to the creation of a session.
#[derive(Deserialize)]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: String,
}

/// A key in the response to a read.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KeyEntry {
    key: String,
    modify_index: u64,
    value: Option<String>,
}

impl KeyEntry {
    fn lease(&self) -> Result<StoredLease, StoreError> {
        let record = parse_record(self.value.as_deref().unwrap_or_default())
            .ok_or_else(|| StoreError::NotApplied(StoreErrorCause::ForeignValue { key: self.key.clone() }))?;
        Ok(StoredLease { record, modify_index: self.modify_index })
    }
}

fn parse_record(base64: &str) -> Option<LeaseRecord> {
    if base64.len() > MAX_RECORD_BYTES {
        return None;
    }
    serde_json::from_slice(&STANDARD.decode(base64).ok()?).ok()
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
    /// The session that was created, with the key that it is to hold.
    ///
    /// # Errors
    ///
    /// None was created as far as the response tells, or its id is not usable.
    pub fn created_session(&self, response: &Response) -> Result<Session, StoreError> {
        let CreatedSession { id } = response.parse()?;
        let plain = id.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
        if id.is_empty() || id.len() > MAX_SESSION_ID_BYTES || !plain {
            return Err(StoreError::OutcomeUnknown(StoreErrorCause::UnusableSessionId { id }));
        }
        Ok(Session { key: self.session(&id), id })
    }

    /// What a read found of these jobs. A value that is no lease record is an error: it is never overwritten.
    ///
    /// # Errors
    ///
    /// The response is not conclusive.
    pub fn listing(&self, response: &Response, jobs: &[String]) -> Result<LeaseListing, StoreError> {
        // 404: there is no such key.
        let entries: Vec<KeyEntry> = if response.status == 404 { Vec::new() } else { response.parse()? };
        let folder = self.job("");
        let by_job: HashMap<&str, &KeyEntry> =
            entries.iter().filter_map(|entry| Some((entry.key.strip_prefix(&folder)?, entry))).collect();
        let leases = jobs.iter().map(|job| {
            let lease = by_job.get(job.as_str()).map(|entry| entry.lease()).transpose()?;
            Ok(ListedLease { job: job.clone(), lease })
        });
        Ok(LeaseListing { leases: leases.collect::<Result<_, StoreError>>()?, store_index: response.index })
    }

    /// The outcome of a compare-and-set on a job's key.
    pub fn compare_and_set_outcome(&self, response: &Response, job: &str) -> CompareAndSetOutcome {
        if response.status != 200 && response.status != 409 {
            return CompareAndSetOutcome::Failed(response.status_error());
        }
        let transaction: Transaction = match serde_json::from_slice(&response.body) {
            Ok(transaction) => transaction,
            Err(error) => return CompareAndSetOutcome::Failed(unreadable(error)),
        };
        let errors = transaction.errors.unwrap_or_default();
        if response.status == 409 {
            return rolled_back(&errors);
        }
        let key = self.job(job);
        let mut written = transaction.results.unwrap_or_default().into_iter().filter_map(|r| r.entry);
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

/// The outcome of a transaction that was rolled back as a whole.
fn rolled_back(errors: &[TransactionError]) -> CompareAndSetOutcome {
    // The session's failure has priority: it voids all that is known.
    if errors.iter().any(|error| error.op_index == CHECK_SESSION_OPERATION) {
        CompareAndSetOutcome::SessionEnded
    } else if errors.is_empty() {
        CompareAndSetOutcome::Failed(StoreError::OutcomeUnknown(StoreErrorCause::ConflictWithoutReason))
    } else {
        CompareAndSetOutcome::Conflict
    }
}
