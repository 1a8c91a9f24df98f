//! The simulation: it advances the time, passes events to instances and the store, and injects faults.

use crate::SimulationConfig;
use crate::counts::{Counts, RunLog};
use crate::event::{DueEvent, Event, EventQueue, Incarnation};
use crate::instance::{Effects, Instance, job_name, unix_time};
use crate::network::{self, Network, StoreAccess};
use crate::store::{DelayedResponse, SimulatedStore, StoreFault};
use membership::Output;
use periodic_jobs::{Action, ClockReading, Notice, Run, StoreCall};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::{Range, RangeInclusive};
use std::time::Duration;
use timestamps::MonotonicTime;

/// The range of the delay of a call to the store in milliseconds.
const CALL_DELAY_MS: RangeInclusive<u64> = 1..=3;
/// The minimum time between two ticks of an instance.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// The members that one instance considers alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The number of the observing instance.
    pub instance: usize,
    /// The names of these members, including the instance itself.
    pub alive: Vec<String>,
}

/// A cluster in simulated time. Instances are identified by their numbers, from 0.
pub struct Simulation {
    config: SimulationConfig,
    now: MonotonicTime,
    events: EventQueue,
    /// `None` for a dead instance.
    instances: Vec<Option<Instance>>,
    rng: StdRng,
    store: SimulatedStore,
    network: Network,
    counts: Counts,
    run_log: RunLog,
    notices: Vec<Notice>,
}

impl Simulation {
    /// Creates a cluster and starts all of its instances at time zero.
    pub fn new(config: SimulationConfig) -> Self {
        let mut simulation = Self {
            now: MonotonicTime::ZERO,
            events: EventQueue::default(),
            instances: (0..config.instances).map(|_| None).collect(),
            rng: StdRng::seed_from_u64(config.rng_seed),
            store: SimulatedStore::new(),
            network: Network::new(config.datagram_loss_probability),
            counts: Counts::default(),
            run_log: RunLog::default(),
            notices: Vec::new(),
            config,
        };
        for instance in 0..simulation.config.instances {
            simulation.start(instance);
        }
        simulation
    }

    /// Returns the current simulated time, which starts at zero.
    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Returns the counters since the start of the simulation.
    pub fn counts(&self) -> Counts {
        Counts { repeated_runs: self.run_log.repeated(), ..self.counts.clone() }
    }

    /// Returns the notices of all schedulers since the start of the simulation, in order of time.
    pub fn notices(&self) -> &[Notice] {
        &self.notices
    }

    /// Returns the maximum number of consecutive runs that any job has missed since the last call. Returns `u64::MAX` if a job
    /// has never run.
    pub fn take_longest_gap(&mut self) -> u64 {
        let (now, period) = (unix_time(self.now), self.config.job_period);
        let gaps = (0..self.config.jobs).map(|job| self.run_log.longest_gap(&job_name(job), now, period));
        let longest = gaps.max().unwrap_or(0);
        self.run_log.reset_gaps();
        longest
    }

    /// Starts an instance, or restarts it with the same name and address.
    pub fn start(&mut self, instance: usize) {
        self.instances[instance] = Some(Instance::start(instance, self.now, &self.config, &mut self.rng));
        self.schedule_tick(instance, self.now);
    }

    /// Kills an instance without notice to the others. Calls that it has sent still reach the store.
    pub fn kill(&mut self, instance: usize) {
        self.instances[instance] = None;
    }

    /// Pauses an instance: it handles no events until [`Self::resume`]. Datagrams and responses are queued up to a limit.
    pub fn pause(&mut self, instance: usize) {
        if let Some(instance) = &mut self.instances[instance] {
            instance.pause();
        }
    }

    /// Resumes an instance. The events queued during the pause are delivered at once.
    pub fn resume(&mut self, instance: usize) {
        let Some(paused) = &mut self.instances[instance] else { return };
        for event in paused.resume() {
            self.events.schedule(self.now, event);
        }
        self.schedule_tick(instance, self.now);
    }

    /// Sets the fault of the store. [`StoreFault::None`] ends an earlier one.
    pub fn set_store_fault(&mut self, fault: StoreFault) {
        self.store.set_fault(fault);
    }

    /// Loses the responses to the next `count` applied writes, whose calls then time out.
    pub fn lose_responses(&mut self, count: u32) {
        self.store.lose_responses(count);
    }

    /// Restarts the store without data: its indexes start from 0 again, and all sessions end.
    pub fn restart_store_empty(&mut self) {
        self.store.restart_empty();
    }

    /// Partitions the network: datagrams between the separated instances and all others are lost. Replaces an earlier
    /// partition.
    pub fn partition(&mut self, separated: Range<usize>, store_access: StoreAccess) {
        self.network.partition(separated, store_access);
    }

    /// Ends the partition of the network.
    pub fn heal(&mut self) {
        self.network.heal();
    }

    /// Returns the number of instances that consider exactly `members` members alive, including themselves.
    pub fn instances_seeing(&self, members: usize) -> usize {
        self.alive_instances().filter(|instance| instance.membership.alive_count() == members).count()
    }

    /// Returns the number of mistakes in the views of all live instances. A mistake is a member considered alive that is dead or
    /// unreachable, or a reachable live member that is not considered alive. `can_reach(observer, other)` tells whether the
    /// instance `observer` can reach `other`.
    pub fn mistaken_views(&self, can_reach: impl Fn(usize, usize) -> bool) -> usize {
        let is_visible = |observer: usize, other: usize| self.is_alive(other) && can_reach(observer, other);
        let mistakes = |observer: &Instance| {
            let seen: Vec<usize> = observer.seen_alive().collect();
            let correct = seen.iter().filter(|&&other| is_visible(observer.number, other)).count();
            let others = (0..self.instances.len()).filter(|&other| other != observer.number);
            let expected = others.filter(|&other| is_visible(observer.number, other)).count();
            (seen.len() - correct) + (expected - correct)
        };
        self.alive_instances().map(mistakes).sum()
    }

    /// Returns the number of members, summed over the views of all live instances, that are considered alive but are dead or
    /// unreachable. `can_reach(observer, other)` tells whether the instance `observer` can reach `other`.
    pub fn falsely_alive(&self, can_reach: impl Fn(usize, usize) -> bool) -> usize {
        let mistakes = |observer: &Instance| {
            let is_mistake = |&other: &usize| !self.is_alive(other) || !can_reach(observer.number, other);
            observer.seen_alive().filter(is_mistake).count()
        };
        self.alive_instances().map(mistakes).sum()
    }

    /// Returns the view of each live instance.
    pub fn views(&self) -> Vec<View> {
        let view = |instance: &Instance| View {
            instance: instance.number,
            alive: instance.membership.alive_names(),
        };
        self.alive_instances().map(view).collect()
    }

    fn alive_instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.iter().flatten()
    }

    fn is_alive(&self, instance: usize) -> bool {
        self.instances[instance].is_some()
    }

    /// Advances the time by `span`, a whole number of milliseconds, and handles the events that become due.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(DueEvent { due, event }) = self.events.pop_due(until) {
            self.now = due;
            self.handle(event);
        }
        self.now = until;
    }

    /// Schedules a tick of an instance unless one is already scheduled for `due` or earlier.
    fn schedule_tick(&mut self, instance: usize, due: MonotonicTime) {
        let Some(state) = &mut self.instances[instance] else { return };
        if due < state.next_tick || state.next_tick < self.now {
            state.next_tick = due;
            self.events.schedule(due.max(self.now), Event::Tick { instance });
        }
    }

    fn handle(&mut self, event: Event) {
        let number = match event {
            Event::StoreCall { instance, incarnation, call } => {
                self.handle_store_call(instance, incarnation, call);
                return;
            }
            Event::Tick { instance }
            | Event::Datagram { instance, .. }
            | Event::StoreResponse { instance, .. } => instance,
        };
        let Some(Some(instance)) = self.instances.get_mut(number) else { return };
        let now = instance.clocks(self.now);
        let Some(Effects { outputs, actions }) = instance.handle(event, now) else { return };
        let incarnation = instance.incarnation;
        let due = instance.next_due(now);
        for output in outputs {
            if let Output::SendDatagram { to, bytes } = output {
                self.send(number, network::instance(to), bytes);
            }
        }
        self.apply_actions(number, incarnation, now, actions);
        self.schedule_tick(number, due.max(self.now + MIN_TICK_INTERVAL));
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.counts.datagrams += 1;
        self.counts.datagram_bytes += bytes.len() as u64;
        if let Some(delay) = self.network.delay(from, to, &mut self.rng) {
            self.events.schedule(self.now + delay, Event::Datagram { instance: to, bytes });
        }
    }

    fn apply_actions(
        &mut self,
        instance: usize,
        incarnation: Incarnation,
        now: ClockReading,
        actions: Vec<Action>,
    ) {
        for action in actions {
            match action {
                Action::CallStore(call) => self.send_store_call(instance, incarnation, call),
                Action::StartRun(run) => self.start_run(run, now),
                Action::Notify(notice) => self.notices.push(notice),
            }
        }
    }

    fn send_store_call(&mut self, instance: usize, incarnation: Incarnation, call: StoreCall) {
        let delay = Duration::from_millis(self.rng.random_range(CALL_DELAY_MS));
        self.events.schedule(self.now + delay, Event::StoreCall { instance, incarnation, call });
    }

    fn start_run(&mut self, run: Run, now: ClockReading) {
        // As in `snowfield`, the deadline is checked again just before the run starts.
        if run.may_start(now) {
            self.counts.runs += 1;
            self.run_log.record(run, self.config.job_period);
        } else {
            self.counts.late_runs += 1;
        }
    }

    fn handle_store_call(&mut self, instance: usize, incarnation: Incarnation, call: StoreCall) {
        let reachable = self.network.reaches_store(instance);
        let DelayedResponse { delay, response } = self.store.handle(call, reachable, &mut self.counts);
        let event = Event::StoreResponse { instance, incarnation, response };
        self.events.schedule(self.now + delay, event);
    }
}
