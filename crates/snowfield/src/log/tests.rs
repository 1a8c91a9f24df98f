//! Tests of the plain format of log lines.

use super::*;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

/// Collects the bytes that are written to the log.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the text that a function logs.
fn logged(log: impl FnOnce()) -> String {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .event_format(PlainLine)
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, log);
    let bytes = buffer.0.lock().expect("no panic").clone();
    String::from_utf8(bytes).expect("text in UTF-8")
}

#[test]
fn a_message_without_fields_is_written_unchanged() {
    assert_eq!(logged(|| tracing::info!("{}: serving on {}", "gk", 7)), "gk: serving on 7\n");
}

#[test]
fn fields_follow_the_message() {
    let line =
        logged(|| tracing::warn!(backend = "a-1", eligible = true, count = 3_u64, "endpoint eligible"));
    assert_eq!(line, "endpoint eligible backend=a-1 eligible=true count=3\n");
}

#[test]
fn values_with_spaces_quotes_and_line_ends_are_quoted_and_escaped() {
    let error = "no \"such\"\nhost";
    let line = logged(|| tracing::warn!(%error, reason = "", "watch failed"));
    assert_eq!(line, "watch failed error=\"no \\\"such\\\"\\nhost\" reason=\"\"\n");
}

#[test]
fn an_absent_value_is_left_out() {
    let line = logged(|| tracing::info!(suppressed = None::<u64>, "lease store recovered"));
    assert_eq!(line, "lease store recovered\n");
}
