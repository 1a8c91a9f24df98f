//! Checks slow start: the number of attempts that a backend gets after its start, from all gatekeepers together.

use crate::history::{AttemptRecord, BackendIndex, History, Moment};
use crate::settings::Settings;
use fault_harness::stand_ins::ListedState;
use fault_harness::violation::Violation;
use std::time::Duration;

/// Time within which all gatekeepers are notified of a backend's start while discovery is healthy.
const NOTIFIED_WITHIN: Duration = Duration::from_millis(300);
/// The capacity of a backend is estimated as this multiple of the attempts that the others get on average, as none is at its
/// limit.
const CAPACITY_FACTOR: f64 = 1.25;

pub(super) fn check(history: &History, settings: &Settings) -> Vec<Violation> {
    let starts = history.list_changes.iter().filter(|change| change.has_just_started);
    starts.filter_map(|change| check_start(history, settings, change.backend, change.at)).collect()
}

fn attempts_in(history: &History, from: Moment, to: Moment) -> impl Iterator<Item = &AttemptRecord> {
    history.attempts.iter().filter(move |attempt| attempt.arrived >= from && attempt.arrived < to)
}

/// Number of attempts by which random variation may exceed a budget. The variation of a count grows with its square root.
fn random_margin(budget: f64) -> f64 {
    if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 }
}

fn check_start(
    history: &History,
    settings: &Settings,
    backend: BackendIndex,
    started: Moment,
) -> Option<Violation> {
    let window = settings.overload_time;
    let mut from = started + NOTIFIED_WITHIN;
    let last = started + settings.cold_time;
    while from + window <= last {
        let to = from + window;
        let age = (to - started).as_secs_f64() / settings.cold_time.as_secs_f64();
        let load_share = settings.cold_share + (1.0 - settings.cold_share) * age.min(1.0);
        let ready = ready_backends(history, settings, from, to);
        let ready_attempts: usize =
            attempts_in(history, from, to).filter(|a| ready.contains(&a.backend)).count();
        let capacity = CAPACITY_FACTOR * ready_attempts as f64 / ready.len().max(1) as f64;
        let budget = settings.overload_factor * load_share * capacity;
        let cold_attempts =
            attempts_in(history, from, to).filter(|attempt| attempt.backend == backend).count();
        if ready.len() > 2 && cold_attempts as f64 > budget + random_margin(budget) {
            let text = format!(
                "s-{backend:04} got {cold_attempts} attempts in {:.1} s, {:.1} s after its start, with a budget of {budget:.1}",
                window.as_secs_f64(),
                (from - started).as_secs_f64()
            );
            return Some(Violation::new("slow start", text).at(from));
        }
        from += window / 4;
    }
    None
}

/// Backends that are listed as up and have finished their slow start from `from` to `to`.
fn ready_backends(history: &History, settings: &Settings, from: Moment, to: Moment) -> Vec<BackendIndex> {
    let is_ready = |backend: &BackendIndex| {
        history.list_changes.iter().filter(|change| change.backend == *backend && change.at < to).all(
            |change| {
                let is_long_ago = change.at + settings.cold_time < from;
                change.state == ListedState::Up && (is_long_ago || !change.has_just_started)
                    || is_long_ago
                        && change.state != ListedState::Up
                        && is_up_again(history, *backend, change.at, from)
            },
        )
    };
    (0..settings.backends).filter(is_ready).collect()
}

/// Whether the last change of the backend between `after` and `by` lists it as up.
fn is_up_again(history: &History, backend: BackendIndex, after: Moment, by: Moment) -> bool {
    let later = history
        .list_changes
        .iter()
        .rfind(|change| change.backend == backend && change.at > after && change.at < by);
    later.is_some_and(|change| change.state == ListedState::Up)
}
