//! The commands of one connection in the order in which they came, and their answers.

use crate::limits::{COMMAND_TIMEOUT, FIRST_COMMAND_TIMEOUT, IDLE_TIMEOUT, STREAM_CHUNK, UNUSED_TIMEOUT};
use crate::memory::Reservation;
use exchange::{ReadResult, RequestId, StreamReader};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The answer to one command.
pub(crate) enum Slot {
    /// There is none yet.
    Waiting(Option<RequestId>),
    /// It is complete.
    Answered { bytes: Vec<u8>, _reservation: Reservation },
    /// It is passed on while it arrives.
    Streaming(StreamReader),
}

/// The number of a command on its connection.
pub(crate) type CommandNumber = u64;

/// Commands in order, and what is known of the connection between them.
pub(crate) struct AnswerQueue {
    /// The number of the command at the front.
    first: CommandNumber,
    slots: VecDeque<Slot>,
    /// How many of them wait for a final answer.
    pub(crate) waiting: usize,
    /// Since when a command is incomplete.
    pub(crate) incomplete_since: Option<Instant>,
    /// Bytes of it.
    pub(crate) incomplete: Reservation,
    /// Since when the queue is empty.
    pub(crate) idle_since: Instant,
    /// A valid command has come.
    pub(crate) had_valid_command: bool,
    /// A request has come.
    pub(crate) had_request: bool,
    /// Nothing more is read; the connection ends with the last answer.
    pub(crate) is_ending: bool,
    /// Room is needed: it ends if it is idle.
    pub(crate) is_unwanted: bool,
    /// Bytes of answers that the client had not read when it was last looked at.
    pub(crate) unread: Reservation,
    /// Memory is needed for others' requests: this one has been incomplete for longest.
    pub(crate) is_too_large: bool,
}

/// Answers whose turn has come.
#[derive(Debug, Default)]
pub(crate) struct DueAnswers {
    pub(crate) bytes: Vec<u8>,
    /// A streamed answer broke off behind them.
    pub(crate) is_broken: bool,
}

impl AnswerQueue {
    pub(crate) fn new(incomplete: Reservation, unread: Reservation) -> Self {
        Self {
            first: 0,
            slots: VecDeque::new(),
            waiting: 0,
            incomplete_since: None,
            incomplete,
            idle_since: Instant::now(),
            had_valid_command: false,
            had_request: false,
            is_ending: false,
            is_unwanted: false,
            unread,
            is_too_large: false,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Adds a command at the end; returns its number.
    pub(crate) fn push(&mut self) -> CommandNumber {
        self.slots.push_back(Slot::Waiting(None));
        self.first + self.slots.len() as u64 - 1
    }

    /// The slot of a command; none once it has been answered, or the connection has ended.
    pub(crate) fn slot(&mut self, command: CommandNumber) -> Option<&mut Slot> {
        let index = command.checked_sub(self.first)?;
        self.slots.get_mut(index as usize)
    }

    pub(crate) fn take_all(&mut self) -> VecDeque<Slot> {
        std::mem::take(&mut self.slots)
    }

    /// From now on no command is taken.
    pub(crate) fn end(&mut self) {
        self.is_ending = true;
        self.incomplete_since = None;
        // What was read of a request is freed with the reader's buffer.
        self.incomplete.resize(0);
        self.idle_since = Instant::now();
    }

    /// Whether a command should be complete by now.
    pub(crate) fn is_late(&self) -> bool {
        let is_late_first = !self.had_valid_command && self.idle_since.elapsed() >= FIRST_COMMAND_TIMEOUT;
        self.incomplete_since.is_some_and(|since| since.elapsed() >= COMMAND_TIMEOUT || is_late_first)
    }

    /// How long it has been without a request; none while it has one, or part of one.
    pub(crate) fn idle_time(&self) -> Option<Duration> {
        (self.is_empty() && self.incomplete_since.is_none()).then(|| self.idle_since.elapsed())
    }

    /// How long it has been idle, if it may be closed to make room.
    pub(crate) fn evictable_for(&self) -> Option<Duration> {
        let timeout = if self.had_request { IDLE_TIMEOUT } else { UNUSED_TIMEOUT };
        self.idle_time().filter(|&idle| idle >= timeout)
    }

    /// Whether it has never sent a valid command, for too long.
    pub(crate) fn is_silent(&self) -> bool {
        !self.had_valid_command && self.idle_time().is_some_and(|idle| idle >= IDLE_TIMEOUT)
    }

    /// All was answered and the end announced.
    pub(crate) fn has_ended(&self) -> bool {
        self.is_ending && self.is_empty()
    }

    /// Takes the answers whose turn has come. `unsent`: bytes that already wait for the socket.
    pub(crate) fn take_due(&mut self, unsent: usize) -> DueAnswers {
        let mut due = DueAnswers::default();
        loop {
            match self.slots.front_mut() {
                Some(Slot::Answered { bytes, .. }) if due.bytes.is_empty() => {
                    due.bytes = std::mem::take(bytes)
                }
                Some(Slot::Answered { bytes, .. }) => due.bytes.extend_from_slice(bytes),
                // What waits for the socket goes first; reading goes on when that is gone.
                Some(Slot::Streaming(_)) if due.bytes.len() + unsent >= STREAM_CHUNK => return due,
                Some(Slot::Streaming(stream)) => match stream.read(STREAM_CHUNK) {
                    ReadResult::Bytes(bytes) => {
                        due.bytes.extend_from_slice(&bytes);
                        continue;
                    }
                    ReadResult::Pending => return due,
                    ReadResult::End => {}
                    ReadResult::Broken => {
                        due.is_broken = true;
                        return due;
                    }
                },
                Some(Slot::Waiting(_)) | None => return due,
            }
            self.slots.pop_front();
            self.first += 1;
        }
    }
}
