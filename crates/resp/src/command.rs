//! Client commands, which RESP2 encodes as arrays of bulk strings.

use crate::element::{Element, MAX_MESSAGE_BYTES, parse_element};
use crate::error::{MalformedInput, ParseResult};
use std::ops::Range;

/// A parsed command. Its arguments are ranges of bytes in the buffer from which it was parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The range of each argument's bytes. The first argument is the command's name.
    pub arguments: Vec<Range<usize>>,
    /// Offset in the buffer of the first byte after the command.
    pub end: usize,
}

/// Parses the command that starts at `start`. Returns `None` if more bytes must arrive.
///
/// # Errors
///
/// Returns an error if the input is not an array of bulk strings, is empty, or exceeds a limit.
pub fn parse_command(buffer: &[u8], start: usize) -> ParseResult<Command> {
    let Some((first, mut position)) = parse_element(buffer, start)? else { return Ok(None) };
    let Element::Array(count @ 1..) = first else {
        return Err(MalformedInput("a command is an array of bulk strings"));
    };
    let mut arguments = Vec::with_capacity(count);
    for _ in 0..count {
        if position - start > MAX_MESSAGE_BYTES {
            return Err(MalformedInput("a command is too large"));
        }
        match parse_element(buffer, position)? {
            Some((Element::Bulk(argument), next)) => {
                arguments.push(argument);
                position = next;
            }
            Some(_) => return Err(MalformedInput("a command is an array of bulk strings")),
            None => return Ok(None),
        }
    }
    Ok(Some(Command { arguments, end: position }))
}

/// Appends `bytes` to `out`, encoded as a bulk string.
pub fn put_bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Appends a command that consists of `arguments`, the command's name included.
pub fn put_command(out: &mut Vec<u8>, arguments: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", arguments.len()).as_bytes());
    for argument in arguments {
        put_bulk(out, argument);
    }
}
