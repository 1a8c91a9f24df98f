//! Tests the parsing of log lines, waiting for them, and the notifications of an observer.

use super::*;
use crate::sync::lock;
use serde_json::{Map, Value};
use std::path::Path;
use std::sync::Mutex;

#[test]
fn a_json_line_is_parsed_with_its_own_time_and_other_output_is_kept_unchanged() {
    let line = r#"{"timestamp":"17","level":"INFO","message":"consul: a takes work","server":"a","takes_work":true,"target":"consul"}"#;
    let parsed = LogLine::parse(line.to_owned());
    assert_eq!((parsed.at_us, parsed.text.as_str()), (Some(17), "consul: a takes work"));
    assert_eq!(parsed.fields.len(), 2);
    assert_eq!(parsed.fields["takes_work"], Value::Bool(true));
    for other in ["fatal: a panic", "[1]", "{\"timestamp\":"] {
        let unchanged = LogLine { at_us: None, text: other.to_owned(), fields: Map::new() };
        assert_eq!(LogLine::parse(other.to_owned()), unchanged);
    }
}

/// Records all notifications as text.
#[derive(Clone, Default)]
struct RecordingObserver(Arc<Mutex<Vec<String>>>);

impl RecordingObserver {
    fn add(&self, notification: String) {
        lock(&self.0).push(notification);
    }

    fn all(&self) -> Vec<String> {
        lock(&self.0).clone()
    }
}

impl ProcessObserver for RecordingObserver {
    fn started(&self) {
        self.add("started".to_owned());
    }

    fn logged(&self, line: LogLine) {
        self.add(line.text);
    }

    fn exited(&self, exit: ProcessExit) {
        self.add(format!("exited with {}, requested: {}", exit.exit_code, exit.is_requested()));
    }
}

fn start_shell(script: &str, log_format: LogFormat, observer: &RecordingObserver) -> Process {
    let (arguments, variables) = (["-c", script], [("GREETING", "hello".to_owned())]);
    let launch = Launch {
        arguments: &arguments,
        variables: &variables,
        log_format,
        ..Launch::new("shell", Path::new("/bin/sh"))
    };
    Process::start(&launch, observer.clone()).expect("the shell starts")
}

#[test]
fn an_observer_is_notified_of_the_start_then_all_lines_then_the_exit() {
    let observer = RecordingObserver::default();
    let process =
        start_shell("echo $GREETING; echo format $SNOWFIELD_LOG; exit 3", LogFormat::Json, &observer);
    assert!(process.wait_for_exit(STEP_TIMEOUT) && process.has_exited());
    assert_eq!(observer.all(), ["started", "hello", "format json", "exited with 3, requested: false"]);
}

#[test]
fn a_plain_log_is_neither_requested_as_json_nor_parsed() {
    let observer = RecordingObserver::default();
    let process = start_shell("echo format ${SNOWFIELD_LOG:-plain}", LogFormat::Plain, &observer);
    assert!(process.wait_for_exit(STEP_TIMEOUT));
    assert_eq!(observer.all()[1], "format plain");
}

#[test]
fn waiting_for_a_line_stops_at_the_exit_of_the_process_or_at_the_timeout() {
    let observer = RecordingObserver::default();
    let exited = start_shell("echo serving on 1", LogFormat::Plain, &observer);
    assert!(exited.log().wait_for("serving on "));
    assert!(!exited.log().wait_for("never logged"));
    let running = start_shell("exec sleep 30", LogFormat::Plain, &observer);
    assert!(!running.log().wait_for_within("never logged", Duration::from_millis(20)));
    assert!(!running.has_exited());
}

#[test]
fn the_exit_of_a_process_that_is_shut_down_or_killed_is_requested() {
    let observer = RecordingObserver::default();
    let process = start_shell("echo up; exec sleep 30", LogFormat::Plain, &observer);
    assert!(process.log().wait_for("up"));
    process.shut_down();
    assert!(process.wait_for_exit(STEP_TIMEOUT));
    assert_eq!(observer.all().last().map(String::as_str), Some("exited with -15, requested: true"));
    let killed = RecordingObserver::default();
    let process = start_shell("exec sleep 30", LogFormat::Plain, &killed);
    process.kill();
    assert_eq!(killed.all(), ["started", "exited with -9, requested: true"]);
}

#[test]
fn a_suspended_process_writes_nothing_until_it_is_resumed() {
    let observer = RecordingObserver::default();
    let script = "echo up; i=0; while [ $i -lt 100 ]; do sleep 0.01; i=$((i + 1)); done; echo done";
    let process = start_shell(script, LogFormat::Plain, &observer);
    assert!(process.log().wait_for("up"));
    process.suspend();
    assert!(!process.log().wait_for_within("done", Duration::from_secs(2)));
    process.resume();
    assert!(process.log().wait_for("done"));
}

#[test]
fn an_exit_by_a_kill_from_elsewhere_is_not_requested() {
    let is_requested = |request, exit_code| ProcessExit { exit_code, request }.is_requested();
    assert!(is_requested(ExitRequest::Kill, KILLED) && is_requested(ExitRequest::Kill, 0));
    assert!(is_requested(ExitRequest::ShutDown, 0) && is_requested(ExitRequest::ShutDown, 101));
    assert!(!is_requested(ExitRequest::ShutDown, KILLED) && !is_requested(ExitRequest::None, 0));
}
