//! The queue of attempts follows the phases of the jobs.

use super::*;
use crate::rendezvous::Members;
use std::time::Duration;

const fn unix_millis(millis: u64) -> UnixTime {
    UnixTime::from_millis(millis)
}

fn job(name: &str) -> Job {
    Job { name: name.into(), period: Duration::from_secs(1) }
}

fn new_state(job: Job) -> JobState {
    JobState::new(job, &Members::default(), 1)
}

#[test]
fn a_job_that_remains_keeps_its_queued_attempt_or_its_call_in_flight() {
    let mut jobs = Jobs::default();
    jobs.replace(vec![job("a"), job("b"), job("c")], new_state);
    jobs.set_phase(0, Phase::Waiting { attempt_at: unix_millis(100) });
    jobs.set_phase(1, Phase::Waiting { attempt_at: unix_millis(200) });
    jobs.set_phase(2, Phase::Reading(CallId(7)));
    jobs.replace(vec![job("c"), job("b"), job("d")], new_state);
    assert_eq!(jobs.next_attempt_at(), Some(unix_millis(200)));
    assert_eq!(jobs.first_due_attempt(unix_millis(200)), Some(1));
    jobs.set_phase(1, Phase::Unranked);
    assert_eq!(jobs.next_attempt_at(), None);
    assert_eq!(jobs.awaiting_read("c", CallId(7)), Some(0));
    assert_eq!(jobs[2].phase(), Phase::Unranked);
}

#[test]
fn an_attempt_is_queued_exactly_while_its_job_waits() {
    let mut jobs = Jobs::default();
    jobs.replace(vec![job("a")], new_state);
    assert_eq!(jobs.next_attempt_at(), None);
    for phase in
        [Phase::Unranked, Phase::Reading(CallId(1)), Phase::Writing { call: CallId(2), is_seed: false }]
    {
        jobs.set_phase(0, Phase::Waiting { attempt_at: unix_millis(100) });
        assert_eq!(jobs.first_due_attempt(unix_millis(99)), None);
        assert_eq!(jobs.first_due_attempt(unix_millis(100)), Some(0));
        assert_eq!(
            jobs.first_due_attempt(unix_millis(100)),
            Some(0),
            "it stays queued until the phase changes"
        );
        jobs.set_phase(0, phase);
        assert_eq!(jobs.next_attempt_at(), None, "{phase:?}");
    }
}
