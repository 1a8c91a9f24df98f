//! Claims as requests of Consul's HTTP API (its pages on the KV store, sessions and transactions), and their answers.
//!
//! A session is made, and a key of its own is acquired with it. A claim is then one transaction of two operations:
//! `check-session` on that key, which fails once the session is gone or the store came back empty, and `cas` on the
//! duty's key, which fails where the key has changed. A transaction answers with the new `ModifyIndex`, so the next
//! claim on the same key needs no read.

use crate::{Failure, Found, Held, Listing, Put, Record, Session};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

/// The most bytes of a value that is read as a record.
const LARGEST_RECORD: usize = 1024;

/// A request to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// `GET` or `PUT`.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// The body; empty for none.
    pub body: String,
}

/// What came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// `X-Consul-Index`; 0 where there was none.
    pub index: u64,
    /// The body.
    pub body: Vec<u8>,
}

/// Where the keys lie.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// In front of every key, without a slash at the end.
    pub prefix: String,
}

impl Keys {
    /// The key of a duty.
    pub fn duty(&self, name: &str) -> String {
        format!("{}/duties/{name}", self.prefix)
    }

    /// Makes a session. With `ttl_s` seconds without renewal it ends, and its key with it. No lock delay: rounds are
    /// made exclusive by check-and-set, and a delay would only keep a restarted instance out.
    pub fn open(&self, instance: &str, ttl_s: u64) -> Request {
        let body = serde_json::json!({
            "Name": format!("snowfield {instance}"), "TTL": format!("{ttl_s}s"), "LockDelay": "0s", "Behavior": "delete"
        });
        Request { method: "PUT", target: "/v1/session/create".into(), body: body.to_string() }
    }

    /// The session that was made, with the key that it is to hold.
    ///
    /// # Errors
    ///
    /// None was made as far as the answer tells.
    pub fn opened(&self, answer: &Answer) -> Result<Session, Failure> {
        #[derive(Deserialize)]
        struct Made {
            #[serde(rename = "ID")]
            id: String,
        }
        let made: Made = read(answer)?;
        if made.id.is_empty()
            || made.id.len() > 64
            || !made.id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
        {
            return Err(Failure::Unknown("a session without a usable id".into()));
        }
        let key = format!("{}/holders/{}", self.prefix, made.id);
        Ok(Session { id: made.id, key })
    }

    /// Acquires the session's own key.
    pub fn hold(&self, session: &Session, instance: &str) -> Request {
        let target = format!("/v1/kv/{}?acquire={}", escaped(&session.key), session.id);
        Request { method: "PUT", target, body: instance.to_owned() }
    }

    /// Whether the session holds its key now.
    ///
    /// # Errors
    ///
    /// The answer does not tell.
    pub fn holds(answer: &Answer) -> Result<bool, Failure> {
        read(answer)
    }

    /// Renews a session.
    pub fn renew(session: &Session) -> Request {
        Request { method: "PUT", target: format!("/v1/session/renew/{}", session.id), body: String::new() }
    }

    /// Whether the session still lives.
    ///
    /// # Errors
    ///
    /// The answer does not tell.
    pub fn renewed(answer: &Answer) -> Result<bool, Failure> {
        match answer.status {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(failed(answer)),
        }
    }

    /// Ends a session.
    pub fn close(session: &Session) -> Request {
        Request { method: "PUT", target: format!("/v1/session/destroy/{}", session.id), body: String::new() }
    }

    /// Reads the record of one duty, or of all duties where `name` is `None`.
    pub fn read(&self, name: Option<&str>) -> Request {
        let target = match name {
            Some(name) => format!("/v1/kv/{}?consistent", escaped(&self.duty(name))),
            None => format!("/v1/kv/{}/duties/?recurse&consistent", escaped(&self.prefix)),
        };
        Request { method: "GET", target, body: String::new() }
    }

    /// What a read found of these names. A value that is no record of ours is an error: it is never written over.
    ///
    /// # Errors
    ///
    /// The answer does not tell.
    pub fn found(&self, answer: &Answer, names: &[String]) -> Result<Listing, Failure> {
        #[derive(Deserialize)]
        #[serde(rename_all = "PascalCase")]
        struct Entry {
            key: String,
            modify_index: u64,
            value: Option<String>,
        }
        // 404 says that there is no such key.
        let entries: Vec<Entry> = if answer.status == 404 { Vec::new() } else { read(answer)? };
        let mut held = Vec::with_capacity(names.len());
        let place = self.duty("");
        let by_name: std::collections::HashMap<&str, &Entry> =
            entries.iter().filter_map(|e| Some((e.key.strip_prefix(&place)?, e))).collect();
        for name in names {
            let found: Found = match by_name.get(name.as_str()) {
                None => None,
                Some(entry) => Some(Held {
                    record: record(entry.value.as_deref().unwrap_or_default()).ok_or_else(|| {
                        Failure::NotApplied(format!("key {:?} holds no claim of ours", entry.key))
                    })?,
                    index: entry.modify_index,
                }),
            };
            held.push((name.clone(), found));
        }
        Ok(Listing { held, index: answer.index })
    }

    /// Claims: writes a record where the key's index is still this one, 0 standing for no key, and the session lives.
    pub fn put(&self, session: &Session, name: &str, record: &Record, index: u64) -> Request {
        let value = STANDARD.encode(serde_json::to_vec(record).unwrap_or_default());
        let verb = if weakened::breaks("rounds") { "set" } else { "cas" };
        let body = serde_json::json!([
            {"KV": {"Verb": "check-session", "Key": session.key, "Session": session.id}},
            {"KV": {"Verb": verb, "Key": self.duty(name), "Value": value, "Index": index}},
        ]);
        Request { method: "PUT", target: "/v1/txn".into(), body: body.to_string() }
    }

    /// What came of a claim.
    pub fn claimed(&self, answer: &Answer, name: &str) -> Put {
        #[derive(Deserialize)]
        #[serde(rename_all = "PascalCase")]
        struct Done {
            #[serde(default)]
            results: Option<Vec<Applied>>,
            #[serde(default)]
            errors: Option<Vec<Refused>>,
        }
        #[derive(Deserialize)]
        struct Applied {
            #[serde(rename = "KV")]
            kv: Option<Kv>,
        }
        #[derive(Deserialize)]
        #[serde(rename_all = "PascalCase")]
        struct Kv {
            key: String,
            modify_index: u64,
        }
        #[derive(Deserialize)]
        #[serde(rename_all = "PascalCase")]
        struct Refused {
            op_index: usize,
        }
        if answer.status != 200 && answer.status != 409 {
            return Put::Failed(failed(answer));
        }
        let Ok(done) = serde_json::from_slice::<Done>(&answer.body) else {
            return Put::Failed(Failure::Unknown("an answer to a claim that cannot be read".into()));
        };
        let errors = done.errors.unwrap_or_default();
        if answer.status == 409 {
            // Rolled back as a whole. The session's failure counts for more: it voids all that is known.
            return match errors.iter().any(|e| e.op_index == 0) {
                true => Put::SessionGone,
                false if errors.is_empty() => {
                    Put::Failed(Failure::Unknown("a conflict without a reason".into()))
                }
                false => Put::Lost,
            };
        }
        let key = self.duty(name);
        let kv = done.results.unwrap_or_default().into_iter().filter_map(|r| r.kv).find(|kv| kv.key == key);
        match kv {
            Some(kv) if errors.is_empty() && kv.modify_index > 0 => Put::Won { index: kv.modify_index },
            _ => Put::Failed(Failure::Unknown("a success without the claim's key".into())),
        }
    }
}

fn record(value: &str) -> Option<Record> {
    if value.len() > LARGEST_RECORD {
        return None;
    }
    serde_json::from_slice(&STANDARD.decode(value).ok()?).ok()
}

fn read<T: for<'a> Deserialize<'a>>(answer: &Answer) -> Result<T, Failure> {
    if answer.status != 200 {
        return Err(failed(answer));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|e| Failure::Unknown(format!("an answer that cannot be read: {e}")))
}

/// 429 is said before anything is done; other failures may come after.
fn failed(answer: &Answer) -> Failure {
    let reason = format!("status {}", answer.status);
    match answer.status {
        400..=499 => Failure::NotApplied(reason),
        _ => Failure::Unknown(reason),
    }
}

/// Percent-encodes what may not stand in a path; the slash may.
fn escaped(text: &str) -> String {
    text.split('/').map(http::escaped).collect::<Vec<_>>().join("/")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys() -> Keys {
        Keys { prefix: "snowfield".into() }
    }

    fn answer(status: u16, body: &str) -> Answer {
        Answer { status, index: 9, body: body.as_bytes().to_vec() }
    }

    #[test]
    fn a_session_holds_a_key_of_its_own() {
        let keys = keys();
        let session = keys.opened(&answer(200, r#"{"ID":"11-ab"}"#)).expect("a session");
        assert_eq!(session.key, "snowfield/holders/11-ab");
        assert_eq!(keys.hold(&session, "a").target, "/v1/kv/snowfield/holders/11-ab?acquire=11-ab");
        assert_eq!(Keys::holds(&answer(200, "false")), Ok(false));
        assert_eq!(Keys::renewed(&answer(404, "")), Ok(false));
        assert!(matches!(keys.opened(&answer(200, r#"{"ID":"../x"}"#)), Err(Failure::Unknown(_))));
    }

    #[test]
    fn the_outcome_of_a_claim_is_read_with_care() {
        let keys = keys();
        let claimed = |status, body: &str| keys.claimed(&answer(status, body), "d");
        let won = r#"{"Results":[{"KV":{"Key":"snowfield/holders/x","ModifyIndex":3}},
            {"KV":{"Key":"snowfield/duties/d","ModifyIndex":12}}],"Errors":null}"#;
        assert_eq!(claimed(200, won), Put::Won { index: 12 });
        assert_eq!(claimed(409, r#"{"Results":null,"Errors":[{"OpIndex":1,"What":"index"}]}"#), Put::Lost);
        assert_eq!(
            claimed(409, r#"{"Results":null,"Errors":[{"OpIndex":0,"What":"session"}]}"#),
            Put::SessionGone
        );
        assert!(matches!(claimed(429, ""), Put::Failed(Failure::NotApplied(_))));
        assert!(matches!(claimed(500, ""), Put::Failed(Failure::Unknown(_))));
        assert!(matches!(claimed(200, "{}"), Put::Failed(Failure::Unknown(_))));
        assert!(matches!(claimed(200, &won[..40]), Put::Failed(Failure::Unknown(_))), "cut off");
    }

    #[test]
    fn what_is_no_record_of_ours_is_never_taken_for_an_absent_key() {
        let keys = keys();
        let value = STANDARD.encode(r#"{"round":5,"by":"a","id":2}"#);
        let body = format!(r#"[{{"Key":"snowfield/duties/d","ModifyIndex":7,"Value":"{value}"}}]"#);
        let names = ["d".to_owned(), "e".to_owned()];
        let listing = keys.found(&answer(200, &body), &names).expect("a listing");
        assert_eq!(listing.held[0].1.as_ref().map(|h| (h.record.round, h.index)), Some((5, 7)));
        assert_eq!(listing.held[1].1, None);
        assert_eq!(keys.found(&answer(404, ""), &names).expect("no keys").held[0].1, None);
        let strange = body.replace(&value, "bm9uZQ==");
        assert!(keys.found(&answer(200, &strange), &names).is_err());
        assert!(keys.found(&answer(500, ""), &names).is_err());
    }

    #[test]
    fn answers_survive_cuts_and_garbage() {
        let body = r#"{"Results":[{"KV":{"Key":"snowfield/duties/d","ModifyIndex":12}}],"Errors":null}"#;
        cuts::survives_garbage(body.as_bytes(), |pieces| {
            for status in [200, 409] {
                let answer = Answer { status, index: 0, body: pieces.concat() };
                let _ = keys().claimed(&answer, "d");
                let _ = keys().found(&answer, &["d".into()]);
                let _ = keys().opened(&answer);
            }
        });
    }
}
