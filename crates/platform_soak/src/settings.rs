//! The settings of a site, drawn from the seed: classes, plans, windows and limits differ from schedule to schedule.

use crate::history::{GatekeeperIndex, gatekeeper_name};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Which retries the effect of a class permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any: requests are idempotent.
    Idempotent,
    /// Those within the window of the idempotency key.
    Keyed {
        /// The window.
        window: Duration,
    },
    /// Only those after an attempt that certainly never ran.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The usual deadline of its requests.
    pub deadline: Duration,
    /// Its effect.
    pub effect: Effect,
}

/// A tenant with a plan of its own.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its number on the wire.
    pub number: u64,
    /// Units a second.
    pub rate: f64,
    /// Burst in units.
    pub burst: f64,
    /// Hard ceiling in units a second; 0 for none.
    pub ceiling_rate: f64,
    /// Burst of the hard ceiling in units.
    pub ceiling_burst: f64,
    /// Its share of the requests.
    pub part: f64,
}

/// The settings of a site.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gatekeepers.
    pub gatekeepers: usize,
    /// Number of backends.
    pub backends: usize,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Time in which attempts may still begin at a draining backend after the notification.
    pub drain_grace: Duration,
    /// Share of the load that a backend gets at the begin of its slow start.
    pub cold_share: f64,
    /// Duration of the slow start.
    pub cold_time: Duration,
    /// A backend in slow start is overloaded by this multiple of its capacity over `overload_time`.
    pub overload_factor: f64,
    /// See `overload_factor`.
    pub overload_time: Duration,
    /// Timeout of a connect.
    pub connect_timeout: Duration,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether requests may be hedged.
    pub hedging: bool,
}

/// Addresses in a gatekeeper's configuration.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its discovery agent.
    pub discovery: SocketAddr,
    /// The counter.
    pub counter: SocketAddr,
}

/// Maximum number of sockets of a gatekeeper.
pub const MAX_SOCKETS: usize = 512;
/// Units of the largest request.
pub const MAX_UNITS: f64 = 4.0;

fn between(random: &mut fastrand::Rng, from: f64, to: f64) -> f64 {
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
            cold_share: between(random, 0.1, 0.3),
            cold_time: Duration::from_millis(random.u64(6_000..12_000)),
            overload_factor: between(random, 1.5, 4.0),
            overload_time: Duration::from_millis(random.u64(800..1_600)),
            connect_timeout: Duration::from_millis(random.u64(150..400)),
            max_attempts: random.u32(2..5),
            hedging: random.bool(),
        }
    }

    /// The configuration file of a gatekeeper.
    pub fn config(&self, gatekeeper: GatekeeperIndex, addresses: Addresses) -> String {
        let us = |time: Duration| time.as_micros() as u64;
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
                "bounds": {"cancel": true, "connect-timeout-us": us(self.connect_timeout), "keepalive-us": 20_000_000,
                    "max-attempts": self.max_attempts, "max-retry-after-us": 1_000_000, "retry-after": true,
                    "second-copies": self.hedging},
                "contract": {"cold-share": self.cold_share, "cold-us": us(self.cold_time),
                    "overload-factor": self.overload_factor, "fall-us": us(self.overload_time),
                    "drain-grace-us": us(self.drain_grace)},
                "classes": classes,
                "contracts": plans.collect::<Vec<_>>(),
                "specifics": {"may-count": true, "count-wait-us": 30_000, "largest": MAX_UNITS},
            },
        })
        .to_string()
    }
}

/// The name of a tenant's plan.
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

/// Two tenants exceed their quotas, one its hard ceiling; the others stay below theirs.
fn draw_tenants(random: &mut fastrand::Rng, gatekeepers: usize) -> Vec<Tenant> {
    let base = 0x0b4d_0000 + random.u64(..0x1000);
    let scale = gatekeepers as f64;
    let tenant = |index: u64, rate: f64, burst: f64, ceiling: f64, part: f64| Tenant {
        number: base + index,
        rate,
        burst,
        ceiling_rate: ceiling,
        ceiling_burst: ceiling,
        part,
    };
    let pressing = between(random, 2.0, 4.0) * scale;
    let mut tenants = vec![
        tenant(0, pressing, pressing, 0.0, 0.25),
        tenant(1, pressing * 0.7, pressing, 0.0, 0.2),
        tenant(2, pressing * 3.0, pressing, pressing * 1.2, 0.1),
    ];
    tenants.extend((3..9).map(|index| tenant(index, 40.0 * scale, 40.0 * scale, 0.0, 0.075)));
    tenants
}
