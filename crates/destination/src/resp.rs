//! Destinations that speak the platform's RESP2.

use crate::{Protocol, Reading};
use dewproxy::interface::{Load, Micros, Outcome};
use exchange::StepEnd;
use resp::{Element, Malformed, Query};
use std::net::SocketAddr;

/// Speaks RESP2 with destinations. The answer to pass back is the value with its frame, as it came.
#[derive(Debug)]
pub struct RespDestination {
    /// The names under which a load report gives each of the settings' columns.
    pub columns: Vec<Load>,
}

impl Protocol for RespDestination {
    type Query = Query;
    type Answer = Vec<u8>;

    fn write(&self, query: &Query, _to: SocketAddr, time_left: Micros, out: &mut Vec<u8>) {
        query.put((time_left / 1000).max(1), out);
    }

    fn read(&self, _query: &Query, buffer: &[u8], _end: bool) -> Reading<Vec<u8>> {
        match self.answer(buffer) {
            Ok(Some((used, end))) => Reading::Whole { used, keep: true, end },
            Ok(None) => Reading::More,
            Err(Malformed(text)) => Reading::Malformed(text),
        }
    }
}

/// How many bytes an answer took, and what it says.
type Answer = (usize, StepEnd<Vec<u8>>);

impl RespDestination {
    fn answer(&self, buffer: &[u8]) -> Result<Option<Answer>, Malformed> {
        let Some(used) = resp::message_end(buffer, 0)? else { return Ok(None) };
        let Some((first, at)) = resp::element(buffer, 0)? else { return Ok(None) };
        match first {
            Element::Array(items @ 1..) => {
                let Some(after) = resp::message_end(buffer, at)? else { return Ok(None) };
                let Some((Element::Bulk(_), _)) = resp::element(buffer, at)? else {
                    return Err(Malformed("an answer without a value"));
                };
                let mut load = Vec::new();
                // The load report is the third item.
                if items >= 3
                    && let Some(third) = resp::message_end(buffer, after)?
                    && let Some((Element::Bulk(report), _)) = resp::element(buffer, third)?
                {
                    load = self.load(&buffer[report]);
                }
                let answer = Some(buffer[at..after].to_vec());
                Ok(Some((used, StepEnd { outcome: Outcome::Ok, answer, load })))
            }
            Element::Error(text) => {
                let text = &buffer[text];
                let word = text.split(|&b| b == b' ').next().unwrap_or_default();
                let outcome = if word == b"BUSY" { Outcome::Full } else { Outcome::Error };
                let load = text.rsplit(|&b| b == b' ').next().map_or(Vec::new(), |last| self.load(last));
                Ok(Some((used, StepEnd { outcome, answer: None, load })))
            }
            _ => Err(Malformed("an answer of an unknown form")),
        }
    }

    /// The values of a report such as `inflight=7,queue=2`, in the order of the settings' columns.
    fn load(&self, report: &[u8]) -> Vec<f32> {
        if !report.contains(&b'=') {
            return Vec::new();
        }
        let mut values = vec![0.0; self.columns.len()];
        for (name, value) in resp::fields(report, 0..report.len()) {
            let column = match &report[name] {
                b"inflight" | b"active" => Load::Active,
                b"queue" | b"waiting" => Load::Waiting,
                b"util" | b"cpu" => Load::Cpu,
                b"latency_ms" | b"avg_ms" => Load::ServiceMs,
                b"qps" | b"rps" => Load::Served,
                _ => continue,
            };
            let value = std::str::from_utf8(&report[value]).ok().and_then(|v| v.parse().ok());
            if let (Some(at), Some(value)) = (self.columns.iter().position(|&c| c == column), value) {
                values[at] = value;
            }
        }
        values
    }
}
