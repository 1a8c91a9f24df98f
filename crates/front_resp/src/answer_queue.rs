//! The pipelined commands of one connection in the order of their arrival, and their answers.

use crate::limits::STREAM_CHUNK_BYTES;
use crate::memory::Reservation;
use exchange::{ReadResult, RequestId, StreamReader};
use std::collections::VecDeque;

/// The answer to one command.
pub(crate) enum Slot {
    /// The answer is outstanding. Holds the request's id once the request is submitted to the exchange.
    Waiting(Option<RequestId>),
    /// The answer is complete and waits until all earlier ones are written.
    Answered { bytes: Vec<u8>, _reservation: Reservation },
    /// The answer is forwarded while it arrives.
    Streaming(StreamReader),
}

/// Number of a command, counted from 0 in the order of arrival on its connection.
pub(crate) type CommandNumber = u64;

/// Commands that are not answered yet, in order. Only the answer to the command at the front of the queue is written
/// (head-of-line blocking, as pipelining requires).
#[derive(Default)]
pub(crate) struct AnswerQueue {
    /// The number of the command at the front of the queue.
    first_number: CommandNumber,
    slots: VecDeque<Slot>,
    requests_in_flight: usize,
}

/// Answers that may be written now, since all earlier ones are written.
#[derive(Debug, Default)]
pub(crate) struct DueAnswers {
    pub(crate) bytes: Vec<u8>,
    /// Whether the last of the answers was streamed and ended early, so that the connection must be closed after `bytes`.
    pub(crate) is_truncated: bool,
}

impl AnswerQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of requests that wait for their final answer.
    pub(crate) fn requests_in_flight(&self) -> usize {
        self.requests_in_flight
    }

    /// Counts a submitted request as in flight.
    pub(crate) fn begin_request(&mut self) {
        self.requests_in_flight += 1;
    }

    /// Counts a request as no longer in flight.
    pub(crate) fn finish_request(&mut self) {
        self.requests_in_flight -= 1;
    }

    /// Appends a command, and returns its number.
    pub(crate) fn push(&mut self) -> CommandNumber {
        self.slots.push_back(Slot::Waiting(None));
        self.first_number + self.slots.len() as u64 - 1
    }

    /// Returns the slot of a command; `None` once its answer is written or the connection has ended.
    pub(crate) fn slot(&mut self, command: CommandNumber) -> Option<&mut Slot> {
        let index = command.checked_sub(self.first_number)?;
        self.slots.get_mut(index as usize)
    }

    /// Removes all commands.
    pub(crate) fn take_all(&mut self) -> VecDeque<Slot> {
        std::mem::take(&mut self.slots)
    }

    /// Takes the answers that may be written now. `unsent` is the number of bytes that already wait for the socket; while it
    /// reaches the chunk size, a streamed answer is not read (backpressure).
    pub(crate) fn take_due(&mut self, unsent: usize) -> DueAnswers {
        let mut due = DueAnswers::default();
        loop {
            match self.slots.front_mut() {
                Some(Slot::Answered { bytes, .. }) if due.bytes.is_empty() => {
                    due.bytes = std::mem::take(bytes)
                }
                Some(Slot::Answered { bytes, .. }) => due.bytes.extend_from_slice(bytes),
                // The stream is read again once the socket has taken the waiting bytes.
                Some(Slot::Streaming(_)) if due.bytes.len() + unsent >= STREAM_CHUNK_BYTES => return due,
                Some(Slot::Streaming(stream)) => match stream.read(STREAM_CHUNK_BYTES) {
                    ReadResult::Bytes(bytes) => {
                        due.bytes.extend_from_slice(&bytes);
                        continue;
                    }
                    ReadResult::Pending => return due,
                    ReadResult::End => {}
                    ReadResult::Broken => {
                        due.is_truncated = true;
                        return due;
                    }
                },
                Some(Slot::Waiting(_)) | None => return due,
            }
            self.slots.pop_front();
            self.first_number += 1;
        }
    }
}
