//! Runs the quickstart as a user does, with the gatekeeper that is built in the same directory.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// The time that each line of output may take. It is longer than any step of the quickstart.
const TIMEOUT: Duration = Duration::from_secs(30);
const QUICKSTART: &str = env!("CARGO_BIN_EXE_quickstart");
/// The start of the ports that no other test uses. They are divided into ranges. Each process of this test takes a range by its
/// process id, and each test takes its own part of that range.
const FIRST_PORT: u32 = 9_200;
const PORT_RANGES: u32 = 500;
const PORTS_PER_RANGE: u32 = 10;
const PORTS_PER_TEST: u32 = 5;

/// Returns the path of the gatekeeper, and fails if it is not built. `cargo test --workspace` builds it, and
/// `cargo test -p quickstart` does not.
fn require_gatekeeper() -> PathBuf {
    let path = Path::new(QUICKSTART).with_file_name("snowfield");
    assert!(path.exists(), "{} is not built: cargo build -p snowfield", path.display());
    path
}

/// Returns the command that starts the quickstart. `test` is the number of the calling test, so that the gatekeepers of two
/// tests get different ports.
fn quickstart_command(test: u32) -> Command {
    let port = FIRST_PORT + std::process::id() % PORT_RANGES * PORTS_PER_RANGE + test * PORTS_PER_TEST;
    let mut command = Command::new(QUICKSTART);
    command.args(["--port", &port.to_string()]);
    command
}

/// A running quickstart and the lines that it prints.
struct Quickstart {
    child: Child,
    lines: Receiver<String>,
}

impl Quickstart {
    fn start(test: u32) -> Self {
        let mut child =
            quickstart_command(test).stdout(Stdio::piped()).spawn().expect("the quickstart starts");
        let output = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            output.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok())
        });
        Self { child, lines }
    }

    /// Waits for the next line that begins with `prefix`, apart from indentation, and returns the rest of the line.
    fn line_after(&self, prefix: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(TIMEOUT).expect("the quickstart prints the line in time");
            if let Some(rest) = line.trim_start().strip_prefix(prefix) {
                return rest.to_owned();
            }
        }
    }

    /// Sends SIGINT, as Ctrl-C does, and waits until the quickstart ends.
    fn interrupt(mut self) -> ExitStatus {
        self.signal("-INT");
        self.child.wait().expect("the quickstart can be waited for")
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }
}

/// Stops the quickstart with SIGTERM if a test fails, so that it stops its gatekeeper. After SIGKILL the gatekeeper would keep
/// running.
impl Drop for Quickstart {
    fn drop(&mut self) {
        if matches!(self.child.try_wait(), Ok(None)) {
            self.signal("-TERM");
            let _ = self.child.wait();
        }
    }
}

#[test]
fn prints_the_answer_of_a_backend_and_exits() {
    require_gatekeeper();
    let output = quickstart_command(0).arg("--once").output().expect("the quickstart runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{errors}");
    assert!(text.contains("HTTP/1.1 200 OK"), "{text}");
    assert!(text.contains(r#"{"path":"/v1/loans/7/balance","served_by":"loan-server-"#), "{text}");
}

#[test]
fn serves_requests_and_status_until_it_is_interrupted() {
    let gatekeeper = require_gatekeeper();
    let quickstart = Quickstart::start(1);
    let url = quickstart.line_after("curl -i -H 'X-Lender: al-noor' http://");
    let file = quickstart.line_after(&format!("{} status ", gatekeeper.display()));

    let status = Command::new(&gatekeeper).args(["status", &file]).output().expect("snowfield status starts");
    let status_text = String::from_utf8_lossy(&status.stdout);
    assert!(status.status.success(), "{status_text}");
    assert!(status_text.contains("served 1"), "the first request is counted:\n{status_text}");
    assert!(status_text.contains("loan-server-1"), "{status_text}");
    assert!(status_text.contains("loan-server-2"), "{status_text}");

    assert!(quickstart.interrupt().success());
    let address = url.split('/').next().expect("the URL begins with the address");
    assert!(std::net::TcpStream::connect(address).is_err(), "the gatekeeper ended with the quickstart");
    assert!(!Path::new(&file).exists(), "the files of the run are removed");
}

#[test]
fn the_unchanged_example_configuration_is_valid() {
    let gatekeeper = require_gatekeeper();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/quickstart/snowfield.toml");
    let mut check = Command::new(gatekeeper)
        .arg("check")
        .arg(file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("snowfield check starts");
    let mut text = String::new();
    check.stdout.take().expect("stdout is piped").read_to_string(&mut text).expect("the output is UTF-8");
    assert!(check.wait().expect("snowfield check can be waited for").success(), "{text}");
}
