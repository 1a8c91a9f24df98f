//! The quickstart as a newcomer runs it, with the gatekeeper that is built beside it.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Longer than anything here may take.
const TIMEOUT: Duration = Duration::from_secs(30);
const QUICKSTART: &str = env!("CARGO_BIN_EXE_quickstart");
/// Ports that no other test uses. Each process of this test starts at a port of its own, and each test in it.
const FIRST_PORT: u32 = 9_200;
const PROCESSES: u32 = 500;
const PORTS_PER_PROCESS: u32 = 10;
const PORTS_PER_TEST: u32 = 5;

/// The gatekeeper beside the quickstart. `cargo test --workspace` builds it; `cargo test -p quickstart` alone does not.
fn require_gatekeeper() -> PathBuf {
    let path = Path::new(QUICKSTART).with_file_name("snowfield");
    assert!(path.exists(), "{} is not built: cargo build -p snowfield", path.display());
    path
}

/// A quickstart whose gatekeeper does not get the ports of another test.
fn quickstart_command(test: u32) -> Command {
    let port = FIRST_PORT + std::process::id() % PROCESSES * PORTS_PER_PROCESS + test * PORTS_PER_TEST;
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
        let output = BufReader::new(child.stdout.take().expect("a pipe"));
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            output.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok())
        });
        Self { child, lines }
    }

    /// The first line from now on that begins with this text, without it.
    fn line_after(&self, start: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(TIMEOUT).expect("the line comes in time");
            if let Some(rest) = line.trim_start().strip_prefix(start) {
                return rest.to_owned();
            }
        }
    }

    /// Sends SIGINT, as Ctrl-C does, and waits for the end.
    fn interrupt(mut self) -> ExitStatus {
        self.signal("-INT");
        self.child.wait().expect("it was started")
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }
}

/// A test that fails ends the gatekeeper too, which SIGKILL to the quickstart would not.
impl Drop for Quickstart {
    fn drop(&mut self) {
        if matches!(self.child.try_wait(), Ok(None)) {
            self.signal("-TERM");
            let _ = self.child.wait();
        }
    }
}

#[test]
fn prints_the_answer_of_a_backend_and_ends() {
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

    let status = Command::new(&gatekeeper).args(["status", &file]).output().expect("the console runs");
    let status_text = String::from_utf8_lossy(&status.stdout);
    assert!(status.status.success(), "{status_text}");
    assert!(status_text.contains("served 1"), "the first request is counted:\n{status_text}");
    assert!(status_text.contains("loan-server-1"), "{status_text}");
    assert!(status_text.contains("loan-server-2"), "{status_text}");

    assert!(quickstart.interrupt().success());
    let address = url.split('/').next().expect("an address");
    assert!(std::net::TcpStream::connect(address).is_err(), "the gatekeeper ended with the quickstart");
    assert!(!Path::new(&file).exists(), "the files of the run are removed");
}

#[test]
fn the_configuration_of_the_example_is_valid_as_it_is() {
    let gatekeeper = require_gatekeeper();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/quickstart/snowfield.toml");
    let mut check = Command::new(gatekeeper)
        .arg("check")
        .arg(file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the console runs");
    let mut text = String::new();
    check.stdout.take().expect("a pipe").read_to_string(&mut text).expect("text");
    assert!(check.wait().expect("it was started").success(), "{text}");
}
