//! Synchronisation with the shared counter: totals, losses, silence and recovery.

#![allow(clippy::too_many_lines, clippy::unwrap_used)]

mod common;
use common::*;
use policy::*;

#[test]
fn spend_is_reported_under_one_name_by_all_gatekeepers_and_totals_empty_the_bucket() {
    let mut one = Harness::new(settings(), &backends(4));
    let mut two = Harness::new(Settings { gatekeeper_index: 1, ..settings() }, &backends(4));
    let (name, add) = count(&one.feed(request(1, 0, 4.0))).expect("spend is told");
    let (same, _) = count(&two.feed(request(1, 0, 4.0))).expect("spend is told");
    assert_eq!((name, add), (same, 4.0));
    let out = one.feed(counted(name, 4.0, Outcome::Ok));
    // Simulated the first to use a name writes off: the time before it.
    let (_, unused) = count(&out).expect("the time before is written off");
    one.feed(counted(name, 4.0 + unused, Outcome::Ok));
    two.feed(counted(same, 8.0 + unused, Outcome::Ok));
    one.now += 10 * MS;
    let (_, add) = count(&one.feed(request(2, 0, 4.0))).expect("spend is told");
    assert!((add - 4.0).abs() < 1e-3);
    one.feed(counted(name, 22.0 + unused, Outcome::Ok));
    assert!(rejected(&one.feed(request(3, 0, 4.0))));
    assert_eq!(sends(&two.feed(request(3, 0, 3.0))).len(), 1);
}

#[test]
fn a_gatekeeper_that_just_started_reads_the_level_and_not_a_full_bucket() {
    // One gatekeeper uses a name first, and a heavy tenant spends all its bucket through it.
    let mut one = Harness::new(settings(), &backends(4));
    let mut total = 0.0;
    for id in 0..10 {
        let actions = one.feed(request(id, 0, 4.0));
        one.count_in(actions, &mut total);
        let actions = one.tick_until(one.now + 20 * MS);
        one.count_in(actions, &mut total);
    }
    let mut two = Harness::start(Settings { gatekeeper_index: 1, ..settings() }, &backends(4), one.now);
    let first = two.feed(request(1, 0, 4.0));
    assert!(rejected(&two.count_in(first, &mut total)), "a fresh gatekeeper spent a bucket that was empty");
}

#[test]
fn a_call_that_may_have_been_added_is_not_repeated() {
    let mut b = Harness::new(settings(), &backends(4));
    let (name, _) = count(&b.feed(request(1, 0, 4.0))).unwrap();
    b.feed(counted(name, 0.0, Outcome::Timeout));
    assert_eq!(count(&b.tick_until(3 * SECOND)), None);
    // Turned away means that nothing was added: it is told again.
    let mut b = Harness::new(settings(), &backends(4));
    let (name, _) = count(&b.feed(request(1, 0, 4.0))).unwrap();
    let mut out = b.feed(counted(name, 0.0, Outcome::Rejected));
    out.extend(b.tick_until(3 * SECOND));
    assert_eq!(count(&out), Some((name, 4.0)));
}

#[test]
fn a_counter_that_lost_its_totals_gives_no_units_back() {
    let mut b = Harness::new(settings(), &backends(4));
    let (name, add) = count(&b.feed(request(1, 0, 4.0))).unwrap();
    b.feed(counted(name, 1e4 + add, Outcome::Ok));
    b.now += 100 * MS;
    assert!(rejected(&b.feed(request(2, 0, 4.0))), "spent before");
    // Its own part is spent too; the total starts again from nothing.
    b.now += 100 * MS;
    let actions = b.feed(request(3, 0, 0.5));
    if let Some((name, add)) = count(&actions) {
        b.feed(counted(name, add.max(0.0), Outcome::Ok));
    }
    assert!(rejected(&b.feed(request(4, 0, 4.0))));
}

#[test]
fn late_reports_of_others_after_the_counters_recovery_do_not_empty_the_bucket() {
    let mut b = Harness::new(settings(), &backends(8));
    let (name, add) = count(&b.request(1, 0, 1.0)).unwrap();
    b.feed(counted(name, add, Outcome::Ok));
    // Silence for 10 s, in which this gatekeeper spends a little of its part.
    let mut id = 2;
    while b.now < 10 * SECOND {
        b.now += 100 * MS;
        let mut actions = if id % 20 == 0 { b.request(id, 0, 0.5) } else { vec![] };
        actions.extend(b.feed(Event::Timer { token: 0 }));
        for backend in sends(&actions) {
            b.end(id, 0, backend, Outcome::Ok);
        }
        if let Some((name, _)) = count(&actions) {
            b.feed(counted(name, 0.0, Outcome::ConnectFailed));
        }
        id += 1;
    }
    // It is back, empty, and another gatekeeper has told 10 s of spend at once: long since refilled.
    b.now += 2 * SECOND;
    let (name, _) = count(&b.request(900, 0, 0.5)).expect("a trial call");
    b.feed(counted(name, 60.0, Outcome::Ok));
    b.now += 100 * MS;
    assert_eq!(sends(&b.request(901, 0, 2.0)).len(), 1);
}

#[test]
fn a_silent_counter_neither_admits_all_nor_rejects_all() {
    let mut b = Harness::new(settings(), &backends(8));
    let mut sent = 0;
    for id in 0..400 {
        b.now += 25 * MS;
        let mut actions = b.feed(request(id, 0, 1.0));
        actions.extend(b.feed(Event::Timer { token: 0 }));
        for backend in sends(&actions) {
            sent += 1;
            b.end(id, 0, backend, Outcome::Ok);
        }
        if let Some((name, _)) = count(&actions) {
            b.feed(counted(name, 0.0, Outcome::Timeout));
        }
    }
    // 10 s of a rate of 10, of which half is this gatekeeper's: 50, and its part of the burst on top.
    assert!((40..=80).contains(&sent), "{sent} units in 10 s");
}

/// Guards the counter's return: calls that ended without an answer may have been added and are not told again, so with
/// nothing left to tell no call was ever made again, and the silence never ended.
#[test]
fn a_silent_counter_is_tried_though_nothing_is_unreported() {
    let mut b = Harness::new(settings(), &backends(4));
    let mut actions = b.request(1, 0, 1.0);
    let mut total = 1.0;
    for id in 2.. {
        b.now += 100 * MS;
        actions.extend(b.feed(request(id, 0, 0.1)));
        while let Some((name, add)) = count(&actions) {
            total += add;
            b.now += 50 * MS;
            actions = b.feed(counted(name, 0.0, Outcome::Timeout));
        }
        if actions.iter().any(|a| matches!(a, Action::Log(_))) {
            break;
        }
    }
    let until = b.now + 2 * SECOND;
    let (name, add) = count(&b.tick_until(until)).expect("a trial");
    let actions = b.feed(counted(name, total + add, Outcome::Ok));
    // Nothing is told twice: who reads the total now finds nearly a full bucket.
    let mut other = Harness::start(Settings { gatekeeper_index: 1, ..settings() }, &backends(4), b.now);
    for id in 1..=4 {
        let asked = other.feed(request(id, 0, 4.0));
        assert_eq!(sends(&other.count_in(asked, &mut { total + add })).len(), 1, "request {id}");
    }
    assert!(actions.iter().any(|a| matches!(a, Action::Log(Notice::CounterRecovered))));
}

/// Guards the counter's return: calls that reach it late are added, and nobody hears of it. Each once wrote half a burst off
/// with its spend; when a cut of 5 s healed, eight such calls stood for 3,200 units that nobody had spent, and all gatekeepers
/// rejected the tenant for eight seconds.
#[test]
fn calls_that_may_be_added_late_write_nothing_off() {
    let mut b = Harness::new(settings(), &backends(4));
    let (mut totals, mut spent, mut late, mut calls) = (std::collections::HashMap::new(), 0.0, 0.0, 0);
    for id in 0..100 {
        // A unit in 0.3 s: the bucket is full, and most of what fills no bucket can hold.
        let until = b.now + 300 * MS;
        let mut actions = b.tick_until(until);
        actions.extend(b.feed(request(id, 0, 1.0)));
        while !actions.is_empty() {
            let mut more = Vec::new();
            for action in actions {
                match action {
                    Action::CounterAdd { name, units: add, .. } if id < 30 => {
                        let total = totals.entry(name).or_insert(0.0);
                        *total += add;
                        more.extend(b.feed(counted(name, *total, Outcome::Ok)));
                    }
                    // From here on nothing is heard.
                    Action::CounterAdd { name, units: add, .. } => {
                        (late, calls) = (late + add, calls + 1);
                        more.extend(b.feed(counted(name, 0.0, Outcome::Timeout)));
                    }
                    Action::Send { id, backend, .. } => {
                        spent += f64::from(u8::from(id >= RequestId(30)));
                        more.extend(b.end(id.0, 0, backend.0, Outcome::Ok));
                    }
                    _ => {}
                }
            }
            actions = more;
        }
    }
    assert!(calls > 10, "{calls} calls");
    // The first may hold a guess yet: half a burst of 20.
    assert!(late <= spent + 10.0 + 1e-6, "{late} units in {calls} calls for {spent} that were spent");
}

/// Guards against spoilt answers of the counter, which tell that it lives and has added: they must neither silence it nor
/// have those who wait for the total decided without one.
#[test]
fn an_unreadable_total_is_read_again_and_is_no_silence() {
    let mut b = Harness::new(settings(), &backends(4));
    let mut actions = b.feed(request(1, 0, 2.0));
    for _ in 0..3 {
        let (name, _) = count(&actions).expect("the total is requested");
        assert!(sends(&actions).is_empty() && !rejected(&actions));
        b.now += 200 * MS;
        actions = b.feed(counted(name, 0.0, Outcome::Error));
        assert!(!actions.iter().any(|a| matches!(a, Action::Log(_))), "it is not silent");
    }
    let (name, add) = count(&actions).expect("and again");
    assert_eq!(add, 0.0, "what was added is not added again");
    let actions = b.feed(counted(name, 1e4, Outcome::Ok));
    assert!(rejected(&actions), "the total that was waited for decides");
}

#[test]
fn hundreds_of_gatekeepers_share_the_capacity_of_the_counter() {
    // 300 gatekeepers with more tenants than the counter can be asked about: after what each has saved up,
    // all together call about a thousand times a second and not once for each request.
    let mut calls = 0;
    for me in 0..300 {
        let s = Settings { gatekeepers: 300, gatekeeper_index: me, ..settings() };
        let mut b = Harness::new(s, &backends(100));
        for step in 1..=100u32 {
            b.now = 1 + SECOND + Micros::from(step) * 20 * MS;
            let request = Event::Request {
                id: RequestId(step),
                class: 0,
                plan: 0,
                tenant: TenantId(u64::from(step)),
                time_left: SECOND,
                tenant_gatekeepers: 100.0,
                units: 1.0,
                client_retry: false,
            };
            let mut actions = b.feed(request);
            actions.extend(b.feed(Event::Timer { token: 0 }));
            calls += actions.iter().filter(|a| matches!(a, Action::CounterAdd { .. })).count();
        }
    }
    // 2 s of 1,000 a second, and 8 saved up by each.
    assert!(calls <= 2_000 + 8 * 300 + 300, "{calls} calls for 30,000 requests in 2 s");
    assert!(calls >= 2_000, "{calls} calls: the counter stood idle");
}

#[test]
fn first_calls_of_hundreds_of_gatekeepers_do_not_flood_the_counter() {
    // Five new tenants at each gatekeeper in the first instant; a counter that bears about a thousand calls a second.
    let calls = |gatekeepers: u32| -> usize {
        let s = Settings { gatekeepers, counter_timeout: 80 * MS, ..settings() };
        let of_one = |me| {
            // Late enough that none is rejected for want of a place, which would spare its call.
            let mut b =
                Harness::start(Settings { gatekeeper_index: me, ..s.clone() }, &backends(4), 10 * SECOND);
            let out: Vec<_> = (1..=5).flat_map(|id| b.feed(request_of(id, 0, u64::from(id)))).collect();
            out.iter().filter(|a| matches!(a, Action::CounterAdd { .. })).count()
        };
        (0..gatekeepers).map(of_one).sum()
    };
    let many = calls(366);
    assert!((100..=550).contains(&many), "{many} calls at once by 366 gatekeepers");
    assert!(calls(4) >= 8, "a few gatekeepers use what the counter bears");
}

/// A tenant that used little for a while had its unused units pile up in the shared count, and each of many gatekeepers
/// that met it for the first time read a full bucket there, however many had just been spent.
#[test]
fn gatekeepers_that_first_see_a_tenant_read_no_more_than_a_bucket() {
    for tenant in 0..8 {
        let mut counts = std::collections::BTreeMap::new();
        let mut answer = |b: &mut Harness, actions| {
            let all = b.count_by_name(actions, |name, add| {
                let total = counts.entry(name).or_insert(0.0);
                *total += add;
                *total
            });
            sends(&all).len()
        };
        let ask = |id, units| {
            let (class, plan, set_size, time_left, repeat) = (0, 0, 50.0, SECOND, false);
            Event::Request {
                id,
                class,
                plan,
                tenant: TenantId(tenant),
                time_left,
                tenant_gatekeepers: set_size,
                units,
                client_retry: repeat,
            }
        };
        let gatekeeper = |me, now| {
            let plans = vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }];
            let s = Settings {
                gatekeepers: 50,
                gatekeeper_index: me,
                plans,
                counter_timeout: 500 * MS,
                ..settings()
            };
            Harness::start(s, &backends(50), now)
        };
        let mut calm = gatekeeper(0, 100 * SECOND);
        for id in 0..12 {
            calm.now += SECOND;
            let out = calm.feed(ask(RequestId(id), 1.0));
            assert!(answer(&mut calm, out) <= 1);
            let end = calm.now + 100 * MS;
            let told = calm.tick_until(end);
            answer(&mut calm, told);
            calm.end(id, 0, 1, Outcome::Ok);
        }
        let mut let_in = 0;
        for me in 1..50 {
            let mut b = gatekeeper(me, 100 * SECOND);
            b.now = calm.now + 50 * MS;
            let out = b.feed(ask(RequestId(1), 4.0));
            let_in += answer(&mut b, out);
        }
        assert!((1..=10).contains(&let_in), "tenant {tenant}: {let_in} times 4 units out of a bucket of 20");
    }
}
