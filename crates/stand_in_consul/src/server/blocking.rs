//! Blocking queries, and durations in Consul's format.

use super::request::Request;
use crate::fault::Fault;
use crate::listener::Listener;
use crate::state::State;
use std::time::Duration;

/// Maximum wait of a blocking query.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Wait of a blocking query without the parameter `wait`.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// Blocks a query with the parameter `index` while `current_index` returns the same index, up to the parameter `wait`. The wait
/// also ends when the listener's fault is no longer `fault`, and when the stand-in is restarted or stopped.
pub(super) fn wait_for_change(
    listener: &Listener,
    request: &Request,
    fault: Fault,
    current_index: impl Fn(&State) -> u64,
) {
    let known_index: u64 = request.parameter("index").and_then(|text| text.parse().ok()).unwrap_or(0);
    if known_index == 0 {
        return;
    }
    let wait = request.parameter("wait").and_then(parse_duration).unwrap_or(DEFAULT_WAIT).min(MAX_WAIT);
    let incarnation = listener.state().incarnation;
    listener.wait_while(wait, |state| {
        let is_running = !state.is_stopped && state.incarnation == incarnation;
        is_running && current_index(state) == known_index && listener.read_fault() == fault
    });
}

/// Parses a duration in Consul's format, such as `15s` or `100ms`.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|character: char| character.is_ascii_alphabetic());
    let number: f64 = digits.parse().ok()?;
    let unit_seconds = match &text[digits.len()..] {
        "ms" => 0.001,
        "s" | "" => 1.0,
        "m" => 60.0,
        _ => return None,
    };
    Some(Duration::from_secs_f64(number * unit_seconds))
}
