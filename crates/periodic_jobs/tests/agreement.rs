//! What instances of different builds must agree on: hashes, the ranking of members, the scheduled times of runs, and what
//! is written to the store and when. The fixtures are an earlier build's.

use job_lease::LocalStore;
use periodic_jobs::rendezvous::{JobHash, MemberHash, Members, Ranking};
use periodic_jobs::{Action, ClockReading, Config, Job, Scheduler};

const ORDER: &str = include_str!("fixtures/order.txt");
const COURSE: &str = include_str!("fixtures/course.txt");

const NAMES: [&str; 4] = ["call/close-of-day", "probe/loans-1", "probe/eu/loans-2", "d"];

/// For each job its hash, the scheduled time of a run, and the ranks of all members.
fn order() -> String {
    let mut members = Members::default();
    members.replace((0..6).map(|i| format!("m{i}")));
    let line = |name: &str| {
        let ranking = Ranking::new(JobHash::of(name), &members, 4);
        let rank = |i| ranking.rank(MemberHash::of(&format!("m{i}")));
        let ranks: Vec<String> = (0..6).map(|i| format!("{:?}", rank(i))).collect();
        let run = Job { name: name.into(), period_ms: 7_000 }.run_at(1_800_000_000_000);
        format!("{name} {:016x} {run} {}\n", JobHash::of(name).0, ranks.join(" "))
    };
    NAMES.iter().map(|name| line(name)).collect()
}

/// What the scheduler of one of two instances asks for, against a store that responds at once.
fn course() -> String {
    let mut scheduler = Scheduler::new(Config {
        instance: "m0".into(),
        standbys: 2,
        max_clock_skew_ms: 100,
        start_margin_ms: 10,
        store_retry_ms: 200,
        session_renewal_ms: 3_000,
        incarnation: 11,
    });
    let (mut store, mut lines) = (LocalStore::default(), String::new());
    let mut now = ClockReading { unix_ms: 1_800_000_000_000, monotonic_ms: 5_000 };
    scheduler.set_jobs(now, NAMES.map(|name| Job { name: name.into(), period_ms: 1_000 }).to_vec());
    scheduler.set_members(now, ["m1".to_owned()]);
    for _ in 0..1_200 {
        now.unix_ms += 5;
        now.monotonic_ms += 5;
        let mut actions = Vec::new();
        scheduler.tick(now, &mut actions);
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                let line = apply_action(&mut scheduler, &mut store, now, action, &mut actions);
                lines.push_str(&format!("{} {line}\n", now.unix_ms));
            }
        }
    }
    lines
}

/// Carries out an action; returns its line in the course.
fn apply_action(
    scheduler: &mut Scheduler,
    store: &mut LocalStore,
    now: ClockReading,
    action: Action,
    out: &mut Vec<Action>,
) -> String {
    match action {
        Action::OpenSession => {
            scheduler.session_opened(now, Ok(store.open_session()), out);
            "open".into()
        }
        Action::RenewSession(session) => {
            scheduler.session_renewed(now, &session, Ok(true), out);
            "renew".into()
        }
        Action::ReadLeases { call, jobs } => {
            scheduler.leases_read(now, call, &jobs, Ok(store.read(&jobs)), out);
            format!("read {} {}", call.0, jobs.join(" "))
        }
        Action::CompareAndSet { call, job, record, expected_index, .. } => {
            let outcome = store.compare_and_set(&job, record.clone(), expected_index);
            scheduler.compare_and_set_done(now, call, &job, &record, outcome, out);
            let (run, holder, lease_id) = (record.run, &record.holder, record.lease_id);
            format!("put {} {job} {run} {holder:?} {lease_id} {expected_index}", call.0)
        }
        Action::StartRun(run) => {
            let ClockReading { unix_ms, monotonic_ms } = run.deadline;
            format!("run {} {} {unix_ms} {monotonic_ms}", run.job, run.id)
        }
        Action::Notify(_) => "note".into(),
    }
}

#[test]
fn hashes_ranks_and_scheduled_times_are_those_of_the_earlier_build() {
    assert_eq!(order(), ORDER);
}

#[test]
fn the_scheduler_asks_for_the_same_at_the_same_time_as_the_earlier_build() {
    assert_eq!(course(), COURSE);
}
