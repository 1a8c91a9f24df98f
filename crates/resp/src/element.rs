//! Parsing of single elements and of whole messages.

use crate::error::{Malformed, Step};
use std::ops::Range;

/// Maximum bytes of a bulk string that is buffered completely.
pub const MAX_BULK_BYTES: usize = 64 * 1024;
/// Maximum bytes of a bulk string that is streamed.
pub const MAX_STREAMED_BULK_BYTES: usize = 8 * 1024 * 1024;
/// Maximum items of one array, and elements of a message that are outstanding at a time.
pub const MAX_ARRAY_ITEMS: usize = 64;
/// Maximum bytes of one message.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Maximum bytes of a line.
const MAX_LINE_BYTES: usize = 1024;
const LINE_END: &[u8] = b"\r\n";

/// One element of a message, by its ranges in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Element {
    /// A simple string.
    Simple(Range<usize>),
    /// An error line.
    Error(Range<usize>),
    /// An integer.
    Integer(i64),
    /// The bytes of a bulk string.
    Bulk(Range<usize>),
    /// A null bulk string or a null array.
    Null,
    /// An array of this many elements, which follow.
    Array(usize),
}

/// Parses the element that starts at `start`, and returns it with the start of the next one.
///
/// # Errors
///
/// Fails where the bytes are not RESP2 or exceed a limit.
pub fn element(buffer: &[u8], start: usize) -> Step<(Element, usize)> {
    let Some(&kind) = buffer.get(start) else { return Ok(None) };
    if !b"+-:$*".contains(&kind) {
        return Err(Malformed("an unknown type of element"));
    }
    let Some((text, next)) = line(buffer, start + 1)? else { return Ok(None) };
    let element = match kind {
        b'+' => Element::Simple(text),
        b'-' => Element::Error(text),
        b':' => Element::Integer(number(&buffer[text])?),
        b'$' => return bulk(buffer, number(&buffer[text])?, next),
        _ => array(number(&buffer[text])?)?,
    };
    Ok(Some((element, next)))
}

/// Parses a bulk string of this length whose bytes start at `start`.
fn bulk(buffer: &[u8], length: i64, start: usize) -> Step<(Element, usize)> {
    if length == -1 {
        return Ok(Some((Element::Null, start)));
    }
    let length = usize::try_from(length).ok().filter(|&length| length <= MAX_BULK_BYTES);
    let end = start + length.ok_or(Malformed("a bulk string's length is out of range"))?;
    let next = end + LINE_END.len();
    match buffer.get(end..next) {
        Some(LINE_END) => Ok(Some((Element::Bulk(start..end), next))),
        Some(_) => Err(Malformed("a bulk string has no end")),
        None => Ok(None),
    }
}

fn array(count: i64) -> Result<Element, Malformed> {
    if count == -1 {
        return Ok(Element::Null);
    }
    let count = usize::try_from(count).ok().filter(|&count| count <= MAX_ARRAY_ITEMS);
    count.map(Element::Array).ok_or(Malformed("an array's length is out of range"))
}

/// Parses the head of the bulk string that starts at `start`, whose bytes may still have to arrive. Returns its length and where its
/// bytes start. Its limit is [`MAX_STREAMED_BULK_BYTES`].
///
/// # Errors
///
/// Fails where it is not a bulk string, or too long.
pub fn bulk_head(buffer: &[u8], start: usize) -> Step<(usize, usize)> {
    match buffer.get(start) {
        None => return Ok(None),
        Some(b'$') => {}
        Some(_) => return Err(Malformed("no bulk string")),
    }
    let Some((text, next)) = line(buffer, start + 1)? else { return Ok(None) };
    let length = usize::try_from(number(&buffer[text])?).ok();
    let length = length.filter(|&length| length <= MAX_STREAMED_BULK_BYTES);
    Ok(Some((length.ok_or(Malformed("a bulk string's length is out of range"))?, next)))
}

/// Returns the end of the integer that starts at `start`, even if its digits are malformed.
///
/// # Errors
///
/// Fails where it is not an integer or its line exceeds a limit.
pub fn integer_end(buffer: &[u8], start: usize) -> Step<usize> {
    match buffer.get(start) {
        Some(b':') => Ok(line(buffer, start + 1)?.map(|(_, next)| next)),
        Some(_) => Err(Malformed("no integer")),
        None => Ok(None),
    }
}

/// Returns the end of the message that starts at `start`, with all its nested arrays.
///
/// # Errors
///
/// Fails where the bytes are not RESP2 or exceed a limit.
pub fn message_end(buffer: &[u8], start: usize) -> Step<usize> {
    let (mut position, mut outstanding) = (start, 1usize);
    while outstanding > 0 {
        if position - start > MAX_MESSAGE_BYTES {
            return Err(Malformed("a message is too large"));
        }
        let Some((element, next)) = element(buffer, position)? else { return Ok(None) };
        position = next;
        outstanding -= 1;
        if let Element::Array(items) = element {
            outstanding += items;
            if outstanding > MAX_ARRAY_ITEMS {
                return Err(Malformed("a message holds too many elements"));
            }
        }
    }
    Ok(Some(position))
}

/// Parses a line. Returns its range without the line end, and where the next one starts.
fn line(buffer: &[u8], start: usize) -> Step<(Range<usize>, usize)> {
    let rest = buffer.get(start..).unwrap_or_default();
    let window = &rest[..rest.len().min(MAX_LINE_BYTES)];
    match window.iter().position(|&byte| byte == b'\n') {
        Some(length) if length > 0 && window[length - 1] == b'\r' => {
            Ok(Some((start..start + length - 1, start + length + 1)))
        }
        Some(_) => Err(Malformed("a line ends without a carriage return")),
        None if rest.len() >= MAX_LINE_BYTES => Err(Malformed("a line is too long")),
        None => Ok(None),
    }
}

fn number(digits: &[u8]) -> Result<i64, Malformed> {
    let text = std::str::from_utf8(digits).map_err(|_| Malformed("a number holds other bytes"))?;
    text.parse().map_err(|_| Malformed("a number is malformed"))
}
