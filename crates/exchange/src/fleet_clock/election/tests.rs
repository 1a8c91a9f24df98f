//! Transitions of the election's state machine, one counter call at a time.

use super::super::stamp::TICK_MICROS;
use super::*;

/// The stamp time that is this many ticks after 1970.
fn stamp_time(ticks: i64) -> StampTime {
    StampTime::from_micros(ticks * TICK_MICROS as i64)
}

/// The decoded sum of a clock count in which `placed_count` stamps were placed, with a time of `ticks`.
fn stamps(placed_count: i64, ticks: i64) -> Stamp {
    Stamp { placed_count, time: stamp_time(ticks) }
}

fn in_state(state: ElectionState) -> Election {
    Election { state }
}

/// Asserts that the next call is a read, and applies a reply with this stamp to the read.
#[track_caller]
fn read(election: &mut Election, stamp: Stamp, freshness: Freshness) -> Decision {
    let call = election.next_call(stamp_time(0));
    assert_eq!(call, StampCall::Read);
    election.on_reply(call, stamp, freshness)
}

/// Makes the next call at the time `ticks`, and applies this reply to the call.
fn call_and_reply(election: &mut Election, ticks: i64, reply: Stamp) -> Decision {
    let call = election.next_call(stamp_time(ticks));
    election.on_reply(call, reply, Freshness::Fresh)
}

fn timekeeper(ticks: i64) -> ElectionState {
    ElectionState::Timekeeper { stamp: stamp_time(ticks) }
}

#[test]
fn a_process_that_twice_found_no_stamp_places_one_and_becomes_the_timekeeper() {
    let mut election = Election::new();
    assert_eq!(read(&mut election, stamps(0, 0), Freshness::Fresh), Decision::CallAfter(CallDelay::Vacancy));
    assert_eq!(election.state, ElectionState::Candidate);
    assert_eq!(read(&mut election, stamps(0, 0), Freshness::Fresh), Decision::CallAfter(CallDelay::None));
    assert_eq!(call_and_reply(&mut election, 70, stamps(1, 70)), Decision::CallAfter(CallDelay::Advance));
    assert_eq!(election.state, timekeeper(70));
    assert!(election.is_timekeeper());
}

#[test]
fn a_candidate_that_finds_a_fresh_stamp_becomes_a_follower() {
    let mut election = in_state(ElectionState::Candidate);
    assert_eq!(
        read(&mut election, stamps(1, 50), Freshness::Fresh),
        Decision::CallAfter(CallDelay::FollowerRead)
    );
    assert_eq!(election.state, ElectionState::Follower);
}

#[test]
fn a_process_whose_stamp_conflicts_rolls_its_stamp_back() {
    let mut election = in_state(ElectionState::Claiming { residue: Ticks::ZERO });
    assert_eq!(call_and_reply(&mut election, 70, stamps(2, 140)), Decision::CallAfter(CallDelay::None));
    let call = election.next_call(stamp_time(80));
    assert_eq!(call, StampCall::RollBack { amount: -stamp_time(70).placement_amount(Ticks::ZERO) });
    let decision = election.on_reply(call, stamps(1, 70), Freshness::Fresh);
    assert_eq!(
        (decision, election.state),
        (Decision::CallAfter(CallDelay::Backoff), ElectionState::Follower)
    );
}

#[test]
fn a_possibly_stale_stamp_without_progress_is_taken_over() {
    let mut election = Election::new();
    let decision = read(&mut election, stamps(1, 50), Freshness::PossiblyStale);
    assert_eq!(decision, Decision::CallAfter(CallDelay::Confirmation));
    assert_eq!(
        read(&mut election, stamps(1, 50), Freshness::PossiblyStale),
        Decision::CallAfter(CallDelay::None)
    );
    assert_eq!(election.state, ElectionState::TakingOver { stamp: stamp_time(50) });
    assert_eq!(election.next_call(stamp_time(90)).amount(), Ticks(40));
    assert_eq!(call_and_reply(&mut election, 90, stamps(1, 90)), Decision::CallAfter(CallDelay::Advance));
    assert_eq!(election.state, timekeeper(90));
}

#[test]
fn a_possibly_stale_stamp_that_makes_progress_is_adopted() {
    let mut election = in_state(ElectionState::Confirming { stamp: stamp_time(50) });
    let decision = read(&mut election, stamps(1, 60), Freshness::PossiblyStale);
    assert_eq!(decision, Decision::AdoptStamp(stamp_time(60)));
}

#[test]
fn a_stamp_of_an_offset_clock_is_adopted_at_once_and_followed_when_it_makes_progress() {
    let mut election = Election::new();
    let decision = read(&mut election, stamps(1, 50), Freshness::OffsetClock);
    assert_eq!(decision, Decision::AdoptStamp(stamp_time(50)));
    let decision = read(&mut election, stamps(1, 50), Freshness::Fresh);
    assert_eq!(
        decision,
        Decision::CallAfter(CallDelay::Confirmation),
        "a stamp without progress is not fresh"
    );
    assert_eq!(
        read(&mut election, stamps(1, 60), Freshness::Fresh),
        Decision::CallAfter(CallDelay::FollowerRead)
    );
    assert_eq!(election.state, ElectionState::Follower);
}

#[test]
fn an_adopted_stamp_is_taken_over_after_thirty_reads_without_progress() {
    let mut election = in_state(ElectionState::Adopted { stamp: stamp_time(50), reads_without_progress: 0 });
    for _ in 1..30 {
        let decision = read(&mut election, stamps(1, 50), Freshness::PossiblyStale);
        assert_eq!(decision, Decision::CallAfter(CallDelay::Confirmation));
    }
    assert_eq!(
        read(&mut election, stamps(1, 50), Freshness::PossiblyStale),
        Decision::CallAfter(CallDelay::None)
    );
    assert_eq!(election.state, ElectionState::TakingOver { stamp: stamp_time(50) });
}

#[test]
fn a_timekeeper_whose_stamp_expired_places_a_new_stamp() {
    for (stamp, time) in [(50, 60), (999_995, 5)] {
        let mut election = in_state(timekeeper(stamp));
        let amount = election.next_call(stamp_time(time)).amount();
        let decision = call_and_reply(&mut election, time, Stamp::decode(amount.as_units()));
        assert_eq!(decision, Decision::CallAfter(CallDelay::None));
        assert_eq!(election.state, ElectionState::Claiming { residue: amount });
    }
}

#[test]
fn a_timekeeper_that_finds_another_stamp_rolls_back_its_addition() {
    let mut election = in_state(timekeeper(50));
    assert_eq!(call_and_reply(&mut election, 60, stamps(1, 75)), Decision::CallAfter(CallDelay::None));
    assert_eq!(election.state, ElectionState::RollingBack { amount: Ticks(10) });
}

#[test]
fn a_reader_that_finds_several_stamps_backs_off_until_they_are_rolled_back() {
    for state in [ElectionState::Candidate, ElectionState::Confirming { stamp: stamp_time(5) }] {
        let mut election = in_state(state);
        assert_eq!(
            read(&mut election, stamps(2, 100), Freshness::Fresh),
            Decision::CallAfter(CallDelay::Backoff)
        );
        assert_eq!(election.state, ElectionState::Follower);
    }
}

#[test]
fn a_failed_call_is_repeated_unless_it_may_have_changed_the_clock_count() {
    let states = [
        ElectionState::Claiming { residue: Ticks::ZERO },
        ElectionState::TakingOver { stamp: stamp_time(5) },
        timekeeper(5),
        ElectionState::RollingBack { amount: Ticks(3) },
    ];
    for state in states {
        for (outcome, expected) in [(Outcome::Rejected, state), (Outcome::Timeout, ElectionState::Follower)] {
            let mut election = in_state(state);
            let call = election.next_call(stamp_time(60));
            assert_eq!(election.on_failure(call, outcome), CallDelay::Backoff);
            assert_eq!(election.state, expected, "{state:?} after {outcome:?}");
        }
    }
    let confirming = ElectionState::Confirming { stamp: stamp_time(5) };
    let mut election = in_state(confirming);
    assert_eq!(election.on_failure(StampCall::Read, Outcome::Timeout), CallDelay::Backoff);
    assert_eq!(election.state, confirming, "a read adds nothing");
}
