//! The log on standard output: plain lines (`message field=value ...`), or JSON lines with timestamps of the monotonic
//! clock.
//!
//! A line that cannot be written is dropped: the gatekeeper continues to serve after the reader of the log has closed its end.

use crate::error::Error;
use settings::appliance::LogFormat;
use std::fmt;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Environment variable that overrides the log format. On the platform only this variable sets the format; the appliance's
/// file has a setting for it.
const FORMAT_VARIABLE: &str = "SNOWFIELD_LOG";
/// The name that `tracing` gives the field with the message.
const MESSAGE_FIELD: &str = "message";

/// Installs the log. The environment variable `SNOWFIELD_LOG` overrides the `configured` format.
///
/// # Errors
///
/// The environment variable holds an unknown format.
pub fn init(configured: LogFormat) -> Result<(), Error> {
    let format = match std::env::var(FORMAT_VARIABLE).as_deref() {
        Err(_) | Ok("") => configured,
        Ok("plain") => LogFormat::Plain,
        Ok("json") => LogFormat::Json,
        Ok(other) => {
            return Err(Error::InvalidLogFormat { variable: FORMAT_VARIABLE, value: other.to_owned() });
        }
    };
    let subscriber = tracing_subscriber::fmt().log_internal_errors(false).with_ansi(false);
    match format {
        LogFormat::Plain => subscriber.event_format(PlainLine).init(),
        LogFormat::Json => subscriber.json().flatten_event(true).with_timer(MonotonicClock).init(),
    }
    Ok(())
}

/// Microseconds of the system's monotonic clock, which all processes of a machine share.
struct MonotonicClock;

impl FormatTime for MonotonicClock {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        write!(writer, "{}", now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
    }
}

/// Writes the message, then the fields as ` name=value`.
struct PlainLine;

impl<S, N> FormatEvent<S, N> for PlainLine
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        for part in [LinePart::Message, LinePart::Fields] {
            let mut visitor = LinePartVisitor { part, writer: &mut writer, result: Ok(()) };
            event.record(&mut visitor);
            visitor.result?;
        }
        writeln!(writer)
    }
}

/// A part of a plain line. The message is written before the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinePart {
    Message,
    Fields,
}

/// Writes either the message or the other fields of an event.
struct LinePartVisitor<'a, 'w> {
    part: LinePart,
    writer: &'a mut Writer<'w>,
    result: fmt::Result,
}

impl LinePartVisitor<'_, '_> {
    fn write(&mut self, field: &Field, value: &str) {
        let part = if field.name() == MESSAGE_FIELD { LinePart::Message } else { LinePart::Fields };
        if part != self.part || self.result.is_err() {
            return;
        }
        self.result = match part {
            LinePart::Message => self.writer.write_str(value),
            LinePart::Fields if needs_no_quotes(value) => write!(self.writer, " {field}={value}"),
            LinePart::Fields => write!(self.writer, " {field}={value:?}"),
        };
    }
}

impl Visit for LinePartVisitor<'_, '_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.write(field, value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.write(field, &format!("{value:?}"));
    }
}

/// Whether a value can be written without quotes, because its end is recognizable. Other values are quoted, with line ends and
/// quotes escaped.
fn needs_no_quotes(value: &str) -> bool {
    let is_plain_char = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=');
    !value.is_empty() && value.chars().all(is_plain_char)
}

#[cfg(test)]
mod tests;
