//! RESP2 as the platform's backends speak it.

use crate::protocol::StreamTail;
use crate::{Parsed, Protocol, StreamedAnswer};
use exchange::{AnswerBody, AttemptEnd};
use policy::{LoadMetric, Micros, Outcome};
use resp::{Element, MalformedInput, RequestCommand};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Index of the load report among the items of an answer. Item 0 is the value.
const LOAD_REPORT_ITEM: usize = 2;
/// The bytes that end each RESP2 line and each bulk string.
const LINE_END: &[u8] = b"\r\n";

/// RESP2. The answer that the client gets is the value with its RESP2 framing, unchanged.
#[derive(Debug)]
pub struct RespProtocol {
    /// The load metrics that the settings list as columns, in order.
    columns: Mutex<Arc<[LoadMetric]>>,
}

/// A complete answer at the start of a buffer.
struct CompleteAnswer {
    consumed: usize,
    end: AttemptEnd<AnswerBody>,
}

impl Protocol for RespProtocol {
    type Payload = RequestCommand;
    type Answer = AnswerBody;

    fn encode(&self, query: &RequestCommand, _to: SocketAddr, time_left: Micros, out: &mut Vec<u8>) {
        query.encode_with_deadline((time_left / 1000).max(1), out);
    }

    fn parse_tail(&self, trailing_items: usize, buffer: &[u8]) -> Result<Option<StreamTail>, &'static str> {
        let Some(line_end) = buffer.get(..LINE_END.len()) else { return Ok(None) };
        if line_end != LINE_END {
            return Err("a value is longer than its length prefix");
        }
        let mut consumed = LINE_END.len();
        for _ in 0..trailing_items {
            match item_end(buffer, consumed).map_err(|MalformedInput(text)| text)? {
                Some(end) => consumed = end,
                None => return Ok(None),
            }
        }
        Ok(Some(StreamTail { consumed, forwarded: LINE_END }))
    }

    fn parse(&self, _query: &RequestCommand, buffer: &[u8], _is_end: bool) -> Parsed<AnswerBody> {
        if let Some(streamed) = streamed_answer(buffer) {
            return Parsed::Streamed(streamed);
        }
        match self.complete_answer(buffer) {
            Ok(Some(CompleteAnswer { consumed, end })) => {
                Parsed::Complete { consumed, keep_alive: true, end }
            }
            Ok(None) => Parsed::Incomplete,
            Err(MalformedInput(text)) => Parsed::Malformed(text),
        }
    }
}

/// The end of an item after the value. An invalid number in it is ignored, but an invalid frame is an error: the value before it
/// may have been cut by a wrong length.
fn item_end(buffer: &[u8], start: usize) -> Result<Option<usize>, MalformedInput> {
    resp::message_end(buffer, start).or_else(|_| resp::integer_end(buffer, start))
}

/// The start of an answer whose value is too large to be buffered; `None` if the buffer does not begin with one.
fn streamed_answer(buffer: &[u8]) -> Option<StreamedAnswer<AnswerBody>> {
    let (Element::Array(items @ 1..), value_start) = resp::parse_element(buffer, 0).ok()?? else {
        return None;
    };
    let (value_bytes, consumed) = resp::bulk_head(buffer, value_start).ok()??;
    (value_bytes > resp::MAX_BULK_BYTES).then(|| StreamedAnswer {
        consumed,
        head: buffer[value_start..consumed].to_vec(),
        value_bytes,
        trailing_items: items - 1,
        into_answer: AnswerBody::Stream,
    })
}

impl RespProtocol {
    /// Creates a protocol that extracts these metrics from load reports, in this order.
    pub fn new(columns: &[LoadMetric]) -> Self {
        Self { columns: Mutex::new(columns.into()) }
    }

    /// Sets the metrics that are extracted from later load reports, and their order.
    pub fn set_columns(&self, columns: &[LoadMetric]) {
        *link::lock_or_abort(&self.columns) = columns.into();
    }

    /// The answer at the start of the buffer. It is parsed item by item, so that malformed bytes are found before more are
    /// awaited.
    fn complete_answer(&self, buffer: &[u8]) -> Result<Option<CompleteAnswer>, MalformedInput> {
        let Some((first, next)) = resp::parse_element(buffer, 0)? else { return Ok(None) };
        match first {
            Element::Array(items @ 1..) => self.served_answer(buffer, next, items),
            Element::Error(text) => {
                let end = self.error_answer(&buffer[text]);
                Ok(Some(CompleteAnswer { consumed: next, end }))
            }
            _ => Err(MalformedInput("an answer is neither an array with items nor an error")),
        }
    }

    fn served_answer(
        &self,
        buffer: &[u8],
        value_start: usize,
        items: usize,
    ) -> Result<Option<CompleteAnswer>, MalformedInput> {
        if buffer.get(value_start).is_some_and(|&kind| kind != b'$') {
            return Err(MalformedInput("the first item of an answer is not a bulk string"));
        }
        let value_end = match resp::parse_element(buffer, value_start)? {
            Some((Element::Bulk(_), end)) => end,
            Some(_) => return Err(MalformedInput("the first item of an answer is not a bulk string")),
            None => return Ok(None),
        };
        let (mut consumed, mut load) = (value_end, Vec::new());
        for item in 1..items {
            let Some(end) = item_end(buffer, consumed)? else { return Ok(None) };
            let element = resp::parse_element(buffer, consumed);
            if let (LOAD_REPORT_ITEM, Ok(Some((Element::Bulk(report), _)))) = (item, element) {
                load = self.parse_load_report(&buffer[report]);
            }
            consumed = end;
        }
        let answer = Some(AnswerBody::Complete(buffer[value_start..value_end].to_vec()));
        let end = AttemptEnd { outcome: Outcome::Ok, answer, load, is_streaming: false };
        Ok(Some(CompleteAnswer { consumed, end }))
    }

    /// The end of an attempt that the backend answered with an error line. The last word of the line may be a load report.
    fn error_answer(&self, text: &[u8]) -> AttemptEnd<AnswerBody> {
        let code = text.split(|&byte| byte == b' ').next().unwrap_or_default();
        let outcome = if code == b"BUSY" { Outcome::Rejected } else { Outcome::Error };
        let load =
            text.rsplit(|&byte| byte == b' ').next().map_or(Vec::new(), |last| self.parse_load_report(last));
        AttemptEnd { load, ..AttemptEnd::without_answer(outcome) }
    }

    /// Parses the values of a load report such as `inflight=7,queue=2`, in the order of the settings' columns. A value that is
    /// missing or not a number is NaN and not 0, so that the backend does not seem idle. Empty if no value is known.
    fn parse_load_report(&self, report: &[u8]) -> Vec<f32> {
        let columns = link::lock_or_abort(&self.columns).clone();
        let mut values = vec![f32::NAN; columns.len()];
        for (name, value) in resp::named_values(report, 0..report.len()) {
            let Some(metric) = load_metric(&report[name]) else { continue };
            let value = std::str::from_utf8(&report[value]).ok().and_then(|text| text.parse::<f32>().ok());
            let value = value.filter(|value| value.is_finite() && *value >= 0.0);
            let column = columns.iter().position(|&column| column == metric);
            if let (Some(column), Some(value)) = (column, value) {
                values[column] = value;
            }
        }
        if values.iter().all(|value| value.is_nan()) { Vec::new() } else { values }
    }
}

/// The load metric of a name in a load report; `None` if the name is unknown.
fn load_metric(name: &[u8]) -> Option<LoadMetric> {
    match name {
        b"inflight" | b"active" => Some(LoadMetric::InFlight),
        b"queue" | b"waiting" => Some(LoadMetric::Queued),
        b"util" | b"cpu" => Some(LoadMetric::Cpu),
        b"latency_ms" | b"avg_ms" => Some(LoadMetric::ServiceTimeMillis),
        b"qps" | b"rps" => Some(LoadMetric::Throughput),
        _ => None,
    }
}
