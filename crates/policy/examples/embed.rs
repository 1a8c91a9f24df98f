//! Passes a few events to a policy and prints the resulting actions: `cargo run --example embed`.

use policy::{
    BackendEntry, BackendId, Event, ListKind, Micros, Outcome, Plan, Policy, RequestClass, RequestId,
    Settings, SettingsError, TenantId, Timestamp,
};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// An event and the time at which it occurs.
struct TimedEvent {
    time: Timestamp,
    event: Event,
}

fn request(id: RequestId, units: f64) -> Event {
    Event::Request {
        id,
        class: 0,
        plan: 0,
        tenant: TenantId(9),
        time_left: SECOND,
        tenant_gatekeepers: 2.0,
        units,
        client_retry: false,
    }
}

fn events() -> Vec<TimedEvent> {
    let entries = vec![BackendEntry { id: BackendId(5), ..BackendEntry::default() }];
    let attempt_ended = Event::AttemptEnded {
        id: RequestId(1),
        attempt: 0,
        backend: BackendId(5),
        outcome: Outcome::Ok,
        elapsed: 59 * MS,
        units: 4.0,
        answered: true,
        load: Vec::new(),
    };
    let after = |delay, event| TimedEvent { time: Timestamp::from_micros(delay), event };
    vec![
        after(0, Event::Endpoints { kind: ListKind::Full, entries }),
        after(MS, request(RequestId(1), 4.0)),
        after(2 * MS, request(RequestId(2), 4.0)),
        after(60 * MS, attempt_ended),
    ]
}

fn main() -> Result<(), SettingsError> {
    let settings = Settings {
        gatekeepers: 2,
        classes: vec![RequestClass::default()],
        plans: vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }],
        shared_counter: true,
        ..Settings::default()
    };
    let mut policy = Policy::new(settings, 42, Timestamp::ZERO)?;
    let mut actions = Vec::new();
    for TimedEvent { time, event } in events() {
        println!("{:>6} us  {event:?}", time.as_micros());
        policy.handle(time, event, &mut actions);
        for action in actions.drain(..) {
            println!("           -> {action:?}");
        }
    }
    Ok(())
}
