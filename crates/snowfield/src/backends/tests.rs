//! Endpoint lists of several services that change at the same time.

use super::*;
use catalogue::{EligibilityReason, HealthStatus, Instance};
use destination::Limits;
use exchange::Exchange;
use settings::appliance::RouteClass;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

const FILE: &str = "listen = \"127.0.0.1:0\"\ndescriptions = [\"a\"]\nlender_header = \"X-Lender\"\n\
    [consul]\naddress = \"127.0.0.1:1\"\nservice = \"loans\"\n[[service]]\nname = \"cards\"\n\
    [[class]]\nname = \"c\"\nrepeat = \"safe\"\nwanted_ms = 300\ndeadline_ms = 1000\n\
    [[plan]]\nname = \"a\"\nunits_per_second = 40.0\nburst = 80.0\n\
    [[lender]]\nname = \"l\"\nplan = \"a\"\n";
/// The time for which the first thread is held up, unless the second one overtakes it.
const HOLD_UP: Duration = Duration::from_millis(300);

fn backends() -> Backends {
    let config = ApplianceConfig::parse(FILE).expect("the file is valid");
    let settings = config.policy_settings(1.0, &[RouteClass { service: 0, class: 0 }]);
    let clock = Clock::start();
    let exchange = Exchange::new(settings.expect("valid settings"), 1, clock).expect("valid settings");
    let limits = Limits {
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
        max_connections: 1,
        max_answer_bytes: 1,
        stream_budget_bytes: 0,
    };
    let pools = BackendPools::new(HttpProtocol { on_served: None }, limits);
    Backends::new(clock, exchange, pools, &config)
}

fn endpoint_list(number: u32, id: &str) -> EndpointList {
    let instance = Instance {
        id: id.into(),
        address: ([127, 0, 0, 1], 1).into(),
        health: HealthStatus::Passing,
        weight: 1.0,
        started_at: None,
    };
    let endpoint = Endpoint {
        number: EndpointNumber(number),
        instance,
        eligible: true,
        reason: EligibilityReason::Listed,
        eligible_since: None,
    };
    EndpointList { endpoints: vec![endpoint] }
}

/// Regression: if the lists of two services changed at the same time, the health checks could get the backends of the earlier list
/// last, and a new backend was not checked until the next change.
#[test]
fn health_checks_get_the_last_lists_of_services_that_change_at_the_same_time() {
    let backends = backends();
    let (held_up, is_held_up) = sync_channel(1);
    let (overtakes, is_overtaken) = sync_channel(1);
    let passed_on = Arc::new(Mutex::new(Vec::new()));
    let (recorded, is_overtaken) = (passed_on.clone(), Mutex::new(is_overtaken));
    backends.set_on_backends_change(Box::new(move |backends: Vec<Backend>| {
        if backends.len() == 1 {
            held_up.send(()).expect("the test waits");
            // Times out unless the thread with the later list is not held off.
            let _ = lock_or_abort(&is_overtaken).recv_timeout(HOLD_UP);
        } else {
            let _ = overtakes.try_send(());
        }
        lock_or_abort(&recorded).push(backends);
    }));
    thread::scope(|scope| {
        scope.spawn(|| backends.set_list(0, &endpoint_list(1, "n/1")));
        is_held_up.recv().expect("the first list is passed on");
        backends.set_list(1, &endpoint_list(2, "n/2"));
    });
    let last: Vec<String> = match lock_or_abort(&passed_on).last() {
        Some(backends) => backends.iter().map(|backend| backend.id.clone()).collect(),
        None => Vec::new(),
    };
    assert_eq!(last, ["loans/n/1", "cards/n/2"]);
}
