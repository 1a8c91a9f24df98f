//! The settings of a site, drawn from the seed: classes, plans, time windows and limits differ from schedule to schedule.

use crate::history::{GatekeeperIndex, gatekeeper_name};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// The effect of a class's requests, which determines the retries that are permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Requests are idempotent: any retry is permitted.
    Idempotent,
    /// Requests have an idempotency key: retries are permitted within its window.
    Keyed {
        /// Time for which backends recognize the key, from the start of the first attempt.
        window: Duration,
    },
    /// A retry is permitted only if all earlier attempts certainly never ran.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class in the configuration and on the wire.
    pub name: String,
    /// The usual deadline of the class's requests, from when they are sent.
    pub deadline: Duration,
    /// Effect of the class's requests, which determines their retries.
    pub effect: Effect,
}

/// A tenant with a plan of its own.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Id of the tenant on the wire, which clients send in hexadecimal.
    pub number: u64,
    /// Quota of the tenant's plan in units a second.
    pub rate: f64,
    /// Burst of the tenant's plan in units.
    pub burst: f64,
    /// Rate of the hard ceiling in units a second; 0 if the plan has no hard ceiling.
    pub ceiling_rate: f64,
    /// Burst of the hard ceiling in units.
    pub ceiling_burst: f64,
    /// The tenant's share of the requests that clients send, from 0 to 1.
    pub request_share: f64,
}

/// The settings of a site.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gatekeepers that the site starts.
    pub gatekeepers: usize,
    /// Number of backends that the site starts.
    pub backends: usize,
    /// Classes that clients draw their requests from.
    pub classes: Vec<Class>,
    /// The tenants, each with a plan of its own.
    pub tenants: Vec<Tenant>,
    /// Time after a notification in which attempts may still begin at a draining or removed backend.
    pub drain_grace: Duration,
    /// Share of its full load that a backend gets at the beginning of its slow start.
    pub cold_share: f64,
    /// Duration of a backend's slow start.
    pub cold_time: Duration,
    /// A backend in slow start is overloaded if it gets this multiple of its capacity over `overload_time`.
    pub overload_factor: f64,
    /// Time over which `overload_factor` applies.
    pub overload_time: Duration,
    /// Timeout of a gatekeeper's connect to a backend.
    pub connect_timeout: Duration,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether gatekeepers may hedge requests: send a second attempt while the first is in flight.
    pub hedging: bool,
}

/// Addresses in a gatekeeper's configuration.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address at which the gatekeeper listens for clients.
    pub listen: SocketAddr,
    /// Address at which the gatekeeper's discovery agent listens.
    pub discovery: SocketAddr,
    /// Address at which the quota counter listens.
    pub counter: SocketAddr,
}

/// Maximum number of sockets of a gatekeeper.
pub const MAX_SOCKETS: usize = 512;
/// Maximum number of units of a request.
pub const MAX_UNITS: f64 = 4.0;

/// Draws a number from a uniform distribution.
fn uniform(random: &mut fastrand::Rng, from: f64, to: f64) -> f64 {
    from + random.f64() * (to - from)
}

impl Settings {
    /// Draws the settings of a site with this number of gatekeepers.
    pub fn draw(random: &mut fastrand::Rng, gatekeepers: usize) -> Self {
        let deadline = |random: &mut fastrand::Rng| Duration::from_millis(random.u64(400..1_600));
        let window = Duration::from_millis(random.u64(400..2_000));
        let effects = [Effect::Idempotent, Effect::Keyed { window }, Effect::Unsafe];
        let names = ["lookup", "order", "transfer"];
        let classes = names.into_iter().zip(effects).map(|(name, effect)| Class {
            name: name.to_owned(),
            deadline: deadline(random),
            effect,
        });
        let classes = classes.collect();
        Self {
            gatekeepers,
            backends: random.usize(9..15),
            classes,
            tenants: draw_tenants(random, gatekeepers),
            drain_grace: Duration::from_millis(random.u64(300..1_200)),
            cold_share: uniform(random, 0.1, 0.3),
            cold_time: Duration::from_millis(random.u64(6_000..12_000)),
            overload_factor: uniform(random, 1.5, 4.0),
            overload_time: Duration::from_millis(random.u64(800..1_600)),
            connect_timeout: Duration::from_millis(random.u64(150..400)),
            max_attempts: random.u32(2..5),
            hedging: random.bool(),
        }
    }

    /// The text of a gatekeeper's configuration file, in JSON.
    pub fn config(&self, gatekeeper: GatekeeperIndex, addresses: Addresses) -> String {
        let micros = |time: Duration| time.as_micros() as u64;
        let classes: Vec<Value> = self.classes.iter().map(class_json).collect();
        let plans = self.tenants.iter().enumerate().map(|(index, tenant)| {
            json!({"name": plan_name(index), "per-second": tenant.rate, "depth": tenant.burst,
                "ceiling-rate": tenant.ceiling_rate, "ceiling-burst": tenant.ceiling_burst})
        });
        json!({
            "name": gatekeeper_name(gatekeeper),
            "listen": addresses.listen.to_string(),
            "discovery": addresses.discovery.to_string(),
            "counter": addresses.counter.to_string(),
            "seed": format!("{:016x}", 0x9d3c_55e1_u64 + gatekeeper as u64),
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": MAX_SOCKETS},
            "known": {"rev": 0, "all": true, "targets": []},
            "settings": {
                "balancers": self.gatekeepers, "me": gatekeeper, "tick-us": 4000, "zone": 0,
                "localities": ["z"], "kinds": ["m"], "discovery": "told",
                "bounds": {"cancel": true, "connect-timeout-us": micros(self.connect_timeout), "keepalive-us": 20_000_000,
                    "max-attempts": self.max_attempts, "max-retry-after-us": 1_000_000, "retry-after": true,
                    "second-copies": self.hedging},
                "contract": {"cold-share": self.cold_share, "cold-us": micros(self.cold_time),
                    "overload-factor": self.overload_factor, "fall-us": micros(self.overload_time),
                    "drain-grace-us": micros(self.drain_grace)},
                "classes": classes,
                "contracts": plans.collect::<Vec<_>>(),
                "specifics": {"may-count": true, "count-wait-us": 30_000, "largest": MAX_UNITS},
            },
        })
        .to_string()
    }
}

/// The name of the plan of the tenant with this index.
pub fn plan_name(tenant: usize) -> String {
    format!("plan{tenant}")
}

fn class_json(class: &Class) -> Value {
    let deadline_us = class.deadline.as_micros() as u64;
    let (effect, window_us) = match class.effect {
        Effect::Idempotent => ("read_like", 0),
        Effect::Keyed { window } => ("idempotency_key", window.as_micros() as u64),
        Effect::Unsafe => ("non_idempotent", 0),
    };
    json!({"name": class.name, "goal-time-us": deadline_us / 3, "deadline-us": deadline_us, "effect": effect,
        "group": "all", "key-ttl-us": window_us, "worth": 1.0})
}

/// Draws the tenants. At the clients' request rates two tenants exceed their quotas and one its hard ceiling; the others stay
/// below their quotas.
fn draw_tenants(random: &mut fastrand::Rng, gatekeepers: usize) -> Vec<Tenant> {
    let base = 0x0b4d_0000 + random.u64(..0x1000);
    let scale = gatekeepers as f64;
    let tenant = |index: u64, rate: f64, burst: f64, ceiling: f64, request_share: f64| Tenant {
        number: base + index,
        rate,
        burst,
        ceiling_rate: ceiling,
        ceiling_burst: ceiling,
        request_share,
    };
    let base_rate = uniform(random, 2.0, 4.0) * scale;
    let mut tenants = vec![
        tenant(0, base_rate, base_rate, 0.0, 0.25),
        tenant(1, base_rate * 0.7, base_rate, 0.0, 0.2),
        tenant(2, base_rate * 3.0, base_rate, base_rate * 1.2, 0.1),
    ];
    tenants.extend((3..9).map(|index| tenant(index, 40.0 * scale, 40.0 * scale, 0.0, 0.075)));
    tenants
}
