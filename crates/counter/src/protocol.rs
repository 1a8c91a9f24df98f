//! Wire protocol of the counter: encodes calls and interprets answers, both in RESP2.

use exchange::CounterCall;
use resp::Element;

/// The command that adds units to a count and returns the new sum of the count.
const COMMAND: &[u8] = b"TALLY";
/// Range that the counter accepts for the retention of a new count, in milliseconds.
const RETENTION_RANGE_MS: std::ops::RangeInclusive<u64> = 1..=60_000;
const MICROS_PER_MS: u64 = 1_000;
/// Initial capacity in bytes of the buffer for an encoded call. Most calls fit in it.
const TYPICAL_CALL_BYTES: usize = 96;
/// First words of the error lines by which the counter says that nothing was added.
const REJECTION_CODES: [&[u8]; 2] = [b"BUSY", b"ERR"];

/// What an answer of the counter says about the units of its call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answer {
    /// The units of the call were added. The value is the sum of the count after the call.
    Total(f64),
    /// The counter rejected the call and added no units.
    Rejected,
    /// The answer is neither a number nor a known error line. The caller must assume that the units of the call were added.
    Invalid,
}

/// Encodes a call as the RESP2 command that adds its units to its count.
pub(crate) fn encode(call: &CounterCall) -> Vec<u8> {
    let name = format!("{:016x}", call.name);
    let units = call.units.to_string();
    let retention_ms =
        (call.ttl / MICROS_PER_MS).clamp(*RETENTION_RANGE_MS.start(), *RETENTION_RANGE_MS.end());
    let retention = retention_ms.to_string();
    let mut bytes = Vec::with_capacity(TYPICAL_CALL_BYTES);
    resp::put_command(&mut bytes, &[COMMAND, name.as_bytes(), units.as_bytes(), retention.as_bytes()]);
    bytes
}

/// Interprets the answer at this element of the buffer.
pub(crate) fn interpret(buffer: &[u8], element: &Element) -> Answer {
    match element {
        Element::Bulk(range) => parse_total(&buffer[range.clone()]).map_or(Answer::Invalid, Answer::Total),
        Element::Error(range) if is_rejection(&buffer[range.clone()]) => Answer::Rejected,
        _ => Answer::Invalid,
    }
}

fn parse_total(text: &[u8]) -> Option<f64> {
    let total: f64 = std::str::from_utf8(text).ok()?.trim().parse().ok()?;
    total.is_finite().then_some(total)
}

/// Whether an error line says that nothing was added. The counter sends no other error lines, so any other line is invalid.
fn is_rejection(line: &[u8]) -> bool {
    line.split(|byte| *byte == b' ').next().is_some_and(|word| REJECTION_CODES.contains(&word))
}
