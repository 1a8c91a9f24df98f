//! The estimate alone.

use super::*;

const SECOND: u64 = 1_000_000;

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_micros(seconds * SECOND)
}

#[test]
fn samples_raise_the_expectation_and_age_lets_it_return_to_that_of_first_contacts() {
    let mut latency = BackendLatency::new(at(0));
    for _ in 0..20 {
        latency.record(10.0, at(1));
    }
    let fresh = latency.expected(1.0, at(1));
    assert!(fresh > 8.0, "{fresh}");
    let aged = latency.expected(1.0, at(61));
    assert!((1.0..1.1).contains(&aged), "{aged}");
    assert!(latency.expected(3.0, at(61)) > 2.9);
}

#[test]
fn only_a_contact_to_a_good_backend_after_a_while_is_a_first_one() {
    let mut latency = BackendLatency::new(at(0));
    assert_eq!(latency.record(20.0, at(1)), Contact::Further);
    assert_eq!(latency.record(1.0, at(9)), Contact::Further, "it was bad");
    let mut good = BackendLatency::new(at(0));
    assert_eq!(good.record(1.0, at(9)), Contact::First);
}
