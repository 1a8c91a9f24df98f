//! The chunked transfer coding (RFC 9112, section 7.1).

use crate::error::{HttpError, MalformedMessage};

/// Maximum bytes of the line with a chunk's size and extensions.
const MAX_SIZE_LINE_BYTES: usize = 1024;
/// Maximum bytes of a line of the trailer section.
const MAX_TRAILER_LINE_BYTES: usize = 4096;
const LINE_END: &[u8] = b"\r\n";

/// An incremental decoder of the chunked coding.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    state: ChunkedState,
}

/// What the decoder reads next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChunkedState {
    /// The size of a chunk.
    #[default]
    Size,
    /// The data of a chunk. The value is the number of bytes of the chunk that are still to be read.
    Data(u64),
    /// The CRLF after a chunk's data.
    DataEnd,
    /// The trailer section after the last chunk.
    Trailer,
    /// Nothing, since the body has ended.
    Done,
}

/// The number of bytes that a step of the decoder has consumed; `None` if more bytes must arrive before the step.
type StepResult = Result<Option<usize>, HttpError>;

impl ChunkedDecoder {
    /// Decodes `bytes`, appends the data to `out`, and returns the number of bytes consumed. The bytes that are not consumed are
    /// incomplete, or follow the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the coding is malformed.
    pub fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        let mut consumed = 0;
        while !self.is_done() {
            let rest = &bytes[consumed..];
            let step = match self.state {
                ChunkedState::Size => self.read_size(rest)?,
                ChunkedState::Data(left) => self.read_data(rest, left, out),
                ChunkedState::DataEnd => self.read_data_end(rest)?,
                ChunkedState::Trailer => self.read_trailer_line(rest)?,
                ChunkedState::Done => None,
            };
            let Some(count) = step else { break };
            consumed += count;
            if matches!(self.state, ChunkedState::Data(_)) && consumed == bytes.len() {
                break;
            }
        }
        Ok(consumed)
    }

    /// Whether the body has ended.
    pub fn is_done(&self) -> bool {
        self.state == ChunkedState::Done
    }

    fn read_size(&mut self, rest: &[u8]) -> StepResult {
        match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((count, size))) => {
                self.state = if size == 0 { ChunkedState::Trailer } else { ChunkedState::Data(size) };
                Ok(Some(count))
            }
            Ok(httparse::Status::Partial) if rest.len() < MAX_SIZE_LINE_BYTES => Ok(None),
            _ => Err(MalformedMessage::ChunkSize.into()),
        }
    }

    fn read_data(&mut self, rest: &[u8], left: u64, out: &mut Vec<u8>) -> Option<usize> {
        let count = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        out.extend_from_slice(&rest[..count]);
        let left = left - count as u64;
        self.state = if left == 0 { ChunkedState::DataEnd } else { ChunkedState::Data(left) };
        Some(count)
    }

    fn read_data_end(&mut self, rest: &[u8]) -> StepResult {
        match rest {
            [b'\r', b'\n', ..] => {
                self.state = ChunkedState::Size;
                Ok(Some(LINE_END.len()))
            }
            [] | [b'\r'] => Ok(None),
            _ => Err(MalformedMessage::ChunkEnd.into()),
        }
    }

    /// Skips a line of the trailer section. An empty line ends the section.
    fn read_trailer_line(&mut self, rest: &[u8]) -> StepResult {
        let line_length = rest.windows(LINE_END.len()).position(|window| window == LINE_END);
        match line_length {
            Some(length) => {
                if length == 0 {
                    self.state = ChunkedState::Done;
                }
                Ok(Some(length + LINE_END.len()))
            }
            None if rest.len() < MAX_TRAILER_LINE_BYTES => Ok(None),
            None => Err(MalformedMessage::TrailerTooLong.into()),
        }
    }
}
