//! Registration, heartbeats and retries.

use super::*;

const TTL: Duration = Duration::from_secs(9);

fn at_millis(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn registers_sends_heartbeats_and_registers_again_after_an_unknown_check() {
    let mut registration = Registration::new(TTL);
    assert_eq!(registration.next_request(at_millis(0)), Some(RegistrationRequest::Register));
    assert_eq!(
        registration.handle_outcome(
            at_millis(0),
            RegistrationRequest::Register,
            RegistrationOutcome::Accepted
        ),
        Some(RegistrationChange::Registered)
    );
    assert_eq!(registration.next_request(at_millis(0)), Some(RegistrationRequest::Heartbeat));
    assert_eq!(
        registration.handle_outcome(
            at_millis(5),
            RegistrationRequest::Heartbeat,
            RegistrationOutcome::Accepted
        ),
        None
    );
    assert_eq!(registration.next_request(at_millis(3_004)), None);
    assert_eq!(registration.next_request(at_millis(3_005)), Some(RegistrationRequest::Heartbeat));
    assert_eq!(
        registration.handle_outcome(
            at_millis(3_005),
            RegistrationRequest::Heartbeat,
            RegistrationOutcome::UnknownCheck
        ),
        Some(RegistrationChange::Lost)
    );
    assert_eq!(registration.next_request(at_millis(3_005)), Some(RegistrationRequest::Register));
}

#[test]
fn retries_an_unreachable_agent_within_the_ttl_without_flooding_it() {
    let mut registration = Registration::new(TTL);
    registration.handle_outcome(at_millis(0), RegistrationRequest::Register, RegistrationOutcome::Accepted);
    let (mut now, mut requests) = (at_millis(0), 0);
    while now < at_millis(0) + TTL {
        now = registration.next_request_at().max(now + Duration::from_millis(1));
        if let Some(request) = registration.next_request(now) {
            requests += 1;
            assert_eq!(registration.handle_outcome(now, request, RegistrationOutcome::Failed), None);
        }
    }
    assert!((4..=12).contains(&requests), "{requests} requests within the TTL");
}
