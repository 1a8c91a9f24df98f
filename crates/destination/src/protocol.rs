//! [`Protocol`], the trait of the wire protocols that backends speak.

use exchange::{AttemptEnd, StreamReader};
use policy::{BackendId, Micros};
use std::net::SocketAddr;

/// The result of parsing the bytes of an answer that have arrived.
#[derive(Debug)]
pub enum Parsed<A> {
    /// The buffer ends within the answer, so more bytes must arrive.
    Incomplete,
    /// The buffer begins with a complete answer.
    Complete {
        /// The length of the answer in bytes.
        consumed: usize,
        /// Whether the connection may carry another attempt.
        keep_alive: bool,
        /// How the attempt ended, to be reported to the exchange: its outcome, answer and load report.
        end: AttemptEnd<A>,
    },
    /// A large answer has begun. It is streamed to the client while it arrives.
    Streamed(StreamedAnswer<A>),
    /// The bytes cannot become a valid answer, for this reason.
    Malformed(&'static str),
}

/// The start of a large answer, whose value is streamed to the client.
#[derive(Debug)]
pub struct StreamedAnswer<A> {
    /// The number of bytes before the value.
    pub consumed: usize,
    /// The bytes that the client gets before the value.
    pub head: Vec<u8>,
    /// The length of the value in bytes.
    pub value_bytes: usize,
    /// The number of items after the value.
    pub trailing_items: usize,
    /// Creates the answer from the reading end of the stream.
    pub into_answer: fn(StreamReader) -> A,
}

/// The bytes after the value of a streamed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTail {
    /// Number of bytes that the items after the value occupy in the buffer.
    pub consumed: usize,
    /// The bytes that the client gets in place of the items after the value.
    pub forwarded: &'static [u8],
}

/// A wire protocol of backends.
pub trait Protocol: Send + Sync + 'static {
    /// The content of a request, as fronts submit it.
    type Payload: Send + Sync + 'static;
    /// An answer of a backend.
    type Answer: Send + 'static;

    /// Appends the encoded request of an attempt to `out`. `time_left` is the time until its deadline, for protocols that
    /// propagate it.
    fn encode(&self, payload: &Self::Payload, to: SocketAddr, time_left: Micros, out: &mut Vec<u8>);

    /// Called when a backend has served an attempt. Does nothing by default.
    fn on_served(&self, _backend: BackendId) {}

    /// Parses the bytes after the value of a streamed answer; `None` if more must arrive.
    ///
    /// # Errors
    ///
    /// Returns the reason if the bytes are malformed, in which case the stated length of the value may have been wrong.
    fn parse_tail(&self, _trailing_items: usize, _buffer: &[u8]) -> Result<Option<StreamTail>, &'static str> {
        Err("the protocol has no streamed answers")
    }

    /// Parses the answer at the start of the buffer. `is_end` says that no more bytes will arrive.
    fn parse(&self, payload: &Self::Payload, buffer: &[u8], is_end: bool) -> Parsed<Self::Answer>;
}
