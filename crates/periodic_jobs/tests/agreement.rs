//! Compatibility with an earlier build, which wrote the fixtures. Instances of both builds must agree on the hashes, the ranking
//! of members, the scheduled times of runs, and the scheduler's actions with their times.

mod support;

use job_lease::{LeaseRecord, LocalStore};
use periodic_jobs::rendezvous::{JobHash, MemberHash, Members, Ranking};
use periodic_jobs::{Action, ClockReading, Job, Scheduler, StoreCall};
use std::time::Duration;
use support::{clock_reading, config};
use timestamps::UnixTime;

/// The expected lines of `rank_lines`.
const RANKS: &str = include_str!("fixtures/order.txt");
/// The expected lines of `action_lines`.
const ACTIONS: &str = include_str!("fixtures/course.txt");

/// The simulated time between two ticks.
const TICK: Duration = Duration::from_millis(5);

const JOBS: [&str; 4] = ["call/close-of-day", "probe/loans-1", "probe/eu/loans-2", "d"];

/// Returns one line per job with the job's hash, the scheduled time of a run, and the ranks of all members.
fn rank_lines() -> String {
    let mut members = Members::default();
    members.replace((0..6).map(|i| format!("m{i}")));
    let rank_line = |name: &str| {
        let ranking = Ranking::new(JobHash::from_name(name), &members, 4);
        let rank = |i| ranking.rank(MemberHash::from_name(&format!("m{i}")));
        let ranks: Vec<String> = (0..6).map(|i| format!("{:?}", rank(i))).collect();
        let run = Job { name: name.into(), period: Duration::from_secs(7) }
            .run_at(UnixTime::from_millis(1_800_000_000_000));
        format!("{name} {:016x} {run} {}\n", JobHash::from_name(name).0, ranks.join(" "))
    };
    JOBS.iter().map(|name| rank_line(name)).collect()
}

/// Runs the scheduler of one of two instances, with a store that responds at once. Returns one line per action of the
/// scheduler with the time in Unix milliseconds.
fn action_lines() -> String {
    let mut scheduler = Scheduler::new(config("m0", 11));
    let mut store = LocalStore::default();
    let mut lines = String::new();
    let mut now = clock_reading(1_800_000_000_000, 5_000);
    scheduler
        .set_jobs(now, JOBS.map(|name| Job { name: name.into(), period: Duration::from_secs(1) }).to_vec());
    scheduler.set_members(now, ["m1".to_owned()]);
    for _ in 0..1_200 {
        now = now + TICK;
        let mut actions = Vec::new();
        scheduler.tick(now, &mut actions);
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                lines.push_str(&format!("{} {}\n", now.unix.as_millis(), describe(&action)));
                if let Action::CallStore(call) = action {
                    let response = call.apply_to(&mut store);
                    scheduler.handle_store_response(now, response, &mut actions);
                }
            }
        }
    }
    lines
}

/// Returns the fixture's text for an action.
fn describe(action: &Action) -> String {
    match action {
        Action::CallStore(StoreCall::OpenSession) => "open".into(),
        Action::CallStore(StoreCall::RenewSession(_)) => "renew".into(),
        Action::CallStore(StoreCall::ReadLeases { call, jobs }) => {
            format!("read {} {}", call.0, jobs.join(" "))
        }
        Action::CallStore(StoreCall::CompareAndSet { call, job, record, expected_index, .. }) => {
            let LeaseRecord { run, holder, lease_id } = record;
            format!("put {} {job} {run} {holder:?} {lease_id} {expected_index}", call.0)
        }
        Action::StartRun(run) => {
            let ClockReading { unix, monotonic } = run.deadline;
            format!("run {} {} {} {}", run.job, run.id, unix.as_millis(), monotonic.as_millis())
        }
        Action::Notify(_) => "note".into(),
    }
}

#[test]
fn hashes_ranks_and_scheduled_times_equal_those_of_the_earlier_build() {
    assert_eq!(rank_lines(), RANKS);
}

#[test]
fn the_scheduler_emits_the_same_actions_at_the_same_times_as_the_earlier_build() {
    assert_eq!(action_lines(), ACTIONS);
}
