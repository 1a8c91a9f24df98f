//! Blocking queries, and times as Consul writes them.

use super::request::Request;
use crate::consul::{Fault, Listener, State};
use std::time::Duration;

/// The longest that a blocking query waits.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// How long one waits that does not say.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// Waits as a blocking query does, while `index` tells that nothing has changed. It ends when the listener's fault changes, or
/// the stand-in is restarted or stopped.
pub(super) fn wait_for_change(
    listener: &Listener,
    request: &Request,
    fault: Fault,
    index: impl Fn(&State) -> u64,
) {
    let known_index: u64 = request.parameter("index").and_then(|text| text.parse().ok()).unwrap_or(0);
    if known_index == 0 {
        return;
    }
    let wait = request.parameter("wait").and_then(parse_duration).unwrap_or(DEFAULT_WAIT).min(MAX_WAIT);
    let incarnation = listener.shared.state().incarnation;
    listener.shared.wait_while(wait, |state| {
        !state.is_stopped
            && state.incarnation == incarnation
            && index(state) == known_index
            && listener.fault_for(false) == fault
    });
}

/// A duration as Consul writes it.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: f64 = digits.parse().ok()?;
    let unit_s = match &text[digits.len()..] {
        "ms" => 0.001,
        "s" | "" => 1.0,
        "m" => 60.0,
        _ => return None,
    };
    Some(Duration::from_secs_f64(number * unit_s))
}
