//! The message decoder rejects truncated messages and survives random bytes.

use replicated_config::{
    ConfigVersion, LeaseRequest, LeaseResponse, Message, Proposal, ProposalId, ReplicaId, RequestId,
    RolloutPhase, Version, VersionNumbers, VersionTexts,
};

#[test]
fn messages_round_trip_and_malformed_bytes_are_rejected() {
    let version = Version { number: ConfigVersion(3), proposed_by: "x".into(), text: "[[plan]]".into() };
    let messages = [
        Message::LeaseRequest(LeaseRequest {
            client: "m1".into(),
            id: RequestId(7),
            wants_lease: true,
            known_version: ConfigVersion(2),
            cached: VersionNumbers { in_force: ConfigVersion(1), proposed: ConfigVersion(2) },
        }),
        Message::LeaseResponse(
            LeaseResponse { request: RequestId(7), version: ConfigVersion(3), phase: RolloutPhase::Proposed },
            Box::new(VersionTexts { in_force: None, proposed: Some(version) }),
        ),
        Message::Propose(Proposal {
            id: ProposalId(9),
            proposed_by: "y".into(),
            expected_version: Some(ConfigVersion(2)),
            text: "t".into(),
        }),
        Message::RedirectLeaseRequest { request: RequestId(7), leader: Some(ReplicaId(2)) },
        Message::VersionChanged(ConfigVersion(4)),
    ];
    for message in messages {
        let bytes = message.encode();
        assert_eq!(Message::decode(&bytes).expect("the bytes are a message"), message);
        // A truncated message is an error. Other malformed bytes must not panic.
        (0..bytes.len()).for_each(|n| assert!(Message::decode(&bytes[..n]).is_err(), "{n} bytes"));
        fuzz_inputs::assert_no_panic_on_malformed_input(&bytes, |pieces| {
            drop(Message::decode(&pieces.concat()))
        });
    }
}
