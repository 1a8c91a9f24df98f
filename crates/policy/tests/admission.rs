//! Tests of admission by the tenant's quota, its hard ceiling, its cap on attempts in flight, and capacity.

mod common;
use common::*;
use policy::*;

#[test]
fn an_empty_bucket_rejects_and_other_tenants_are_served() {
    let mut harness = Harness::new(settings(), &backends(4));

    let sent: usize = (1..=9).map(|id| sent_backends(&harness.request(id, 0, 4.0)).len()).sum();
    harness.now += 100 * MS;
    let other_tenant = RequestEvent { units: 4.0, ..request_of_tenant(8, 30, 0) };
    let call = counter_call(&harness.feed(other_tenant)).expect("the total of a new tenant is read");
    let admitted = harness.feed(counter_reply(call.name, call.units, Outcome::Ok));

    assert_eq!(sent, 5, "a bucket of 20 units");
    assert_eq!(sent_backends(&admitted).len(), 1);
}

#[test]
fn an_answer_settles_an_estimated_cost_with_a_refund() {
    let (estimate, actual_cost) = (4.0, 1.0);
    let mut harness = Harness::new(Settings { estimated_costs: true, ..settings() }, &backends(4));
    let mut total = 0.0;
    let actions = harness.feed(request(1, 0, estimate));
    let backend = sent_backends(&harness.answer_counter_calls_from(actions, &mut total))[0];
    // Another gatekeeper spends, so the bucket is not full and no refill overflows.
    total += 15.0;

    let mut served = attempt_ended(1, 0, backend, Outcome::Ok);
    if let Event::AttemptEnded { units, .. } = &mut served {
        *units = actual_cost;
    }
    harness.feed(served);
    let total_before = total;
    let end = harness.now + 1_200 * MS;
    while harness.now < end {
        let actions = harness.tick_for(20 * MS);
        harness.answer_counter_calls_from(actions, &mut total);
    }

    // Units that seemed to overflow a full bucket were added to the count, and have been subtracted again.
    let refund = total_before - total;
    assert!((refund - (estimate - actual_cost)).abs() < 0.01, "{refund} of 3 units were refunded");
}

#[test]
fn a_ceiling_holds_for_all_gatekeepers_without_coordination_and_through_restarts() {
    const STEP: Micros = 5 * MS;
    const STEPS_PER_GATEKEEPER: u32 = 700;
    const STEPS_PER_RESTART: u32 = 500;
    let (ceiling_rate, ceiling_burst) = (20.0f64, 40.0f64);
    let plan = Plan { ceiling_rate, ceiling_burst, ..Plan::default() };
    let settings = Settings { plans: vec![plan], shared_counter: false, ..settings() };
    let mut gatekeepers: Vec<Harness> = (0..2)
        .map(|index| Harness::new(Settings { gatekeeper_index: index, ..settings.clone() }, &backends(8)))
        .collect();

    let (mut ceiling_level, mut lowest_level) = (ceiling_burst, ceiling_burst);
    for step in 0..3_000u32 {
        let now = timestamp(1 + u64::from(step) * STEP);
        ceiling_level = (ceiling_level + ceiling_rate * 0.005).min(ceiling_burst);
        // All traffic arrives at one gatekeeper for a while, then at the other. Both restart repeatedly.
        let busy = (step / STEPS_PER_GATEKEEPER % 2) as usize;
        if step % STEPS_PER_RESTART == STEPS_PER_RESTART - 1 {
            gatekeepers[busy] = Harness::start_at(now, settings.clone(), &backends(8));
        }
        let gatekeeper = &mut gatekeepers[busy];
        gatekeeper.now = now;
        let actions = gatekeeper.request(step, 0, 4.0);
        ceiling_level -= 4.0 * gatekeeper.serve_attempts(step, &actions) as f64;
        lowest_level = lowest_level.min(ceiling_level);
    }

    assert!(lowest_level >= 0.0, "the level of the ceiling fell to {lowest_level}");
    assert!(lowest_level < 38.0, "some requests are admitted");
}

/// With eight gatekeepers, each gatekeeper may have at most its own share of attempts in flight at a backend,
/// even if all answers are quick.
#[test]
fn the_concurrency_limit_recovers_after_backends_held_too_much() {
    let mut harness = Harness::new(Settings { gatekeepers: 8, ..unlimited_settings() }, &backends(1));
    for id in 0..50 {
        harness.now += 10 * MS;
        harness.serve(id, 0, 1.0);
    }
    harness.now += 10 * MS;

    let in_flight: usize = (100..120).map(|id| sent_backends(&harness.request(id, 0, 1.0)).len()).sum();

    assert_eq!(in_flight, 1);
}

/// Each of 300 gatekeepers receives 20 requests before any answer. If each could have an attempt in flight at
/// every one of 100 backends, all 6,000 requests would be sent; all gatekeepers together may have eight
/// attempts in flight at a backend.
#[test]
fn hundreds_of_gatekeepers_that_know_nothing_do_not_overload_backends_at_the_start() {
    let mut in_flight = 0;

    for index in 0..300 {
        let settings = Settings { gatekeepers: 300, gatekeeper_index: index, ..unlimited_settings() };
        let mut harness = Harness::new(settings, &backends(100));
        in_flight += (0..20).map(|id| sent_backends(&harness.request(id, 0, 1.0)).len()).sum::<usize>();
    }

    assert!(in_flight <= 800, "{in_flight} attempts in flight at 100 backends");
    assert!(in_flight >= 300, "{in_flight}: every gatekeeper may have one in flight");
}

/// With twenty gatekeepers and a cap of 4, one attempt in flight from each would be five times the cap.
#[test]
fn gatekeepers_without_coordination_keep_near_a_cap_on_attempts_in_flight() {
    struct InFlight {
        ends_at: Timestamp,
        gatekeeper: usize,
        id: u32,
        backend: u32,
    }
    const STEP: Micros = 10 * MS;
    const STEPS: u32 = 2_000;
    const SERVICE_TIME: Micros = 100 * MS;
    let plan = Plan { rate: 40.0, burst: 60.0, max_in_flight: 4, ..Plan::default() };
    let settings = Settings { plans: vec![plan], ..settings_without_counter(20) };
    let gatekeeper =
        |index| Harness::new(Settings { gatekeeper_index: index, ..settings.clone() }, &backends(20));
    let mut gatekeepers: Vec<Harness> = (0..20).map(gatekeeper).collect();

    let mut in_flight: Vec<InFlight> = Vec::new();
    let (mut in_flight_sum, mut sent) = (0, 0);
    for step in 0..STEPS {
        let now = timestamp(1 + u64::from(step) * STEP);
        for ended in in_flight.extract_if(.., |attempt| attempt.ends_at <= now) {
            let gatekeeper = &mut gatekeepers[ended.gatekeeper];
            gatekeeper.now = now;
            gatekeeper.feed(served_after(SERVICE_TIME, ended.id, ended.backend));
        }
        // One request arrives at each step; the gatekeepers take turns in a mixed order.
        let index = (step as usize * 7 + step as usize / 20) % 20;
        gatekeepers[index].now = now;
        let request = RequestEvent { id: step, tenant_gatekeepers: 20.0, ..RequestEvent::default() };
        for backend in sent_backends(&gatekeepers[index].feed(request)) {
            in_flight.push(InFlight { ends_at: now + SERVICE_TIME, gatekeeper: index, id: step, backend });
            sent += 1;
        }
        in_flight_sum += in_flight.len();
    }

    let mean = in_flight_sum as f64 / f64::from(STEPS);
    assert!(mean <= 4.0, "{mean} attempts in flight on average, over all gatekeepers");
    assert!(sent > 100, "{sent} sent");
}

/// Regression: the cost of each request rejected for lack of capacity was added to the count at the counter
/// and then subtracted again. A hundred gatekeepers made these two useless calls at the same time, just when
/// the load on the counter was highest.
#[test]
fn a_request_without_capacity_costs_no_counter_call() {
    // The first moment at which a gatekeeper may call the counter depends on its index.
    for index in 0..20 {
        let settings = Settings { gatekeepers: 100, gatekeeper_index: index, ..settings() };
        let mut harness = Harness::start_at(timestamp(SECOND), settings, &backends(10));
        let first = harness.request(1, 0, 1.0);

        let second = harness.feed(RequestEvent { tenant_gatekeepers: 50.0, ..request_of_tenant(8, 2, 0) });

        assert_eq!(sent_backends(&first).len(), 1, "{index}: there is capacity for the first");
        assert!(is_rejected(&second) && counter_call(&second).is_none(), "{index}: {second:?}");
    }
}
