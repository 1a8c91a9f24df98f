//! Tests of the activation of bulk failure dissemination and of its messages.

use super::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Dissemination with a gossip period of 100 ms and an activity window of 2 s.
fn new_dissemination() -> BulkFailureDissemination {
    BulkFailureDissemination::new(Duration::from_millis(100), Duration::from_secs(1))
}

fn record(dissemination: &mut BulkFailureDissemination, now: MonotonicTime, fingerprint: u64) {
    dissemination.record_failure(now, MemberFingerprint(fingerprint));
}

#[test]
fn many_suspected_or_failed_members_activate_dissemination_and_equal_failures_give_equal_digests() {
    let mut one = new_dissemination();
    assert_eq!(one.poll(at(0), 2, 6), None, "two suspected members are below the minimum");
    assert_eq!(one.poll(at(100), 61, 1_000), None, "61 of 1,000 may be due to datagram loss");
    assert_eq!(one.poll(at(200), 62, 1_000), Some(0));
    assert_eq!(one.poll(at(250), 500, 1_000), None, "at most one digest per gossip period");
    let mut two = new_dissemination();
    (0..500).for_each(|member| record(&mut one, at(300), member * 7919 + 1));
    (0..500).rev().for_each(|member| record(&mut two, at(400), member * 7919 + 1));
    let digest = one.poll(at(400), 0, 500);
    assert!(digest.is_some() && digest == two.poll(at(400), 0, 500));
    assert_eq!(one.poll(at(2_400), 0, 500), None, "no failure for two suspicion timeouts");
}

#[test]
fn dissemination_stops_after_the_maximum_duration_while_suspicions_and_digests_continue() {
    let mut dissemination = new_dissemination();
    let active = (0..400).filter(|period| {
        let now = at(period * 100);
        dissemination.reply_to_digest(now, 1, 0);
        dissemination.poll(now, 500, 1_000).is_some()
    });
    assert_eq!(active.count(), 100, "five activity windows of 2 s, at one digest per 100 ms");
    assert_eq!(dissemination.poll(at(40_000), 0, 1_000), None);
    assert!(
        dissemination.poll(at(40_100), 500, 1_000).is_some(),
        "active again after a poll without failures"
    );
}

#[test]
fn a_reply_is_bounded_and_sent_only_where_the_digests_differ() {
    let mut dissemination = new_dissemination();
    (1..=1_000).for_each(|member| record(&mut dissemination, at(0), member));
    let digest = dissemination.poll(at(0), 0, 1_000).expect("dissemination is active");
    assert!(dissemination.reply_to_digest(at(0), digest, 0).is_empty());
    let reply = dissemination.reply_to_digest(at(0), 0, 990);
    assert_eq!(reply.len(), MAX_MESSAGES_PER_REPLY);
    let datagram_bytes = |message: &Message| message.encode().len() + crate::authentication::OVERHEAD_BYTES;
    assert!(reply.iter().all(|message| datagram_bytes(message) <= crate::MAX_DATAGRAM_BYTES));
    (1..MAX_REPLIES_PER_PERIOD).for_each(|_| assert!(!dissemination.reply_to_digest(at(0), 0, 0).is_empty()));
    assert!(dissemination.reply_to_digest(at(0), 0, 0).is_empty(), "at the limit of replies per period");
    dissemination.poll(at(100), 0, 1_000);
    assert!(!dissemination.reply_to_digest(at(100), 0, 0).is_empty());
}

#[test]
fn only_probe_timers_are_shorter_while_dissemination_is_active() {
    let mut dissemination = new_dissemination();
    let probe = Timer::SendIndirectProbe {
        probed_id: Member { address: ([127, 0, 0, 1], 1).into(), name: "a".into(), generation: 1 },
        token: 0,
    };
    let requested = Duration::from_millis(400);
    assert_eq!(dissemination.timer_delay(at(0), requested, &probe), requested);
    dissemination.poll(at(0), 100, 100);
    assert_eq!(dissemination.timer_delay(at(1), requested, &probe), Duration::from_millis(100));
    assert_eq!(dissemination.timer_delay(at(1), requested, &Timer::PeriodicGossip(0)), requested);
}

/// Returns the payload of a datagram of this kind that an earlier build sent, from the fixtures of the wire format tests.
fn fixture_payload(kind: &str) -> Vec<u8> {
    let line = include_str!("../../tests/fixtures/datagrams.txt")
        .lines()
        .find_map(|line| line.strip_prefix(kind)?.strip_prefix(' '))
        .expect("a datagram of this kind");
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let datagram: Vec<u8> = line.as_bytes().chunks(2).map(|pair| byte(pair).expect("hexadecimal")).collect();
    datagram[crate::authentication::OVERHEAD_BYTES..].to_vec()
}

#[test]
fn messages_of_the_earlier_build_decode_and_encode_to_the_same_bytes() {
    for kind in ["bulk-failure-digest", "bulk-failure-list"] {
        let payload = fixture_payload(kind);
        let message = Message::decode(&payload).expect("the marker").expect("a message");
        assert_eq!(matches!(message, Message::Digest { .. }), kind == "bulk-failure-digest");
        assert_eq!(message.encode(), payload, "{kind}");
        for end in 1..payload.len() {
            assert!(Message::decode(&payload[..end]).expect("the marker").is_err(), "cut at {end}");
        }
    }
}
