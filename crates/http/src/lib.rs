//! HTTP/1.1 framing on httparse: where heads and bodies end.

use std::fmt;
use std::ops::Range;

/// The most bytes of a head.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The most header fields of a head.
pub const MAX_HEADER_FIELDS: usize = 64;

/// Why bytes are no message that can be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// Not HTTP/1.1, or framed in an ambiguous way.
    Malformed(&'static str),
    /// The head passes a limit.
    HeadTooLarge,
    /// The body passes a limit.
    BodyTooLarge,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed(text) => text,
            Self::HeadTooLarge => "the head is too large",
            Self::BodyTooLarge => "the body is too large",
        })
    }
}

impl std::error::Error for HttpError {}

/// A decoder of the chunked coding that takes bytes as they come.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    state: ChunkedState,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChunkedState {
    #[default]
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

impl ChunkedDecoder {
    /// Decodes from `from` on, appends the data to `out` and tells where it stopped. It stops early only where more
    /// bytes must come, or when the body is done.
    ///
    /// # Errors
    ///
    /// The coding is malformed.
    pub fn decode(&mut self, bytes: &[u8], from: usize, out: &mut Vec<u8>) -> Result<usize, HttpError> {
        let mut at = from;
        while self.state != ChunkedState::Done {
            let rest = &bytes[at..];
            match self.state {
                ChunkedState::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        at += used;
                        self.state = if size == 0 { ChunkedState::Trailer } else { ChunkedState::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if rest.len() < 1024 => break,
                    _ => return Err(HttpError::Malformed("a chunk's size is malformed")),
                },
                ChunkedState::Data(left) => {
                    let take = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    out.extend_from_slice(&rest[..take]);
                    at += take;
                    let left = left - take as u64;
                    self.state = if left == 0 { ChunkedState::DataEnd } else { ChunkedState::Data(left) };
                    if left > 0 {
                        break;
                    }
                }
                ChunkedState::DataEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        at += 2;
                        self.state = ChunkedState::Size;
                    }
                    [] | [b'\r'] => break,
                    _ => return Err(HttpError::Malformed("a chunk has no end")),
                },
                ChunkedState::Trailer => match rest.windows(2).position(|w| w == b"\r\n") {
                    Some(0) => {
                        at += 2;
                        self.state = ChunkedState::Done;
                    }
                    Some(n) => at += n + 2,
                    None if rest.len() < 4096 => break,
                    None => return Err(HttpError::Malformed("a trailer is too long")),
                },
                ChunkedState::Done => {}
            }
        }
        Ok(at)
    }

    /// Whether the body is done.
    pub fn is_done(&self) -> bool {
        self.state == ChunkedState::Done
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
pub struct HeaderField {
    /// Its name.
    pub name: Range<usize>,
    /// Its value.
    pub value: Range<usize>,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The fields, in order.
    pub fields: Vec<HeaderField>,
    /// How the body ends.
    pub framing: Framing,
    /// The connection may be used again.
    pub keep_alive: bool,
    /// Where the head ends.
    pub length: usize,
}

/// Where a part of `buffer` lies in it.
fn place(buffer: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - buffer.as_ptr() as usize;
    start..start + part.len()
}

fn places(buffer: &[u8], headers: &[httparse::Header<'_>]) -> Vec<HeaderField> {
    let field = |h: &httparse::Header<'_>| HeaderField {
        name: place(buffer, h.name.as_bytes()),
        value: place(buffer, h.value),
    };
    headers.iter().map(field).collect()
}

fn refusal(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        httparse::Error::HeaderName => HttpError::Malformed("a header's name is malformed"),
        httparse::Error::HeaderValue => HttpError::Malformed("a header's value is malformed"),
        _ => HttpError::Malformed("not HTTP/1.1"),
    }
}

/// The values of all fields of this name.
pub fn header_values<'a>(
    buffer: &'a [u8],
    fields: &'a [HeaderField],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> + 'a {
    let named = move |f: &&HeaderField| buffer[f.name.clone()].eq_ignore_ascii_case(name.as_bytes());
    fields.iter().filter(named).map(|f| &buffer[f.value.clone()])
}

/// Whether a comma-separated field holds this word.
pub fn has_list_token(buffer: &[u8], fields: &[HeaderField], name: &str, word: &str) -> bool {
    header_values(buffer, fields, name)
        .flat_map(|v| v.split(|&b| b == b','))
        .any(|v| v.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
}

/// What the fields say of the body; `None` where they say nothing.
fn framing(buffer: &[u8], fields: &[HeaderField]) -> Result<Option<Framing>, HttpError> {
    let mut lengths = header_values(buffer, fields, "content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(HttpError::Malformed("more than one Content-Length"));
    }
    let mut codings = header_values(buffer, fields, "transfer-encoding");
    let coding = codings.next();
    if codings.next().is_some() {
        return Err(HttpError::Malformed("more than one Transfer-Encoding"));
    }
    match (length, coding) {
        (Some(_), Some(_)) => Err(HttpError::Malformed("both Content-Length and Transfer-Encoding")),
        (None, Some(coding)) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(HttpError::Malformed("a Transfer-Encoding other than chunked")),
        (Some(digits), None) => {
            let valid = !digits.is_empty() && digits.len() <= 18 && digits.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(digits).ok().filter(|_| valid);
            match text.and_then(|t| t.parse().ok()) {
                Some(length) => Ok(Some(Framing::Length(length))),
                None => Err(HttpError::Malformed("a Content-Length that is no number")),
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
pub fn parse_response_head(buffer: &[u8], to_head: bool) -> Result<Option<ResponseHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut answer = httparse::Response::new(&mut headers);
    match answer.parse(buffer) {
        Ok(httparse::Status::Complete(end)) => {
            let fields = places(buffer, answer.headers);
            let status = answer.code.unwrap_or(0);
            let told = framing(buffer, &fields)?;
            let bare = to_head || status < 200 || status == 204 || status == 304;
            let framing = if bare { Framing::Empty } else { told.unwrap_or(Framing::UntilEnd) };
            let close = has_list_token(buffer, &fields, "connection", "close");
            let keep = answer.version == Some(1) && !close && framing != Framing::UntilEnd;
            Ok(Some(ResponseHead { status, fields, framing, keep_alive: keep, length: end }))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => Ok(None),
        Ok(httparse::Status::Partial) => Err(HttpError::HeadTooLarge),
        Err(error) => Err(refusal(error)),
    }
}

/// The head of the final answer and where it begins: interim answers (1xx) in front of it are passed over. `None` where
/// more must come.
///
/// # Errors
///
/// As [`parse_response_head`], and an upgrade that nobody asked for.
pub fn parse_final_response_head(
    buffer: &[u8],
    to_head: bool,
) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let mut from = 0;
    loop {
        let Some(head) = parse_response_head(&buffer[from..], to_head)? else { return Ok(None) };
        match head.status {
            101 => return Err(HttpError::Malformed("an upgrade that nobody asked for")),
            100..200 => from += head.length,
            _ => return Ok(Some((head, from))),
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: Range<usize>,
    /// The target as it came.
    pub target: Range<usize>,
    /// The fields, in order.
    pub fields: Vec<HeaderField>,
    /// How the body ends.
    pub framing: Framing,
    /// The connection may be used again.
    pub keep_alive: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Where the head ends.
    pub length: usize,
}

/// Reads the head of a request; `None` where more must come.
///
/// # Errors
///
/// The bytes are no request, or one whose meaning two readers could take in different ways.
pub fn parse_request_head(buffer: &[u8]) -> Result<Option<RequestHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(buffer) {
        Ok(httparse::Status::Complete(end)) if end <= MAX_HEAD_BYTES => {
            let (Some(method), Some(target), Some(version)) = (request.method, request.path, request.version)
            else {
                return Err(HttpError::Malformed("not HTTP/1.1"));
            };
            let (method, target) = (place(buffer, method.as_bytes()), place(buffer, target.as_bytes()));
            let fields = places(buffer, request.headers);
            let told = framing(buffer, &fields)?;
            if version == 0 && told == Some(Framing::Chunked) {
                return Err(HttpError::Malformed("Transfer-Encoding in HTTP/1.0"));
            }
            match header_values(buffer, &fields, "host").count() {
                1 => {}
                0 if version == 0 => {}
                _ => return Err(HttpError::Malformed("not exactly one Host")),
            }
            let close = has_list_token(buffer, &fields, "connection", "close");
            let expects = version == 1 && has_list_token(buffer, &fields, "expect", "100-continue");
            let framing = told.unwrap_or(Framing::Empty);
            let keep = version == 1 && !close;
            Ok(Some(RequestHead {
                method,
                target,
                fields,
                framing,
                keep_alive: keep,
                expects_continue: expects,
                length: end,
            }))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => Ok(None),
        Ok(_) => Err(HttpError::HeadTooLarge),
        Err(error) => Err(refusal(error)),
    }
}

/// A request body as it comes in.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    chunks: ChunkedDecoder,
    most: usize,
    /// What has come so far.
    pub bytes: Vec<u8>,
}

impl BodyReader {
    /// A body that is about to come.
    ///
    /// # Errors
    ///
    /// It says itself that it is larger than `most`.
    pub fn new(framing: Framing, most: usize) -> Result<Self, HttpError> {
        if matches!(framing, Framing::Length(length) if length > most as u64) {
            return Err(HttpError::BodyTooLarge);
        }
        Ok(Self { framing, chunks: ChunkedDecoder::default(), most, bytes: Vec::new() })
    }

    /// Takes what belongs to the body off the front of the buffer; tells whether it is whole.
    ///
    /// # Errors
    ///
    /// It is malformed or too large.
    pub fn read_from(&mut self, buffer: &mut Vec<u8>) -> Result<bool, HttpError> {
        let whole = match self.framing {
            Framing::Empty => true,
            Framing::Length(length) => {
                let left = usize::try_from(length).unwrap_or(usize::MAX) - self.bytes.len();
                self.bytes.extend(buffer.drain(..left.min(buffer.len())));
                self.bytes.len() as u64 == length
            }
            Framing::Chunked => {
                let used = self.chunks.decode(buffer, 0, &mut self.bytes)?;
                buffer.drain(..used);
                self.chunks.is_done()
            }
            Framing::UntilEnd => {
                self.bytes.append(buffer);
                false
            }
        };
        if self.bytes.len() > self.most { Err(HttpError::BodyTooLarge) } else { Ok(whole) }
    }
}

/// Percent-encodes what may not stand in a path segment or a query's value (RFC 3986, section 2.3).
pub fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}

/// Fields that concern one connection only.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Appends the fields that go on to the next hop, as they came. The framing of the body is written anew, so
/// `Content-Length` is left out, and so is `Expect`, which is answered here.
pub fn write_end_to_end_fields(buffer: &[u8], fields: &[HeaderField], out: &mut Vec<u8>) {
    for field in fields {
        let name = &buffer[field.name.clone()];
        let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
        let named =
            std::str::from_utf8(name).is_ok_and(|name| has_list_token(buffer, fields, "connection", name));
        // A client may not have the fields stripped that say whom and how long a request is for.
        let kept = is("host");
        if (named && !kept) || HOP_BY_HOP.iter().any(|h| is(h)) || is("content-length") || is("expect") {
            continue;
        }
        out.extend_from_slice(name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(&buffer[field.value.clone()]);
        out.extend_from_slice(b"\r\n");
    }
}

/// A request as it goes on to a destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The request line and the end-to-end fields, each with its line's end.
    pub head: Vec<u8>,
    /// The body, where the request had one.
    pub body: Option<Vec<u8>>,
    /// Its answer has no body, whatever its fields say.
    pub is_head: bool,
}

impl Request {
    /// The request of this head and body. A field that tells of this program is added, as gateways must.
    pub fn new(buffer: &[u8], head: &RequestHead, target: &[u8], body: Vec<u8>) -> Self {
        let method = &buffer[head.method.clone()];
        let mut out = Vec::with_capacity(head.length + 64);
        for part in [method, b" ", target, b" HTTP/1.1\r\n"] {
            out.extend_from_slice(part);
        }
        write_end_to_end_fields(buffer, &head.fields, &mut out);
        out.extend_from_slice(b"Via: 1.1 snowfield\r\n");
        let body = (head.framing != Framing::Empty).then_some(body);
        Self { head: out, body, is_head: method == b"HEAD" }
    }

    /// Appends the whole request.
    pub fn encode(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.head);
        if let Some(body) = &self.body {
            out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
            out.extend_from_slice(body);
        } else {
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// A destination's answer as it goes back to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The status line and the end-to-end fields, each with its line's end.
    pub head: Vec<u8>,
    /// The length to be told; none where the status allows none.
    pub length: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Appends the whole answer.
    pub fn encode(&self, close: bool, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.head);
        if let Some(length) = self.length {
            out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        if close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
    }
}

/// A whole answer at the start of the buffer and the bytes that it took, with whether the connection may be used
/// again; `None` where more must come. `end` tells that nothing more will. Interim answers are passed over.
///
/// # Errors
///
/// No valid answer can come any more.
pub fn parse_response(
    buffer: &[u8],
    is_head: bool,
    end: bool,
) -> Result<Option<(Response, usize, bool)>, HttpError> {
    let Some((head, from)) = parse_final_response_head(buffer, is_head)? else {
        return if end { Err(HttpError::Malformed("an answer is cut short")) } else { Ok(None) };
    };
    let message = &buffer[from..];
    let rest = &message[head.length..];
    let (body, used) = match head.framing {
        Framing::Empty => (Vec::new(), 0),
        Framing::Length(length) => match rest.get(..usize::try_from(length).unwrap_or(usize::MAX)) {
            Some(body) => (body.to_vec(), body.len()),
            None if end => return Err(HttpError::Malformed("an answer is cut short")),
            None => return Ok(None),
        },
        Framing::Chunked => {
            let (mut chunks, mut body) = (ChunkedDecoder::default(), Vec::new());
            let used = chunks.decode(rest, 0, &mut body)?;
            match (chunks.is_done(), end) {
                (true, _) => (body, used),
                (false, true) => return Err(HttpError::Malformed("an answer is cut short")),
                (false, false) => return Ok(None),
            }
        }
        Framing::UntilEnd if end => (rest.to_vec(), rest.len()),
        Framing::UntilEnd => return Ok(None),
    };
    let length = match head.framing {
        // What a body would have been long, where there is none: as the destination told.
        Framing::Empty if head.status == 204 => None,
        Framing::Empty => {
            let told = header_values(message, &head.fields, "content-length").next();
            told.and_then(|v| std::str::from_utf8(v).ok()).and_then(|v| v.trim().parse().ok())
        }
        _ => Some(body.len() as u64),
    };
    let line = message.iter().position(|&b| b == b'\n').map_or(message, |at| &message[..at]).trim_ascii_end();
    let mut out = Vec::with_capacity(head.length + 32);
    out.extend_from_slice(b"HTTP/1.1");
    out.extend_from_slice(line.get(8..).unwrap_or_default());
    out.extend_from_slice(b"\r\n");
    write_end_to_end_fields(message, &head.fields, &mut out);
    let answer = Response { status: head.status, head: out, length, body };
    Ok(Some((answer, from + head.length + used, head.keep_alive)))
}
