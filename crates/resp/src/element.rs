//! Parsing of single RESP2 elements and of complete messages.

use crate::error::{MalformedInput, ParseResult};
use std::ops::Range;

/// Maximum bytes of a bulk string that is buffered completely.
pub const MAX_BULK_BYTES: usize = 64 * 1024;
/// Maximum bytes of a bulk string that is streamed.
pub const MAX_STREAMED_BULK_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of items in one array. Also limits how many elements of a message are still to be parsed at any time.
pub const MAX_ARRAY_ITEMS: usize = 64;
/// Maximum bytes of one message.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Maximum bytes of a line, its line end included.
const MAX_LINE_BYTES: usize = 1024;
const LINE_END: &[u8] = b"\r\n";

/// One element of a message. Its text or bytes are a range in the buffer from which it was parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Element {
    /// A simple string (`+`), without its line end.
    Simple(Range<usize>),
    /// An error (`-`), without its line end.
    Error(Range<usize>),
    /// An integer (`:`).
    Integer(i64),
    /// The bytes of a bulk string (`$`).
    Bulk(Range<usize>),
    /// A null bulk string (`$-1`) or a null array (`*-1`).
    Null,
    /// The head of an array (`*`). The value is the number of elements that follow the head.
    Array(usize),
}

/// Parses the element that starts at `start`, and returns it with the offset of the next one. Returns `None` if more bytes must
/// arrive.
///
/// # Errors
///
/// Returns an error if the bytes are not RESP2 or exceed a limit.
pub fn parse_element(buffer: &[u8], start: usize) -> ParseResult<(Element, usize)> {
    let Some(&kind) = buffer.get(start) else { return Ok(None) };
    if !b"+-:$*".contains(&kind) {
        return Err(MalformedInput("an unknown type of element"));
    }
    let Some((text, next)) = parse_line(buffer, start + 1)? else { return Ok(None) };
    let element = match kind {
        b'+' => Element::Simple(text),
        b'-' => Element::Error(text),
        b':' => Element::Integer(parse_integer(&buffer[text])?),
        b'$' => return parse_bulk(buffer, parse_integer(&buffer[text])?, next),
        _ => parse_array_head(parse_integer(&buffer[text])?)?,
    };
    Ok(Some((element, next)))
}

/// Parses a bulk string of `length` bytes that start at `start`.
fn parse_bulk(buffer: &[u8], length: i64, start: usize) -> ParseResult<(Element, usize)> {
    if length == -1 {
        return Ok(Some((Element::Null, start)));
    }
    let length = usize::try_from(length).ok().filter(|&length| length <= MAX_BULK_BYTES);
    let end = start + length.ok_or(MalformedInput("a bulk string's length is out of range"))?;
    let next = end + LINE_END.len();
    match buffer.get(end..next) {
        Some(LINE_END) => Ok(Some((Element::Bulk(start..end), next))),
        Some(_) => Err(MalformedInput("a bulk string has no end")),
        None => Ok(None),
    }
}

fn parse_array_head(count: i64) -> Result<Element, MalformedInput> {
    if count == -1 {
        return Ok(Element::Null);
    }
    let count = usize::try_from(count).ok().filter(|&count| count <= MAX_ARRAY_ITEMS);
    count.map(Element::Array).ok_or(MalformedInput("an array's length is out of range"))
}

/// Parses the head of the bulk string that starts at `start`. Returns the string's length, at most [`MAX_STREAMED_BULK_BYTES`],
/// and the offset of its bytes, which need not have arrived.
///
/// # Errors
///
/// Returns an error if the input is not a bulk string, or the string is too long.
pub fn bulk_head(buffer: &[u8], start: usize) -> ParseResult<(usize, usize)> {
    match buffer.get(start) {
        None => return Ok(None),
        Some(b'$') => {}
        Some(_) => return Err(MalformedInput("no bulk string")),
    }
    let Some((text, next)) = parse_line(buffer, start + 1)? else { return Ok(None) };
    let length = usize::try_from(parse_integer(&buffer[text])?).ok();
    let length = length.filter(|&length| length <= MAX_STREAMED_BULK_BYTES);
    Ok(Some((length.ok_or(MalformedInput("a bulk string's length is out of range"))?, next)))
}

/// Returns the offset after the integer that starts at `start`. The digits are not validated.
///
/// # Errors
///
/// Returns an error if the input is not an integer, or its line is malformed or too long.
pub fn integer_end(buffer: &[u8], start: usize) -> ParseResult<usize> {
    match buffer.get(start) {
        Some(b':') => Ok(parse_line(buffer, start + 1)?.map(|(_, next)| next)),
        Some(_) => Err(MalformedInput("no integer")),
        None => Ok(None),
    }
}

/// Returns the offset after the message that starts at `start`, with all its nested arrays.
///
/// # Errors
///
/// Returns an error if the bytes are not RESP2 or exceed a limit.
pub fn message_end(buffer: &[u8], start: usize) -> ParseResult<usize> {
    let (mut position, mut outstanding) = (start, 1usize);
    while outstanding > 0 {
        if position - start > MAX_MESSAGE_BYTES {
            return Err(MalformedInput("a message is too large"));
        }
        let Some((element, next)) = parse_element(buffer, position)? else { return Ok(None) };
        position = next;
        outstanding -= 1;
        if let Element::Array(items) = element {
            outstanding += items;
            if outstanding > MAX_ARRAY_ITEMS {
                return Err(MalformedInput("a message holds too many elements"));
            }
        }
    }
    Ok(Some(position))
}

/// Parses the line that starts at `start`. Returns its range without the line end, and the offset of the next line.
fn parse_line(buffer: &[u8], start: usize) -> ParseResult<(Range<usize>, usize)> {
    let rest = buffer.get(start..).unwrap_or_default();
    let window = &rest[..rest.len().min(MAX_LINE_BYTES)];
    match window.iter().position(|&byte| byte == b'\n') {
        Some(length) if length > 0 && window[length - 1] == b'\r' => {
            Ok(Some((start..start + length - 1, start + length + 1)))
        }
        Some(_) => Err(MalformedInput("a line ends without a carriage return")),
        None if rest.len() >= MAX_LINE_BYTES => Err(MalformedInput("a line is too long")),
        None => Ok(None),
    }
}

fn parse_integer(digits: &[u8]) -> Result<i64, MalformedInput> {
    let text = std::str::from_utf8(digits).map_err(|_| MalformedInput("a number holds other bytes"))?;
    text.parse().map_err(|_| MalformedInput("a number is malformed"))
}
