use super::*;

const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Returns the time this many milliseconds after the start of the clock.
fn at_ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn requester() -> LeaseRequester {
    LeaseRequester::new("m1".into(), 3, LEASE_DURATION)
}

fn response(request: RequestId, version: u64, phase: RolloutPhase) -> LeaseResponse {
    LeaseResponse { request, version: ConfigVersion(version), phase }
}

#[test]
fn requests_are_due_at_once_and_then_several_times_per_lease() {
    let mut requester = requester();
    assert_eq!(requester.next_request_at(), at_ms(0));
    let outgoing = requester.start_request(at_ms(1_000), VersionNumbers::default());
    assert_eq!(outgoing.to, ReplicaId(1));
    assert_eq!((outgoing.request.client.as_str(), outgoing.request.wants_lease), ("m1", true));
    assert_eq!(outgoing.request.known_version, ConfigVersion::NONE);
    assert_eq!(requester.next_request_at(), at_ms(1_500));
}

#[test]
fn a_redirect_to_another_replica_makes_a_request_due_at_once() {
    let mut requester = requester();
    let first = requester.start_request(at_ms(1_000), VersionNumbers::default()).request.id;
    requester.on_redirect(at_ms(1_010), first, Some(ReplicaId(3)));
    assert_eq!(requester.next_request_at(), at_ms(1_010));
    let second = requester.start_request(at_ms(1_010), VersionNumbers::default());
    assert_eq!(second.to, ReplicaId(3));
    requester.on_redirect(at_ms(1_020), second.request.id, None);
    assert_eq!(requester.next_request_at(), at_ms(1_510));
}

#[test]
fn a_response_with_a_new_version_is_confirmed_at_once_and_yields_the_versions_to_enforce() {
    let mut requester = requester();
    let id = requester.start_request(at_ms(1_000), VersionNumbers::default()).request.id;
    let enforced = requester.on_response(at_ms(1_010), response(id, 4, RolloutPhase::Proposed));
    assert_eq!(enforced, Some(VersionNumbers { in_force: ConfigVersion(3), proposed: ConfigVersion(4) }));
    assert_eq!((requester.next_request_at(), requester.expires_at()), (at_ms(1_010), at_ms(4_000)));
    let confirmation = requester.start_request(at_ms(1_010), VersionNumbers::default()).request;
    assert_eq!(confirmation.known_version, ConfigVersion(4));
    let enforced = requester.on_response(at_ms(1_020), response(confirmation.id, 4, RolloutPhase::Proposed));
    assert!(enforced.is_some());
    assert_eq!(requester.next_request_at(), at_ms(1_510), "the version has not changed");
}

#[test]
fn a_response_to_another_request_is_not_accepted() {
    let mut requester = requester();
    let id = requester.start_request(at_ms(1_000), VersionNumbers::default()).request.id;
    let earlier = RequestId(id.0 - 1);
    assert_eq!(requester.on_response(at_ms(1_010), response(earlier, 1, RolloutPhase::InForce)), None);
    assert_eq!(requester.expires_at(), MonotonicTime::ZERO);
}
