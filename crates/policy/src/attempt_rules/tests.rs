//! Tests of the attempt rules without a state machine.

use super::*;
use crate::event::Outcome;
use crate::ids::BackendId;

const MS: Micros = 1_000;

fn settings(idempotency: Idempotency) -> Settings {
    let class = RequestClass {
        idempotency,
        idempotency_key_ttl: 2_000 * MS,
        dedup_scope: DedupScope::Zone,
        ..RequestClass::default()
    };
    Settings { classes: vec![class], max_attempts: 3, hedging: true, ..Settings::default() }
}

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// A request with one attempt that was sent at time 0 to a backend in zone 0.
fn request(outcome: Option<Outcome>) -> Request {
    let attempt = Attempt {
        backend: BackendId(1),
        dedup_group: 0,
        sent_at: at(0),
        connect_deadline: at(250 * MS),
        outcome,
    };
    Request { deadline: at(5_000 * MS), attempts: vec![attempt], ..Request::default() }
}

fn in_zone(zone: u8) -> BackendEntry {
    BackendEntry { zone, ..BackendEntry::default() }
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_never_ran() {
    let settings = settings(Idempotency::NonIdempotent);
    let rules = AttemptRules::new(&settings, at(10 * MS));
    assert!(rules.may_attempt(&request(Some(Outcome::ConnectFailed)), &in_zone(0)));
    assert!(!rules.may_attempt(&request(Some(Outcome::Reset)), &in_zone(0)));
    assert!(!rules.may_attempt(&request(None), &in_zone(0)));
    assert!(rules.may_reject(&request(Some(Outcome::ConnectFailed))));
    assert!(!rules.may_reject(&request(Some(Outcome::Timeout))));
}

#[test]
fn a_keyed_request_is_retried_only_within_the_lifetime_and_scope_of_its_key() {
    let settings = settings(Idempotency::Keyed);
    let failed = request(Some(Outcome::Error));
    let may_attempt_at = |now, zone| AttemptRules::new(&settings, now).may_attempt(&failed, &in_zone(zone));
    // 15 % of the key's lifetime of 2 s are reserved for the time until the retry reaches its backend.
    assert!(may_attempt_at(at(1_699 * MS), 0));
    assert!(!may_attempt_at(at(1_700 * MS), 0));
    assert!(!may_attempt_at(at(10 * MS), 1));
}

#[test]
fn a_keyed_request_is_not_repeated_while_an_earlier_attempt_may_still_connect() {
    let settings = settings(Idempotency::Keyed);
    let connecting = request(None);
    assert!(!AttemptRules::new(&settings, at(249 * MS)).may_attempt(&connecting, &in_zone(0)));
    assert!(AttemptRules::new(&settings, at(250 * MS)).may_attempt(&connecting, &in_zone(0)));
}

#[test]
fn no_attempt_is_allowed_after_the_deadline_the_attempt_limit_or_the_answer() {
    let settings = settings(Idempotency::Idempotent);
    let rules = AttemptRules::new(&settings, at(10 * MS));
    let failed = || request(Some(Outcome::Error));
    assert!(rules.may_attempt(&failed(), &in_zone(0)));
    assert!(!rules.may_attempt(&Request { answered: true, ..failed() }, &in_zone(0)));
    assert!(!rules.may_attempt(&Request { streaming: true, ..failed() }, &in_zone(0)));
    assert!(!AttemptRules::new(&settings, at(5_000 * MS)).may_attempt(&failed(), &in_zone(0)));
    let mut exhausted = failed();
    exhausted.attempts.extend([failed(), failed()].into_iter().flat_map(|request| request.attempts));
    assert!(!rules.may_attempt(&exhausted, &in_zone(0)));
}
