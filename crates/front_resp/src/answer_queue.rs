//! The pipelined commands of one connection in the order of their arrival, and their answers.

use crate::limits::STREAM_CHUNK_BYTES;
use crate::memory::Reservation;
use exchange::{ReadResult, RequestId, StreamReader};
use std::collections::VecDeque;

/// The answer to one command.
pub(crate) enum Slot {
    /// It has not come yet. The id is known once the request is submitted.
    Waiting(Option<RequestId>),
    /// It is complete and waits for its turn.
    Answered { bytes: Vec<u8>, _reservation: Reservation },
    /// It is forwarded while it arrives.
    Streaming(StreamReader),
}

/// The position of a command among all of its connection.
pub(crate) type CommandNumber = u64;

/// Commands that are not answered yet, in order. An answer is written when it is at the front (head-of-line blocking, as pipelining
/// requires).
#[derive(Default)]
pub(crate) struct AnswerQueue {
    /// The number of the command at the front.
    first: CommandNumber,
    slots: VecDeque<Slot>,
    requests_in_flight: usize,
}

/// Answers whose turn has come.
#[derive(Debug, Default)]
pub(crate) struct DueAnswers {
    pub(crate) bytes: Vec<u8>,
    /// A streamed answer broke off behind these bytes.
    pub(crate) is_broken: bool,
}

impl AnswerQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Requests that wait for their final answer.
    pub(crate) fn requests_in_flight(&self) -> usize {
        self.requests_in_flight
    }

    /// Counts a request that is submitted.
    pub(crate) fn begin_request(&mut self) {
        self.requests_in_flight += 1;
    }

    /// Counts the final answer to a request.
    pub(crate) fn finish_request(&mut self) {
        self.requests_in_flight -= 1;
    }

    /// Appends a command, and returns its number.
    pub(crate) fn push(&mut self) -> CommandNumber {
        self.slots.push_back(Slot::Waiting(None));
        self.first + self.slots.len() as u64 - 1
    }

    /// Returns the slot of a command; `None` once its answer is written or the connection has ended.
    pub(crate) fn slot(&mut self, command: CommandNumber) -> Option<&mut Slot> {
        let index = command.checked_sub(self.first)?;
        self.slots.get_mut(index as usize)
    }

    /// Removes all commands.
    pub(crate) fn take_all(&mut self) -> VecDeque<Slot> {
        std::mem::take(&mut self.slots)
    }

    /// Takes the answers whose turn has come. `unsent` bytes wait for the socket already; while they exceed the chunk size, a
    /// streamed answer is not read (backpressure).
    pub(crate) fn take_due(&mut self, unsent: usize) -> DueAnswers {
        let mut due = DueAnswers::default();
        loop {
            match self.slots.front_mut() {
                Some(Slot::Answered { bytes, .. }) if due.bytes.is_empty() => {
                    due.bytes = std::mem::take(bytes)
                }
                Some(Slot::Answered { bytes, .. }) => due.bytes.extend_from_slice(bytes),
                // The stream is read again once the socket has taken its bytes.
                Some(Slot::Streaming(_)) if due.bytes.len() + unsent >= STREAM_CHUNK_BYTES => return due,
                Some(Slot::Streaming(stream)) => match stream.read(STREAM_CHUNK_BYTES) {
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
