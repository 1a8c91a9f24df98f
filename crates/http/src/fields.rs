//! Header fields: lookup, message framing, and forwarding.

use crate::error::{HttpError, MalformedMessage};
use std::ops::Range;

/// Maximum bytes of the head of a message: its start line and header fields.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of header fields in a head.
pub const MAX_HEADER_FIELDS: usize = 64;
/// Maximum digits of a `Content-Length`, so that it fits 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;
/// Hop-by-hop fields, which concern a single connection (RFC 9110, section 7.6.1).
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

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends with the connection. This occurs only in responses.
    UntilEnd,
}

/// A header field, as the ranges of its name and its value in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Range of the name, without the colon.
    pub name: Range<usize>,
    /// Range of the value, without surrounding whitespace.
    pub value: Range<usize>,
}

/// Returns the range of indexes in `buffer` that `part`, a slice of `buffer`, covers.
pub(crate) fn range_in(buffer: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - buffer.as_ptr() as usize;
    start..start + part.len()
}

/// Returns the ranges of the parsed headers, which borrow from `buffer`.
pub(crate) fn field_ranges(buffer: &[u8], headers: &[httparse::Header<'_>]) -> Vec<HeaderField> {
    let field = |header: &httparse::Header<'_>| HeaderField {
        name: range_in(buffer, header.name.as_bytes()),
        value: range_in(buffer, header.value),
    };
    headers.iter().map(field).collect()
}

/// Returns the values of all fields whose name is `name`. Case is ignored.
pub fn header_values<'a>(
    buffer: &'a [u8],
    fields: &'a [HeaderField],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> + 'a {
    let has_name =
        move |field: &&HeaderField| buffer[field.name.clone()].eq_ignore_ascii_case(name.as_bytes());
    fields.iter().filter(has_name).map(|field| &buffer[field.value.clone()])
}

/// Whether the comma-separated list in a field `name` contains `token`. Case is ignored.
pub fn has_list_token(buffer: &[u8], fields: &[HeaderField], name: &str, token: &str) -> bool {
    let mut tokens = header_values(buffer, fields, name).flat_map(|value| value.split(|&byte| byte == b','));
    tokens.any(|listed| listed.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

/// Returns the framing that the fields state; `None` if they state no framing. Returns an error if the framing is ambiguous.
pub(crate) fn stated_framing(buffer: &[u8], fields: &[HeaderField]) -> Result<Option<Framing>, HttpError> {
    let length = single_value(buffer, fields, "content-length", MalformedMessage::RepeatedContentLength)?;
    let coding =
        single_value(buffer, fields, "transfer-encoding", MalformedMessage::RepeatedTransferEncoding)?;
    match (length, coding) {
        (Some(_), Some(_)) => Err(MalformedMessage::ConflictingFraming.into()),
        (None, Some(coding)) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(MalformedMessage::UnsupportedTransferEncoding.into()),
        (Some(digits), None) => {
            let length = parse_length(digits).ok_or(MalformedMessage::InvalidContentLength)?;
            Ok(Some(Framing::Length(length)))
        }
        (None, None) => Ok(None),
    }
}

/// Returns the value of a field that may occur only once; `None` if the field is absent. Returns the error `if_repeated` if the
/// field occurs more than once.
fn single_value<'a>(
    buffer: &'a [u8],
    fields: &'a [HeaderField],
    name: &'a str,
    if_repeated: MalformedMessage,
) -> Result<Option<&'a [u8]>, MalformedMessage> {
    let mut values = header_values(buffer, fields, name);
    let value = values.next();
    if values.next().is_none() { Ok(value) } else { Err(if_repeated) }
}

fn parse_length(digits: &[u8]) -> Option<u64> {
    let is_number = digits.len() <= MAX_LENGTH_DIGITS && digits.iter().all(u8::is_ascii_digit);
    // `is_number` is also true for an empty string, which `parse` rejects.
    std::str::from_utf8(digits).ok().filter(|_| is_number)?.parse().ok()
}

/// Appends the end-to-end fields as they were received, for the next hop. Omits `Content-Length`, since this hop frames the body
/// itself, and `Expect`, which this hop answers.
pub fn write_end_to_end_fields(buffer: &[u8], fields: &[HeaderField], out: &mut Vec<u8>) {
    for field in fields {
        let name = &buffer[field.name.clone()];
        if is_end_to_end(buffer, fields, name) {
            out.extend_from_slice(name);
            out.extend_from_slice(b": ");
            out.extend_from_slice(&buffer[field.value.clone()]);
            out.extend_from_slice(b"\r\n");
        }
    }
}

fn is_end_to_end(buffer: &[u8], fields: &[HeaderField], name: &[u8]) -> bool {
    let has_name = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
    if has_name("host") {
        // A client must not be able to remove the field `Host` by listing `Host` in `Connection`.
        return true;
    }
    let is_listed = |name: &str| has_list_token(buffer, fields, "connection", name);
    let is_connection_specific = std::str::from_utf8(name).is_ok_and(is_listed);
    let is_hop_by_hop = is_connection_specific || HOP_BY_HOP.iter().any(|other| has_name(other));
    !is_hop_by_hop && !has_name("content-length") && !has_name("expect")
}
