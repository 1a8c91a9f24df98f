use super::*;

fn propose(id: u64, expected_version: Option<u64>) -> Command {
    Command::Propose(Proposal {
        id: ProposalId(id),
        proposed_by: format!("p{id}"),
        expected_version: expected_version.map(ConfigVersion),
        text: format!("text {id}"),
    })
}

#[test]
fn a_concurrent_proposal_is_rejected_and_names_the_accepted_version() {
    let mut state = ConfigState::default();
    let first_proposer = || "p1".to_owned();
    assert_eq!(state.apply(propose(1, Some(0))), Some(ProposalOutcome::Accepted(ConfigVersion(1))));
    assert_eq!(
        state.apply(propose(2, Some(0))),
        Some(ProposalOutcome::RolloutInProgress { version: ConfigVersion(1), proposed_by: first_proposer() })
    );
    assert_eq!(state.apply(Command::Activate(ConfigVersion(1))), None);
    assert_eq!(
        state.apply(propose(3, Some(0))),
        Some(ProposalOutcome::VersionConflict { in_force: ConfigVersion(1), proposed_by: first_proposer() })
    );
    assert_eq!(state.apply(propose(4, Some(1))), Some(ProposalOutcome::Accepted(ConfigVersion(2))));
    assert_eq!(state.apply(Command::Activate(ConfigVersion(7))), None, "version 7 is not proposed");
    assert_eq!(state.in_force().map(|version| version.number), Some(ConfigVersion(1)));
    assert_eq!(state.latest_number(), ConfigVersion(2));
}

#[test]
fn a_repeated_proposal_is_applied_once() {
    let mut state = ConfigState::default();
    assert_eq!(state.apply(propose(1, None)), Some(ProposalOutcome::Accepted(ConfigVersion(1))));
    state.apply(Command::Activate(ConfigVersion(1)));
    assert_eq!(state.apply(propose(1, None)), Some(ProposalOutcome::Accepted(ConfigVersion(1))));
    assert_eq!((state.latest_number(), state.proposed()), (ConfigVersion(1), None));
}

#[test]
fn history_and_outcomes_are_bounded_and_a_too_large_text_is_rejected() {
    let mut state = ConfigState::default();
    let large = Proposal {
        id: ProposalId(0),
        proposed_by: "p".into(),
        expected_version: None,
        text: "x".repeat(MAX_TEXT_BYTES + 1),
    };
    assert_eq!(state.apply(Command::Propose(large)), Some(ProposalOutcome::TooLarge));
    for id in 1..=1_000 {
        state.apply(propose(id, None));
        state.apply(Command::Activate(ConfigVersion(id)));
    }
    assert_eq!(state.history().count(), MAX_HISTORY);
    assert_eq!(state.outcomes.len(), MAX_RECORDED_OUTCOMES);
    assert_eq!(state.in_force().map(|version| version.number), Some(ConfigVersion(1_000)));
}
