//! What a wire protocol has to tell.

use exchange::{AttemptEnd, StreamReader};
use policy::{BackendId, Micros};
use std::net::SocketAddr;

/// What the bytes at hand are.
#[derive(Debug)]
pub enum Parsed<A> {
    /// More must arrive.
    Incomplete,
    /// A complete answer.
    Complete {
        /// The bytes that it took.
        consumed: usize,
        /// The connection may carry another attempt.
        keep_alive: bool,
        /// How the attempt ended.
        end: AttemptEnd<A>,
    },
    /// A large answer has begun: it is passed on while it arrives.
    Streamed(StreamedAnswer<A>),
    /// No valid answer can come any more.
    Malformed(&'static str),
}

/// A large answer that has begun.
#[derive(Debug)]
pub struct StreamedAnswer<A> {
    /// The bytes before its value.
    pub consumed: usize,
    /// What the client gets before the value.
    pub head: Vec<u8>,
    /// The bytes of the value.
    pub value_bytes: usize,
    /// The items that stand behind it.
    pub trailing_items: usize,
    /// Makes the stream an answer.
    pub into_answer: fn(StreamReader) -> A,
}

/// What stands behind the value of a streamed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTail {
    /// The bytes that it took.
    pub consumed: usize,
    /// What of them the client gets.
    pub forwarded: &'static [u8],
}

/// A wire protocol of backends.
pub trait Protocol: Send + Sync + 'static {
    /// What fronts forward.
    type Payload: Send + Sync + 'static;
    /// What backends answer.
    type Answer: Send + 'static;

    /// Appends the request of an attempt whose answer is awaited for this long.
    fn encode(&self, payload: &Self::Payload, to: SocketAddr, time_left: Micros, out: &mut Vec<u8>);

    /// A backend has served an attempt. By default nothing is done.
    fn on_served(&self, _backend: BackendId) {}

    /// Parses what stands behind the value of a streamed answer; `None` where more must arrive.
    ///
    /// # Errors
    ///
    /// It is malformed, and so the value may be.
    fn parse_tail(&self, _trailing_items: usize, _buffer: &[u8]) -> Result<Option<StreamTail>, &'static str> {
        Err("no streamed answers here")
    }

    /// Parses an answer at the start of the buffer; `is_end` tells that no more bytes will come.
    fn parse(&self, payload: &Self::Payload, buffer: &[u8], is_end: bool) -> Parsed<Self::Answer>;
}
