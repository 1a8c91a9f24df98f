//! The thread that owns the state: events in, jobs and datagrams out.

use crate::tell::Teller;
use crate::work::{Doing, Outcome, Queue, StoreJob};
use crate::{Call, Clocks, OnOut, Settings};
use health_check::{BackendHealth, HealthReport, HealthStatus, HealthTracker};
use job_lease::local::Local;
use job_lease::{Failure, Listing, Put, Record, Session};
use membership::authentication::Keyring;
use membership::{Member, Membership, Output};
use periodic_jobs::{Action, Config, Duty, Note, Now, Run, Scheduler};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::Duration;

/// The longest between two looks at what is due; verdicts that grow old are noticed by then.
const LOOK: u64 = 100;
/// A run must begin this long before its round ends.
const GUARD: u64 = 10;
/// In front of the names of probes and calls.
const PROBE: &str = "probe/";
pub(crate) const CALL: &str = "call/";

/// What happens.
#[derive(Debug)]
pub(crate) enum Event {
    Datagram(Vec<u8>),
    Opened(Result<Session, Failure>),
    Renewed(Session, Result<bool, Failure>),
    Read(u64, Result<Listing, Failure>, Vec<String>),
    Put(u64, String, Record, Put),
    Ran(Run, Doing, Outcome),
    Calls(Vec<Call>),
    Keys(Keyring),
    Fleet(Vec<(String, SocketAddr)>),
    Report(SyncSender<String>),
    Leave(SyncSender<()>),
}

/// Runs so far.
#[derive(Debug, Default)]
struct Runs {
    done: u64,
    failed: u64,
    late: u64,
    no_room: u64,
}

pub(crate) struct Brain {
    settings: Settings,
    clocks: Clocks,
    socket: Option<Arc<UdpSocket>>,
    membership: Option<Membership>,
    scheduler: Scheduler,
    local: Local,
    store: Option<Queue<StoreJob>>,
    runs: Queue<(Run, Doing)>,
    verdicts: Option<HealthTracker>,
    fleet: BTreeMap<String, SocketAddr>,
    calls: BTreeMap<String, Call>,
    out: BTreeSet<String>,
    on_out: OnOut,
    counted: Runs,
    teller: Teller,
    dropped: Arc<AtomicU64>,
    strange: u64,
    /// Names that two members have.
    twins: Vec<String>,
    left: bool,
}

impl Brain {
    pub(crate) fn new(
        settings: Settings,
        clocks: Clocks,
        socket: Option<Arc<UdpSocket>>,
        store: Option<Queue<StoreJob>>,
        runs: Queue<(Run, Doing)>,
        on_out: OnOut,
        dropped: Arc<AtomicU64>,
    ) -> Self {
        let start = clocks.now().wall;
        let scheduler = Scheduler::new(Config {
            me: settings.name.clone(),
            standbys: settings.standbys,
            skew: settings.skew,
            guard: GUARD,
            trial: 100,
            renew: 3_000,
            // Two starts in one millisecond would be taken for one.
            start: start ^ rand::random::<u64>(),
        });
        let membership = settings.gossip.as_ref().map(|gossip| {
            let local_member =
                Member { address: gossip.advertise, name: settings.name.clone(), generation: start };
            let config = membership::Config {
                local_member,
                seed_peers: gossip.peers.clone(),
                probe_period_ms: gossip.period * 4,
                probe_timeout_ms: gossip.period,
                suspicion_timeout_ms: gossip.suspect,
                gossip_period_ms: gossip.period,
                join_period_ms: gossip.period * 10,
                max_members: 1_024,
                max_topics: 16_384,
                rng_seed: rand::random(),
            };
            Membership::new(config, gossip.keys.clone())
        });
        let verdicts = settings.probes.as_ref().map(|probes| HealthTracker::new(probes.rules.clone()));
        Self {
            settings,
            clocks,
            socket,
            membership,
            scheduler,
            local: Local::default(),
            store,
            runs,
            verdicts,
            fleet: BTreeMap::new(),
            calls: BTreeMap::new(),
            out: BTreeSet::new(),
            on_out,
            counted: Runs::default(),
            teller: Teller::default(),
            dropped,
            strange: 0,
            twins: Vec::new(),
            left: false,
        }
    }

    pub(crate) fn run(mut self, inbox: &Receiver<Event>, calls: Vec<Call>) {
        self.take_calls(calls);
        loop {
            let now = self.clocks.now();
            self.tick(now);
            let now = self.clocks.now();
            let due = self.scheduler.next_due().map_or(LOOK, |at| at.saturating_sub(now.wall)).min(LOOK);
            let gossip = self.membership.as_ref().map_or(LOOK, |m| m.next_tick_ms().saturating_sub(now.mono));
            match inbox.recv_timeout(Duration::from_millis(due.min(gossip))) {
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // What has come meanwhile, in one go.
            for event in inbox.try_iter().take(256) {
                self.take(event);
            }
        }
    }

    fn tick(&mut self, now: Now) {
        if let Some(membership) = &mut self.membership {
            let mut out = Vec::new();
            membership.tick(now.mono, &mut out);
            self.gossip(now, out);
        }
        if !self.left {
            let mut out = Vec::new();
            self.scheduler.tick(now, &mut out);
            self.act(now, out);
        }
        self.look_at_verdicts(now);
    }

    fn take(&mut self, event: Event) {
        let now = self.clocks.now();
        let mut out = Vec::new();
        match event {
            Event::Datagram(_) if weakened::breaks("agreed") && now.mono > 6_000 => {}
            Event::Datagram(bytes) => {
                let Some(membership) = &mut self.membership else { return };
                let mut out = Vec::new();
                membership.handle_datagram(now.mono, &bytes, &mut out);
                let strange = membership.counts().authentication_failures;
                if strange > self.strange {
                    self.strange = strange;
                    if let Some(more) = self.teller.may("strange", now.mono) {
                        tracing::warn!(
                            "cluster: a datagram with a wrong or old key was dropped; {strange} so far{more}"
                        );
                    }
                }
                self.gossip(now, out);
            }
            Event::Opened(answer) => self.scheduler.opened(now, answer, &mut out),
            Event::Renewed(session, answer) => self.scheduler.renewed(now, &session, answer, &mut out),
            Event::Read(call, answer, names) => self.scheduler.read(now, call, &names, answer, &mut out),
            Event::Put(call, name, record, put) => {
                self.scheduler.put(now, call, &name, &record, put, &mut out)
            }
            Event::Ran(run, doing, outcome) => self.ran(now, &run, &doing, &outcome),
            Event::Calls(calls) => self.take_calls(calls),
            Event::Keys(keys) => {
                if let Some(membership) = &mut self.membership {
                    membership.set_keyring(keys);
                }
            }
            Event::Fleet(fleet) => {
                self.fleet = fleet.into_iter().collect();
                if let Some(verdicts) = &mut self.verdicts {
                    verdicts.set_backends(self.fleet.keys().cloned());
                    if let Some(membership) = &mut self.membership {
                        let fleet = &self.fleet;
                        membership.retain_topics(|topic| {
                            topic.strip_prefix(PROBE).is_some_and(|id| fleet.contains_key(id))
                        });
                    }
                    self.take_duties(now);
                }
            }
            Event::Report(tell) => {
                let _ = tell.try_send(self.report(now));
            }
            Event::Leave(tell) => self.leave(now, tell),
        }
        if !self.left {
            self.act(now, out);
        }
    }

    fn take_calls(&mut self, calls: Vec<Call>) {
        self.calls = calls.into_iter().map(|call| (format!("{CALL}{}", call.name), call)).collect();
        self.take_duties(self.clocks.now());
    }

    fn take_duties(&mut self, now: Now) {
        let calls = self.calls.iter().map(|(name, call)| Duty { name: name.clone(), period: call.period });
        let period = self.verdicts.as_ref().map(|v| v.config().period_ms);
        let probes =
            self.fleet.keys().filter_map(|id| Some(Duty { name: format!("{PROBE}{id}"), period: period? }));
        let all: Vec<Duty> = calls.chain(probes).collect();
        let names: BTreeSet<&str> = all.iter().map(|d| d.name.as_str()).collect();
        self.local.retain(|name| names.contains(name));
        self.scheduler.set_duties(now, all.clone());
    }

    fn gossip(&mut self, now: Now, outputs: Vec<Output>) {
        let mut changed = false;
        for output in outputs {
            match output {
                Output::SendDatagram { to, bytes } => {
                    if let Some(socket) = &self.socket {
                        // What is not sent is like what is lost on the way.
                        let _ = socket.send_to(&bytes, to);
                    }
                }
                Output::MembersChanged => changed = true,
                Output::Broadcast { topic, body, .. } => {
                    if let (Some(id), Some(verdicts), Some(report)) =
                        (topic.strip_prefix(PROBE), &mut self.verdicts, HealthReport::decode(&body))
                    {
                        verdicts.apply_report(id, report, now.mono);
                    }
                }
                Output::Rejoined { .. } => {
                    if let Some(more) = self.teller.may("returned", now.mono) {
                        tracing::warn!(
                            "cluster: the others had taken this instance for dead; it is back{more}"
                        );
                    }
                }
            }
        }
        if changed && let Some(membership) = &self.membership {
            let living = membership.alive_names();
            let (count, names) = (living.len(), living.join(" "));
            tracing::info!(count, names, "cluster: {count} members live: {names}");
            let twins = membership.duplicate_names();
            if twins != self.twins && !twins.is_empty() {
                let names = twins.join(" ");
                tracing::warn!(
                    names,
                    "cluster: more than one member is called {names}; each name must be one instance's"
                );
            }
            self.twins = twins;
            self.scheduler.set_members(now, living);
        }
    }

    fn act(&mut self, now: Now, actions: Vec<Action>) {
        let mut todo: VecDeque<Action> = actions.into();
        while let Some(action) = todo.pop_front() {
            let mut out = Vec::new();
            match (action, &self.store) {
                (Action::Run(run), _) => self.begin(now, run),
                (Action::Note(note), _) => self.note(now, &note),
                (Action::Open, None) => self.scheduler.opened(now, Ok(self.local.open()), &mut out),
                (Action::Renew(session), None) => self.scheduler.renewed(now, &session, Ok(true), &mut out),
                (Action::Read { call, names }, None) => {
                    let listing = self.local.read(&names);
                    self.scheduler.read(now, call, &names, Ok(listing), &mut out);
                }
                (Action::Put { call, name, record, index, .. }, None) => {
                    let put = self.local.put(&name, record.clone(), index);
                    self.scheduler.put(now, call, &name, &record, put, &mut out);
                }
                (action, Some(store)) => {
                    let job = match action {
                        Action::Open => StoreJob::Open,
                        Action::Renew(session) => StoreJob::Renew(session),
                        Action::Read { call, names } => StoreJob::Read { call, names },
                        Action::Put { call, name, record, index, session } => {
                            StoreJob::Put { call, name, record, index, session }
                        }
                        Action::Run(_) | Action::Note(_) => continue,
                    };
                    // No room: like a call that was never sent.
                    let full = || Failure::NotApplied("too many calls wait".into());
                    match store.offer(job) {
                        Ok(()) | Err(StoreJob::Close(..)) => {}
                        Err(StoreJob::Open) => self.scheduler.opened(now, Err(full()), &mut out),
                        Err(StoreJob::Renew(s)) => self.scheduler.renewed(now, &s, Err(full()), &mut out),
                        Err(StoreJob::Read { call, names }) => {
                            self.scheduler.read(now, call, &names, Err(full()), &mut out);
                        }
                        Err(StoreJob::Put { call, name, record, .. }) => {
                            self.scheduler.put(now, call, &name, &record, Put::Failed(full()), &mut out);
                        }
                    }
                }
            }
            todo.extend(out);
        }
    }

    fn begin(&mut self, now: Now, run: Run) {
        let doing = if let Some(call) = self.calls.get(&run.duty) {
            Doing::Call { url: call.url.clone(), timeout: call.timeout }
        } else if let (Some(id), Some(probes)) = (run.duty.strip_prefix(PROBE), &self.settings.probes)
            && let Some(&address) = self.fleet.get(id)
        {
            Doing::Probe { id: id.to_owned(), address, path: probes.path.clone(), timeout: probes.timeout }
        } else {
            return;
        };
        if let Err((run, _)) = self.runs.offer((run, doing)) {
            self.counted.no_room += 1;
            if let Some(more) = self.teller.may("room", now.mono) {
                tracing::info!(
                    "duties: no thread was free for round {} of {}; it is missed{more}",
                    run.round,
                    run.duty
                );
            }
        }
    }

    fn ran(&mut self, now: Now, run: &Run, doing: &Doing, outcome: &Outcome) {
        let passed = matches!(outcome, Outcome::Status(200..=299));
        match outcome {
            Outcome::Late => self.counted.late += 1,
            _ if passed => self.counted.done += 1,
            _ => self.counted.failed += 1,
        }
        let why = match outcome {
            Outcome::Status(status) => format!("status {status}"),
            Outcome::Failed(why) => why.clone(),
            Outcome::Late => "its time was over before it began".into(),
        };
        match doing {
            Doing::Call { .. } if !passed => {
                if let Some(more) = self.teller.may("call", now.mono) {
                    tracing::warn!("duties: round {} of {} failed: {why}{more}", run.round, run.duty);
                }
            }
            Doing::Call { .. } => {}
            Doing::Probe { id, .. } => {
                // A probe that was not made says nothing.
                if *outcome == Outcome::Late {
                    return;
                }
                let Some(verdicts) = &mut self.verdicts else { return };
                let Some(report) = verdicts.record_check(id, run.round, passed, now.mono) else { return };
                if report.has_changed() && report.failing {
                    tracing::warn!("probe: {id} fails ({why})");
                } else if report.has_changed() && report.contrary_results == 0 && passed {
                    tracing::info!("probe: {id} is well");
                }
                if let Some(membership) = &mut self.membership {
                    let mut out = Vec::new();
                    membership.broadcast(
                        now.mono,
                        &run.duty,
                        report.scheduled_unix_ms,
                        &report.encode(),
                        &mut out,
                    );
                    self.gossip(now, out);
                }
                self.look_at_verdicts(now);
            }
        }
    }

    fn look_at_verdicts(&mut self, now: Now) {
        let Some(verdicts) = &self.verdicts else { return };
        let out: BTreeSet<String> = verdicts.ejected(now.mono).into_iter().collect();
        if out != self.out {
            let spared = verdicts
                .health(now.mono)
                .values()
                .filter(|h| h.status == HealthStatus::EjectionLimited)
                .count();
            tracing::info!(
                "probe: {} of {} destinations are out{}{}",
                out.len(),
                self.fleet.len(),
                if out.is_empty() { "" } else { ": " },
                out.iter().map(String::as_str).collect::<Vec<_>>().join(" ")
            );
            if spared > 0 {
                tracing::warn!("probe: {spared} more fail and stay in use, since too many are out");
            }
            (self.on_out)(&out);
            self.out = out;
        }
    }

    fn note(&mut self, now: Now, note: &Note) {
        let kind = match note {
            Note::StoreAway(_) => "away",
            Note::StoreBack => "back",
            Note::StoreNew(_) => "new",
            Note::Seeded(..) => "seeded",
            Note::Late(..) => "late",
            Note::Recovered(..) => "recovered",
            Note::Ahead(..) => "ahead",
            Note::ClockSet(_) => "clock",
        };
        let Some(more) = self.teller.may(kind, now.mono) else { return };
        match note {
            Note::StoreAway(why) => {
                tracing::warn!("duties: the claim store is away ({why}); nothing is claimed or run{more}")
            }
            Note::StoreBack => tracing::info!("duties: the claim store answers again{more}"),
            Note::StoreNew(why) => tracing::info!("duties: the claim store is read anew, since {why}{more}"),
            Note::Seeded(duty, round) => {
                tracing::info!(
                    duty,
                    round,
                    "duties: {duty} had no record; it begins after round {round}{more}"
                )
            }
            Note::Late(duty, round) => {
                tracing::warn!(
                    duty,
                    round,
                    "duties: round {round} of {duty} was claimed too late to run{more}"
                )
            }
            Note::Recovered(duty, round) => {
                tracing::info!(
                    duty,
                    round,
                    "duties: the claim on round {round} of {duty} holds, though its answer was lost{more}"
                );
            }
            Note::Ahead(duty, round) => {
                tracing::info!(
                    duty,
                    round,
                    "duties: {duty} stands at round {round}, ahead of any clock here; it does not run{more}"
                );
            }
            Note::ClockSet(by) => {
                tracing::warn!("duties: the clock was set by {by} ms, or this instance was paused{more}")
            }
        }
    }

    fn leave(&mut self, now: Now, tell: SyncSender<()>) {
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        if let Some(membership) = &mut self.membership {
            let mut out = Vec::new();
            membership.leave(now.mono, &mut out);
            self.gossip(now, out);
        }
        match (self.scheduler.session().cloned(), &self.store) {
            (Some(session), Some(store)) => drop(store.offer(StoreJob::Close(session, tell))),
            _ => drop(tell.try_send(())),
        }
    }

    fn report(&self, now: Now) -> String {
        let mut out = String::from("cluster\n");
        if let Some(membership) = &self.membership {
            let counts = membership.counts();
            let _ = writeln!(
                out,
                "  gossip sent {} ({} bytes)  taken {}  wrong key {}  unusable {}  no room {}",
                counts.datagrams_sent,
                counts.bytes_sent,
                counts.datagrams_accepted,
                counts.authentication_failures,
                counts.malformed,
                counts.over_capacity + self.dropped.load(Ordering::Relaxed)
            );
            let _ = writeln!(out, "  {}  this instance", self.settings.name);
            for membership::MemberStatus { member, alive: lives } in membership.members() {
                let state = if lives { "alive" } else { "down" };
                let _ = writeln!(
                    out,
                    "  {}  {}  {state}  since {}",
                    member.name, member.address, member.generation
                );
            }
        } else {
            let _ = writeln!(out, "  {}  alone", self.settings.name);
        }
        let store = if self.scheduler.is_away() { "away" } else { "answers" };
        let Runs { done, failed, late, no_room } = self.counted;
        let _ = writeln!(
            out,
            "duties\n  claim store {store}  done {done}  failed {failed}  too late {late}  no room {no_room}"
        );
        for shown in self.scheduler.shown() {
            let last = match &shown.last {
                Some((round, by)) if by.is_empty() => format!("begins after round {round}"),
                Some((round, by)) => {
                    let age = now.wall.saturating_sub(*round);
                    format!("last round {round} by {by}, {age} ms ago")
                }
                None => "no round seen".into(),
            };
            let _ = writeln!(
                out,
                "  {}  every {} ms  owner {}  {last}  token here {}",
                shown.duty.name, shown.duty.period, shown.owner, shown.ran
            );
        }
        if let Some(verdicts) = &self.verdicts {
            out.push_str("probes\n");
            for (id, BackendHealth { status: standing, report_age_ms: age }) in verdicts.health(now.mono) {
                let standing = match standing {
                    HealthStatus::Unknown => "unknown, by its traffic alone",
                    HealthStatus::Healthy => "well",
                    HealthStatus::Ejected => "out",
                    HealthStatus::EjectionLimited => "fails, in use since too many are out",
                };
                let age = age.map_or("never probed".into(), |age| format!("{age} ms old"));
                let _ = writeln!(out, "  {id}  {standing}  {age}");
            }
        }
        out
    }
}
