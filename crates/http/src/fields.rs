//! Header fields, and what they say of the body and of the connection.

use crate::error::{HttpError, MalformedMessage};
use std::ops::Range;

/// The most bytes of a head.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The most header fields of a head.
pub const MAX_HEADER_FIELDS: usize = 64;
/// The most digits of a `Content-Length`: more would not fit 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;
/// Fields that concern one connection only (RFC 9110, section 7.6.1).
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
    /// No body.
    Empty,
    /// So many bytes.
    Length(u64),
    /// The chunked transfer coding.
    Chunked,
    /// All until the connection ends; responses only.
    UntilEnd,
}

/// A header field, by its ranges in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Its name.
    pub name: Range<usize>,
    /// Its value.
    pub value: Range<usize>,
}

/// The range of a part of `buffer`.
pub(crate) fn range_in(buffer: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - buffer.as_ptr() as usize;
    start..start + part.len()
}

pub(crate) fn field_ranges(buffer: &[u8], headers: &[httparse::Header<'_>]) -> Vec<HeaderField> {
    let field = |header: &httparse::Header<'_>| HeaderField {
        name: range_in(buffer, header.name.as_bytes()),
        value: range_in(buffer, header.value),
    };
    headers.iter().map(field).collect()
}

/// The values of all fields of this name.
pub fn header_values<'a>(
    buffer: &'a [u8],
    fields: &'a [HeaderField],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> + 'a {
    let has_name =
        move |field: &&HeaderField| buffer[field.name.clone()].eq_ignore_ascii_case(name.as_bytes());
    fields.iter().filter(has_name).map(|field| &buffer[field.value.clone()])
}

/// Whether a comma-separated field lists this token.
pub fn has_list_token(buffer: &[u8], fields: &[HeaderField], name: &str, token: &str) -> bool {
    let mut tokens = header_values(buffer, fields, name).flat_map(|value| value.split(|&byte| byte == b','));
    tokens.any(|listed| listed.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

/// The framing that the fields state; `None` where they state none.
pub(crate) fn stated_framing(buffer: &[u8], fields: &[HeaderField]) -> Result<Option<Framing>, HttpError> {
    let length =
        at_most_one(buffer, fields, "content-length").ok_or(MalformedMessage::RepeatedContentLength)?;
    let coding =
        at_most_one(buffer, fields, "transfer-encoding").ok_or(MalformedMessage::RepeatedTransferEncoding)?;
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

/// The value of a field that may occur once; `None` where it occurs more often.
fn at_most_one<'a>(buffer: &'a [u8], fields: &'a [HeaderField], name: &'a str) -> Option<Option<&'a [u8]>> {
    let mut values = header_values(buffer, fields, name);
    let value = values.next();
    values.next().is_none().then_some(value)
}

fn parse_length(digits: &[u8]) -> Option<u64> {
    let is_number = digits.len() <= MAX_LENGTH_DIGITS && digits.iter().all(u8::is_ascii_digit);
    // Without any digit it does not parse.
    std::str::from_utf8(digits).ok().filter(|_| is_number)?.parse().ok()
}

/// Appends the fields that go on to the next hop, as they were received. The framing of the body is written anew, so
/// `Content-Length` is left out, and so is `Expect`, which is answered here.
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
    let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
    if is("host") {
        // A client may not have the field removed that says whom a request is for, by listing it in `Connection`.
        return true;
    }
    let is_listed = |name: &str| has_list_token(buffer, fields, "connection", name);
    let is_connection_specific = std::str::from_utf8(name).is_ok_and(is_listed);
    let is_hop_by_hop = is_connection_specific || HOP_BY_HOP.iter().any(|other| is(other));
    !is_hop_by_hop && !is("content-length") && !is("expect")
}
