//! The two formats of the log, and a log reader that closes its end of the pipe.

mod common;

use common::*;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

/// The settings file of the program.
const SETTINGS: &str = "listen = \"127.0.0.1:0\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
    [consul]\naddress = \"127.0.0.1:1\"\nservice = \"loan-server\"\n\
    [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 300\ndeadline_ms = 1000\n\
    [[plan]]\nname = \"basic\"\nunits_per_second = 10.0\nburst = 20.0\n\
    [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n";

fn directory_with_description(test: &str) -> TestDirectory {
    let directory = TestDirectory::new(test);
    directory.write("loans.json", r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"paths":{"/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}}}}"#);
    directory
}

#[test]
fn the_environment_overrides_the_log_format_of_the_file() {
    let directory = directory_with_description("log-forms");
    let plain = directory.write("plain.toml", SETTINGS);
    let json = directory.write("json.toml", &format!("log = \"json\"\n{SETTINGS}"));
    for (file, variable, is_json) in
        [(&plain, "", false), (&json, "", true), (&plain, "json", true), (&json, "plain", false)]
    {
        let program = Program::start(&["serve", file], &[("SNOWFIELD_LOG", variable)]);
        let line = program.wait_for_line("serving OpenAPI on ");
        assert_eq!(line.starts_with("{\"timestamp\":\""), is_json, "{file} {variable}: {line}");
        assert!(is_json || line.starts_with("serving OpenAPI on 127.0.0.1:"), "{line}");
        assert!(!is_json || line.contains("\"message\":\"serving OpenAPI on 127.0.0.1:"), "{line}");
    }
    let (succeeded, output) = run(&["serve", &plain], &[("SNOWFIELD_LOG", "xml")]);
    assert!(!succeeded && output.contains("SNOWFIELD_LOG"), "{output}");
}

/// Regression: `println!` panics if standard output is closed, so that the logging thread ended.
#[test]
fn a_log_reader_that_closes_its_end_does_not_stop_the_process() {
    let directory = directory_with_description("log-closed");
    let file = directory.write("a.toml", SETTINGS);
    let mut child = Command::new(env!("CARGO_BIN_EXE_snowfield"))
        .args(["serve", &file])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut log = BufReader::new(child.stdout.take().expect("standard output is piped"));
    let mut line = String::new();
    while !line.contains("serving OpenAPI") {
        line.clear();
        assert_ne!(log.read_line(&mut line).expect("the log is readable"), 0, "the log ended");
    }
    drop(log);
    // The shutdown logs two lines that cannot be written.
    let status = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
    assert!(status.expect("kill runs").success());
    let output = child.wait_with_output().expect("the program was started");
    assert_eq!((output.status.code(), String::from_utf8_lossy(&output.stderr).as_ref()), (Some(0), ""));
}
