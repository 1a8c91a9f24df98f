//! What remains of tenants that send no further requests.

use super::*;
use crate::action::RejectReason;
use crate::event::{BackendEntry, Event, ListKind, Outcome};
use crate::ids::{BackendId, RequestId};
use crate::settings::{Plan, RequestClass, Settings};
use crate::time::{SECOND, Timestamp};

const TICK: Micros = 20_000;

/// A policy with two gatekeepers and a plan of 10 units a second, and the time that it was last given.
struct Fixture {
    policy: Policy,
    now: Timestamp,
    next_request: u32,
}

impl Fixture {
    fn new(backends: &[u32]) -> Self {
        let settings = Settings {
            gatekeepers: 2,
            classes: vec![RequestClass {
                latency_objective: 500_000,
                deadline: SECOND as Micros,
                ..RequestClass::default()
            }],
            plans: vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }],
            shared_counter: true,
            ..Settings::default()
        };
        let now = Timestamp::from_micros(1_000_000_000);
        let policy = Policy::new(settings, 1, now).expect("valid settings");
        let mut fixture = Self { policy, now, next_request: 0 };
        let entry = |&id: &u32| BackendEntry { id: BackendId(id), ..BackendEntry::default() };
        let entries = backends.iter().map(entry).collect();
        fixture.feed(Event::Endpoints { kind: ListKind::Full, entries });
        fixture
    }

    fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        actions
    }

    fn request(&mut self, tenant: u64, gatekeepers: f64) -> Vec<Action> {
        self.next_request += 1;
        self.feed(Event::Request {
            id: RequestId(self.next_request),
            class: 0,
            plan: 0,
            tenant: TenantId(tenant),
            time_left: SECOND as Micros,
            tenant_gatekeepers: gatekeepers,
            units: 1.0,
            client_retry: false,
        })
    }

    /// Ends the first attempt of the last request as served.
    fn end_attempt(&mut self) {
        self.feed(Event::AttemptEnded {
            id: RequestId(self.next_request),
            attempt: 0,
            backend: BackendId(1),
            outcome: Outcome::Ok,
            elapsed: TICK,
            units: 0.0,
            answered: true,
            load: Vec::new(),
        });
    }

    fn tick_for(&mut self, time: Micros) {
        for _ in 0..time / TICK {
            self.now += TICK;
            self.feed(Event::Timer { token: TOKEN_TICK });
        }
    }

    fn tenants_to_report(&self) -> usize {
        self.policy.counter.unreported_from(TenantId(0)).count()
    }
}

/// Regression: a tenant whose requests come through one gatekeeper stayed among those that owe the counter a
/// report for the life of the process, and each tick went through all of them.
#[test]
fn a_tenant_whose_quota_is_dropped_is_not_kept_for_a_report_to_the_counter() {
    let mut fixture = Fixture::new(&[1]);
    for tenant in 1..=20 {
        fixture.request(tenant, 1.0);
        fixture.end_attempt();
    }
    fixture.tick_for(QUOTA_IDLE_TIMEOUT + SECOND as Micros);
    assert!(fixture.policy.tenants.is_empty(), "quotas without requests are dropped");
    assert_eq!(fixture.tenants_to_report(), 0);
}

/// Regression: requests of ever new tenants took memory without a bound.
#[test]
fn the_number_of_tenants_is_bounded_and_full_quotas_make_room() {
    let mut fixture = Fixture::new(&[]);
    for tenant in 1..=MAX_TENANTS as u64 {
        fixture.request(tenant, 1.0);
    }
    let rejection = fixture.request(u64::MAX, 1.0);
    assert!(
        matches!(rejection[..], [Action::Reject { reason: RejectReason::NoCapacity, .. }]),
        "{rejection:?}"
    );
    assert_eq!(fixture.policy.tenants.len(), MAX_TENANTS);
    // No request was forwarded, so all quotas are full.
    fixture.tick_for(SECOND as Micros);
    fixture.request(u64::MAX, 1.0);
    assert_eq!(fixture.policy.tenants.len(), 1);
}
