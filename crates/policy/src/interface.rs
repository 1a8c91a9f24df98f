//! What a gateway is told, what it sees and what it may ask for: settings, events and actions.
//!
//! Times are microseconds. A request is one try of a client; an attempt is one sending of it to a backend.

use std::fmt;

/// Microseconds, either a span or a reading of the caller's clock.
pub type Micros = u64;

/// What may happen when a request of a class runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Carries a key; backends of one [`Group`] drop repeats for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The backends that share knowledge of the keys they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer inside this span earns the full worth.
    pub aim: Micros,
    /// The longest a client of this class waits.
    pub deadline: Micros,
    /// What a repeat may do.
    pub effect: Effect,
    /// Who drops repeats, for [`Effect::Keyed`].
    pub group: Group,
    /// How long repeats are dropped after the first send that may have run.
    pub key_ttl: Micros,
    /// Worth of one unit.
    pub worth: f64,
    /// Answers come as a stream.
    pub streaming: bool,
    /// The service that serves it: backends of others are never sent its requests.
    pub service: u16,
    /// The most attempts of one request; 0 means as many as [`Settings::max_attempts`].
    pub attempts: u32,
    /// An attempt is given up after this span; 0 means when the client does.
    pub attempt_timeout: Micros,
    /// A second copy is worth its work after this span; 0 means a part of the aim.
    pub copy_after: Micros,
}

/// A plan: the quotas of each of its customers, over all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second; 0 means no such quota.
    pub rate: f64,
    /// The most units a customer's store holds; it starts full.
    pub burst: f64,
    /// The most attempts out at once; 0 means no such quota.
    pub open: u32,
    /// Hard ceiling in units a second; 0 means none.
    pub ceiling_rate: f64,
    /// The most units the ceiling's store holds.
    pub ceiling_burst: f64,
    /// Factor on the worth.
    pub price: f64,
    /// Part of the worth earned by a request sent on beyond the quota.
    pub beyond_earns: f64,
    /// Part of the worth lost by a request sent on beyond the quota.
    pub excess_cost: f64,
}

/// A value that a load report may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// Requests in hand.
    Active,
    /// Requests waiting for service.
    Waiting,
    /// Share of the processor that is busy.
    Cpu,
    /// Recent service time in milliseconds.
    ServiceMs,
    /// Requests served a second.
    Served,
    /// A value this library has no use for.
    Other,
}

/// How load reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporting {
    /// Not at all.
    Off,
    /// With outcomes and probe results.
    Inline,
    /// With probe results only.
    OnProbe,
}

/// What a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Gateways in this tier.
    pub gateways: u32,
    /// This gateway's number, from 0.
    pub me: u32,
    /// This gateway's zone.
    pub zone: u8,
    /// Shortest span between two deliveries of events.
    pub tick: Micros,
    /// Classes of request, by number.
    pub classes: Vec<Class>,
    /// Plans, by number.
    pub plans: Vec<Plan>,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub second_copies: bool,
    /// Probes are allowed.
    pub probing: bool,
    /// Cancels are allowed.
    pub cancel: bool,
    /// A refusal may carry advice on when to come back, up to this span; 0 means no advice.
    pub max_retry_after: Micros,
    /// A connection not made in this span has failed.
    pub connect_timeout: Micros,
    /// The list of backends must be asked for.
    pub must_ask: bool,
    /// Without asking for this long, the list of then counts as told.
    pub ask_every: Micros,
    /// How load reports arrive.
    pub reporting: Reporting,
    /// The values of a load report, in order.
    pub report: Vec<Load>,
    /// The share of its capacity that a backend starts with, at least.
    pub cold_share: f64,
    /// A backend is warm after this span at most.
    pub cold_span: Micros,
    /// A cold backend sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this span falls over.
    pub fall_span: Micros,
    /// New work to a draining backend must end within this span.
    pub drain_grace: Micros,
    /// A shared counter may be called.
    pub counter: bool,
    /// A counter call is given up after this span.
    pub counter_wait: Micros,
    /// The units of a request are a guess that its answer settles.
    pub settles: bool,
    /// The most units of one request.
    pub largest: f64,
    /// Price of an attempt that crosses zones, in worth per request.
    pub cross_zone_cost: f64,
    /// Work goes to backends in proportion to their sizes.
    pub weighted: bool,
}

/// Why settings can't be used; the text names the setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    setting: &'static str,
    problem: &'static str,
}

impl SettingsError {
    /// The setting at fault.
    pub fn setting(&self) -> &'static str {
        self.setting
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting `{}` {}", self.setting, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Default for Class {
    /// A class that is safe to repeat, answered within a second.
    fn default() -> Self {
        Self {
            aim: 500_000,
            deadline: 1_000_000,
            effect: Effect::Safe,
            group: Group::Cell,
            key_ttl: 0,
            worth: 1.0,
            streaming: false,
            service: 0,
            attempts: 0,
            attempt_timeout: 0,
            copy_after: 0,
        }
    }
}

impl Default for Plan {
    /// A plan without quotas.
    fn default() -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            open: 0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            price: 1.0,
            beyond_earns: 0.0,
            excess_cost: 0.0,
        }
    }
}

impl Default for Settings {
    /// One gateway on its own: no counter, no probes, no reports, backends always warm, no class yet.
    fn default() -> Self {
        Self {
            gateways: 1,
            me: 0,
            zone: 0,
            tick: 1_000,
            classes: Vec::new(),
            plans: Vec::new(),
            max_attempts: 3,
            second_copies: false,
            probing: false,
            cancel: false,
            max_retry_after: 0,
            connect_timeout: 250_000,
            must_ask: false,
            ask_every: 10_000_000,
            reporting: Reporting::Off,
            report: Vec::new(),
            cold_share: 1.0,
            cold_span: 0,
            overload_factor: 2.0,
            fall_span: 1_000_000,
            drain_grace: 0,
            counter: false,
            counter_wait: 50_000,
            settles: false,
            largest: 1.0,
            cross_zone_cost: 0.0,
            weighted: false,
        }
    }
}

impl Settings {
    /// Checks that a gateway can work by these settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let bad = |setting, problem| Err(SettingsError { setting, problem });
        let measure = |x: f64| x.is_finite() && x >= 0.0;
        if self.gateways == 0 {
            return bad("gateways", "must be at least 1");
        }
        if self.me >= self.gateways {
            return bad("me", "must be below the number of gateways");
        }
        if self.tick == 0 {
            return bad("tick", "must be above 0");
        }
        if self.classes.is_empty() {
            return bad("classes", "must not be empty");
        }
        if self.classes.iter().any(|c| c.aim == 0 || c.deadline == 0) {
            return bad("classes", "need an aim and a deadline above 0");
        }
        if self.classes.iter().any(|c| !measure(c.worth)) {
            return bad("classes", "need a finite worth of at least 0");
        }
        let plan_ok = |p: &Plan| {
            [p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.price, p.beyond_earns, p.excess_cost]
                .into_iter()
                .all(measure)
        };
        if !self.plans.iter().all(plan_ok) {
            return bad("plans", "need finite figures of at least 0");
        }
        if self.max_attempts == 0 {
            return bad("max_attempts", "must be at least 1");
        }
        if !(self.cold_share > 0.0 && self.cold_share <= 1.0) {
            return bad("cold_share", "must be above 0 and at most 1");
        }
        if !(self.overload_factor.is_finite() && self.overload_factor > 0.0) {
            return bad("overload_factor", "must be above 0");
        }
        if self.fall_span == 0 {
            return bad("fall_span", "must be above 0");
        }
        if !measure(self.largest) || !measure(self.cross_zone_cost) {
            return bad("largest", "must be a finite figure of at least 0");
        }
        Ok(())
    }
}

/// Where a backend stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One entry of a list of backends.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// The backend's id; it says nothing else.
    pub id: u32,
    /// Its zone.
    pub zone: u8,
    /// Its kind of machine.
    pub kind: u16,
    /// Its cell, see [`Group::Cell`].
    pub cell: u16,
    /// Where it stands.
    pub state: State,
    /// The service that it belongs to.
    pub service: u16,
    /// A size to compare with other backends.
    pub size: f64,
    /// Clock of its most recent start; 0 for long ago.
    pub started: Micros,
}

impl Default for BackendEntry {
    /// A backend of size 1 that has been ready for long.
    fn default() -> Self {
        Self { id: 0, zone: 0, kind: 0, cell: 0, service: 0, state: State::Ready, size: 1.0, started: 0 }
    }
}

/// What a list of backends holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The list as this gateway last held it, maybe old.
    Cached,
    /// Everything.
    Full,
    /// Changed entries only.
    Changes,
    /// A call for the list failed; no entries.
    Failed,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent at all.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// What a gateway sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the backends.
    Backends {
        /// What the list holds.
        kind: ListKind,
        /// Its entries.
        entries: Vec<BackendEntry>,
    },
    /// Operators take a backend out by hand, or call it back.
    Held {
        /// The backend, on the list or not.
        backend: u32,
        /// It is out.
        held: bool,
    },
    /// A client's request came in.
    Request {
        /// Id of this try.
        id: u32,
        /// Its class.
        class: u16,
        /// Its customer's plan.
        plan: u32,
        /// Its customer.
        customer: u64,
        /// How long until the client gives up.
        time_left: Micros,
        /// How many gateways this customer's requests come through.
        set_size: f64,
        /// Units it counts, maybe a guess.
        units: f64,
        /// A client's repeat, where marked.
        repeat: bool,
    },
    /// A stream began.
    Started {
        /// The request.
        id: u32,
        /// The attempt.
        attempt: u8,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        id: u32,
        /// The attempt, numbered from 0 in order of sending.
        attempt: u8,
        /// Its backend.
        backend: u32,
        /// How it ended.
        outcome: Outcome,
        /// The time since sending.
        elapsed: Micros,
        /// True units, 0 if not told.
        units: f64,
        /// The request needs no further answer.
        settled: bool,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// The client left.
    Left {
        /// The request.
        id: u32,
    },
    /// A timer came due.
    Timer {
        /// The value given with the timer.
        token: u64,
    },
    /// A probe ended.
    Probed {
        /// The backend.
        backend: u32,
        /// How it ended.
        outcome: Outcome,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// A counter call ended.
    Counted {
        /// The name called.
        name: u64,
        /// The total after the call, valid with [`Outcome::Ok`].
        total: f64,
        /// The time since the call.
        elapsed: Micros,
        /// How it ended.
        outcome: Outcome,
    },
    /// Another gateway sent a message; the decisions need none.
    Message,
}

/// What kept a request out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The shared bucket is surely empty.
    Quota,
    /// The shared bucket is in doubt or cannot be asked for, and this gateway's own part is empty.
    OwnPart,
    /// Its customer has as many attempts open as its plan allows.
    Open,
    /// This gateway's part of the hard ceiling is spent.
    Ceiling,
    /// All places at the backends are taken.
    NoPlace,
    /// No backend takes it now: out, sick, shut, or cold.
    NoBackend,
    /// It was let in, and no attempt ended well in time.
    GivenUp,
}

impl Refusal {
    /// All of them, each at the place of its number.
    pub const ALL: [Self; 7] = [
        Self::Quota,
        Self::OwnPart,
        Self::Open,
        Self::Ceiling,
        Self::NoPlace,
        Self::NoBackend,
        Self::GivenUp,
    ];

    /// Its name in figures and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Quota => "quota",
            Self::OwnPart => "own_part",
            Self::Open => "open",
            Self::Ceiling => "ceiling",
            Self::NoPlace => "no_place",
            Self::NoBackend => "no_backend",
            Self::GivenUp => "given_up",
        }
    }
}

/// What a gateway asks for, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: u32,
        /// The backend.
        backend: u32,
        /// Give up after this span; 0 for when the client does.
        timeout: Micros,
        /// Send nothing where its connection is not there within this span: a repeat would no longer be dropped.
        begin_within: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: u32,
        /// The attempt.
        attempt: u8,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        id: u32,
        /// Advice on how long to stay away; 0 for none.
        retry_after: Micros,
        /// What kept it out.
        why: Refusal,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        id: u32,
    },
    /// Wake this gateway later.
    Timer {
        /// From now.
        after: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Probe a backend.
    Probe {
        /// The backend.
        backend: u32,
    },
    /// Add to a named count and learn the total.
    Count {
        /// The name.
        name: u64,
        /// What to add.
        add: f64,
        /// How long a new name lives.
        keep: Micros,
    },
    /// Subscribe to changes of the list, where it must be asked for.
    Subscribe,
    /// A line for the log.
    Log(String),
}
