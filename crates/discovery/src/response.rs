//! Parser of the agent's response: an HTTP head, then endpoint lists as JSON objects, separated by lines that may be empty.

use crate::error::WatchError;
use http::{ChunkedDecoder, Framing, ResponseHead};
use json_stream::{ObjectStream, StreamItem};
use settings::EndpointList;

/// Maximum size of a JSON object in bytes. It has room for a list of a few thousand endpoints.
const MAX_OBJECT_BYTES: usize = 4 * 1024 * 1024;
const STATUS_OK: u16 = 200;

/// Parser state of a response that is being received.
pub(crate) struct Response {
    head: Option<ResponseHead>,
    chunks: ChunkedDecoder,
    objects: ObjectStream,
}

/// An item of the body. Each item proves that the agent is alive.
pub(crate) enum BodyItem {
    /// An endpoint list, either complete or with the changed endpoints only.
    List(EndpointList),
    /// The end of a line. Empty lines are the agent's heartbeats.
    LineEnd,
}

impl Response {
    pub(crate) fn new() -> Self {
        Self { head: None, chunks: ChunkedDecoder::default(), objects: ObjectStream::new(MAX_OBJECT_BYTES) }
    }

    /// Whether the head is complete.
    pub(crate) fn has_head(&self) -> bool {
        self.head.is_some()
    }

    /// Whether the body is complete.
    pub(crate) fn is_complete(&self) -> bool {
        self.chunks.is_done()
    }

    /// Parses received bytes and removes them from `received`. Bytes that cannot be parsed yet stay there.
    pub(crate) fn consume(&mut self, received: &mut Vec<u8>) -> Result<(), WatchError> {
        if self.head.is_none() {
            self.consume_head(received)?;
        }
        match self.head.as_ref().map(|head| head.framing) {
            Some(Framing::Chunked) => {
                let used = self.chunks.decode(received, self.objects.input())?;
                received.drain(..used);
            }
            Some(_) => self.objects.input().append(received),
            None => {}
        }
        Ok(())
    }

    fn consume_head(&mut self, received: &mut Vec<u8>) -> Result<(), WatchError> {
        let Some(http::FinalResponseHead { head, start }) = http::parse_final_response_head(received, false)?
        else {
            return Ok(());
        };
        if head.status != STATUS_OK {
            return Err(WatchError::Status(head.status));
        }
        received.drain(..start + head.length);
        self.head = Some(head);
        Ok(())
    }

    /// Returns the next complete item of the body; `None` if more bytes must arrive.
    pub(crate) fn next_item(&mut self) -> Result<Option<BodyItem>, WatchError> {
        match self.objects.next_item()? {
            Some(StreamItem::Object(mut object)) => {
                Ok(Some(BodyItem::List(simd_json::serde::from_slice(&mut object)?)))
            }
            Some(StreamItem::LineEnd) => Ok(Some(BodyItem::LineEnd)),
            None => Ok(None),
        }
    }
}
