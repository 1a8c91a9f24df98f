//! An incremental RESP2 codec over byte slices.
//!
//! Every function looks at the bytes at hand and answers with what is whole, with `None` where more must come, or with
//! an error where no further byte could make it valid. Nothing is copied and nothing recurses.

use std::fmt;
use std::ops::Range;

/// The most bytes of one bulk string.
pub const LARGEST_BULK: usize = 64 * 1024;
/// The most bytes of a value that is passed on as it comes.
pub const LARGEST_VALUE: usize = 8 * 1024 * 1024;
/// The most items of one array, and the deepest nesting.
pub const MOST_ITEMS: usize = 64;
/// The most bytes of one message.
pub const LARGEST_MESSAGE: usize = 128 * 1024;
/// The most bytes of a line.
const LONGEST_LINE: usize = 1024;

/// Bytes that are no RESP2; the text says why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Malformed {}

/// One element of a message as it lies in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Element {
    /// A simple string.
    Simple(Range<usize>),
    /// An error line.
    Error(Range<usize>),
    /// An integer.
    Integer(i64),
    /// A bulk string, without its frame.
    Bulk(Range<usize>),
    /// A null bulk string or a null array.
    Null,
    /// An array of so many elements, which follow.
    Array(usize),
}

/// What is whole, `None` where more must come.
pub type Step<T> = Result<Option<T>, Malformed>;

/// A line without its end, and where the next begins.
fn line(buffer: &[u8], from: usize) -> Step<(Range<usize>, usize)> {
    let rest = buffer.get(from..).unwrap_or_default();
    let window = &rest[..rest.len().min(LONGEST_LINE)];
    match window.iter().position(|&b| b == b'\n') {
        Some(at) if at > 0 && window[at - 1] == b'\r' => Ok(Some((from..from + at - 1, from + at + 1))),
        Some(_) => Err(Malformed("a line ends without a carriage return")),
        None if rest.len() >= LONGEST_LINE => Err(Malformed("a line is too long")),
        None => Ok(None),
    }
}

fn number(digits: &[u8]) -> Result<i64, Malformed> {
    let text = std::str::from_utf8(digits).map_err(|_| Malformed("a number holds other bytes"))?;
    text.parse().map_err(|_| Malformed("a number is malformed"))
}

/// The element that starts at `from` and where the next begins.
///
/// # Errors
///
/// The bytes are no RESP2 or pass a limit.
pub fn element(buffer: &[u8], from: usize) -> Step<(Element, usize)> {
    let Some(&kind) = buffer.get(from) else { return Ok(None) };
    if !b"+-:$*".contains(&kind) {
        return Err(Malformed("an unknown type of element"));
    }
    let Some((text, next)) = line(buffer, from + 1)? else { return Ok(None) };
    let element = match kind {
        b'+' => Element::Simple(text),
        b'-' => Element::Error(text),
        b':' => Element::Integer(number(&buffer[text])?),
        b'$' => match number(&buffer[text])? {
            -1 => Element::Null,
            length if (0..=LARGEST_BULK as i64).contains(&length) => {
                let end = next + length as usize;
                return match buffer.get(end..end + 2) {
                    Some(b"\r\n") => Ok(Some((Element::Bulk(next..end), end + 2))),
                    Some(_) => Err(Malformed("a bulk string has no end")),
                    None => Ok(None),
                };
            }
            _ => return Err(Malformed("a bulk string's length is out of range")),
        },
        _ => match number(&buffer[text])? {
            -1 => Element::Null,
            count if (0..=MOST_ITEMS as i64).contains(&count) => Element::Array(count as usize),
            _ => return Err(Malformed("an array's length is out of range")),
        },
    };
    Ok(Some((element, next)))
}

/// The length of the bulk string that starts at `from`, and where its bytes begin; they need not be here. Longer than
/// [`LARGEST_VALUE`] is none.
///
/// # Errors
///
/// It is no bulk string, or too long.
pub fn bulk_head(buffer: &[u8], from: usize) -> Step<(usize, usize)> {
    match buffer.get(from) {
        None => return Ok(None),
        Some(b'$') => {}
        Some(_) => return Err(Malformed("no bulk string")),
    }
    let Some((text, next)) = line(buffer, from + 1)? else { return Ok(None) };
    let length = usize::try_from(number(&buffer[text])?).ok().filter(|length| *length <= LARGEST_VALUE);
    Ok(Some((length.ok_or(Malformed("a bulk string's length is out of range"))?, next)))
}

/// Where the integer that starts at `from` ends, even if its digits cannot be read.
///
/// # Errors
///
/// It is no integer, or its line passes a limit.
pub fn integer_end(buffer: &[u8], from: usize) -> Step<usize> {
    match buffer.get(from) {
        Some(b':') => Ok(line(buffer, from + 1)?.map(|(_, next)| next)),
        Some(_) => Err(Malformed("no integer")),
        None => Ok(None),
    }
}

/// Where the message that starts at `from` ends, however deep its arrays lie.
///
/// # Errors
///
/// The bytes are no RESP2 or pass a limit.
pub fn message_end(buffer: &[u8], from: usize) -> Step<usize> {
    let (mut at, mut due) = (from, 1usize);
    while due > 0 {
        if at - from > LARGEST_MESSAGE {
            return Err(Malformed("a message is too large"));
        }
        let Some((element, next)) = element(buffer, at)? else { return Ok(None) };
        at = next;
        due -= 1;
        if let Element::Array(items) = element {
            due += items;
            if due > MOST_ITEMS {
                return Err(Malformed("a message holds too many elements"));
            }
        }
    }
    Ok(Some(at))
}

/// A command: its arguments as they lie in the buffer, and where the next command begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The arguments, without their frames.
    pub arguments: Vec<Range<usize>>,
    /// Where the command ends.
    pub end: usize,
}

/// The command that starts at `from`.
///
/// # Errors
///
/// It is no array of bulk strings, is empty, or passes a limit.
pub fn command(buffer: &[u8], from: usize) -> Step<Command> {
    let Some((first, mut at)) = element(buffer, from)? else { return Ok(None) };
    let Element::Array(count @ 1..) = first else {
        return Err(Malformed("a command is an array of bulk strings"));
    };
    let mut arguments = Vec::with_capacity(count);
    for _ in 0..count {
        if at - from > LARGEST_MESSAGE {
            return Err(Malformed("a command is too large"));
        }
        match element(buffer, at)? {
            Some((Element::Bulk(word), next)) => {
                arguments.push(word);
                at = next;
            }
            Some(_) => return Err(Malformed("a command is an array of bulk strings")),
            None => return Ok(None),
        }
    }
    Ok(Some(Command { arguments, end: at }))
}

/// Appends a bulk string.
pub fn put_bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Appends a command of these arguments.
pub fn put_command(out: &mut Vec<u8>, arguments: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", arguments.len()).as_bytes());
    for word in arguments {
        put_bulk(out, word);
    }
}

/// A client's command as it came, with the places that change when it is passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    raw: Vec<u8>,
    /// The list of names and values, without its frame.
    list: Range<usize>,
    /// The value of `d` in it.
    wait: Range<usize>,
}

impl Query {
    /// Keeps the bytes of one command. `list` is its word with names and values; one of them must be `d`.
    pub fn new(raw: Vec<u8>, list: Range<usize>) -> Option<Self> {
        let wait = fields(&raw, list.clone()).find(|(name, _)| &raw[name.clone()] == b"d")?.1;
        Some(Self { raw, list, wait })
    }

    /// Appends the command with another wait in milliseconds; all else goes on as it came.
    pub fn put(&self, wait_ms: u64, out: &mut Vec<u8>) {
        let wait = wait_ms.to_string();
        let frame = self.raw[..self.list.start].iter().rposition(|&b| b == b'$').unwrap_or(0);
        let length = self.list.len() - self.wait.len() + wait.len();
        out.extend_from_slice(&self.raw[..frame]);
        out.extend_from_slice(format!("${length}\r\n").as_bytes());
        out.extend_from_slice(&self.raw[self.list.start..self.wait.start]);
        out.extend_from_slice(wait.as_bytes());
        out.extend_from_slice(&self.raw[self.wait.end..]);
    }
}

/// The pairs of a list such as `c=lookup,d=480`: where each name and its value lie.
pub fn fields(buffer: &[u8], list: Range<usize>) -> impl Iterator<Item = (Range<usize>, Range<usize>)> + '_ {
    let mut at = list.start;
    std::iter::from_fn(move || {
        while at < list.end {
            let start = at;
            let end = buffer[start..list.end].iter().position(|&b| b == b',').map_or(list.end, |n| start + n);
            at = end + 1;
            if let Some(equals) = buffer[start..end].iter().position(|&b| b == b'=') {
                return Some((start..start + equals, start + equals + 1..end));
            }
        }
        None
    })
}
