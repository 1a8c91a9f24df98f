//! Destinations that speak the platform's RESP2.

use crate::{Long, Protocol, Reading};
use exchange::{AnswerBody, AttemptEnd};
use policy::{LoadMetric, Micros, Outcome};
use resp::{Element, Malformed, Query};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Speaks RESP2 with destinations. The answer to pass back is the value with its frame, as it came.
#[derive(Debug)]
pub struct RespDestination {
    /// The names under which a load report gives each of the settings' columns.
    columns: Mutex<Arc<[LoadMetric]>>,
}

impl Protocol for RespDestination {
    type Query = Query;
    type Answer = AnswerBody;

    fn write(&self, query: &Query, _to: SocketAddr, time_left: Micros, out: &mut Vec<u8>) {
        query.put((time_left / 1000).max(1), out);
    }

    fn after_value(
        &self,
        behind: usize,
        buffer: &[u8],
    ) -> Result<Option<(usize, &'static [u8])>, &'static str> {
        let Some(end) = buffer.get(..2) else { return Ok(None) };
        if end != b"\r\n" {
            return Err("a value is longer than it says");
        }
        let mut at = 2;
        for _ in 0..behind {
            // A figure that cannot be read spoils nothing, as in a short answer.
            let end = resp::message_end(buffer, at).or_else(|_| resp::integer_end(buffer, at));
            match end.map_err(|Malformed(text)| text)? {
                Some(end) => at = end,
                None => return Ok(None),
            }
        }
        Ok(Some((at, b"\r\n")))
    }

    fn read(&self, _query: &Query, buffer: &[u8], _end: bool) -> Reading<AnswerBody> {
        if let Some(long) = long(buffer) {
            return long;
        }
        match self.answer(buffer) {
            Ok(Some((used, end))) => Reading::Whole { used, keep: true, end },
            Ok(None) => Reading::More,
            Err(Malformed(text)) => Reading::Malformed(text),
        }
    }
}

/// A value that is too long to be held, if one has begun.
fn long(buffer: &[u8]) -> Option<Reading<AnswerBody>> {
    let (Element::Array(items @ 1..), at) = resp::element(buffer, 0).ok()?? else { return None };
    let (length, used) = resp::bulk_head(buffer, at).ok()??;
    let (head, behind, answer) = (buffer[at..used].to_vec(), items - 1, AnswerBody::Stream as fn(_) -> _);
    (length > resp::LARGEST_BULK).then_some(Reading::Long(Long { used, head, length, behind, answer }))
}

/// How many bytes an answer took, and what it says.
type Answer = (usize, AttemptEnd<AnswerBody>);

impl RespDestination {
    /// Reports give values for these columns.
    pub fn new(columns: &[LoadMetric]) -> Self {
        Self { columns: Mutex::new(columns.into()) }
    }

    /// Reports give values for other columns from now on.
    pub fn set_columns(&self, columns: &[LoadMetric]) {
        *link::locked(&self.columns) = columns.into();
    }

    /// The answer at the start of the buffer. It is looked at piece by piece, so that bytes from which no answer can
    /// come are found before more of them are waited for.
    fn answer(&self, buffer: &[u8]) -> Result<Option<Answer>, Malformed> {
        let Some((first, at)) = resp::element(buffer, 0)? else { return Ok(None) };
        match first {
            Element::Array(items @ 1..) => {
                if buffer.get(at).is_some_and(|&kind| kind != b'$') {
                    return Err(Malformed("an answer without a value"));
                }
                let Some((Element::Bulk(_), after)) = resp::element(buffer, at)? else {
                    let whole = resp::element(buffer, at)?.is_some();
                    return if whole { Err(Malformed("an answer without a value")) } else { Ok(None) };
                };
                let (mut from, mut load) = (after, Vec::new());
                for item in 1..items {
                    // A figure that cannot be read spoils nothing. But where the frames do not fit, the value may have been
                    // cut by a wrong length of its own.
                    let end = resp::message_end(buffer, from).or_else(|_| resp::integer_end(buffer, from))?;
                    let Some(end) = end else { return Ok(None) };
                    // The load report is the third item.
                    if let (2, Ok(Some((Element::Bulk(report), _)))) = (item, resp::element(buffer, from)) {
                        load = self.load(&buffer[report]);
                    }
                    from = end;
                }
                let answer = Some(AnswerBody::Complete(buffer[at..after].to_vec()));
                Ok(Some((from, AttemptEnd { outcome: Outcome::Ok, answer, load, is_streaming: false })))
            }
            Element::Error(text) => {
                let text = &buffer[text];
                let word = text.split(|&b| b == b' ').next().unwrap_or_default();
                let outcome = if word == b"BUSY" { Outcome::Rejected } else { Outcome::Error };
                let load = text.rsplit(|&b| b == b' ').next().map_or(Vec::new(), |last| self.load(last));
                Ok(Some((at, AttemptEnd { load, ..AttemptEnd::without_answer(outcome) })))
            }
            _ => Err(Malformed("an answer of an unknown form")),
        }
    }

    /// The values of a report such as `inflight=7,queue=2`, in the order of the settings' columns. What it does not tell,
    /// or tells in no number, is unknown and no zero: a destination must not look idle for it. Empty where nothing is
    /// known.
    fn load(&self, report: &[u8]) -> Vec<f32> {
        let columns = link::locked(&self.columns).clone();
        let mut values = vec![f32::NAN; columns.len()];
        for (name, value) in resp::fields(report, 0..report.len()) {
            let column = match &report[name] {
                b"inflight" | b"active" => LoadMetric::InFlight,
                b"queue" | b"waiting" => LoadMetric::Queued,
                b"util" | b"cpu" => LoadMetric::Cpu,
                b"latency_ms" | b"avg_ms" => LoadMetric::ServiceTimeMillis,
                b"qps" | b"rps" => LoadMetric::Throughput,
                _ => continue,
            };
            let value = std::str::from_utf8(&report[value]).ok().and_then(|v| v.parse::<f32>().ok());
            let value = value.filter(|v| v.is_finite() && *v >= 0.0);
            if let (Some(at), Some(value)) = (columns.iter().position(|&c| c == column), value) {
                values[at] = value;
            }
        }
        if values.iter().all(|v| v.is_nan()) { Vec::new() } else { values }
    }
}
