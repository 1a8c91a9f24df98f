//! Feeds a gateway by hand and prints what it asks for: `cargo run --example embed`.

use policy::Gateway;
use policy::interface::*;

fn main() -> Result<(), SettingsError> {
    let settings = Settings {
        gateways: 2,
        classes: vec![Class::default()],
        plans: vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }],
        counter: true,
        ..Settings::default()
    };
    let mut gateway = Gateway::new(settings, 42, 0)?;
    let request = |id, units| Event::Request {
        id,
        class: 0,
        plan: 0,
        customer: 9,
        time_left: 1_000_000,
        set_size: 2.0,
        units,
        repeat: false,
    };
    let entries = vec![BackendEntry { id: 5, ..BackendEntry::default() }];
    let events = [
        (0, Event::Backends { kind: ListKind::Full, entries }),
        (1_000, request(1, 4.0)),
        (2_000, request(2, 4.0)),
        (
            60_000,
            Event::Ended {
                id: 1,
                attempt: 0,
                backend: 5,
                outcome: Outcome::Ok,
                elapsed: 59_000,
                units: 4.0,
                settled: true,
                load: Vec::new(),
            },
        ),
    ];
    let mut actions = Vec::new();
    for (now, event) in events {
        println!("{now:>6} us  {event:?}");
        gateway.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            println!("           -> {action:?}");
        }
    }
    Ok(())
}
