use super::*;
use crate::version::RolloutPhase;

const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Returns the time this many milliseconds after the start of the clock.
fn at_ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn client(first_request: u64) -> LeaseClient {
    LeaseClient::new(LEASE_DURATION, RequestId(first_request))
}

fn response(request: RequestId, version: u64, phase: RolloutPhase) -> LeaseResponse {
    LeaseResponse { request, version: ConfigVersion(version), phase }
}

fn in_force(number: u64) -> Option<LatestVersion> {
    Some(LatestVersion { number: ConfigVersion(number), phase: RolloutPhase::InForce })
}

#[test]
fn a_lease_runs_from_the_sending_of_the_newest_request() {
    let mut client = client(7);
    let first = client.start_request(at_ms(1_000), 3).id;
    let second = client.start_request(at_ms(1_500), 3).id;
    assert!(!client.on_response(response(first, 1, RolloutPhase::InForce)));
    assert!(client.on_response(response(second, 1, RolloutPhase::InForce)));
    assert!(!client.on_response(response(second, 2, RolloutPhase::InForce)), "a duplicate response");
    assert_eq!(client.leased_version(at_ms(4_499)), in_force(1));
    assert_eq!((client.leased_version(at_ms(4_500)), client.latest()), (None, in_force(1)));
}

#[test]
fn an_unreachable_replica_is_asked_again_only_after_all_others() {
    let mut client = client(0);
    let asked: Vec<u64> = (0..5).map(|i| client.start_request(at_ms(i * 250), 3).replica.0).collect();
    assert_eq!(asked, [1, 2, 3, 1, 2]);
    assert!(!client.on_redirect(RequestId(0), Some(ReplicaId(3))), "a redirect of an earlier request");
    assert!(client.on_redirect(RequestId(4), Some(ReplicaId(3))));
    let request = client.start_request(at_ms(1_300), 3);
    assert_eq!(request.replica, ReplicaId(3));
    assert!(client.on_response(response(request.id, 1, RolloutPhase::InForce)));
    assert_eq!(client.start_request(at_ms(1_500), 3).replica, ReplicaId(3));
    assert!(!client.on_redirect(RequestId(6), None));
    assert_eq!(client.start_request(at_ms(2_000), 3).replica, ReplicaId(1));
}

#[test]
fn a_response_with_an_earlier_version_is_rejected() {
    let mut client = client(0);
    let request = client.start_request(at_ms(0), 3).id;
    assert!(client.on_response(response(request, 2, RolloutPhase::InForce)));
    let request = client.start_request(at_ms(10), 3).id;
    assert!(!client.on_response(response(request, 2, RolloutPhase::Proposed)));
    assert_eq!(client.leased_version(at_ms(2_999)), in_force(2));
    assert_eq!(client.leased_version(at_ms(3_000)), None);
}
