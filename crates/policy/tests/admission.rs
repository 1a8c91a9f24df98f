//! Admission: what a tenant's quota, ceiling and the capacity let through.

#![allow(clippy::too_many_lines, clippy::unwrap_used)]

mod common;
use common::*;
use policy::*;

#[test]
fn an_empty_bucket_rejects_and_other_tenants_are_served() {
    let mut b = Harness::new(settings(), &backends(4));
    let sent: usize = (1..=9).map(|id| sends(&b.request(id, 0, 4.0)).len()).sum();
    assert_eq!(sent, 5, "a bucket of 20");
    let other = Event::Request {
        id: RequestId(30),
        class: 0,
        plan: 0,
        tenant: TenantId(8),
        time_left: SECOND,
        tenant_gatekeepers: 2.0,
        units: 4.0,
        client_retry: false,
    };
    b.now += 100 * MS;
    let (name, add) = count(&b.feed(other)).expect("a new tenant's total is requested");
    assert_eq!(sends(&b.feed(counted(name, add, Outcome::Ok))).len(), 1);
}

#[test]
fn an_answer_settles_an_estimated_cost_with_a_refund() {
    let mut b = Harness::new(Settings { estimated_costs: true, ..settings() }, &backends(4));
    let mut total = 0.0;
    let out = b.feed(request(1, 0, 4.0));
    let at = sends(&b.count_in(out, &mut total))[0];
    // Another gatekeeper spends: the bucket is not full, and there is nothing to write off.
    total += 15.0;
    let mut ok = ended(1, 0, at, Outcome::Ok);
    if let Event::AttemptEnded { units, .. } = &mut ok {
        *units = 1.0;
    }
    b.feed(ok);
    let before = total;
    let until = b.now + 1_200 * MS;
    while b.now < until {
        let out = b.tick_until(b.now + 20 * MS);
        b.count_in(out, &mut total);
    }
    // Simulated looked like a full bucket was written off meanwhile, and is taken back.
    assert!((total - before + 3.0).abs() < 0.01, "{} of -3", total - before);
}

#[test]
fn a_ceiling_holds_for_all_gatekeepers_without_coordination_and_through_restarts() {
    let plan = Plan { ceiling_rate: 20.0, ceiling_burst: 40.0, ..Plan::default() };
    let settings = Settings { plans: vec![plan], shared_counter: false, ..settings() };
    let mut gatekeepers: Vec<Harness> = (0..2)
        .map(|me| Harness::new(Settings { gatekeeper_index: me, ..settings.clone() }, &backends(8)))
        .collect();
    let (mut bucket, mut least) = (40.0f64, 40.0f64);
    for step in 0..3_000u32 {
        let now = 1 + u64::from(step) * 5 * MS;
        bucket = (bucket + 20.0 * 0.005).min(40.0);
        // All traffic on the first gatekeeper for a while, then on the second; each restarts again and again.
        let turn = (step / 700 % 2) as usize;
        if step % 500 == 499 {
            gatekeepers[turn] = Harness::start(settings.clone(), &backends(8), now);
        }
        let g = &mut gatekeepers[turn];
        g.now = now;
        let actions = g.request(step, 0, 4.0);
        for backend in sends(&actions) {
            bucket -= 4.0;
            g.end(step, 0, backend, Outcome::Ok);
        }
        least = least.min(bucket);
    }
    assert!(least >= 0.0, "the ceiling's bucket fell to {least}");
    assert!(least < 38.0, "something was let in");
}

#[test]
fn the_concurrency_limit_recovers_after_backends_held_too_much() {
    // Eight gatekeepers: none alone may hold more than its part at a backend, even if all answers are quick.
    let plans = vec![Plan::default()];
    let mut b = Harness::new(Settings { plans, gatekeepers: 8, ..settings() }, &backends(1));
    for id in 0..50 {
        b.now += 10 * MS;
        if !sends(&b.request(id, 0, 1.0)).is_empty() {
            b.end(id, 0, 1, Outcome::Ok);
        }
    }
    b.now += 10 * MS;
    let held: usize = (100..120).map(|id| sends(&b.request(id, 0, 1.0)).len()).sum();
    assert_eq!(held, 1);
}

#[test]
fn hundreds_of_gatekeepers_that_know_nothing_do_not_overload_backends_at_the_start() {
    // Each of 300 gatekeepers is requested 20 requests and nothing is answered yet. A place each at each of 100
    // backends would let 6,000 attempts out; eight at a backend is what all together may have.
    let plans = vec![Plan::default()];
    let mut out = 0;
    for me in 0..300 {
        let s = Settings { gatekeepers: 300, gatekeeper_index: me, plans: plans.clone(), ..settings() };
        let mut b = Harness::new(s, &backends(100));
        out += (0..20).map(|id| sends(&b.request(id, 0, 1.0)).len()).sum::<usize>();
    }
    assert!(out <= 800, "{out} attempts out at 100 backends");
    assert!(out >= 300, "{out}: every gatekeeper may have one out");
}

#[test]
fn gatekeepers_without_coordination_keep_near_a_cap_on_attempts_in_flight() {
    // Twenty gatekeepers and a cap of 4: one open attempt for each would be five times the cap.
    let plan = Plan { rate: 40.0, burst: 60.0, max_in_flight: 4, ..Plan::default() };
    let s = Settings { gatekeepers: 20, plans: vec![plan], ..fleet_of(20) };
    let at = |me| Harness::new(Settings { gatekeeper_index: me, ..s.clone() }, &backends(20));
    let mut gatekeepers: Vec<Harness> = (0..20).map(at).collect();
    let mut ends: Vec<(Micros, usize, u32, u32)> = Vec::new();
    let (mut open_sum, mut sent) = (0, 0);
    for step in 0..2_000u32 {
        let now = 1 + u64::from(step) * 10 * MS;
        let (over, on): (Vec<_>, Vec<_>) = ends.into_iter().partition(|e| e.0 <= now);
        ends = on;
        for (_, g, id, backend) in over {
            gatekeepers[g].now = now;
            gatekeepers[g].feed(served_after(100 * MS, id, backend));
        }
        // A request every 10 ms, at one gatekeeper after another in a mixed order.
        let g = (step as usize * 7 + step as usize / 20) % 20;
        gatekeepers[g].now = now;
        let ask = Event::Request {
            id: RequestId(step),
            class: 0,
            plan: 0,
            tenant: TenantId(7),
            time_left: SECOND,
            tenant_gatekeepers: 20.0,
            units: 1.0,
            client_retry: false,
        };
        for backend in sends(&gatekeepers[g].feed(ask)) {
            ends.push((now + 100 * MS, g, step, backend));
            sent += 1;
        }
        open_sum += ends.len();
    }
    let mean = open_sum as f64 / 2_000.0;
    assert!(mean <= 4.0, "{mean} attempts open on average, all gatekeepers together");
    assert!(sent > 100, "{sent} sent");
}

/// Among a hundred gatekeepers what was rejected for want of a place had been told to the counter and taken back: two calls
/// for nothing, by all of them at once, just when the counter had most to do.
#[test]
fn a_request_without_capacity_costs_no_counter_call() {
    // Each has a right to another number of calls at its start.
    for me in 0..20 {
        let settings = Settings { gatekeepers: 100, gatekeeper_index: me, ..settings() };
        let mut harness = Harness::start(settings, &backends(10), SECOND);
        assert_eq!(sends(&harness.request(1, 0, 1.0)).len(), 1, "{me}: the first has a place");
        let (class, plan, tenant, set_size) = (0, 0, 8, 50.0);
        let (id, time_left, units, repeat) = (2, SECOND, 1.0, false);
        let second = harness.feed(Event::Request {
            id: RequestId(id),
            class,
            plan,
            tenant: TenantId(tenant),
            time_left,
            tenant_gatekeepers: set_size,
            units,
            client_retry: repeat,
        });
        assert!(rejected(&second) && count(&second).is_none(), "{me}: {second:?}");
    }
}
