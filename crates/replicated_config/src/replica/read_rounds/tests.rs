use super::*;
use crate::ids::RequestId;
use crate::message::VersionNumbers;
use crate::version::ConfigVersion;

fn request(client: &str, id: u64) -> LeaseRequest {
    LeaseRequest {
        client: client.into(),
        id: RequestId(id),
        wants_lease: true,
        known_version: ConfigVersion::NONE,
        cached: VersionNumbers::default(),
    }
}

#[test]
fn a_round_answers_the_newest_request_of_each_client() {
    let mut rounds = ReadRounds::default();
    for (client, id) in [("a", 2), ("a", 1), ("b", 7), ("b", 8)] {
        rounds.enqueue(request(client, id));
    }
    let context = rounds.start();
    assert_eq!(rounds.finish(context), [request("a", 2), request("b", 8)]);
}

#[test]
fn requests_that_arrive_during_a_round_wait_for_the_next_one() {
    let mut rounds = ReadRounds::default();
    rounds.enqueue(request("a", 1));
    let first = rounds.start();
    rounds.enqueue(request("b", 1));
    assert!(!rounds.can_start(), "a round is open");
    assert_eq!(rounds.finish(first), [request("a", 1)]);
    assert!(rounds.can_start());
    let second = rounds.start();
    assert_eq!(rounds.finish(second), [request("b", 1)]);
}

#[test]
fn only_the_context_of_the_open_round_ends_it() {
    let mut rounds = ReadRounds::default();
    rounds.enqueue(request("a", 1));
    let dropped = rounds.start();
    rounds.clear();
    rounds.enqueue(request("a", 2));
    let open = rounds.start();
    for context in [dropped, Vec::new(), vec![255; 8], vec![0; 9]] {
        assert_eq!(rounds.finish(context), []);
    }
    assert_eq!(rounds.finish(open.clone()), [request("a", 2)]);
    assert_eq!(rounds.finish(open), [], "a round ends once");
}

#[test]
fn a_request_beyond_the_limit_is_dropped() {
    let mut rounds = ReadRounds::default();
    (0..=MAX_PENDING_REQUESTS).for_each(|client| rounds.enqueue(request(&client.to_string(), 1)));
    let context = rounds.start();
    assert_eq!(rounds.finish(context).len(), MAX_PENDING_REQUESTS);
}
