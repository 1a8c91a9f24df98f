//! Responses: parsing them from backends, and encoding them for clients.

use crate::chunked::ChunkedDecoder;
use crate::error::{HttpError, MalformedMessage};
use crate::fields::{
    Framing, HeaderField, MAX_HEAD_BYTES, MAX_HEADER_FIELDS, field_ranges, has_list_token, header_values,
    stated_framing, write_end_to_end_fields,
};

/// Lowest status code of a final response. Lower codes are interim responses.
const FIRST_FINAL_STATUS: u16 = 200;
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;
/// Capacity for the bytes that forwarding adds to a head.
const ADDED_HEAD_BYTES: usize = 32;
/// Minor version of HTTP/1.1.
const HTTP_1_1: u8 = 1;

/// The status line and header fields of a response, interim or final.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code, such as 200.
    pub status: u16,
    /// The header fields, in the order in which they were received.
    pub fields: Vec<HeaderField>,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the backend keeps the connection open after the response.
    pub keep_alive: bool,
    /// Number of bytes of the head, its final empty line included.
    pub length: usize,
}

/// The head of a final response, after any interim responses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalResponseHead {
    /// The head of the final response. The ranges of its fields are relative to `start`.
    pub head: ResponseHead,
    /// Offset of the head in the buffer.
    pub start: usize,
}

/// Parses the head of a response at the start of the buffer. Returns `None` if more bytes must arrive. `is_head_request` states
/// whether the request's method was HEAD.
///
/// # Errors
///
/// Returns an error if the bytes are not a response, the head is too large, or its framing is ambiguous.
pub fn parse_response_head(buffer: &[u8], is_head_request: bool) -> Result<Option<ResponseHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(buffer)? {
        httparse::Status::Complete(length) => read_head(buffer, &response, length, is_head_request).map(Some),
        httparse::Status::Partial if buffer.len() <= MAX_HEAD_BYTES => Ok(None),
        httparse::Status::Partial => Err(HttpError::HeadTooLarge),
    }
}

fn read_head(
    buffer: &[u8],
    response: &httparse::Response<'_, '_>,
    length: usize,
    is_head_request: bool,
) -> Result<ResponseHead, HttpError> {
    let fields = field_ranges(buffer, response.headers);
    let status = response.code.unwrap_or(0);
    let stated = stated_framing(buffer, &fields)?;
    let has_no_body =
        is_head_request || status < FIRST_FINAL_STATUS || status == NO_CONTENT || status == NOT_MODIFIED;
    let framing = if has_no_body { Framing::Empty } else { stated.unwrap_or(Framing::UntilEnd) };
    let closes = has_list_token(buffer, &fields, "connection", "close");
    let keep_alive = response.version == Some(HTTP_1_1) && !closes && framing != Framing::UntilEnd;
    Ok(ResponseHead { status, fields, framing, keep_alive, length })
}

/// Parses the head of the final response, and skips the interim responses (1xx) before it. Returns `None` if more bytes must
/// arrive. `is_head_request` states whether the request's method was HEAD.
///
/// # Errors
///
/// Returns the errors of [`parse_response_head`], and an error for a switch of protocols (101), which no request asks for.
pub fn parse_final_response_head(
    buffer: &[u8],
    is_head_request: bool,
) -> Result<Option<FinalResponseHead>, HttpError> {
    let mut start = 0;
    loop {
        let Some(head) = parse_response_head(&buffer[start..], is_head_request)? else { return Ok(None) };
        match head.status {
            SWITCHING_PROTOCOLS => return Err(MalformedMessage::UnrequestedUpgrade.into()),
            100..FIRST_FINAL_STATUS => start += head.length,
            _ => return Ok(Some(FinalResponseHead { head, start })),
        }
    }
}

/// A backend's response as it is forwarded to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The final status code that the backend sent, such as 200.
    pub status: u16,
    /// The status line and the end-to-end fields, each terminated by CRLF.
    pub head: Vec<u8>,
    /// The `Content-Length` to send; `None` if the response has no such field.
    pub length: Option<u64>,
    /// The body, without chunk framing.
    pub body: Vec<u8>,
}

impl Response {
    /// Appends the encoded response. `close` adds `Connection: close`.
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

/// A complete response at the start of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedResponse {
    /// The final response, as it is forwarded.
    pub response: Response,
    /// Number of bytes in the buffer that the interim responses and the final response occupy.
    pub consumed: usize,
    /// Whether the backend keeps the connection open after the response.
    pub keep_alive: bool,
}

/// A decoded body, and the number of bytes that it occupies in the buffer.
struct ParsedBody {
    body: Vec<u8>,
    consumed: usize,
}

/// Parses a complete response at the start of the buffer. Returns `None` if more bytes must arrive. `is_head_request` states
/// whether the request's method was HEAD, and `has_ended` whether the connection has ended.
///
/// # Errors
///
/// Returns an error if the response is malformed or truncated.
pub fn parse_response(
    buffer: &[u8],
    is_head_request: bool,
    has_ended: bool,
) -> Result<Option<ParsedResponse>, HttpError> {
    let incomplete = || if has_ended { Err(MalformedMessage::TruncatedResponse.into()) } else { Ok(None) };
    let Some(FinalResponseHead { head, start }) = parse_final_response_head(buffer, is_head_request)? else {
        return incomplete();
    };
    let message = &buffer[start..];
    let Some(ParsedBody { body, consumed }) = parse_body(&message[head.length..], head.framing, has_ended)?
    else {
        return incomplete();
    };
    Ok(Some(ParsedResponse {
        consumed: start + head.length + consumed,
        keep_alive: head.keep_alive,
        response: Response {
            status: head.status,
            length: length_to_send(message, &head, &body),
            head: forwarded_head(message, &head),
            body,
        },
    }))
}

/// Parses a body. Returns `None` if more bytes must arrive.
fn parse_body(rest: &[u8], framing: Framing, has_ended: bool) -> Result<Option<ParsedBody>, HttpError> {
    let raw = |bytes: &[u8]| ParsedBody { body: bytes.to_vec(), consumed: bytes.len() };
    Ok(match framing {
        Framing::Empty => Some(raw(&[])),
        Framing::Length(length) => rest.get(..usize::try_from(length).unwrap_or(usize::MAX)).map(raw),
        Framing::Chunked => {
            let (mut decoder, mut body) = (ChunkedDecoder::default(), Vec::new());
            let consumed = decoder.decode(rest, &mut body)?;
            decoder.is_done().then_some(ParsedBody { body, consumed })
        }
        Framing::UntilEnd => has_ended.then(|| raw(rest)),
    })
}

/// Returns the `Content-Length` to send. A response without a body keeps the `Content-Length` of the backend, which states the
/// length that the body would have in a response to GET.
fn length_to_send(message: &[u8], head: &ResponseHead, body: &[u8]) -> Option<u64> {
    match head.framing {
        Framing::Empty if head.status == NO_CONTENT => None,
        Framing::Empty => {
            let stated = header_values(message, &head.fields, "content-length").next()?;
            std::str::from_utf8(stated).ok()?.trim().parse().ok()
        }
        _ => Some(body.len() as u64),
    }
}

/// Encodes the status line and the end-to-end fields.
fn forwarded_head(message: &[u8], head: &ResponseHead) -> Vec<u8> {
    const VERSION: &[u8] = b"HTTP/1.1";
    let line_end = message.iter().position(|&byte| byte == b'\n').unwrap_or(message.len());
    let status_line = message[..line_end].trim_ascii_end();
    let mut forwarded = Vec::with_capacity(head.length + ADDED_HEAD_BYTES);
    forwarded.extend_from_slice(VERSION);
    forwarded.extend_from_slice(status_line.get(VERSION.len()..).unwrap_or_default());
    forwarded.extend_from_slice(b"\r\n");
    write_end_to_end_fields(message, &head.fields, &mut forwarded);
    forwarded
}
