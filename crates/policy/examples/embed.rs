//! Feeds a gateway by hand and prints what it asks for: `cargo run --example embed`.

use policy::Policy;
use policy::*;

fn main() -> Result<(), SettingsError> {
    let settings = Settings {
        gatekeepers: 2,
        classes: vec![RequestClass::default()],
        plans: vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }],
        shared_counter: true,
        ..Settings::default()
    };
    let mut gateway = Policy::new(settings, 42, Timestamp::ZERO)?;
    let request = |id, units| Event::Request {
        id,
        class: 0,
        plan: 0,
        tenant: TenantId(9),
        time_left: 1_000_000,
        tenant_gatekeepers: 2.0,
        units,
        client_retry: false,
    };
    let entries = vec![BackendEntry { id: BackendId(5), ..BackendEntry::default() }];
    let events = [
        (0, Event::Endpoints { kind: ListKind::Full, entries }),
        (1_000, request(RequestId(1), 4.0)),
        (2_000, request(RequestId(2), 4.0)),
        (
            60_000,
            Event::AttemptEnded {
                id: RequestId(1),
                attempt: 0,
                backend: BackendId(5),
                outcome: Outcome::Ok,
                elapsed: 59_000,
                units: 4.0,
                answered: true,
                load: Vec::new(),
            },
        ),
    ];
    let mut actions = Vec::new();
    for (now, event) in events {
        println!("{now:>6} us  {event:?}");
        gateway.handle(Timestamp::from_micros(now), event, &mut actions);
        for action in actions.drain(..) {
            println!("           -> {action:?}");
        }
    }
    Ok(())
}
