//! The settings of a site, drawn from the seed: classes, plans, windows and limits differ from schedule to schedule.

use crate::history::{GatekeeperIndex, gatekeeper_name};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// What a repeat of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated.
    Idempotent,
    /// Nothing within the window of its key.
    Keyed {
        /// The window.
        window: Duration,
    },
    /// It may be repeated only if it surely never ran.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// How long its clients usually wait.
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
    /// Units that its bucket holds.
    pub burst: f64,
    /// Units a second that are never passed; 0 for none.
    pub ceiling_rate: f64,
    /// Units that the ceiling's bucket holds.
    pub ceiling_burst: f64,
    /// Its part of the requests.
    pub part: f64,
}

/// The settings of a site.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many gatekeepers there are.
    pub gatekeepers: usize,
    /// How many backends.
    pub backends: usize,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// How long attempts may still begin at a backend that is notified as draining.
    pub drain_grace: Duration,
    /// Slow start: the share at the start, and how long it takes.
    pub cold_share: f64,
    /// See `cold_share`.
    pub cold_time: Duration,
    /// A backend in slow start falls at so many times what it can take, over this time.
    pub overload_factor: f64,
    /// See `overload_factor`.
    pub overload_time: Duration,
    /// Time-out of connecting.
    pub connect_timeout: Duration,
    /// Attempts of one request.
    pub max_attempts: u32,
    /// Hedged requests are allowed.
    pub hedging: bool,
}

/// Addresses that a gatekeeper is told.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its discovery agent.
    pub discovery: SocketAddr,
    /// The counter.
    pub counter: SocketAddr,
}

/// Descriptors of a gatekeeper.
pub const MAX_SOCKETS: usize = 512;
/// Units of the largest request.
pub const MAX_UNITS: f64 = 4.0;

fn between(random: &mut fastrand::Rng, from: f64, to: f64) -> f64 {
    from + random.f64() * (to - from)
}

impl Settings {
    /// Settings for so many gatekeepers.
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

/// Two tenants press on their quotas, one on its hard ceiling; the others have plenty.
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
