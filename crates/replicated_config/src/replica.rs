//! One of the voters: the library's state machine, what its entries say, and the leases that it gives while it leads.

use crate::lease::{Answer, Leader, Stage};
use crate::log::{Base, Kept, Line, Record, Store};
use crate::message::{Ask, Between, Word};
use crate::state::{Change, Entry, Outcome, Versions};
use raft::eraftpb::Message;
use raft::{Config, RawNode, ReadOnlyOption, StateRole};
use std::collections::{BTreeMap, HashMap};

/// ms from one tick of the library to the next.
const TICK: u64 = 50;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT: usize = 2;
/// Ticks without a heartbeat after which the first voter stands for election; each further one waits for [`APART`] more, so that
/// two seldom stand at once. No chance is in it, and a course in simulated time can be played again.
const ELECTION: usize = 16;
const APART: usize = 4;
/// Ticks that are made up for after a pause: enough to stand for election, and no more.
const MOST_TICKS: u64 = 64;
/// Entries behind the base from which they are replaced by the state after them.
const MOST_LINES: usize = 256;
/// Questions and proposals that wait at most.
const MOST_WAITING: usize = 4_096;

/// What is to be done, in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    /// To be on disk before anything is sent. Where that fails, this voter is to be given up and all else here left undone.
    pub writes: Vec<Record>,
    /// To be sent to voters, by number.
    pub voters: Vec<(u64, Word)>,
    /// To be sent to gatekeepers, by name.
    pub others: Vec<(String, Word)>,
    /// What this voter knows to be agreed has changed.
    pub changed: bool,
}

/// A voter.
pub struct Voter {
    raw: RawNode<Store>,
    number: u64,
    versions: Versions,
    /// T, in ms.
    span: u64,
    ticked: u64,
    /// While it leads.
    leader: Option<Leader>,
    /// Questions that came since the last round.
    asked: Vec<Ask>,
    /// Rounds of confirmation that are out, by number.
    rounds: BTreeMap<u64, Vec<Ask>>,
    next_round: u64,
    /// Who waits for the outcome of a proposal.
    proposers: HashMap<u64, String>,
    /// The term in which a version was asked to be in force, and its number.
    forcing: (u64, u64),
    ready: Ready,
}

impl Voter {
    /// One that goes on from what it has written down. `number`: its own, of `voters`. `span`: T, in ms.
    ///
    /// # Errors
    ///
    /// What was written down cannot be used.
    pub fn new(number: u64, voters: &[u64], kept: Kept, span: u64, now: u64) -> Result<Self, String> {
        let place = voters.iter().position(|v| *v == number).ok_or("it is no voter")?;
        let versions = match &kept.base.state[..] {
            [] => Versions::default(),
            state => postcard::from_bytes(state).map_err(|e| format!("its state cannot be read: {e}"))?,
        };
        let (applied, hard, last) = (kept.base.index, kept.hard, kept.last());
        if hard.2 > last || kept.lines.iter().any(|l| l.term > hard.0) {
            return Err("it holds less than it says was agreed".into());
        }
        let least = ELECTION + APART * place;
        let config = Config {
            id: number,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied,
            max_size_per_msg: crate::MOST_TEXT as u64,
            max_inflight_msgs: 16,
            check_quorum: true,
            pre_vote: true,
            min_election_tick: least,
            max_election_tick: least + 1,
            read_only_option: ReadOnlyOption::Safe,
            max_uncommitted_size: 8 * crate::MOST_TEXT as u64,
            ..Config::default()
        };
        let store = Store { kept, voters: voters.to_vec() };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, store, &logger).map_err(|e| e.to_string())?;
        let mut voter = Self {
            raw,
            number,
            versions,
            span,
            ticked: now,
            leader: None,
            asked: Vec::new(),
            rounds: BTreeMap::new(),
            next_round: 0,
            proposers: HashMap::new(),
            forcing: (0, 0),
            ready: Ready::default(),
        };
        voter.turn(now);
        Ok(voter)
    }

    /// What is known to be agreed here: another voter may know more.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// The voter that leads, as far as is known here.
    pub fn leads(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|id| *id != 0)
    }

    /// The term, and the last entry that is known to be agreed.
    pub fn agreed(&self) -> (u64, u64) {
        (self.raw.raft.term, self.raw.raft.raft_log.committed)
    }

    /// Entries that are held beside the state.
    pub fn lines(&self) -> usize {
        self.raw.store().kept.lines.len()
    }

    /// Gatekeepers that still hold a lease on a version before the one that is proposed.
    pub fn behind(&self, now: u64) -> Vec<String> {
        let (Some(leader), Some(open)) = (&self.leader, self.versions.proposed()) else { return Vec::new() };
        leader.behind(now, open.number).map(str::to_owned).collect()
    }

    /// When [`Voter::tick`] wants to be called.
    pub fn next_due(&self) -> u64 {
        self.ticked + TICK
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: u64) {
        let ticks = now.saturating_sub(self.ticked) / TICK;
        self.ticked += ticks * TICK;
        for _ in 0..ticks.min(MOST_TICKS) {
            self.raw.tick();
        }
        self.turn(now);
    }

    /// Takes a word of another voter's.
    pub fn hear(&mut self, now: u64, word: Between) {
        let voters = self.raw.store().voters.clone();
        if let Some(message) = word.message(&voters).filter(|m| m.to == self.number) {
            // What does not fit the state of things is dropped, as if it had been lost.
            let _ = self.raw.step(message);
            self.turn(now);
        }
    }

    /// A gatekeeper asks for the last version.
    pub fn ask(&mut self, now: u64, ask: Ask) {
        if self.leader.is_none() {
            let word = Word::Elsewhere(ask.question, self.leads().filter(|l| *l != self.number));
            self.ready.others.push((ask.who, word));
            return;
        }
        // Of several questions of one gatekeeper the newest is the one that it still waits for, in whatever order they come.
        let room = self.asked.len() < MOST_WAITING;
        match self.asked.iter_mut().find(|other| other.who == ask.who) {
            Some(other) if other.question < ask.question => *other = ask,
            None if room => self.asked.push(ask),
            _ => {}
        }
        self.turn(now);
    }

    /// Somebody wants a change; what became of it is said to `who`.
    pub fn propose(&mut self, now: u64, who: &str, change: Change) {
        let known = self.versions.outcome(change.id).cloned();
        let reply = if self.leader.is_none() {
            Some(Word::NotHere(change.id, self.leads().filter(|l| *l != self.number)))
        } else if change.text.len() > crate::MOST_TEXT {
            Some(Word::Proposed(change.id, Outcome::TooLarge))
        } else if let Some(outcome) = known {
            Some(Word::Proposed(change.id, outcome))
        } else if self.proposers.insert(change.id, who.to_owned()).is_none() {
            let id = change.id;
            if self.proposers.len() > MOST_WAITING || !self.append(&Entry::Propose(change)) {
                self.proposers.remove(&id);
            }
            None
        } else {
            None
        };
        self.ready.others.extend(reply.map(|word| (who.to_owned(), word)));
        self.turn(now);
    }

    fn append(&mut self, entry: &Entry) -> bool {
        let data = postcard::to_stdvec(entry).unwrap_or_default();
        self.raw.propose(Vec::new(), data).is_ok()
    }

    /// What is to be done since the last call.
    pub fn ready(&mut self) -> Ready {
        std::mem::take(&mut self.ready)
    }

    /// Carries on what has come up.
    fn turn(&mut self, now: u64) {
        self.confirm();
        loop {
            while self.raw.has_ready() {
                self.carry(now);
            }
            let versions = &self.versions;
            let open = versions.proposed().map(|v| (self.raw.raft.term, v.number));
            let may = |leader: &Leader| open.is_some_and(|open| leader.may_force(now, open.1));
            match open {
                Some(open) if self.forcing != open && self.leader.as_ref().is_some_and(may) => {
                    if !self.append(&Entry::Force(open.1)) {
                        break;
                    }
                    self.forcing = open;
                }
                _ => break,
            }
        }
        self.shorten();
    }

    /// Begins a round of confirmation for all questions that have come; one at a time.
    fn confirm(&mut self) {
        let waits = self.asked.is_empty() || !self.rounds.is_empty();
        if waits || self.leader.is_none() || !self.raw.raft.commit_to_current_term() {
            return;
        }
        let round = self.next_round;
        self.next_round += 1;
        self.rounds.insert(round, std::mem::take(&mut self.asked));
        self.raw.read_index(round.to_be_bytes().to_vec());
    }

    fn carry(&mut self, now: u64) {
        let mut ready = self.raw.ready();
        if let Some(soft) = ready.ss() {
            self.turn_to(now, soft.raft_state);
        }
        self.send(ready.take_messages());
        let snapshot = ready.snapshot();
        if !snapshot.is_empty() {
            let meta = snapshot.get_metadata();
            let base = Base { index: meta.index, term: meta.term, state: snapshot.data.to_vec() };
            if let Ok(versions) = postcard::from_bytes(&base.state) {
                (self.versions, self.ready.changed) = (versions, true);
            }
            self.write(Record::Base(base));
        }
        let lines: Vec<Line> = ready.entries().iter().map(Line::of).collect();
        if !lines.is_empty() {
            self.write(Record::Lines(lines));
        }
        if let Some(hard) = ready.hs() {
            self.write(Record::Hard(hard.term, hard.vote, hard.commit));
        }
        let read: Vec<Vec<u8>> =
            ready.take_read_states().into_iter().map(|state| state.request_ctx).collect();
        let committed = ready.take_committed_entries();
        self.send(ready.take_persisted_messages());
        self.apply(now, committed);
        let mut light = self.raw.advance(ready);
        if let Some(commit) = light.commit_index() {
            let (term, vote, _) = self.raw.store().kept.hard;
            self.write(Record::Hard(term, vote, commit));
        }
        self.send(light.take_messages());
        self.apply(now, light.take_committed_entries());
        self.raw.advance_apply();
        // What was agreed when the round began is applied by now, so the state is at least as new as each question.
        for round in read {
            let number = round.try_into().map_or(u64::MAX, u64::from_be_bytes);
            let questions = self.rounds.remove(&number).unwrap_or_default();
            questions.into_iter().for_each(|ask| self.answer(now, ask));
            self.confirm();
        }
    }

    fn turn_to(&mut self, now: u64, role: StateRole) {
        match (role, &self.leader) {
            (StateRole::Leader, None) => self.leader = Some(Leader::new(now, self.span)),
            (StateRole::Leader, Some(_)) => {}
            _ => {
                self.leader = None;
                self.rounds.clear();
                self.asked.clear();
                // They ask again, elsewhere.
                self.proposers.clear();
            }
        }
    }

    fn answer(&mut self, now: u64, ask: Ask) {
        let Some(leader) = &mut self.leader else { return };
        let versions = &self.versions;
        let (version, stage) =
            (versions.last(), versions.proposed().map_or(Stage::InForce, |_| Stage::Proposed));
        if ask.leases && !leader.answers(now, &ask.who, ask.question, ask.knew) {
            return;
        }
        let missing =
            |version: Option<&crate::Version>, has: u64| version.filter(|v| v.number != has).cloned();
        let texts = (missing(versions.in_force(), ask.has.0), missing(versions.proposed(), ask.has.1));
        let answer = Answer { question: ask.question, version, stage };
        self.ready.others.push((ask.who, Word::Answer(answer, Box::new(texts))));
    }

    fn apply(&mut self, now: u64, committed: Vec<raft::eraftpb::Entry>) {
        let before = (self.versions.last(), self.versions.proposed().is_some());
        for entry in committed {
            // The first entry of each leader says nothing; an entry that cannot be read says nothing to any voter.
            let Ok(said) = postcard::from_bytes::<Entry>(&entry.data) else { continue };
            let id = match &said {
                Entry::Propose(change) => Some(change.id),
                Entry::Force(_) => None,
            };
            let outcome = self.versions.take(said);
            self.ready.changed = true;
            if let (Some(id), Some(outcome)) = (id, outcome)
                && let Some(who) = self.proposers.remove(&id)
            {
                self.ready.others.push((who, Word::Proposed(id, outcome)));
            }
        }
        // They ask at once, instead of with their next question.
        if let Some(leader) = self.leader.as_ref()
            && before != (self.versions.last(), self.versions.proposed().is_some())
        {
            let word = Word::Changed(self.versions.last());
            let others = leader.holders(now).map(|who| (who.to_owned(), word.clone()));
            self.ready.others.extend(others);
        }
    }

    fn write(&mut self, record: Record) {
        // The library says nothing that does not follow.
        let taken = self.raw.mut_store().kept.take(record.clone());
        debug_assert_eq!(taken, Ok(()));
        self.ready.writes.push(record);
    }

    fn send(&mut self, messages: Vec<Message>) {
        let words = messages.iter().map(|m| (m.to, Word::Voters(Box::new(Between::of(m)))));
        self.ready.voters.extend(words);
    }

    /// Replaces entries that are agreed by the state after them, once they are many.
    fn shorten(&mut self) {
        let kept = &self.raw.store().kept;
        let applied = self.raw.raft.raft_log.applied;
        if kept.lines.len() < MOST_LINES || applied <= kept.base.index {
            return;
        }
        let term = kept.lines.iter().find(|l| l.index == applied).map_or(0, |l| l.term);
        let state = postcard::to_stdvec(&self.versions).unwrap_or_default();
        self.write(Record::Base(Base { index: applied, term, state }));
    }
}
