//! Simulates a gatekeeper that is killed at any byte while it writes its cached endpoint list. For each length, a gatekeeper
//! starts with the list truncated to that length while Consul answers with errors.

use crate::Error;
use crate::checkers::Violation;
use crate::history::{Recorder, RecordingObserver};
use crate::site::write_common_files;
use fault_harness::process::{Launch, Process};
use fault_harness::sync::lock;
use fault_harness::wait::{STEP_TIMEOUT, wait_until};
use stand_in_consul::{Consul, Fault, Service};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

const RULE: &str = "a torn file never replaces good state";
const SERVICE: &str = "loan-server";
const BACKENDS: u16 = 3;
const FIRST_BACKEND_PORT: u16 = 7_000;
const FILE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Logged when a gatekeeper receives an endpoint list.
const LIST_RECEIVED: &str = "endpoint list changed";
/// Logged when a gatekeeper begins to serve.
const SERVING: &str = "serving OpenAPI";
/// Logged when a gatekeeper rejects its cached list.
const LIST_REJECTED: &str = "endpoint cache not usable";
/// Logged when a gatekeeper uses its cached list.
const LIST_USED: &str = "cached endpoint list in use";

/// Result of the starts with truncated files.
#[derive(Debug)]
pub struct TornWrites {
    /// Number of starts, one for each length of the file.
    pub starts: usize,
    /// One violation for each start that failed, or that used or rejected the list wrongly.
    pub violations: Vec<Violation>,
}

/// Why a start with a truncated file violates the rule.
#[derive(Debug, thiserror::Error)]
enum StartFailure {
    #[error(transparent)]
    Harness(#[from] Error),
    #[error("the gatekeeper does not serve")]
    NotServing,
    #[error("the log says both that the cached list is used and that it is rejected")]
    Ambiguous,
    #[error("cached list used: {used}, rejected: {rejected}")]
    WrongUse { used: bool, rejected: bool },
}

/// The build, the folder and the Consul agent of the starts.
struct TornWriteTest<'a> {
    build: &'a Path,
    folder: &'a Path,
    consul: SocketAddr,
}

/// Starts a gatekeeper for each possible length of the cached list, `parallel` of them at a time.
///
/// # Errors
///
/// The common files cannot be written, or the gatekeeper that writes the complete list does not start or write it.
pub fn truncate_at_each_byte(build: &Path, folder: &Path, parallel: usize) -> Result<TornWrites, Error> {
    write_common_files(folder)?;
    let consul = Consul::start();
    let agent = consul.open();
    let service = |i: u16| {
        Service::new(&format!("l{i}"), SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_BACKEND_PORT + i)))
    };
    consul.set_service(11, SERVICE, (0..BACKENDS).map(service).collect());
    let test = TornWriteTest { build, folder, consul: agent.address };
    let complete = test.list_written_by_a_gatekeeper()?;
    agent.fail(Fault::Status(500));
    let violations = test.start_with_each_length(&complete, parallel);
    consul.stop();
    drop(std::net::TcpStream::connect(agent.address));
    Ok(TornWrites { starts: complete.len() + 1, violations })
}

impl TornWriteTest<'_> {
    fn settings(&self, list: &Path) -> String {
        format!(
            "listen = \"127.0.0.1:0\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
             [consul]\naddress = \"{}\"\nservice = \"{SERVICE}\"\nlist_file = \"{}\"\n\
             [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 400\ndeadline_ms = 1000\n\
             [[plan]]\nname = \"basic\"\nunits_per_second = 10.0\nburst = 20.0\n\
             [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n",
            self.consul,
            list.display()
        )
    }

    /// Starts a gatekeeper that caches its endpoint list in the file `list`.
    fn start(&self, name: &str, settings: &Path, list: &Path, recorder: &Recorder) -> Result<Process, Error> {
        std::fs::write(settings, self.settings(list)).map_err(Error::file(settings))?;
        let arguments = ["serve", &settings.display().to_string()];
        let launch = Launch { arguments: &arguments, ..Launch::new(name, self.build) };
        Process::start(&launch, RecordingObserver::new(name, recorder)).map_err(Error::start(self.build))
    }

    /// Lets a gatekeeper write the complete cached list, and returns its bytes.
    fn list_written_by_a_gatekeeper(&self) -> Result<Vec<u8>, Error> {
        let (settings, list) = (self.folder.join("first.toml"), self.folder.join("first.list"));
        let process = self.start("first", &settings, &list, &Recorder::default())?;
        if !process.log().wait_for(LIST_RECEIVED) {
            return Err(Error::NoEndpointList);
        }
        let is_written = wait_until(STEP_TIMEOUT, FILE_POLL_INTERVAL, || list.exists());
        let bytes = std::fs::read(&list).map_err(Error::file(&list))?;
        if is_written { Ok(bytes) } else { Err(Error::NoCachedList) }
    }

    fn start_with_each_length(&self, complete: &[u8], parallel: usize) -> Vec<Violation> {
        let (next_length, violations) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
        let work = || {
            loop {
                let length = next_length.fetch_add(1, Ordering::Relaxed);
                if length > complete.len() {
                    return;
                }
                let is_complete = length == complete.len();
                if let Err(failure) = self.start_with(&complete[..length], is_complete) {
                    let text = format!("{length} of {} bytes: {failure}", complete.len());
                    lock(&violations).push(Violation::new(RULE, text));
                }
            }
        };
        thread::scope(|scope| {
            for _ in 0..parallel {
                scope.spawn(work);
            }
        });
        violations.into_inner().unwrap_or_default()
    }

    /// Starts a gatekeeper with a cached list of these bytes. It must serve, and must use the list if and only if it is complete.
    fn start_with(&self, cached: &[u8], is_complete: bool) -> Result<(), StartFailure> {
        let path = |suffix: &str| -> PathBuf { self.folder.join(format!("cut-{}.{suffix}", cached.len())) };
        let (settings, list) = (path("toml"), path("list"));
        std::fs::write(&list, cached).map_err(Error::file(&list))?;
        let recorder = Recorder::default();
        let process = self.start("cut", &settings, &list, &recorder)?;
        let serves = process.log().wait_for(SERVING);
        process.kill();
        let rejected = has_logged(&recorder, LIST_REJECTED);
        let used = has_logged(&recorder, LIST_USED);
        match (serves, rejected, used) {
            (false, ..) => Err(StartFailure::NotServing),
            (true, true, true) => Err(StartFailure::Ambiguous),
            (true, rejected, used) if rejected == is_complete || used != is_complete => {
                Err(StartFailure::WrongUse { used, rejected })
            }
            _ => Ok(()),
        }
    }
}

fn has_logged(recorder: &Recorder, text: &str) -> bool {
    recorder.records_by_time().iter().any(|record| record.observation.is_log_line_with(&[text]))
}

#[cfg(test)]
mod tests;
