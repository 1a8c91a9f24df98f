//! What instances of different builds must agree on: hashes, the order of members, the starts of rounds, and what is
//! written to the store and when. The fixtures are an earlier build's.

use job_lease::local::Local;
use periodic_jobs::ranks::{Members, Top, hash};
use periodic_jobs::{Action, Config, Duty, Now, Scheduler, round_at};

const ORDER: &str = include_str!("fixtures/order.txt");
const COURSE: &str = include_str!("fixtures/course.txt");

const NAMES: [&str; 4] = ["call/close-of-day", "probe/loans-1", "probe/eu/loans-2", "d"];

/// For each duty its hash, the start of a round, and its members in order.
fn order() -> String {
    let mut members = Members::default();
    members.set((0..6).map(|i| format!("m{i}")));
    let line = |name: &str| {
        let mut top = Top::default();
        top.build(hash(name), &members, 4);
        let ranks: Vec<String> = (0..6).map(|i| format!("{:?}", top.rank(hash(&format!("m{i}"))))).collect();
        let start = round_at(&Duty { name: name.into(), period: 7_000 }, 1_800_000_000_000);
        format!("{name} {:016x} {start} {}\n", hash(name), ranks.join(" "))
    };
    NAMES.iter().map(|name| line(name)).collect()
}

/// What the scheduler of one of two instances asks for, against a store that answers at once.
fn course() -> String {
    let mut scheduler = Scheduler::new(Config {
        me: "m0".into(),
        standbys: 2,
        skew: 100,
        guard: 10,
        trial: 200,
        renew: 3_000,
        start: 11,
    });
    let (mut store, mut lines) = (Local::default(), String::new());
    let mut now = Now { wall: 1_800_000_000_000, mono: 5_000 };
    scheduler.set_duties(now, NAMES.map(|name| Duty { name: name.into(), period: 1_000 }).to_vec());
    scheduler.set_members(now, ["m1".to_owned()]);
    for _ in 0..1_200 {
        (now.wall, now.mono) = (now.wall + 5, now.mono + 5);
        let mut actions = Vec::new();
        scheduler.tick(now, &mut actions);
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                let line = match action {
                    Action::Open => {
                        scheduler.opened(now, Ok(store.open()), &mut actions);
                        "open".into()
                    }
                    Action::Renew(session) => {
                        scheduler.renewed(now, &session, Ok(true), &mut actions);
                        "renew".into()
                    }
                    Action::Read { call, names } => {
                        scheduler.read(now, call, &names, Ok(store.read(&names)), &mut actions);
                        format!("read {call} {}", names.join(" "))
                    }
                    Action::Put { call, name, record, index, .. } => {
                        let put = store.put(&name, record.clone(), index);
                        scheduler.put(now, call, &name, &record, put, &mut actions);
                        format!("put {call} {name} {} {:?} {} {index}", record.round, record.by, record.id)
                    }
                    Action::Run(run) => {
                        format!("run {} {} {} {}", run.duty, run.round, run.before_wall, run.before_mono)
                    }
                    Action::Note(_) => "note".into(),
                };
                lines.push_str(&format!("{} {line}\n", now.wall));
            }
        }
    }
    lines
}

#[test]
fn hashes_orders_and_starts_are_those_of_the_earlier_build() {
    assert_eq!(order(), ORDER);
}

#[test]
fn the_scheduler_asks_for_the_same_at_the_same_time_as_the_earlier_build() {
    assert_eq!(course(), COURSE);
}
