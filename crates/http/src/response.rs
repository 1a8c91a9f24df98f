//! Responses: the head as a backend sends it, and the response as it is forwarded.

use crate::chunked::ChunkedDecoder;
use crate::error::{HttpError, MalformedMessage};
use crate::fields::{
    Framing, HeaderField, MAX_HEAD_BYTES, MAX_HEADER_FIELDS, field_ranges, has_list_token, header_values,
    stated_framing, write_end_to_end_fields,
};

const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;
/// Minor version of HTTP/1.1.
const HTTP_1_1: u8 = 1;

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The fields, in order, by ranges in the buffer.
    pub fields: Vec<HeaderField>,
    /// How the body ends.
    pub framing: Framing,
    /// The connection may be used again.
    pub keep_alive: bool,
    /// Bytes of the head.
    pub length: usize,
}

/// The head of a final response, behind interim ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalResponseHead {
    /// The head; its ranges count from `start`.
    pub head: ResponseHead,
    /// Where it begins in the buffer.
    pub start: usize,
}

/// Parses the head of a response; `None` where more bytes must arrive. `to_head`: the request's method was HEAD.
///
/// # Errors
///
/// The bytes are no response, or one whose end cannot be determined.
pub fn parse_response_head(buffer: &[u8], to_head: bool) -> Result<Option<ResponseHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(buffer)? {
        httparse::Status::Complete(length) => read_head(buffer, &response, length, to_head).map(Some),
        httparse::Status::Partial if buffer.len() <= MAX_HEAD_BYTES => Ok(None),
        httparse::Status::Partial => Err(HttpError::HeadTooLarge),
    }
}

fn read_head(
    buffer: &[u8],
    response: &httparse::Response<'_, '_>,
    length: usize,
    to_head: bool,
) -> Result<ResponseHead, HttpError> {
    let fields = field_ranges(buffer, response.headers);
    let status = response.code.unwrap_or(0);
    let stated = stated_framing(buffer, &fields)?;
    let has_no_body = to_head || status < 200 || status == NO_CONTENT || status == NOT_MODIFIED;
    let framing = if has_no_body { Framing::Empty } else { stated.unwrap_or(Framing::UntilEnd) };
    let closes = has_list_token(buffer, &fields, "connection", "close");
    let keep_alive = response.version == Some(HTTP_1_1) && !closes && framing != Framing::UntilEnd;
    Ok(ResponseHead { status, fields, framing, keep_alive, length })
}

/// Parses the head of the final response: interim responses (1xx) in front of it are skipped. `None` where more bytes must
/// arrive.
///
/// # Errors
///
/// As [`parse_response_head`], and an upgrade that was not requested.
pub fn parse_final_response_head(
    buffer: &[u8],
    to_head: bool,
) -> Result<Option<FinalResponseHead>, HttpError> {
    let mut start = 0;
    loop {
        let Some(head) = parse_response_head(&buffer[start..], to_head)? else { return Ok(None) };
        match head.status {
            SWITCHING_PROTOCOLS => return Err(MalformedMessage::UnrequestedUpgrade.into()),
            100..200 => start += head.length,
            _ => return Ok(Some(FinalResponseHead { head, start })),
        }
    }
}

/// A backend's response as it is forwarded to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The status line and the end-to-end fields, each with its line's end.
    pub head: Vec<u8>,
    /// The `Content-Length` to send; none where the status allows none.
    pub length: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Appends the bytes of the response.
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
    /// The response.
    pub response: Response,
    /// Bytes of the buffer that it took, interim responses included.
    pub consumed: usize,
    /// The connection may be used again.
    pub keep_alive: bool,
}

/// The body of a response and the bytes that it took.
struct ParsedBody {
    body: Vec<u8>,
    consumed: usize,
}

/// Parses a complete response at the start of the buffer; `None` where more bytes must arrive. `to_head`: the request's method
/// was HEAD. `is_end`: the connection has ended.
///
/// # Errors
///
/// No valid response can arrive any more.
pub fn parse_response(
    buffer: &[u8],
    to_head: bool,
    is_end: bool,
) -> Result<Option<ParsedResponse>, HttpError> {
    let incomplete = || if is_end { Err(MalformedMessage::TruncatedResponse.into()) } else { Ok(None) };
    let Some(FinalResponseHead { head, start }) = parse_final_response_head(buffer, to_head)? else {
        return incomplete();
    };
    let message = &buffer[start..];
    let Some(ParsedBody { body, consumed }) = parse_body(&message[head.length..], head.framing, is_end)?
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

/// Parses a body; `None` where more bytes must arrive.
fn parse_body(rest: &[u8], framing: Framing, is_end: bool) -> Result<Option<ParsedBody>, HttpError> {
    let raw = |bytes: &[u8]| ParsedBody { body: bytes.to_vec(), consumed: bytes.len() };
    Ok(match framing {
        Framing::Empty => Some(raw(&[])),
        Framing::Length(length) => rest.get(..usize::try_from(length).unwrap_or(usize::MAX)).map(raw),
        Framing::Chunked => {
            let (mut decoder, mut body) = (ChunkedDecoder::default(), Vec::new());
            let consumed = decoder.decode(rest, &mut body)?;
            decoder.is_done().then_some(ParsedBody { body, consumed })
        }
        Framing::UntilEnd => is_end.then(|| raw(rest)),
    })
}

/// The `Content-Length` to send. Where there is no body, the length that it would have, as the backend states it.
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

/// The status line and the end-to-end fields.
fn forwarded_head(message: &[u8], head: &ResponseHead) -> Vec<u8> {
    const VERSION: &[u8] = b"HTTP/1.1";
    let line_end = message.iter().position(|&byte| byte == b'\n').unwrap_or(message.len());
    let status_line = message[..line_end].trim_ascii_end();
    let mut forwarded = Vec::with_capacity(head.length + 32);
    forwarded.extend_from_slice(VERSION);
    forwarded.extend_from_slice(status_line.get(VERSION.len()..).unwrap_or_default());
    forwarded.extend_from_slice(b"\r\n");
    write_end_to_end_fields(message, &head.fields, &mut forwarded);
    forwarded
}
