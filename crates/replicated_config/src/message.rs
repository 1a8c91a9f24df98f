//! What instances say to each other. The library's own form of its messages is left unused, and so is its parser.

use crate::lease::Answer;
use crate::log::{Base, Line};
use crate::state::{Change, Outcome, Version};
use raft::eraftpb::{ConfState, Message, MessageType};
use serde::{Deserialize, Serialize};

/// The most bytes of a word: two texts, and room for what is around them.
pub const MOST_BYTES: usize = 2 * crate::MOST_TEXT + 64 * 1024;

/// A word from one instance to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Word {
    /// Between voters.
    Voters(Box<Between>),
    /// Somebody asks for the last version.
    Ask(Ask),
    /// The answer, with the texts that the asker did not have: in force, and proposed.
    Answer(Answer, Box<(Option<Version>, Option<Version>)>),
    /// This question is for the voter of this number, who leads; none where nobody is known to.
    Elsewhere(u64, Option<u64>),
    /// The same of the proposal with this id.
    NotHere(u64, Option<u64>),
    /// Something has changed: ask again.
    Changed(u64),
    /// Somebody wants a change.
    Propose(Change),
    /// What became of the proposal with this id.
    Proposed(u64, Outcome),
}

/// A question.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Ask {
    /// Who asks.
    pub who: String,
    /// Its own number of the question.
    pub question: u64,
    /// It is to act on the answer. Who only looks, as staff at a terminal, gets no lease and holds no change up.
    pub leases: bool,
    /// The last version that it knew of when it asked.
    pub knew: u64,
    /// The versions whose texts it has, in force and proposed.
    pub has: (u64, u64),
}

/// A message of the library's, field by field.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Between {
    kind: u8,
    to: u64,
    from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    commit: u64,
    commit_term: u64,
    lines: Vec<Line>,
    base: Option<Base>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

impl Between {
    /// To whom it goes.
    pub fn to(&self) -> u64 {
        self.to
    }

    pub(crate) fn of(m: &Message) -> Self {
        let snapshot = m.get_snapshot();
        let meta = snapshot.get_metadata();
        let base = (meta.index > 0).then(|| Base {
            index: meta.index,
            term: meta.term,
            state: snapshot.data.to_vec(),
        });
        Self {
            kind: m.get_msg_type() as u8,
            to: m.to,
            from: m.from,
            term: m.term,
            log_term: m.log_term,
            index: m.index,
            commit: m.commit,
            commit_term: m.commit_term,
            lines: m.entries.iter().map(Line::of).collect(),
            base,
            request_snapshot: m.request_snapshot,
            reject: m.reject,
            reject_hint: m.reject_hint,
            context: m.context.to_vec(),
            priority: m.priority,
        }
    }

    /// The library's message, if it is one that comes from another voter.
    pub(crate) fn message(self, voters: &[u64]) -> Option<Message> {
        use MessageType as T;
        let all = [
            T::MsgAppend,
            T::MsgAppendResponse,
            T::MsgRequestVote,
            T::MsgRequestVoteResponse,
            T::MsgSnapshot,
            T::MsgHeartbeat,
            T::MsgHeartbeatResponse,
            T::MsgRequestPreVote,
            T::MsgRequestPreVoteResponse,
            T::MsgTimeoutNow,
        ];
        let kind = all.into_iter().find(|kind| *kind as u8 == self.kind)?;
        // Entries follow each other; the library takes that for granted and would end the program.
        let follows = self.lines.iter().zip(self.index + 1..).all(|(line, index)| line.index == index);
        if !voters.contains(&self.from) || !(self.lines.is_empty() || follows) {
            return None;
        }
        let mut m = Message {
            to: self.to,
            from: self.from,
            term: self.term,
            log_term: self.log_term,
            index: self.index,
            commit: self.commit,
            commit_term: self.commit_term,
            entries: self.lines.iter().map(Line::entry).collect::<Vec<_>>().into(),
            request_snapshot: self.request_snapshot,
            reject: self.reject,
            reject_hint: self.reject_hint,
            context: self.context.into(),
            priority: self.priority,
            ..Message::default()
        };
        m.set_msg_type(kind);
        let conf = ConfState { voters: voters.to_vec(), ..ConfState::default() };
        let snapshot = self.base.map(|base| crate::log::snapshot(&base, conf));
        m.set_snapshot(snapshot.unwrap_or_default());
        Some(m)
    }
}

impl Word {
    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// What bytes say; none where they are no word.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        (bytes.len() <= MOST_BYTES).then(|| postcard::from_bytes(bytes).ok())?
    }
}
