//! Client commands that are forwarded to a backend with a different deadline.

use std::ops::Range;

/// Name under which the deadline stands in a command's list of names and values.
const DEADLINE_NAME: &[u8] = b"d";

/// A client's command as it was received. Its deadline is replaced when it is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestCommand {
    raw: Vec<u8>,
    /// Range of the argument that lists names and values.
    list: Range<usize>,
    /// Range of the deadline's value in the list.
    deadline: Range<usize>,
}

impl RequestCommand {
    /// Wraps the bytes of one command. `list` is the range of the argument with names and values. Returns `None` if the list has
    /// no deadline (`d`).
    pub fn new(raw: Vec<u8>, list: Range<usize>) -> Option<Self> {
        let is_deadline = |(name, _): &(Range<usize>, Range<usize>)| &raw[name.clone()] == DEADLINE_NAME;
        let (_, deadline) = named_values(&raw, list.clone()).find(is_deadline)?;
        Some(Self { raw, list, deadline })
    }

    /// Appends the command with the deadline replaced by `deadline_ms`, in milliseconds. All other bytes but the length of the
    /// list stay as they were received.
    pub fn encode_with_deadline(&self, deadline_ms: u64, out: &mut Vec<u8>) {
        let deadline = deadline_ms.to_string();
        // The bulk string of the list starts at the `$` before its length.
        let frame_start = self.raw[..self.list.start].iter().rposition(|&byte| byte == b'$').unwrap_or(0);
        let length = self.list.len() - self.deadline.len() + deadline.len();
        out.extend_from_slice(&self.raw[..frame_start]);
        out.extend_from_slice(format!("${length}\r\n").as_bytes());
        out.extend_from_slice(&self.raw[self.list.start..self.deadline.start]);
        out.extend_from_slice(deadline.as_bytes());
        out.extend_from_slice(&self.raw[self.deadline.end..]);
    }
}

/// Iterates over a list such as `c=lookup,d=480`, and yields the ranges of each name and its value. Skips items without `=`.
pub fn named_values(
    buffer: &[u8],
    list: Range<usize>,
) -> impl Iterator<Item = (Range<usize>, Range<usize>)> + '_ {
    let mut next_start = list.start;
    std::iter::from_fn(move || {
        while next_start < list.end {
            let start = next_start;
            let length = buffer[start..list.end].iter().position(|&byte| byte == b',');
            let end = length.map_or(list.end, |length| start + length);
            next_start = end + 1;
            if let Some(name_length) = buffer[start..end].iter().position(|&byte| byte == b'=') {
                let name_end = start + name_length;
                return Some((start..name_end, name_end + 1..end));
            }
        }
        None
    })
}
