//! HTTP/1.1 framing on httparse: where heads and bodies end.

use std::fmt;
use std::ops::Range;

/// The most bytes of a head.
pub const LARGEST_HEAD: usize = 32 * 1024;
/// The most header fields of a head.
pub const MOST_FIELDS: usize = 64;

/// Why bytes are no message that can be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Not HTTP/1.1, or framed in an ambiguous way.
    Malformed(&'static str),
    /// The head passes a limit.
    HeadTooLarge,
    /// The body passes a limit.
    BodyTooLarge,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed(text) => text,
            Self::HeadTooLarge => "the head is too large",
            Self::BodyTooLarge => "the body is too large",
        })
    }
}

impl std::error::Error for Refusal {}

/// A decoder of the chunked coding that takes bytes as they come.
#[derive(Debug, Default)]
pub struct Chunks {
    state: ChunkState,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChunkState {
    #[default]
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

impl Chunks {
    /// Decodes from `from` on, appends the data to `out` and tells where it stopped. It stops early only where more
    /// bytes must come, or when the body is done.
    ///
    /// # Errors
    ///
    /// The coding is malformed.
    pub fn decode(&mut self, bytes: &[u8], from: usize, out: &mut Vec<u8>) -> Result<usize, Refusal> {
        let mut at = from;
        while self.state != ChunkState::Done {
            let rest = &bytes[at..];
            match self.state {
                ChunkState::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        at += used;
                        self.state = if size == 0 { ChunkState::Trailer } else { ChunkState::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if rest.len() < 1024 => break,
                    _ => return Err(Refusal::Malformed("a chunk's size is malformed")),
                },
                ChunkState::Data(left) => {
                    let take = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    out.extend_from_slice(&rest[..take]);
                    at += take;
                    let left = left - take as u64;
                    self.state = if left == 0 { ChunkState::DataEnd } else { ChunkState::Data(left) };
                    if left > 0 {
                        break;
                    }
                }
                ChunkState::DataEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        at += 2;
                        self.state = ChunkState::Size;
                    }
                    [] | [b'\r'] => break,
                    _ => return Err(Refusal::Malformed("a chunk has no end")),
                },
                ChunkState::Trailer => match rest.windows(2).position(|w| w == b"\r\n") {
                    Some(0) => {
                        at += 2;
                        self.state = ChunkState::Done;
                    }
                    Some(n) => at += n + 2,
                    None if rest.len() < 4096 => break,
                    None => return Err(Refusal::Malformed("a trailer is too long")),
                },
                ChunkState::Done => {}
            }
        }
        Ok(at)
    }

    /// Whether the body is done.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// So many bytes.
    Length(u64),
    /// Chunked.
    Chunked,
    /// All until the connection ends; answers only.
    UntilEnd,
}

/// A header field as it lies in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Its name.
    pub name: Range<usize>,
    /// Its value.
    pub value: Range<usize>,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The status code.
    pub status: u16,
    /// The fields, in order.
    pub fields: Vec<Field>,
    /// How the body ends.
    pub framing: Framing,
    /// The connection may be used again.
    pub keep: bool,
    /// Where the head ends.
    pub end: usize,
}

/// Where a part of `buffer` lies in it.
fn place(buffer: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - buffer.as_ptr() as usize;
    start..start + part.len()
}

fn places(buffer: &[u8], headers: &[httparse::Header<'_>]) -> Vec<Field> {
    let field = |h: &httparse::Header<'_>| Field {
        name: place(buffer, h.name.as_bytes()),
        value: place(buffer, h.value),
    };
    headers.iter().map(field).collect()
}

fn refusal(error: httparse::Error) -> Refusal {
    match error {
        httparse::Error::TooManyHeaders => Refusal::HeadTooLarge,
        httparse::Error::HeaderName => Refusal::Malformed("a header's name is malformed"),
        httparse::Error::HeaderValue => Refusal::Malformed("a header's value is malformed"),
        _ => Refusal::Malformed("not HTTP/1.1"),
    }
}

/// The values of all fields of this name.
pub fn values<'a>(
    buffer: &'a [u8],
    fields: &'a [Field],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> + 'a {
    let named = move |f: &&Field| buffer[f.name.clone()].eq_ignore_ascii_case(name.as_bytes());
    fields.iter().filter(named).map(|f| &buffer[f.value.clone()])
}

/// Whether a comma-separated field holds this word.
pub fn lists(buffer: &[u8], fields: &[Field], name: &str, word: &str) -> bool {
    values(buffer, fields, name)
        .flat_map(|v| v.split(|&b| b == b','))
        .any(|v| v.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
}

/// What the fields say of the body; `None` where they say nothing.
fn framing(buffer: &[u8], fields: &[Field]) -> Result<Option<Framing>, Refusal> {
    let mut lengths = values(buffer, fields, "content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(Refusal::Malformed("more than one Content-Length"));
    }
    let mut codings = values(buffer, fields, "transfer-encoding");
    let coding = codings.next();
    if codings.next().is_some() {
        return Err(Refusal::Malformed("more than one Transfer-Encoding"));
    }
    match (length, coding) {
        (Some(_), Some(_)) => Err(Refusal::Malformed("both Content-Length and Transfer-Encoding")),
        (None, Some(coding)) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(Refusal::Malformed("a Transfer-Encoding other than chunked")),
        (Some(digits), None) => {
            let valid = !digits.is_empty() && digits.len() <= 18 && digits.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(digits).ok().filter(|_| valid);
            match text.and_then(|t| t.parse().ok()) {
                Some(length) => Ok(Some(Framing::Length(length))),
                None => Err(Refusal::Malformed("a Content-Length that is no number")),
            }
        }
        (None, None) => Ok(None),
    }
}

/// Reads the head of an answer to a request that was no HEAD; `None` where more must come.
///
/// # Errors
///
/// The bytes are no answer, or one whose end cannot be told.
pub fn answer_head(buffer: &[u8], to_head: bool) -> Result<Option<AnswerHead>, Refusal> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut answer = httparse::Response::new(&mut headers);
    match answer.parse(buffer) {
        Ok(httparse::Status::Complete(end)) => {
            let fields = places(buffer, answer.headers);
            let status = answer.code.unwrap_or(0);
            let told = framing(buffer, &fields)?;
            let bare = to_head || status < 200 || status == 204 || status == 304;
            let framing = if bare { Framing::Empty } else { told.unwrap_or(Framing::UntilEnd) };
            let close = lists(buffer, &fields, "connection", "close");
            let keep = answer.version == Some(1) && !close && framing != Framing::UntilEnd;
            Ok(Some(AnswerHead { status, fields, framing, keep, end }))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= LARGEST_HEAD => Ok(None),
        Ok(httparse::Status::Partial) => Err(Refusal::HeadTooLarge),
        Err(error) => Err(refusal(error)),
    }
}
