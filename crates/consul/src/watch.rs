//! Asks Consul: a thread for each service that is watched, one for this program's own registration. What the answers mean
//! is decided in the crate `catalogue`; here are the calls, the token, the file and the log.
//!
//! Nothing here runs on the program's `may` worker. Connections are kept alive between queries (`ureq`), and compressed
//! bodies are taken.

use crate::health_query::Asker;
use crate::{CacheFile, ConsulConfig};
use catalogue::WatchEvent;
use catalogue::{AgentSelector, AgentSelectorConfig, QueryOutcome};
use catalogue::{EligibilityReason, EndpointList, EndpointTracker, Instance, StabilityConfig};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Milliseconds between two queries at the least, also when the list changes all the time.
const SPACE: u64 = 50;
/// Milliseconds after a failed query; doubles up to the second.
const PAUSES: (u64, u64) = (250, 5_000);
/// Milliseconds after which the first agent is tried again.
const BACK_AFTER: u64 = 15_000;
/// Lines about single instances that one change may write.
const MOST_LINES: usize = 8;

/// One service to be watched.
#[derive(Clone, Debug)]
pub struct WatchConfig {
    /// Its name.
    pub service: String,
    /// Only instances with this tag.
    pub tag: Option<String>,
    /// Consul's filter expression.
    pub filter: Option<String>,
    /// How sudden changes are met.
    pub stability: StabilityConfig,
    /// Its instances get numbers after this.
    pub first_number: u32,
}

/// When clients last had an answer, by number. Shared with the destination side.
#[derive(Debug)]
pub struct LastAnswers {
    start: Instant,
    at: Mutex<HashMap<u32, u64>>,
}

impl Default for LastAnswers {
    fn default() -> Self {
        Self { start: Instant::now(), at: Mutex::default() }
    }
}

impl LastAnswers {
    /// A client got an answer from this destination.
    pub fn record(&self, number: u32) {
        let now = self.now();
        held(&self.at).insert(number, now);
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn get(&self, number: u32) -> Option<u64> {
        held(&self.at).get(&number).copied()
    }
}

/// Locks; each change under these locks is whole by itself, so a panic elsewhere has left nothing half-changed.
pub(crate) fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Called with every view that differs from the one before.
pub type OnListChange = Box<dyn Fn(&EndpointList) + Send + Sync>;
/// Tells whether any work is out at a number.
pub type HasAttempts = Box<dyn Fn(u32) -> bool + Send + Sync>;

/// The watch on one service.
pub struct ServiceWatch {
    watched: WatchConfig,
    source: ConsulConfig,
    answered: Arc<LastAnswers>,
    file: Option<Arc<CacheFile>>,
    state: Mutex<State>,
    on_view: OnListChange,
    has_steps: HasAttempts,
}

struct State {
    catalogue: EndpointTracker,
    view: EndpointList,
    left_out: Vec<(String, String)>,
    /// Where the list comes from, for the console.
    origin: String,
    heard: Option<Instant>,
}

impl ServiceWatch {
    /// A watch that knows nothing yet, or what the file holds. Its view is told at once where there is one.
    pub fn new(
        source: ConsulConfig,
        watched: WatchConfig,
        answered: Arc<LastAnswers>,
        file: Option<Arc<CacheFile>>,
        on_view: OnListChange,
        has_steps: HasAttempts,
    ) -> Arc<Self> {
        let catalogue = EndpointTracker::new(watched.stability.clone(), watched.first_number);
        let state = State {
            catalogue,
            view: EndpointList::default(),
            left_out: Vec::new(),
            origin: "no list yet".into(),
            heard: None,
        };
        let watch = Self { watched, source, answered, file, state: Mutex::new(state), on_view, has_steps };
        if let Some((instances, age)) = watch.file.as_ref().and_then(|f| f.cached(&watch.watched.service)) {
            tracing::info!(
                "consul: {}: the list on disk serves until Consul answers: {} instances, {age} s old",
                watch.watched.service,
                instances.len()
            );
            let mut state = held(&watch.state);
            state.origin = format!("the list on disk, {age} s old at the start");
            let mut notes = Vec::new();
            let view = state.catalogue.restore(watch.answered.now(), instances, &mut notes);
            watch.tell(&mut state, view, &notes);
        }
        Arc::new(watch)
    }

    /// Asks for ever, on a thread of its own.
    ///
    /// # Errors
    ///
    /// There is no thread to be had.
    pub fn start(self: &Arc<Self>) -> std::io::Result<()> {
        let watch = self.clone();
        thread::Builder::new().name("consul".into()).spawn(move || watch.run()).map(|_| ())
    }

    fn run(&self) {
        let rules = AgentSelectorConfig {
            agent_count: self.source.agents.len(),
            min_query_interval: SPACE,
            backoff: PAUSES,
            failback_after: BACK_AFTER,
            allow_stale: self.source.max_stale_ms.is_some(),
        };
        let mut agents = AgentSelector::new(rules, rand::random());
        let asker = Asker::new(&self.source);
        let service = &self.watched.service;
        let (mut asked, mut failing) = (0, false);
        loop {
            let now = self.answered.now();
            let ask = agents.next_query(now);
            if ask.agent != asked {
                tracing::info!("consul: {service}: asking agent {} now", self.source.agents[ask.agent]);
                asked = ask.agent;
            }
            thread::sleep(Duration::from_millis(ask.not_before.saturating_sub(now)));
            let answer = asker.health(&self.watched, &ask);
            let now = self.answered.now();
            match answer {
                Ok(answer) => {
                    let news = agents.handle_outcome(now, ask.agent, &QueryOutcome::Response(answer.index));
                    if std::mem::take(&mut failing) {
                        tracing::info!(
                            "consul: {service}: agent {} answers again",
                            self.source.agents[ask.agent]
                        );
                    }
                    self.heard(ask.agent, news.then_some(answer.body));
                }
                Err(crate::health_query::Problem::TooStale(why)) => {
                    agents.handle_outcome(now, ask.agent, &QueryOutcome::TooStale);
                    tracing::warn!("consul: {service}: no news ({why}); the last list stays");
                }
                Err(crate::health_query::Problem::Failed(why)) => {
                    agents.handle_outcome(now, ask.agent, &QueryOutcome::Failed);
                    if agents.failures(ask.agent) == 1 {
                        let agent = self.source.agents[ask.agent];
                        tracing::warn!(
                            "consul: {service}: agent {agent} does not answer ({why}); the last list stays"
                        );
                    }
                    failing = true;
                }
            }
        }
    }

    /// An agent has answered; with a body where that is news.
    fn heard(&self, agent: usize, body: Option<catalogue::HealthResponse>) {
        let mut state = held(&self.state);
        state.heard = Some(Instant::now());
        state.origin = format!("agent {}", self.source.agents[agent]);
        if let Some(answer) = body {
            if answer.invalid != state.left_out {
                for (id, why) in answer.invalid.iter().take(MOST_LINES) {
                    tracing::warn!("consul: {}: {id} left out: {why}", self.watched.service);
                }
                state.left_out = answer.invalid;
            }
            let (mut notes, answered) = (Vec::new(), &self.answered);
            let now = answered.now();
            let view =
                state.catalogue.apply_response(now, answer.instances, &|n| answered.get(n), &mut notes);
            self.tell(&mut state, view, &notes);
        }
        if let Some(file) = &self.file {
            let works = |e: &&catalogue::Endpoint| e.eligible;
            let instances: Vec<Instance> =
                state.view.endpoints.iter().filter(works).map(|e| e.instance.clone()).collect();
            drop(state);
            file.store(&self.watched.service, instances);
        }
    }

    /// Time has passed: call it twice a second or so.
    pub fn advance(&self) {
        let mut state = held(&self.state);
        let now = self.answered.now();
        let mut notes = Vec::new();
        let view = state.catalogue.advance(now, &*self.has_steps, &mut notes);
        self.tell(&mut state, view, &notes);
    }

    /// Tells what has changed. The lock is held meanwhile, so that views are told in order.
    fn tell(&self, state: &mut State, view: EndpointList, notes: &[WatchEvent]) {
        // The list first: who reads the log may go by it.
        if view != state.view {
            state.view = view;
            (self.on_view)(&state.view);
            let here: std::collections::HashSet<u32> =
                state.view.endpoints.iter().map(|e| e.number).collect();
            let own = |n: u32| {
                n > self.watched.first_number && n - self.watched.first_number <= NUMBERS_PER_SERVICE
            };
            held(&self.answered.at).retain(|n, _| !own(*n) || here.contains(n));
        }
        let service = &self.watched.service;
        let (mut lines, mut more) = (0, 0);
        for note in notes {
            match note {
                WatchEvent::ListChanged(all, working) => {
                    tracing::info!(
                        service,
                        all,
                        working,
                        "consul: {service}: {all} instances, {working} of them take work"
                    );
                }
                WatchEvent::EligibilityChanged(..) if lines == MOST_LINES => more += 1,
                WatchEvent::EligibilityChanged(id, true, _) => {
                    lines += 1;
                    tracing::info!(service, server = %id, takes_work = true, "consul: {service}: {id} takes work");
                }
                WatchEvent::EligibilityChanged(id, false, reason) => {
                    lines += 1;
                    let why = self.why(*reason);
                    tracing::info!(service, server = %id, takes_work = false, "consul: {service}: {id} takes no work: {why}");
                }
                WatchEvent::SuddenLoss { vanished, of, kept } => {
                    let span = self.watched.stability.sudden_loss_hold / 1000;
                    tracing::info!(
                        "consul: {service}: {vanished} of {of} vanished in one answer; {kept} that answer are kept {span} s"
                    );
                }
                WatchEvent::LossAccepted(count) => {
                    tracing::info!("consul: {service}: the loss of {count} instances is believed now");
                }
            }
        }
        if more > 0 {
            tracing::info!(service, more, "consul: {service}: and {more} more changes");
        }
    }

    fn why(&self, reason: EligibilityReason) -> String {
        let left = |until: u64| until.saturating_sub(self.answered.now()).div_ceil(1000);
        match reason {
            EligibilityReason::Listed => "it is listed".into(),
            EligibilityReason::Unhealthy(health) => format!("it is {}", health.name()),
            EligibilityReason::Flapping(until) => {
                format!("it comes and goes, and is held for {} s", left(until))
            }
            EligibilityReason::DuplicateAddress => "another instance has its address".into(),
            EligibilityReason::ZeroWeight => "its weight is 0".into(),
            EligibilityReason::Retained(until) => {
                format!("it vanished with many, and is kept for {} s", left(until))
            }
            EligibilityReason::Deregistered => "it is no longer listed".into(),
        }
    }

    /// The service's name.
    pub fn service(&self) -> &str {
        &self.watched.service
    }

    /// For each instance its id and number, a word on where it stands, and whether it takes work; and where the list
    /// comes from with its age.
    pub fn status(&self) -> (Vec<(String, u32, String, bool)>, String) {
        let state = held(&self.state);
        let entry = |e: &catalogue::Endpoint| {
            let word = match e.reason {
                EligibilityReason::Listed => e.instance.health.name().to_owned(),
                other => self.why(other),
            };
            (e.instance.id.clone(), e.number, word, e.eligible)
        };
        let age =
            state.heard.map_or(String::new(), |at| format!(", last answer {} s ago", at.elapsed().as_secs()));
        (state.view.endpoints.iter().map(entry).collect(), format!("{}{age}", state.origin))
    }
}

/// Numbers that each service has to itself.
pub const NUMBERS_PER_SERVICE: u32 = 1 << 26;
