//! The two formats of the log, and a reader that closes its end.

mod common;

use common::*;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

const FILE: &str = "listen = \"127.0.0.1:0\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
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
    let plain = directory.write("plain.toml", FILE);
    let json = directory.write("json.toml", &format!("log = \"json\"\n{FILE}"));
    for (file, variable, objects) in
        [(&plain, "", false), (&json, "", true), (&plain, "json", true), (&json, "plain", false)]
    {
        let program = Program::start(&["serve", file], &[("SNOWFIELD_LOG", variable)]);
        let line = program.wait_for_line("serving OpenAPI on ");
        assert_eq!(line.starts_with("{\"timestamp\":\""), objects, "{file} {variable}: {line}");
        assert!(objects || line.starts_with("serving OpenAPI on 127.0.0.1:"), "{line}");
        assert!(!objects || line.contains("\"message\":\"serving OpenAPI on 127.0.0.1:"), "{line}");
    }
    let (fine, text) = run(&["serve", &plain], &[("SNOWFIELD_LOG", "xml")]);
    assert!(!fine && text.contains("SNOWFIELD_LOG"), "{text}");
}

/// Regression: `println!` panics if standard output is closed, which ended the thread that logged.
#[test]
fn a_closed_log_reader_does_not_stop_the_process() {
    let directory = directory_with_description("log-closed");
    let file = directory.write("a.toml", FILE);
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
        assert_ne!(log.read_line(&mut line).expect("a line"), 0, "it ended");
    }
    drop(log);
    // The shutdown logs two lines that cannot be written.
    let done = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
    assert!(done.expect("kill runs").success());
    let out = child.wait_with_output().expect("the program was started");
    assert_eq!((out.status.code(), String::from_utf8_lossy(&out.stderr).as_ref()), (Some(0), ""));
}
