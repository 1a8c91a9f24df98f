//! Streams large answers to the client while they arrive.

use crate::pooled_connection::{MAX_READ_BYTES, PooledConnection};
use crate::pools::BackendPools;
use crate::protocol::{Protocol, StreamedAnswer};
use exchange::{AttemptEnd, AttemptId, StreamEnd, StreamWriter, open_stream};
use link::Incoming;
use policy::Outcome;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A streamed answer is ended after this time without progress. Slow backends and clients may pause for seconds.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum bytes after the value of a streamed answer.
const MAX_TAIL_BYTES: usize = 64 * 1024;

impl<P: Protocol> BackendPools<P> {
    /// Streams a large answer to its client while it arrives, at the client's pace. For the policy, the attempt ends with the
    /// first bytes. Returns whether the answer is complete and the connection can carry another attempt.
    pub(crate) fn stream_answer(
        &self,
        id: AttemptId,
        connection: &Arc<PooledConnection<P::Payload>>,
        buffer: &mut Vec<u8>,
        streamed: &StreamedAnswer<P::Answer>,
    ) -> bool {
        let weak_connection = Arc::downgrade(connection);
        let wake_connection = move || {
            if let Some(connection) = weak_connection.upgrade() {
                connection.socket.wake();
            }
        };
        let (writer, reader) = open_stream(&self.stream_budget, Box::new(wake_connection));
        self.state().add_streaming(connection);
        writer.write(&streamed.head);
        let answer = Some((streamed.into_answer)(reader));
        let end = AttemptEnd { outcome: Outcome::Ok, answer, load: Vec::new(), is_streaming: true };
        self.exchange().attempt_ended(id, end);
        let is_complete = self.copy_value(connection, buffer, streamed, &writer);
        let is_client_gone = writer.reader_is_gone();
        if is_complete {
            writer.finish();
        } else {
            drop(writer);
        }
        let end = match (is_client_gone, is_complete) {
            (true, _) => StreamEnd::ClientGone,
            (false, true) => StreamEnd::Complete,
            (false, false) => StreamEnd::Broken,
        };
        self.exchange().stream_ended(id, end);
        is_complete && buffer.is_empty() && connection.socket.unsent() == 0
    }

    /// Copies the bytes of the value to the stream, then parses the items after it. Returns whether the answer is complete and
    /// well-formed.
    fn copy_value(
        &self,
        connection: &PooledConnection<P::Payload>,
        buffer: &mut Vec<u8>,
        streamed: &StreamedAnswer<P::Answer>,
        writer: &StreamWriter,
    ) -> bool {
        let mut remaining = streamed.value_bytes;
        let mut last_progress = Instant::now();
        loop {
            if remaining > 0 {
                let count = remaining.min(buffer.len()).min(writer.capacity());
                if count > 0 {
                    writer.write(&buffer[..count]);
                    buffer.drain(..count);
                    remaining -= count;
                    last_progress = Instant::now();
                }
            }
            // The items after the value may have arrived together with its last bytes. They are parsed before the wait, which
            // ends the stream if the backend has closed the connection behind them.
            if remaining == 0 {
                match self.protocol.parse_tail(streamed.trailing_items, buffer) {
                    Ok(Some(tail)) => {
                        writer.write(tail.forwarded);
                        buffer.drain(..tail.consumed);
                        return true;
                    }
                    Ok(None) => {}
                    Err(_) => return false,
                }
            }
            let is_stalled = last_progress.elapsed() >= STALL_TIMEOUT;
            if writer.reader_is_gone() || is_stalled || buffer.len() > MAX_TAIL_BYTES + MAX_READ_BYTES {
                return false;
            }
            let waits_for_client = remaining > 0 && !buffer.is_empty();
            if !wait_for_progress(connection, buffer, waits_for_client) {
                return false;
            }
        }
    }
}

/// Waits until the client has taken some bytes, or more have arrived. Returns whether the connection continues.
fn wait_for_progress<Q>(
    connection: &PooledConnection<Q>,
    buffer: &mut Vec<u8>,
    waits_for_client: bool,
) -> bool {
    if waits_for_client {
        connection.socket.wait();
        return !connection.socket.is_closed();
    }
    match connection.socket.receive(buffer, MAX_READ_BYTES) {
        Ok(Incoming::Bytes(_) | Incoming::Woken) => true,
        Ok(Incoming::End) | Err(_) => false,
    }
}
