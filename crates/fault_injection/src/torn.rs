//! A program killed at each byte of the file that it keeps: the last good list, cut after so many bytes, found at a start
//! while Consul does not answer.

use crate::checks::Violation;
use crate::history::{Observation, Recorder};
use crate::process::Process;
use crate::site::common_files;
use stand_in_consul::{Consul, Fault, Service};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

const RULE: &str = "a torn file never replaces good state";

/// What came of it.
#[derive(Debug)]
pub struct Torn {
    /// Starts, one for each length and one with the whole file.
    pub starts: usize,
    /// Those that went wrong.
    pub violations: Vec<Violation>,
}

fn file(consul: SocketAddr, list: &Path) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
         [consul]\naddress = \"{consul}\"\nservice = \"loan-server\"\nlist_file = \"{}\"\n\
         [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 400\ndeadline_ms = 1000\n\
         [[plan]]\nname = \"basic\"\nunits_per_second = 10.0\nburst = 20.0\n\
         [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n",
        list.display()
    )
}

/// Starts a program for each length of the file, several at a time.
///
/// # Errors
///
/// The file could not be had, or a program not be started.
pub fn at_each_byte(build: &Path, folder: &Path, at_a_time: usize) -> Result<Torn, String> {
    common_files(folder).map_err(|e| e.to_string())?;
    let consul = Consul::start();
    let door = consul.open();
    let instance =
        |i: u16| Service::new(&format!("l{i}"), SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000 + i)));
    consul.set_service(11, "loan-server", (0..3).map(instance).collect());
    let whole = kept_by_a_program(build, folder, door.address)?;
    door.fail(Fault::Status(500));
    let (next, violations) = (AtomicUsize::new(0), std::sync::Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..at_a_time {
            scope.spawn(|| {
                loop {
                    let length = next.fetch_add(1, Ordering::Relaxed);
                    if length > whole.len() {
                        return;
                    }
                    let found = start(build, folder, door.address, &whole[..length], length == whole.len());
                    if let Err(text) = found {
                        let text = format!("{length} of {} bytes: {text}", whole.len());
                        let mut violations =
                            violations.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                        violations.push(Violation { rule: RULE, text });
                    }
                }
            });
        }
    });
    consul.stop();
    drop(std::net::TcpStream::connect(door.address));
    Ok(Torn { starts: whole.len() + 1, violations: violations.into_inner().unwrap_or_default() })
}

/// The file as a program writes it.
fn kept_by_a_program(build: &Path, folder: &Path, consul: SocketAddr) -> Result<Vec<u8>, String> {
    let (path, list) = (folder.join("first.toml"), folder.join("first.list"));
    std::fs::write(&path, file(consul, &list)).map_err(|e| e.to_string())?;
    let words = ["serve", &path.display().to_string()];
    let program =
        Process::start("first", build, &words, &[], &Recorder::default()).map_err(|e| e.to_string())?;
    if !program.listens().logged("take work") {
        return Err("the first program never had a list".into());
    }
    let written =
        crate::process::until(crate::process::LONG, std::time::Duration::from_millis(20), || list.exists());
    let bytes = std::fs::read(&list).map_err(|e| e.to_string())?;
    if written { Ok(bytes) } else { Err("the first program kept no list".into()) }
}

/// Starts a program with so much of the file. It has to serve, and to use the file only where it is whole.
fn start(build: &Path, folder: &Path, consul: SocketAddr, kept: &[u8], whole: bool) -> Result<(), String> {
    let mine = |suffix: &str| -> PathBuf { folder.join(format!("cut-{}.{suffix}", kept.len())) };
    let (path, list) = (mine("toml"), mine("list"));
    std::fs::write(&path, file(consul, &list)).map_err(|e| e.to_string())?;
    std::fs::write(&list, kept).map_err(|e| e.to_string())?;
    let recorder = Recorder::default();
    let words = ["serve", &path.display().to_string()];
    let program = Process::start("cut", build, &words, &[], &recorder).map_err(|e| e.to_string())?;
    let serves = program.listens().logged("serving OpenAPI");
    program.kill();
    let said = |text: &str| {
        recorder
            .records_by_time()
            .iter()
            .any(|r| matches!(&r.observation, Observation::LogLine { text: line, .. } if line.contains(text)))
    };
    match (serves, said("is not used"), said("the list on disk serves")) {
        (false, ..) => Err("it does not serve".into()),
        (true, true, true) => Err("it says both that it uses the file and that it does not".into()),
        (true, refused, used) if refused == whole || used != whole => {
            Err(format!("used: {used}, refused: {refused}"))
        }
        _ => Ok(()),
    }
}
