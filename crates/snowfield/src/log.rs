//! The log on standard output: plain lines, or JSON lines with the machine's monotonic clock.
//!
//! A line that cannot be written is dropped: whoever reads the log may go away, the gatekeeper continues to serve.

use crate::error::Error;
use settings::appliance::LogFormat;
use std::fmt;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Overrides `log` of the appliance's file; on the platform nothing else names a format.
const VARIABLE: &str = "SNOWFIELD_LOG";

/// Starts the log in the format that the environment names, otherwise in this one.
///
/// # Errors
///
/// The environment names no format.
pub fn init(configured: LogFormat) -> Result<(), Error> {
    let format = match std::env::var(VARIABLE).as_deref() {
        Err(_) | Ok("") => configured,
        Ok("plain") => LogFormat::Plain,
        Ok("json") => LogFormat::Json,
        Ok(other) => return Err(Error::InvalidLogFormat { variable: VARIABLE, value: other.to_owned() }),
    };
    let subscriber = tracing_subscriber::fmt().log_internal_errors(false).with_ansi(false);
    match format {
        LogFormat::Plain => subscriber.event_format(PlainMessage).init(),
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

/// Writes the message and nothing else.
struct PlainMessage;

impl<S, N> FormatEvent<S, N> for PlainMessage
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
        let mut message = MessageVisitor { writer: &mut writer, result: Ok(()) };
        event.record(&mut message);
        message.result?;
        writeln!(writer)
    }
}

/// Writes the field with the message.
struct MessageVisitor<'a, 'w> {
    writer: &'a mut Writer<'w>,
    result: fmt::Result,
}

impl Visit for MessageVisitor<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" && self.result.is_ok() {
            self.result = write!(self.writer, "{value:?}");
        }
    }
}
