//! Which ids are in use, and for how long.

use super::*;
use std::time::Duration;

const HOLD: Duration = Duration::from_secs(60);

fn register(requests: &Arc<OpenRequests>, id: &[u8], held_for: Option<Duration>) -> Option<OpenRequest> {
    requests.register(id.to_vec(), held_for.map(|time| Instant::now() + time))
}

#[test]
fn an_id_is_free_once_its_request_is_answered_or_an_idempotent_one_is_abandoned() {
    let requests = Arc::<OpenRequests>::default();
    let answered = register(&requests, b"1", Some(HOLD)).expect("the id is free");
    assert!(register(&requests, b"1", Some(HOLD)).is_none());
    answered.finish();
    drop(register(&requests, b"1", None).expect("the id is free after the answer"));
    assert!(register(&requests, b"1", None).is_some());
}

#[test]
fn the_id_of_an_abandoned_request_is_held_until_its_deadline() {
    let requests = Arc::<OpenRequests>::default();
    drop(register(&requests, b"1", Some(HOLD)));
    drop(register(&requests, b"2", Some(Duration::ZERO)));
    assert!(register(&requests, b"1", Some(HOLD)).is_none());
    assert!(register(&requests, b"2", Some(HOLD)).is_some());
}

#[test]
fn the_number_of_held_ids_is_bounded() {
    let requests = Arc::<OpenRequests>::default();
    for number in 0..=MAX_ABANDONED_IDS as u64 {
        drop(register(&requests, &number.to_be_bytes(), Some(HOLD)));
    }
    assert!(register(&requests, &0_u64.to_be_bytes(), None).is_some(), "the oldest id is freed");
    assert!(register(&requests, &1_u64.to_be_bytes(), None).is_none());
}
