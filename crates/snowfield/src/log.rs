//! The log on standard output: plain lines, or JSON lines with the machine's monotonic clock.
//!
//! A line that cannot be written is dropped: who reads the log may go away, the gatekeeper serves on.

use std::fmt;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Overrides `log` of the appliance's file; the platform's form has nothing else.
const VARIABLE: &str = "SNOWFIELD_LOG";

/// How lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// The words alone, as docs/ONCALL.md lists them.
    Plain,
    /// An object a line, with time, level, part, words and fields.
    Json,
}

/// Begins the log, in the form that the environment names, else in this one.
///
/// # Errors
///
/// The environment names no form.
pub fn begin(stated: Form) -> Result<(), String> {
    let form = match std::env::var(VARIABLE).as_deref() {
        Err(_) | Ok("") => stated,
        Ok("plain") => Form::Plain,
        Ok("json") => Form::Json,
        Ok(other) => return Err(format!("{VARIABLE}: {other:?} is neither \"plain\" nor \"json\"")),
    };
    let lines = tracing_subscriber::fmt().log_internal_errors(false).with_ansi(false);
    match form {
        Form::Plain => lines.event_format(Words).init(),
        Form::Json => lines.json().flatten_event(true).with_timer(Monotonic).init(),
    }
    Ok(())
}

/// Microseconds of the system's monotonic clock, which all programs of a machine share.
struct Monotonic;

impl FormatTime for Monotonic {
    fn format_time(&self, to: &mut Writer<'_>) -> fmt::Result {
        let at = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        write!(to, "{}", at.tv_sec as u64 * 1_000_000 + at.tv_nsec as u64 / 1_000)
    }
}

/// The message and nothing else.
struct Words;

impl<S, N> FormatEvent<S, N> for Words
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut message = Message(&mut to, Ok(()));
        event.record(&mut message);
        message.1?;
        writeln!(to)
    }
}

struct Message<'a, 'w>(&'a mut Writer<'w>, fmt::Result);

impl Visit for Message<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" && self.1.is_ok() {
            self.1 = write!(self.0, "{value:?}");
        }
    }
}
