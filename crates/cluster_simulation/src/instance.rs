//! A simulated instance: the state machines of one cluster member, and its clocks.

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
use timestamps::{MonotonicTime, UnixTime, whole_millis};

/// The Unix time at the start of the simulation.
const UNIX_START: UnixTime = UnixTime::from_millis(1_800_000_000_000);
/// The number of instances that the others contact to join the cluster.
const SEED_PEERS: usize = 3;
/// The maximum number of events queued for a paused instance. Further events are dropped, as by a socket buffer.
const MAX_PENDING_EVENTS: usize = 1_000;
/// One byte of the gossip key in hexadecimal digits. All bytes of the key are equal.
const KEY_BYTE: &str = "ab";
const KEY_BYTES: usize = 32;
/// Gossip periods between two probes, as in the package `cluster`.
const PROBE_GOSSIP_PERIODS: u32 = 4;
/// Gossip periods between two join attempts, as in the package `cluster`.
const JOIN_GOSSIP_PERIODS: u32 = 10;
/// Gossip periods of suspicion after which a member is declared dead.
const SUSPICION_GOSSIP_PERIODS: u32 = 10;
/// The maximum number of broadcast topics.
const MAX_TOPICS: usize = 1_024;
/// The time between the deadline of a run and the end of its period, as in the package `cluster`.
const START_MARGIN: Duration = Duration::from_millis(10);
/// The time between two calls while the lease store is unavailable, as in the package `cluster`.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two renewals of the session, as in the package `cluster`.
const SESSION_RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Converts simulated time to Unix time without clock skew.
pub(crate) fn unix_time(now: MonotonicTime) -> UnixTime {
    UNIX_START + now.saturating_since(MonotonicTime::ZERO)
}

/// Returns the name of a simulated job.
pub(crate) fn job_name(job: usize) -> String {
    format!("duty-{job}")
}

/// A running instance: its membership, its scheduler and its clocks.
pub(crate) struct Instance {
    pub(crate) number: usize,
    pub(crate) membership: Membership,
    pub(crate) scheduler: Scheduler,
    /// How far the Unix clock of the instance is ahead of the simulated time.
    clock_offset: Duration,
    pub(crate) incarnation: Incarnation,
    /// When the next tick of the instance is due. A time in the past, or [`MonotonicTime::NEVER`], means that no tick is
    /// scheduled.
    pub(crate) next_tick: MonotonicTime,
    has_jobs: bool,
    paused: bool,
    /// Whether the members have changed since the last tick. The next tick passes them to the scheduler.
    members_changed: bool,
    /// The events received during a pause, at most [`MAX_PENDING_EVENTS`].
    pending: VecDeque<Event>,
}

/// What an instance asks for after an event: outputs of its membership and actions of its scheduler.
#[derive(Default)]
pub(crate) struct Effects {
    pub(crate) outputs: Vec<Output>,
    pub(crate) actions: Vec<Action>,
}

impl Instance {
    /// Starts an instance at the time `now`.
    pub(crate) fn start(
        number: usize,
        now: MonotonicTime,
        config: &SimulationConfig,
        rng: &mut StdRng,
    ) -> Self {
        let clock_offset = random_clock_offset(config.max_clock_skew, rng);
        let membership = Membership::new(
            membership_config(number, unix_time(now), config, rng.random()),
            Keyring::parse(&KEY_BYTE.repeat(KEY_BYTES)).expect("a constant key"),
        );
        let mut scheduler = Scheduler::new(scheduler_config(number, config, rng.random()));
        let now = clock_reading(now, clock_offset);
        let job = |job| Job { name: job_name(job), period: config.job_period };
        scheduler.set_jobs(now, (0..config.jobs).map(job).collect());
        Self {
            number,
            membership,
            scheduler,
            clock_offset,
            incarnation: Incarnation(rng.random()),
            next_tick: MonotonicTime::NEVER,
            has_jobs: config.jobs > 0,
            paused: false,
            members_changed: false,
            pending: VecDeque::new(),
        }
    }

    /// Reads the clocks of the instance at the time `now`.
    pub(crate) fn clocks(&self, now: MonotonicTime) -> ClockReading {
        clock_reading(now, self.clock_offset)
    }

    /// Pauses the instance. Until it is resumed, it skips its ticks and queues all other events.
    pub(crate) fn pause(&mut self) {
        self.paused = true;
    }

    /// Resumes the instance. Returns the events queued during the pause.
    pub(crate) fn resume(&mut self) -> VecDeque<Event> {
        self.paused = false;
        std::mem::take(&mut self.pending)
    }

    /// Handles an event. Returns `None` if the instance is paused, which queues the event, or if the event is outdated.
    pub(crate) fn handle(&mut self, event: Event, now: ClockReading) -> Option<Effects> {
        if self.paused {
            if !matches!(event, Event::Tick { .. }) && self.pending.len() < MAX_PENDING_EVENTS {
                self.pending.push_back(event);
            }
            return None;
        }
        let mut effects = Effects::default();
        match event {
            Event::Tick { .. } if self.next_tick > now.monotonic => return None,
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
        // Marks that no tick is scheduled. `ZERO` would count as a scheduled tick at the start of the simulation.
        self.next_tick = MonotonicTime::NEVER;
        self.membership.tick(now.monotonic, &mut effects.outputs);
        // A scheduler without jobs does not need the members.
        if std::mem::take(&mut self.members_changed) && self.has_jobs {
            self.scheduler.set_members(now, self.membership.alive_names());
        }
        self.scheduler.tick(now, &mut effects.actions);
    }

    /// Returns the numbers of the other instances that this one considers alive.
    pub(crate) fn seen_alive(&self) -> impl Iterator<Item = usize> {
        self.membership.alive_addresses().map(network::instance)
    }

    /// Returns when the membership or the scheduler needs its next tick, whichever is earlier.
    pub(crate) fn next_due(&self, now: ClockReading) -> MonotonicTime {
        let to_monotonic = |due: UnixTime| now.monotonic + due.saturating_since(now.unix);
        let jobs_due = self.scheduler.next_tick().map(to_monotonic);
        self.membership.next_tick().min(jobs_due.unwrap_or(MonotonicTime::NEVER))
    }
}

/// Returns the readings of an instance's clocks at the simulated time `now`.
fn clock_reading(now: MonotonicTime, clock_offset: Duration) -> ClockReading {
    ClockReading { unix: unix_time(now) + clock_offset, monotonic: now }
}

/// Draws the offset of a clock, in whole milliseconds up to the maximum skew.
fn random_clock_offset(max_clock_skew: Duration, rng: &mut StdRng) -> Duration {
    // Nothing is drawn without skew: a draw would change all random numbers that follow.
    if max_clock_skew.is_zero() {
        return Duration::ZERO;
    }
    Duration::from_millis(rng.random_range(0..=whole_millis(max_clock_skew)))
}

fn membership_config(
    number: usize,
    started_at: UnixTime,
    config: &SimulationConfig,
    rng_seed: u64,
) -> membership::Config {
    let gossip_period = config.gossip_period;
    membership::Config {
        local_member: Member {
            address: network::address(number),
            name: format!("m{number}"),
            generation: started_at.as_millis(),
        },
        seed_peers: (0..config.instances.min(SEED_PEERS)).map(network::address).collect(),
        probe_period: gossip_period * PROBE_GOSSIP_PERIODS,
        probe_timeout: gossip_period,
        suspicion_timeout: gossip_period * SUSPICION_GOSSIP_PERIODS,
        gossip_period,
        join_period: gossip_period * JOIN_GOSSIP_PERIODS,
        max_members: 4 * config.instances,
        max_topics: MAX_TOPICS,
        rng_seed,
    }
}

fn scheduler_config(number: usize, config: &SimulationConfig, incarnation: u64) -> Config {
    Config {
        instance: format!("m{number}"),
        standbys: config.standbys,
        max_clock_skew: config.max_clock_skew,
        start_margin: START_MARGIN,
        store_retry_interval: STORE_RETRY_INTERVAL,
        session_renewal_interval: SESSION_RENEWAL_INTERVAL,
        incarnation,
    }
}
