//! Compatibility of stored and exchanged data with release 0.1. Commit 1461877 of that release wrote the bytes in `fixtures/`.
//! The current code must decode them and encode them to the same bytes.

mod fixture;

use fixture::{assert_matches_fixture, hex, named_bytes};
use replicated_config::{
    Command, ConfigState, ConfigVersion, DurableState, HardState, LeaseRequest, LeaseResponse, LogEntry,
    LogIndex, LogRecord, Message, Proposal, ProposalId, ProposalOutcome, ReplicaId, RequestId, RolloutPhase,
    Snapshot, Term, Version, VersionNumbers, VersionTexts,
};

const REQUEST: RequestId = RequestId(1_764_653_000_000_123);
const PROPOSAL: ProposalId = ProposalId(9);
const LARGE_PROPOSAL: ProposalId = ProposalId(0xfedc_ba98_7654_3210);

fn version(number: u64) -> Version {
    Version {
        number: ConfigVersion(number),
        proposed_by: format!("author-{number}"),
        text: format!("[[plan]]\nname = \"p{number}\"\n"),
    }
}

/// Returns lease requests, responses and redirects, each with its name in the fixture.
fn lease_messages() -> Vec<(&'static str, Message)> {
    let request = |client: &str, id, wants_lease, known_version, cached| {
        Message::LeaseRequest(LeaseRequest {
            client: client.into(),
            id,
            wants_lease,
            known_version: ConfigVersion(known_version),
            cached,
        })
    };
    let response = |phase, in_force, proposed| {
        let response = LeaseResponse { request: REQUEST, version: ConfigVersion(300), phase };
        Message::LeaseResponse(response, Box::new(VersionTexts { in_force, proposed }))
    };
    let redirect = |leader| Message::RedirectLeaseRequest { request: RequestId(41), leader };
    let cached = VersionNumbers { in_force: ConfigVersion(298), proposed: ConfigVersion(299) };
    vec![
        ("lease_request", request("muscat-1", REQUEST, true, 299, cached)),
        (
            "read_request_without_lease",
            request("console-7", RequestId(u64::MAX), false, 0, VersionNumbers::default()),
        ),
        ("lease_response_without_texts", response(RolloutPhase::InForce, None, None)),
        ("lease_response_in_force", response(RolloutPhase::InForce, Some(version(300)), None)),
        ("lease_response_proposed", response(RolloutPhase::Proposed, Some(version(299)), Some(version(300)))),
        ("lease_request_redirected", redirect(Some(ReplicaId(2)))),
        ("lease_request_without_leader", redirect(None)),
    ]
}

/// Returns proposals, redirects and outcomes, each with its name in the fixture.
fn proposal_messages() -> Vec<(&'static str, Message)> {
    let propose = |id, proposed_by: &str, expected_version, text: &str| {
        let (proposed_by, text) = (proposed_by.into(), text.into());
        Message::Propose(Proposal { id, proposed_by, expected_version, text })
    };
    let redirect = |proposal, leader| Message::RedirectProposal { proposal, leader };
    let outcome = |outcome| Message::ProposalOutcome { proposal: PROPOSAL, outcome };
    let conflict =
        ProposalOutcome::VersionConflict { in_force: ConfigVersion(301), proposed_by: "other".into() };
    let in_progress =
        ProposalOutcome::RolloutInProgress { version: ConfigVersion(302), proposed_by: "third".into() };
    vec![
        ("proposal_redirected", redirect(LARGE_PROPOSAL, Some(ReplicaId(3)))),
        ("proposal_without_leader", redirect(PROPOSAL, None)),
        ("version_changed", Message::VersionChanged(ConfigVersion(300))),
        (
            "proposal_with_expected_version",
            propose(LARGE_PROPOSAL, "staff", Some(ConfigVersion(299)), &version(300).text),
        ),
        ("proposal_without_expected_version", propose(PROPOSAL, "", None, "ü")),
        ("outcome_accepted", outcome(ProposalOutcome::Accepted(ConfigVersion(300)))),
        ("outcome_conflict", outcome(conflict)),
        ("outcome_in_progress", outcome(in_progress)),
        ("outcome_too_large", outcome(ProposalOutcome::TooLarge)),
        ("outcome_rejected", outcome(ProposalOutcome::Rejected("plan \"z\" is none".into()))),
    ]
}

/// Covers each type of message except those between replicas, which `transcript.rs` covers.
#[test]
fn messages_are_encoded_and_decoded_as_in_release_0_1() {
    let messages = [lease_messages(), proposal_messages()].concat();
    let written: Vec<_> = messages.iter().map(|(name, message)| (*name, message.encode())).collect();
    assert_matches_fixture("messages.txt", &named_bytes(&written));
    for ((name, message), (_, bytes)) in messages.into_iter().zip(written) {
        assert_eq!(Message::decode(&bytes).expect(name), message, "{name}");
        // A truncated message is an error.
        (0..bytes.len()).for_each(|n| assert!(Message::decode(&bytes[..n]).is_err(), "{name}, {n} bytes"));
    }
}

/// Replicas accept `MsgTimeoutNow`, which asks a replica to start an election at once, although they never send it.
#[test]
fn a_timeout_now_message_is_encoded_and_decoded_as_in_release_0_1() {
    let bytes = [0, 14, 2, 1, 5, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    let message = Message::decode(&bytes).expect("the bytes are a message");
    assert_eq!(hex(&message.encode()), hex(&bytes));
}

fn entry(index: u64) -> LogEntry {
    LogEntry { index: LogIndex(index), term: Term(3), data: vec![index as u8, 0, 255] }
}

fn hard_state(vote: u64) -> HardState {
    HardState { term: Term(3), vote: Some(ReplicaId(vote)), commit: LogIndex(299) }
}

fn records() -> Vec<(&'static str, LogRecord)> {
    vec![
        ("hard_state", LogRecord::HardState(hard_state(2))),
        ("entries", LogRecord::Entries(vec![LogEntry::default(), entry(299), entry(300)])),
        (
            "snapshot",
            LogRecord::Snapshot(Snapshot { index: LogIndex(300), term: Term(3), state: vec![1, 2, 3] }),
        ),
    ]
}

#[test]
fn log_records_are_encoded_and_decoded_as_in_release_0_1() {
    let bytes = |record: &LogRecord| postcard::to_stdvec(record).expect("the value can be encoded");
    let written: Vec<_> = records().iter().map(|(name, record)| (*name, bytes(record))).collect();
    assert_matches_fixture("records.txt", &named_bytes(&written));
    for ((name, record), (_, bytes)) in records().into_iter().zip(written) {
        assert_eq!(postcard::from_bytes(&bytes), Ok(record), "{name}");
        for n in 0..bytes.len() {
            assert!(postcard::from_bytes::<LogRecord>(&bytes[..n]).is_err(), "{name}, {n} bytes");
        }
    }
}

#[test]
fn the_durable_state_is_encoded_and_decoded_as_in_release_0_1() {
    let mut state = DurableState::default();
    let snapshot = Snapshot { index: LogIndex(298), term: Term(2), state: vec![9] };
    state.apply(LogRecord::Snapshot(snapshot)).expect("the record leaves no gap");
    state.apply(LogRecord::Entries(vec![entry(299), entry(300)])).expect("the record leaves no gap");
    state.apply(LogRecord::HardState(hard_state(1))).expect("the record leaves no gap");
    let bytes = postcard::to_stdvec(&state).expect("the value can be encoded");
    assert_matches_fixture("durable_state.txt", &named_bytes(&[("durable_state", bytes.clone())]));
    assert_eq!(postcard::from_bytes(&bytes), Ok(state));
}

fn propose(id: u64, expected_version: Option<u64>) -> Command {
    let (proposed_by, text) = (format!("p{id}"), format!("text {id}"));
    Command::Propose(Proposal {
        id: ProposalId(id),
        proposed_by,
        expected_version: expected_version.map(ConfigVersion),
        text,
    })
}

#[test]
fn log_commands_and_the_replicated_state_are_encoded_and_decoded_as_in_release_0_1() {
    let commands = [
        ("propose", propose(300, None)),
        ("in_progress", propose(301, Some(0))),
        ("force", Command::Activate(ConfigVersion(1))),
        ("propose_expecting", propose(302, Some(1))),
        ("force_second", Command::Activate(ConfigVersion(2))),
        ("conflict", propose(303, Some(1))),
        ("propose_third", propose(u64::MAX, None)),
    ];
    let mut state = ConfigState::default();
    state.apply(Command::Propose(Proposal {
        id: ProposalId(1),
        proposed_by: "p".into(),
        expected_version: None,
        text: "x".repeat(256 * 1024 + 1),
    }));
    let initial = postcard::to_stdvec(&ConfigState::default()).expect("the value can be encoded");
    let mut written = vec![("initial_state", initial)];
    for (name, command) in commands {
        let bytes = postcard::to_stdvec(&command).expect("the value can be encoded");
        assert_eq!(postcard::from_bytes(&bytes), Ok(command.clone()), "{name}");
        written.push((name, bytes));
        state.apply(command);
    }
    let bytes = postcard::to_stdvec(&state).expect("the value can be encoded");
    written.push(("state", bytes.clone()));
    assert_matches_fixture("state.txt", &named_bytes(&written));
    assert_eq!(postcard::from_bytes(&bytes), Ok(state));
    for n in 0..bytes.len() {
        assert!(postcard::from_bytes::<ConfigState>(&bytes[..n]).is_err(), "{n} bytes");
    }
}
