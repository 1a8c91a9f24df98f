//! Tests of the rate limit per kind and of the count of suppressed events.

use super::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn one_event_of_each_kind_is_logged_per_second_and_suppressed_events_are_counted() {
    let mut limiter = LogLimiter::default();
    assert_eq!(limiter.permit(LogKind::Rejoined, at(0)), Some(LogPermit { suppressed: None }));
    assert_eq!(
        (limiter.permit(LogKind::Rejoined, at(10)), limiter.permit(LogKind::Rejoined, at(999))),
        (None, None)
    );
    assert_eq!(limiter.permit(LogKind::RunFailed, at(10)), Some(LogPermit { suppressed: None }));
    assert_eq!(limiter.permit(LogKind::Rejoined, at(1_000)), Some(LogPermit { suppressed: Some(2) }));
    assert_eq!(limiter.permit(LogKind::Rejoined, at(2_500)), Some(LogPermit { suppressed: None }));
}
