//! A simulated instance.

use crate::SimulationConfig;
use crate::event::{Event, Incarnation};
use crate::network;
use membership::authentication::Keyring;
use membership::{Member, Membership, Output};
use periodic_jobs::{Action, ClockReading, Config, Job, Scheduler};
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::VecDeque;
use std::time::Duration;
use timestamps::{MonotonicTime, UnixTime};

/// Unix milliseconds at the start of the simulation.
pub(crate) const START_UNIX_MS: u64 = 1_800_000_000_000;
/// The number of instances through which the others join.
const SEED_PEERS: usize = 3;
/// The maximum number of events queued for a paused instance. Further events are dropped, as by a socket buffer.
const MAX_PENDING_EVENTS: usize = 1_000;
/// One byte of the gossip key in hexadecimal digits. All bytes of the key are equal.
const KEY_BYTE: &str = "ab";
const KEY_BYTES: usize = 32;

/// Returns the name of a simulated job.
pub(crate) fn job_name(job: usize) -> String {
    format!("duty-{job}")
}

/// A running instance: its membership, its scheduler and its clocks.
pub(crate) struct Instance {
    pub(crate) membership: Membership,
    pub(crate) scheduler: Scheduler,
    /// The offset of its Unix clock.
    clock_offset_ms: i64,
    pub(crate) incarnation: Incarnation,
    /// The moment of its next tick.
    pub(crate) next_tick_ms: u64,
    has_jobs: bool,
    paused: bool,
    /// Whether the members have changed since the last tick, which passes them to the scheduler.
    members_changed: bool,
    /// The events received while it was paused.
    pending: VecDeque<Event>,
}

/// The effects of an event on an instance.
#[derive(Default)]
pub(crate) struct Effects {
    pub(crate) outputs: Vec<Output>,
    pub(crate) actions: Vec<Action>,
}

impl Instance {
    /// Starts an instance at this moment.
    pub(crate) fn start(number: usize, now_ms: u64, config: &SimulationConfig, rng: &mut StdRng) -> Self {
        let unix_ms = START_UNIX_MS + now_ms;
        let skew_ms = config.max_clock_skew_ms;
        let clock_offset_ms = if skew_ms == 0 { 0 } else { rng.random_range(0..=skew_ms) as i64 };
        let membership = Membership::new(
            membership_config(number, unix_ms, config, rng.random()),
            Keyring::parse(&KEY_BYTE.repeat(KEY_BYTES)).expect("a constant key"),
        );
        let mut scheduler = Scheduler::new(scheduler_config(number, config, rng.random()));
        let now = clock_reading(now_ms, clock_offset_ms);
        let job = |job| Job { name: job_name(job), period: Duration::from_millis(config.period_ms) };
        scheduler.set_jobs(now, (0..config.jobs).map(job).collect());
        Self {
            membership,
            scheduler,
            clock_offset_ms,
            incarnation: Incarnation(rng.random()),
            next_tick_ms: u64::MAX,
            has_jobs: config.jobs > 0,
            paused: false,
            members_changed: false,
            pending: VecDeque::new(),
        }
    }

    /// Reads the clocks of the instance at this moment.
    pub(crate) fn clocks(&self, now_ms: u64) -> ClockReading {
        clock_reading(now_ms, self.clock_offset_ms)
    }

    /// Pauses the instance.
    pub(crate) fn pause(&mut self) {
        self.paused = true;
    }

    /// Resumes the instance. Returns the events received during the pause.
    pub(crate) fn resume(&mut self) -> VecDeque<Event> {
        self.paused = false;
        std::mem::take(&mut self.pending)
    }

    /// Handles an event. Returns `None` if the instance is paused or the event is outdated.
    pub(crate) fn handle(&mut self, event: Event, now: ClockReading) -> Option<Effects> {
        if self.paused {
            if !matches!(event, Event::Tick { .. }) && self.pending.len() < MAX_PENDING_EVENTS {
                self.pending.push_back(event);
            }
            return None;
        }
        let mut effects = Effects::default();
        match event {
            Event::Tick { .. } if self.next_tick_ms > now.monotonic.as_millis() => return None,
            Event::Tick { .. } => self.tick(now, &mut effects),
            Event::Datagram { bytes, .. } => {
                self.membership.handle_datagram(now.monotonic, &bytes, &mut effects.outputs);
            }
            Event::StoreResponse { incarnation, response, .. } if incarnation == self.incarnation => {
                self.scheduler.handle_store_response(now, response, &mut effects.actions);
            }
            Event::StoreResponse { .. } | Event::StoreCall { .. } => return None,
        }
        self.members_changed |= effects.outputs.contains(&Output::MembersChanged);
        Some(effects)
    }

    fn tick(&mut self, now: ClockReading, effects: &mut Effects) {
        // No tick is pending. At the start of the simulation 0 would count as a pending tick.
        self.next_tick_ms = u64::MAX;
        self.membership.tick(now.monotonic, &mut effects.outputs);
        // Without jobs the scheduler does not need the members.
        if std::mem::take(&mut self.members_changed) && self.has_jobs {
            self.scheduler.set_members(now, self.membership.alive_names());
        }
        self.scheduler.tick(now, &mut effects.actions);
    }

    /// Returns the moment at which the instance needs its next tick.
    pub(crate) fn next_due_ms(&self, now: ClockReading) -> u64 {
        let to_monotonic = |due: UnixTime| now.monotonic + due.saturating_since(now.unix);
        let jobs_due = self.scheduler.next_tick().map(to_monotonic);
        self.membership.next_tick().min(jobs_due.unwrap_or(MonotonicTime::NEVER)).as_millis()
    }
}

/// Returns the clocks of an instance at a moment of the simulation.
fn clock_reading(now_ms: u64, clock_offset_ms: i64) -> ClockReading {
    let unix_ms = (START_UNIX_MS + now_ms).saturating_add_signed(clock_offset_ms);
    ClockReading { unix: UnixTime::from_millis(unix_ms), monotonic: MonotonicTime::from_millis(now_ms) }
}

fn membership_config(
    number: usize,
    start_unix_ms: u64,
    config: &SimulationConfig,
    rng_seed: u64,
) -> membership::Config {
    let gossip_period = Duration::from_millis(config.gossip_period_ms);
    membership::Config {
        local_member: Member {
            address: network::address(number),
            name: format!("m{number}"),
            generation: start_unix_ms,
        },
        seed_peers: (0..config.instances.min(SEED_PEERS)).map(network::address).collect(),
        probe_period: gossip_period * 4,
        probe_timeout: gossip_period,
        suspicion_timeout: gossip_period * 10,
        gossip_period,
        join_period: gossip_period * 10,
        max_members: 4 * config.instances,
        max_topics: 1_024,
        rng_seed,
    }
}

fn scheduler_config(number: usize, config: &SimulationConfig, incarnation: u64) -> Config {
    Config {
        instance: format!("m{number}"),
        standbys: config.standbys,
        max_clock_skew: Duration::from_millis(config.max_clock_skew_ms),
        start_margin: Duration::from_millis(10),
        store_retry_interval: Duration::from_millis(100),
        session_renewal_interval: Duration::from_secs(3),
        incarnation,
    }
}
