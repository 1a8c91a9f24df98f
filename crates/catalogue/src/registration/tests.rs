//! Heartbeats and retries.

use super::*;

#[test]
fn registers_sends_heartbeats_and_registers_again_when_forgotten() {
    let mut registration = Registration::new(9_000);
    assert_eq!(registration.next_request(0), Some(RegistrationRequest::Register));
    assert_eq!(
        registration.handle_outcome(0, RegistrationRequest::Register, RegistrationOutcome::Accepted),
        Some(RegistrationChange::Registered)
    );
    assert_eq!(registration.next_request(0), Some(RegistrationRequest::Heartbeat));
    assert_eq!(
        registration.handle_outcome(5, RegistrationRequest::Heartbeat, RegistrationOutcome::Accepted),
        None
    );
    assert_eq!(registration.next_request(3_004), None);
    assert_eq!(registration.next_request(3_005), Some(RegistrationRequest::Heartbeat));
    assert_eq!(
        registration.handle_outcome(3_005, RegistrationRequest::Heartbeat, RegistrationOutcome::UnknownCheck),
        Some(RegistrationChange::Lost)
    );
    assert_eq!(registration.next_request(3_005), Some(RegistrationRequest::Register));
}

#[test]
fn retries_an_unreachable_agent_within_the_ttl_without_flooding_it() {
    let mut registration = Registration::new(9_000);
    registration.handle_outcome(0, RegistrationRequest::Register, RegistrationOutcome::Accepted);
    let (mut now, mut tries) = (0, 0);
    while now < 9_000 {
        now = registration.next_due().max(now + 1);
        if let Some(request) = registration.next_request(now) {
            tries += 1;
            assert_eq!(registration.handle_outcome(now, request, RegistrationOutcome::Failed), None);
        }
    }
    assert!((4..=12).contains(&tries), "{tries}");
}
