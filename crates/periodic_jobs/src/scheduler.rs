//! The scheduler of one instance.

use crate::ranks::{Members, Top, hash};
use crate::{Duty, Now, Run, round_at};
use job_lease::{Failure, Held, Listing, Put, Record, Session, Step, Want, step};
use std::collections::{BTreeSet, HashMap};

/// Failed calls in a row after which the store counts as away.
const AWAY_AFTER: u32 = 2;
/// A clock that has moved this much against the other was set.
const SET: u64 = 250;
/// Claims on one round that may be lost before it is left: another instance is at work on it.
const MOST_LOST: u8 = 3;

/// How an instance works.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Its own name.
    pub me: String,
    /// Members that step in behind the first.
    pub standbys: usize,
    /// The most milliseconds that two instances' clocks may differ.
    pub skew: u64,
    /// A run must begin this many milliseconds before its round ends.
    pub guard: u64,
    /// Milliseconds between two calls while the store is away.
    pub trial: u64,
    /// Milliseconds between two renewals of the session.
    pub renew: u64,
    /// Different at each start of the program: claims from before a restart are not this one's.
    pub start: u64,
}

/// What the scheduler wants done. Each call to the store is answered by the method of the same name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a session: [`Scheduler::opened`].
    Open,
    /// Renew it: [`Scheduler::renewed`].
    Renew(Session),
    /// Read the records of these duties: [`Scheduler::read`].
    Read {
        /// Returned with the answer.
        call: u64,
        /// The duties.
        names: Vec<String>,
    },
    /// Claim a round, or seed its key: [`Scheduler::put`].
    Put {
        /// Returned with the answer.
        call: u64,
        /// The duty.
        name: String,
        /// What to write.
        record: Record,
        /// Where the key's index is still this one; 0 for no key.
        index: u64,
        /// In this session.
        session: Session,
    },
    /// Do a round.
    Run(Run),
    /// Something to tell.
    Note(Note),
}

/// What a person may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The store does not answer: nothing is claimed and nothing run.
    StoreAway(String),
    /// It answers again.
    StoreBack,
    /// It lost its session or went back in time; all keys are read anew.
    StoreNew(&'static str),
    /// A duty's key was made, with all rounds up to this one settled unrun.
    Seeded(String, u64),
    /// A round was claimed, but too late to run it.
    Late(String, u64),
    /// A claim's answer was lost, and it was found to hold.
    Recovered(String, u64),
    /// The record says a round further ahead than any clock within the bound: some clock is wrong.
    Ahead(String, u64),
    /// The wall clock was set by so many milliseconds.
    ClockSet(i64),
}

/// A duty as the console shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shown {
    /// The duty.
    pub duty: Duty,
    /// Who comes first for it.
    pub owner: String,
    /// This instance's place in the order.
    pub rank: Option<usize>,
    /// The last round that was seen to be claimed, and by whom.
    pub last: Option<(u64, String)>,
    /// The last round that ran here.
    pub ran: u64,
}

#[derive(Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Reading(u64),
    Putting(u64, bool),
    /// A claim may hold: it is read before anything else is done.
    Doubt(u64),
}

#[derive(Debug)]
struct Entry {
    duty: Duty,
    hash: u64,
    top: Top,
    stage: Stage,
    /// The round in hand.
    round: u64,
    /// All rounds up to it are settled.
    settled: u64,
    /// What stands under the key, as far as this is known.
    known: Option<Held>,
    last: Option<(u64, String)>,
    ran: u64,
    lost: u8,
    /// When it is next looked at, in Unix milliseconds.
    due: Option<u64>,
}

/// The scheduler.
#[derive(Debug)]
pub struct Scheduler {
    config: Config,
    me: u64,
    members: Members,
    entries: Vec<Entry>,
    by_name: HashMap<String, usize>,
    queue: BTreeSet<(u64, usize)>,
    session: Option<Session>,
    opening: bool,
    renewing: bool,
    renewed: u64,
    /// Calls of an earlier session are told by their number.
    first_call: u64,
    calls: u64,
    failures: u32,
    away: bool,
    tried: u64,
    index: u64,
    clocks: Option<Now>,
}

impl Scheduler {
    /// A scheduler without duties, which knows itself only.
    pub fn new(config: Config) -> Self {
        let mut members = Members::default();
        members.set([config.me.clone()]);
        Self {
            me: hash(&config.me),
            config,
            members,
            entries: Vec::new(),
            by_name: HashMap::new(),
            queue: BTreeSet::new(),
            session: None,
            opening: false,
            renewing: false,
            renewed: 0,
            first_call: 0,
            calls: 0,
            failures: 0,
            away: false,
            tried: 0,
            index: 0,
            clocks: None,
        }
    }

    /// Replaces the duties. Those that stay as they are keep what is known of them.
    pub fn set_duties(&mut self, now: Now, duties: Vec<Duty>) {
        let mut before: HashMap<String, Entry> =
            std::mem::take(&mut self.entries).into_iter().map(|e| (e.duty.name.clone(), e)).collect();
        self.by_name.clear();
        self.queue.clear();
        for duty in duties {
            if duty.period == 0 || self.by_name.contains_key(&duty.name) {
                continue;
            }
            let mut entry = before.remove(&duty.name).unwrap_or_else(|| {
                let hash = hash(&duty.name);
                let mut top = Top::default();
                top.build(hash, &self.members, self.config.standbys + 1);
                Entry {
                    duty: duty.clone(),
                    hash,
                    top,
                    stage: Stage::Idle,
                    round: 0,
                    settled: 0,
                    known: None,
                    last: None,
                    ran: 0,
                    lost: 0,
                    due: None,
                }
            });
            entry.duty = duty;
            entry.due = None;
            self.by_name.insert(entry.duty.name.clone(), self.entries.len());
            self.entries.push(entry);
        }
        self.plan_all(now);
    }

    /// Replaces the living members; this instance always counts as one.
    pub fn set_members(&mut self, now: Now, names: impl IntoIterator<Item = String>) {
        let me = self.config.me.clone();
        let (new, gone) = self.members.set(names.into_iter().chain([me]));
        if new.is_empty() && gone.is_empty() {
            return;
        }
        let most = self.config.standbys + 1;
        for i in 0..self.entries.len() {
            let entry = &mut self.entries[i];
            if entry.top.change(entry.hash, &self.members, &new, &gone, most) {
                self.plan(i, now);
            }
        }
    }

    /// When [`Scheduler::tick`] wants to be called, in Unix milliseconds.
    pub fn next_due(&self) -> Option<u64> {
        self.queue.first().map(|&(at, _)| at)
    }

    /// What stands where, for the console.
    pub fn shown(&self) -> Vec<Shown> {
        let shown = |e: &Entry| Shown {
            duty: e.duty.clone(),
            owner: e.top.first().and_then(|m| self.members.name(m)).unwrap_or_default().to_owned(),
            rank: e.top.rank(self.me),
            last: e.last.clone(),
            ran: e.ran,
        };
        self.entries.iter().map(shown).collect()
    }

    /// Whether the store counts as away.
    pub fn is_away(&self) -> bool {
        self.away
    }

    /// The session, to be closed at the end.
    pub fn session(&self) -> Option<&Session> {
        self.session.as_ref()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Now, out: &mut Vec<Action>) {
        self.look_at_clocks(now, out);
        if self.entries.is_empty() {
            return;
        }
        if let Some(session) = &self.session
            && !self.renewing
            && now.mono >= self.renewed + self.config.renew
        {
            self.renewing = true;
            out.push(Action::Renew(session.clone()));
        }
        let mut reads = Vec::new();
        while let Some(&(at, i)) = self.queue.first() {
            if at > now.wall {
                break;
            }
            self.queue.pop_first();
            self.entries[i].due = None;
            self.attempt(i, now, &mut reads, out);
        }
        if !reads.is_empty() {
            let call = self.next_call();
            let names = reads.iter().map(|&i| self.entries[i].duty.name.clone()).collect();
            for i in reads {
                let stage = &mut self.entries[i].stage;
                *stage = if let Stage::Doubt(_) = stage { Stage::Doubt(call) } else { Stage::Reading(call) };
            }
            out.push(Action::Read { call, names });
        }
    }

    fn next_call(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }

    fn look_at_clocks(&mut self, now: Now, out: &mut Vec<Action>) {
        if let Some(before) = self.clocks.replace(now) {
            let wall = now.wall as i64 - before.wall as i64;
            let mono = now.mono.saturating_sub(before.mono) as i64;
            if wall.abs_diff(mono) > SET {
                out.push(Action::Note(Note::ClockSet(wall - mono)));
                self.plan_all(now);
            }
        }
    }

    fn plan_all(&mut self, now: Now) {
        for i in 0..self.entries.len() {
            self.plan(i, now);
        }
    }

    fn queue_at(&mut self, i: usize, at: u64) {
        let entry = &mut self.entries[i];
        if let Some(before) = entry.due.replace(at) {
            self.queue.remove(&(before, i));
        }
        self.queue.insert((at, i));
    }

    /// The span between the tries of two members that follow each other. The last try leaves time to run.
    fn stagger(&self, period: u64) -> u64 {
        (period * 3 / 5 / (self.config.standbys as u64 + 1)).max(1)
    }

    /// Sets the next look at a duty: at this instance's place in the first round that is not settled.
    fn plan(&mut self, i: usize, now: Now) {
        let entry = &mut self.entries[i];
        if entry.stage != Stage::Idle {
            return;
        }
        let Some(rank) = entry.top.rank(self.me) else {
            if let Some(before) = entry.due.take() {
                self.queue.remove(&(before, i));
            }
            return;
        };
        let period = entry.duty.period;
        let mut round = round_at(&entry.duty, now.wall);
        if entry.settled >= round {
            round = round_at(&entry.duty, entry.settled) + period;
        }
        let stagger = self.stagger(period);
        let mut at = round + rank as u64 * stagger;
        if rank > 0 {
            // Looks that fall close together share one read.
            let grid = (stagger / 2).max(1);
            at = at.div_ceil(grid) * grid;
        }
        self.queue_at(i, at.max(now.wall));
    }

    /// Comes back to a duty in the same round, a little later.
    fn again(&mut self, i: usize, now: Now) {
        let stagger = self.stagger(self.entries[i].duty.period);
        self.queue_at(i, now.wall + stagger);
    }

    fn attempt(&mut self, i: usize, now: Now, reads: &mut Vec<usize>, out: &mut Vec<Action>) {
        let round = round_at(&self.entries[i].duty, now.wall);
        let entry = &mut self.entries[i];
        match entry.stage {
            Stage::Idle => {
                if entry.settled >= round || entry.top.rank(self.me).is_none() {
                    self.plan(i, now);
                    return;
                }
                if entry.round != round {
                    entry.round = round;
                    entry.lost = 0;
                }
            }
            Stage::Doubt(_) if entry.round == round => {}
            // The round in doubt is over: whether it was claimed no longer matters, since it may not run.
            Stage::Doubt(_) => {
                entry.stage = Stage::Idle;
                entry.settled = entry.settled.max(entry.round);
                entry.known = None;
                self.plan(i, now);
                return;
            }
            // Its answer goes on with it.
            Stage::Reading(_) | Stage::Putting(..) => return,
        }
        if self.session.is_none() {
            if !self.opening && (!self.away || now.mono >= self.tried + self.config.trial) {
                self.opening = true;
                self.tried = now.mono;
                out.push(Action::Open);
            }
            self.again(i, now);
            return;
        }
        if self.away {
            if now.mono < self.tried + self.config.trial {
                self.again(i, now);
                return;
            }
            self.tried = now.mono;
        }
        let entry = &self.entries[i];
        let in_doubt = matches!(entry.stage, Stage::Doubt(_));
        match &entry.known {
            // Who comes first need not read what it wrote itself. Everybody else looks first.
            Some(_) if !in_doubt && !self.away && entry.top.rank(self.me) == Some(0) => {
                self.decide(i, now, out)
            }
            _ => reads.push(i),
        }
    }

    fn want(&self, i: usize, now: Now) -> Want {
        let entry = &self.entries[i];
        // Never 0, and never that of another start.
        let id = hash(&format!("{}/{}/{}", self.config.me, self.config.start, entry.round)) | 1;
        Want { round: entry.round, id, seed: round_at(&entry.duty, now.wall + self.config.skew) }
    }

    /// Goes on by what is known of the key.
    fn decide(&mut self, i: usize, now: Now, out: &mut Vec<Action>) {
        let want = self.want(i, now);
        let entry = &mut self.entries[i];
        let mut is_news = false;
        if let Some(held) = &entry.known {
            let last = Some((held.record.round, held.record.by.clone()));
            is_news = entry.last != last;
            entry.last = last;
        }
        if round_at(&entry.duty, now.wall) != want.round {
            // The answer took longer than the round.
            entry.stage = Stage::Idle;
            self.plan(i, now);
            return;
        }
        let (record, index) = match step(&entry.known, &want) {
            Step::Taken => {
                let settled = entry.known.as_ref().map_or(0, |h| h.record.round);
                let ahead = settled > now.wall + entry.duty.period + 2 * self.config.skew;
                if ahead && is_news {
                    out.push(Action::Note(Note::Ahead(entry.duty.name.clone(), settled)));
                }
                // A record that no clock within the bound can have made is looked at again in each round.
                entry.settled = if ahead { want.round } else { settled };
                entry.stage = Stage::Idle;
                self.plan(i, now);
                return;
            }
            Step::Mine => {
                out.push(Action::Note(Note::Recovered(entry.duty.name.clone(), want.round)));
                self.begin(i, now, out);
                return;
            }
            Step::Seed => (want.seed(), 0),
            Step::Put { index } => (want.claim(&self.config.me), index),
        };
        let Some(session) = self.session.clone() else {
            entry.stage = Stage::Idle;
            self.again(i, now);
            return;
        };
        let call = self.next_call();
        let entry = &mut self.entries[i];
        entry.stage = Stage::Putting(call, record.id == 0);
        out.push(Action::Put { call, name: entry.duty.name.clone(), record, index, session });
    }

    /// The claim holds.
    fn begin(&mut self, i: usize, now: Now, out: &mut Vec<Action>) {
        let entry = &mut self.entries[i];
        entry.stage = Stage::Idle;
        entry.settled = entry.settled.max(entry.round);
        entry.last = Some((entry.round, self.config.me.clone()));
        let end = (entry.round + entry.duty.period).saturating_sub(self.config.guard);
        if entry.round > entry.ran && now.wall < end {
            entry.ran = entry.round;
            out.push(Action::Run(Run {
                duty: entry.duty.name.clone(),
                round: entry.round,
                before_wall: end,
                before_mono: now.mono + (end - now.wall),
            }));
        } else if entry.round > entry.ran {
            out.push(Action::Note(Note::Late(entry.duty.name.clone(), entry.round)));
        }
        self.plan(i, now);
    }

    /// Nothing known of the store's keys holds any longer.
    fn forget(&mut self, now: Now, out: &mut Vec<Action>, why: &'static str) {
        if self.session.take().is_some() {
            out.push(Action::Note(Note::StoreNew(why)));
        }
        self.first_call = self.calls + 1;
        self.index = 0;
        for i in 0..self.entries.len() {
            let entry = &mut self.entries[i];
            entry.known = None;
            // A claim that was under way is void or stands under its id: both are seen by reading.
            entry.stage = match entry.stage {
                Stage::Putting(call, false) | Stage::Doubt(call) => Stage::Doubt(call),
                _ => Stage::Idle,
            };
            if entry.top.rank(self.me).is_some() {
                self.queue_at(i, now.wall);
            }
        }
    }

    fn failed(&mut self, failure: &Failure, out: &mut Vec<Action>) {
        self.failures += 1;
        if self.failures >= AWAY_AFTER && !self.away {
            self.away = true;
            out.push(Action::Note(Note::StoreAway(failure.reason().to_owned())));
        }
    }

    fn answered(&mut self, out: &mut Vec<Action>) {
        self.failures = 0;
        if std::mem::take(&mut self.away) {
            out.push(Action::Note(Note::StoreBack));
        }
    }

    /// A session was made, or not.
    pub fn opened(&mut self, now: Now, answer: Result<Session, Failure>, out: &mut Vec<Action>) {
        self.opening = false;
        match answer {
            Ok(session) => {
                self.session = Some(session);
                self.renewing = false;
                self.renewed = now.mono;
                self.answered(out);
                self.tick(now, out);
            }
            Err(failure) => self.failed(&failure, out),
        }
    }

    /// A session was renewed, or is gone.
    pub fn renewed(
        &mut self,
        now: Now,
        session: &Session,
        answer: Result<bool, Failure>,
        out: &mut Vec<Action>,
    ) {
        if self.session.as_ref() != Some(session) {
            return;
        }
        self.renewing = false;
        match answer {
            Ok(true) => self.renewed = now.mono,
            Ok(false) => self.forget(now, out, "the session is gone"),
            Err(failure) => {
                // Tried again soon; a session that ends meanwhile is noticed by the next claim.
                self.renewed = now.mono.saturating_sub(self.config.renew * 9 / 10);
                self.failed(&failure, out);
            }
        }
    }

    /// What a read found, or why it did not.
    pub fn read(
        &mut self,
        now: Now,
        call: u64,
        names: &[String],
        answer: Result<Listing, Failure>,
        out: &mut Vec<Action>,
    ) {
        let current = call >= self.first_call;
        match &answer {
            Ok(listing) if current => {
                self.answered(out);
                if listing.index > 0 && listing.index < self.index {
                    self.forget(now, out, "its index went back");
                    return;
                }
                self.index = self.index.max(listing.index);
            }
            // Told before the store came back empty.
            Ok(_) => return,
            Err(failure) => self.failed(failure, out),
        }
        let waits = |e: &Entry| e.stage == Stage::Reading(call) || e.stage == Stage::Doubt(call);
        match answer {
            Ok(listing) => {
                for (name, found) in listing.held {
                    let Some(&i) = self.by_name.get(&name) else { continue };
                    if waits(&self.entries[i]) {
                        self.entries[i].known = found;
                        self.decide(i, now, out);
                    }
                }
            }
            Err(_) => {
                for name in names {
                    let Some(&i) = self.by_name.get(name) else { continue };
                    if waits(&self.entries[i]) {
                        if let Stage::Reading(_) = self.entries[i].stage {
                            self.entries[i].stage = Stage::Idle;
                        }
                        self.again(i, now);
                    }
                }
            }
        }
    }

    /// What came of a claim.
    pub fn put(
        &mut self,
        now: Now,
        call: u64,
        name: &str,
        record: &Record,
        answer: Put,
        out: &mut Vec<Action>,
    ) {
        let Some(&i) = self.by_name.get(name) else { return };
        let Stage::Putting(waits, seeds) = self.entries[i].stage else { return };
        if waits != call {
            return;
        }
        let entry = &mut self.entries[i];
        match answer {
            Put::Won { index } => {
                entry.known = Some(Held { record: record.clone(), index });
                self.answered(out);
                if seeds {
                    let entry = &mut self.entries[i];
                    entry.settled = record.round;
                    entry.stage = Stage::Idle;
                    out.push(Action::Note(Note::Seeded(name.to_owned(), record.round)));
                    self.plan(i, now);
                } else {
                    self.begin(i, now, out);
                }
            }
            Put::Lost => {
                entry.known = None;
                entry.stage = Stage::Idle;
                entry.lost += 1;
                if entry.lost > MOST_LOST {
                    entry.settled = entry.settled.max(entry.round);
                    self.plan(i, now);
                } else {
                    self.queue_at(i, now.wall);
                }
                self.answered(out);
            }
            Put::SessionGone => {
                entry.known = None;
                entry.stage = Stage::Idle;
                self.answered(out);
                self.forget(now, out, "the session is gone");
            }
            Put::Failed(failure) => {
                entry.known = None;
                match failure {
                    Failure::NotApplied(_) => {
                        entry.stage = Stage::Idle;
                        self.again(i, now);
                    }
                    Failure::Unknown(_) if seeds => {
                        entry.stage = Stage::Idle;
                        self.again(i, now);
                    }
                    Failure::Unknown(_) => {
                        entry.stage = Stage::Doubt(0);
                        self.queue_at(i, now.wall);
                    }
                }
                self.failed(&failure, out);
            }
        }
    }
}

#[cfg(test)]
#[path = "scheduler_tests.rs"]
mod tests;
