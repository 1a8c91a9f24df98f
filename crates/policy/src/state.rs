//! What a gateway remembers: plain data, no decision. `control.rs` alone reads and changes it.

use crate::interface::{BackendEntry, Micros, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One customer's store as this gateway knows it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    pub(crate) set: f64,
    pub(crate) level: f64,
    /// This gateway's own part of the store.
    pub(crate) own: f64,
    /// The level at the last total, and own spend since.
    pub(crate) base: f64,
    pub(crate) spent: f64,
    pub(crate) at: Micros,
    pub(crate) pending: f64,
    /// Units that no store could hold: written off with the call that is out, or to go with the next one; below 0 what was
    /// too much.
    pub(crate) wrote: f64,
    pub(crate) view: View,
    pub(crate) held: f64,
    /// Units a second that the others take from the store, and by which they raise the total.
    pub(crate) others_rate: f64,
    pub(crate) grows: f64,
    /// The name last read and its total then.
    pub(crate) known: Option<(u64, f64)>,
    pub(crate) synced: Micros,
    /// What the call that is out adds.
    pub(crate) call: Option<f64>,
    /// When pending spend is to be told.
    pub(crate) due: Micros,
    /// Requests that wait for the call that is out.
    pub(crate) waiting: Vec<u32>,
    pub(crate) ceiling: f64,
    pub(crate) surcharge: f64,
    /// Attempts out, and when the last request was admitted.
    pub(crate) open: u32,
    pub(crate) opened: Micros,
}

/// What the total of a customer's count says of its store.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub(crate) enum View {
    /// A store of which something may have been told under the name before.
    #[default]
    Fresh,
    /// The store as it is.
    Exact,
    /// Spend went untold, in silence or with totals that were forgotten: only its changes count until the next name.
    Adrift,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Counter {
    pub(crate) failures: u32,
    pub(crate) answered: Micros,
    pub(crate) silent: Option<Micros>,
    pub(crate) returned: Micros,
    pub(crate) next_trial: Micros,
    /// us between two calls, and calls saved up.
    pub(crate) pace: f64,
    pub(crate) paced: Micros,
    pub(crate) rights: f64,
    pub(crate) at: Micros,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Backend {
    /// What the list says of it; another gateway has its own list.
    #[serde(skip)]
    pub(crate) entry: BackendEntry,
    /// Attempts that are out there.
    pub(crate) out: u32,
    /// Latency of late over the mean of its class, and when last told.
    pub(crate) slow: f64,
    pub(crate) learned: Micros,
    pub(crate) answered: Micros,
    /// By class.
    pub(crate) health: Vec<Health>,
    /// By class and plan: until when it is left alone after it turned work away.
    pub(crate) turned_away: BTreeMap<(usize, usize), Micros>,
    /// Sends that are due to it while it is cold.
    pub(crate) cold_right: f64,
    /// Sends lately, where work goes by size.
    pub(crate) sent: f64,
    /// When operators called it back: it may have restarted while it was out.
    pub(crate) back: Micros,
    /// Until when nothing is sent since no connection was to be had, and the last pause.
    pub(crate) shut: Micros,
    pub(crate) shut_pause: Micros,
}

impl Backend {
    pub(crate) fn new(entry: BackendEntry, now: Micros, classes: usize) -> Self {
        let health = vec![Health { answered: now, sick: None }; classes];
        Self { entry, slow: 1.0, health, answered: now, learned: now, ..Backend::default() }
    }

    /// Its size against the others', in bounds: what is no size must not take all work, or none for good.
    pub(crate) fn size(&self) -> f64 {
        if self.entry.size.is_finite() { self.entry.size.clamp(0.05, 20.0) } else { 1.0 }
    }

    /// Whether it is thought to lose work of every class, so that only a trial can tell otherwise.
    pub(crate) fn is_sick(&self) -> bool {
        self.health.iter().all(|h| h.sick.is_some())
    }

    /// Whether this class is the one to try it with: the last that was answered there.
    pub(crate) fn wants_trial(&self, class: usize) -> bool {
        self.is_sick() && self.health.iter().all(|h| h.answered <= self.health[class].answered)
    }

    /// The time of the next trial where it is thought to lose work of this class.
    pub(crate) fn sickness(&self, class: usize) -> Option<Micros> {
        self.health.get(class).and_then(|h| h.sick)
    }
}

/// How one class fares at one backend.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct Health {
    pub(crate) answered: Micros,
    /// The time of the next trial.
    pub(crate) sick: Option<Micros>,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: u32,
    pub(crate) group: u32,
    pub(crate) sent: Micros,
    pub(crate) outcome: Option<Outcome>,
}

#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) plan: usize,
    pub(crate) customer: u64,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
    pub(crate) streaming: bool,
    pub(crate) guess: f64,
    pub(crate) price: f64,
    /// Units told as spent while it waits for a total.
    pub(crate) reserved: f64,
    pub(crate) hold: f64,
    pub(crate) settled: bool,
}

/// Mean latency of one class in us, and its largest settled request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Kind {
    pub(crate) mean: f64,
    pub(crate) largest: f64,
}

impl Attempt {
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.never_ran())
    }
}

/// What is known of the backends together.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Fleet {
    /// Ids of the ready ones in this gateway's own order, and how many of the first it keeps to.
    pub(crate) ready: Vec<u32>,
    pub(crate) few: usize,
    /// Work goes by size, and sizes differ.
    pub(crate) uneven: bool,
    pub(crate) sickness_is_shared: bool,
    /// Attempts that this gateway may have out, and when that was last cut.
    pub(crate) limit: f64,
    pub(crate) cut_at: Micros,
    pub(crate) last_send: Micros,
    /// Mean latency in parts of the aim and in us, and when last told.
    pub(crate) part: f64,
    pub(crate) latency: f64,
    /// us that an attempt is out, however it ends, and units of an admitted request: both means.
    pub(crate) hold: f64,
    pub(crate) units: f64,
    /// Latency over its class's mean at backends of which nothing good or bad was known.
    pub(crate) first: f64,
    pub(crate) learned: Micros,
    /// Answers a second that one warm backend gives this gateway, as seen and as thought.
    pub(crate) seen: f64,
    pub(crate) rate: f64,
    pub(crate) answers: u64,
    pub(crate) since: Micros,
}

/// A well-mixed 64-bit hash (the finaliser of SplitMix64).
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
