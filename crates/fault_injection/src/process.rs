//! A real program as a child, with its log, its signals and its end.

use crate::history::{Observation, Recorder};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Map, Value};
use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than any step of a program may take.
pub const LONG: Duration = Duration::from_secs(20);
/// A program ends within this after it was told to: the longest deadline, 0.7 s, and a slow machine.
const ENDS_WITHIN: Duration = Duration::from_secs(8);
/// A slowed program runs for this ...
const RUNS: Duration = Duration::from_millis(5);
/// ... and then stands still for this.
const STANDS: Duration = Duration::from_millis(45);

#[derive(Debug, Default)]
struct Seen {
    lines: Vec<String>,
    ended: bool,
}

/// A running program.
#[derive(Debug)]
pub struct Process {
    who: String,
    /// The file's name.
    build: OsString,
    pid: Pid,
    seen: Arc<(Mutex<Seen>, Condvar)>,
    /// The rig ends it.
    told: Arc<AtomicBool>,
    /// It is to be slow.
    slow: Arc<AtomicBool>,
}

fn held(seen: &(Mutex<Seen>, Condvar)) -> MutexGuard<'_, Seen> {
    seen.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Process {
    /// Starts it. All that it writes goes into the history.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn start(
        who: &str,
        build: &Path,
        words: &[&str],
        variables: &[(&str, String)],
        recorder: &Recorder,
    ) -> std::io::Result<Self> {
        let mut child = Command::new(build)
            .args(words)
            .env("SNOWFIELD_LOG", "json")
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let pid = Pid::from_child(&child);
        recorder.record(Observation::ProcessStarted { process: who.to_owned() });
        let seen = Arc::<(Mutex<Seen>, Condvar)>::default();
        let told = Arc::new(AtomicBool::new(false));
        let mut readers = Vec::new();
        if let Some(out) = child.stdout.take() {
            readers.push(reads(who, BufReader::new(out), recorder, &seen));
        }
        if let Some(out) = child.stderr.take() {
            readers.push(reads(who, BufReader::new(out), recorder, &seen));
        }
        let (ended, was_told, name, noted) = (seen.clone(), told.clone(), who.to_owned(), recorder.clone());
        thread::spawn(move || {
            let status = child.wait();
            // What it wrote last is in the history before its end.
            readers.into_iter().for_each(|reader| drop(reader.join()));
            let code = status.map_or(i32::MIN, |s| s.code().unwrap_or_else(|| -s.signal().unwrap_or(0)));
            let told = was_told.load(Ordering::Relaxed);
            noted.record(Observation::ProcessExited { process: name, exit_code: code, requested: told });
            held(&ended).ended = true;
            ended.1.notify_all();
        });
        let build = build.file_name().unwrap_or_default().to_owned();
        Ok(Self { who: who.to_owned(), build, pid, seen, told, slow: Arc::default() })
    }

    /// Its log, which can be waited on while others act on the program.
    pub fn listens(&self) -> Log {
        Log(self.seen.clone())
    }

    /// Waits for its end within `most`.
    fn wait(&self, most: Duration) -> bool {
        let done = self.seen.1.wait_timeout_while(held(&self.seen), most, |seen| !seen.ended);
        done.map_or_else(|e| e.into_inner().0, |d| d.0).ended
    }

    /// Waits for the end of a program that was told to end in order. One that does not is killed, and counts as one that
    /// ended unasked.
    pub fn has_ended_in_order(&self) {
        if !self.wait(ENDS_WITHIN) {
            self.told.store(false, Ordering::Relaxed);
            self.signal(Signal::KILL);
            self.wait(LONG);
        }
    }

    fn signal(&self, signal: Signal) {
        // A number is another's only after the end was waited for.
        let seen = held(&self.seen);
        if !seen.ended {
            let _ = kill_process(self.pid, signal);
        }
    }

    /// Kills it and waits for its end.
    pub fn kill(&self) {
        self.told.store(true, Ordering::Relaxed);
        self.signal(Signal::KILL);
        self.wait(LONG);
    }

    /// Tells it to end in order.
    pub fn end(&self) {
        self.told.store(true, Ordering::Relaxed);
        self.signal(Signal::TERM);
    }

    /// Tells it to take its file anew.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Stops it until [`Process::go_on`].
    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    /// It runs again, at full speed.
    pub fn go_on(&self) {
        self.slow.store(false, Ordering::Relaxed);
        self.signal(Signal::CONT);
    }

    /// Stops it nine tenths of the time until [`Process::go_on`].
    pub fn slow_down(&self) {
        if self.slow.swap(true, Ordering::Relaxed) {
            return;
        }
        let (slow, seen, pid) = (self.slow.clone(), self.seen.clone(), self.pid);
        thread::spawn(move || {
            let say = |signal| {
                let seen = held(&seen);
                !seen.ended && kill_process(pid, signal).is_ok()
            };
            while slow.load(Ordering::Relaxed) && say(Signal::STOP) {
                thread::sleep(STANDS);
                if !say(Signal::CONT) {
                    return;
                }
                thread::sleep(RUNS);
            }
        });
    }

    /// Memory in kB, descriptors and threads that it has now, and its processor time in ms.
    pub fn holds(&self) -> Option<(u64, u64, u64, u64)> {
        // Its number may be another's once it has ended.
        let _seen = Some(held(&self.seen)).filter(|seen| !seen.ended)?;
        let folder = PathBuf::from(format!("/proc/{}", self.pid.as_raw_nonzero()));
        // Just before it becomes the program it is a copy of the rig.
        if std::fs::read_link(folder.join("exe")).ok()?.file_name()? != self.build {
            return None;
        }
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let number = |name: &str| -> Option<u64> {
            status.lines().find_map(|l| l.strip_prefix(name))?.split_whitespace().next()?.parse().ok()
        };
        let files = std::fs::read_dir(folder.join("fd")).ok()?.count() as u64;
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        // Fields 14 and 15, in hundredths of a second (proc(5)).
        let ticks = |i: usize| fields.get(i)?.parse::<u64>().ok();
        Some((number("VmRSS:")?, files, number("Threads:")?, 10 * (ticks(11)? + ticks(12)?)))
    }

    /// Its number in the system.
    pub fn number(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Its name.
    pub fn who(&self) -> &str {
        &self.who
    }
}

/// What a program has logged.
#[derive(Clone, Debug)]
pub struct Log(Arc<(Mutex<Seen>, Condvar)>);

impl Log {
    /// How many lines so far hold this text.
    pub fn count(&self, text: &str) -> usize {
        held(&self.0).lines.iter().filter(|l| l.contains(text)).count()
    }

    /// Waits for a line that holds this text; tells whether one came before the program's end and in time.
    pub fn logged(&self, text: &str) -> bool {
        let waits = |seen: &mut Seen| !seen.ended && !seen.lines.iter().any(|l| l.contains(text));
        let done = self.0.1.wait_timeout_while(held(&self.0), LONG, waits);
        done.map_or_else(|e| e.into_inner().0, |d| d.0).lines.iter().any(|l| l.contains(text))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.slow.store(false, Ordering::Relaxed);
        self.kill();
    }
}

fn reads(
    who: &str,
    out: impl BufRead + Send + 'static,
    recorder: &Recorder,
    seen: &Arc<(Mutex<Seen>, Condvar)>,
) -> thread::JoinHandle<()> {
    let (who, recorder, seen) = (who.to_owned(), recorder.clone(), seen.clone());
    thread::spawn(move || {
        for line in out.lines().map_while(Result::ok) {
            let (at, text, fields) = told(line);
            let noted = Observation::LogLine { process: who.clone(), text: text.clone(), fields };
            match at {
                Some(at) => recorder.record_at(at, noted),
                None => recorder.record(noted),
            }
            held(&seen).lines.push(text);
            seen.1.notify_all();
        }
    })
}

/// Time, words and fields of a line of the program's JSON log. What is none, as the words of a program that gives up, is
/// taken as it is.
fn told(line: String) -> (Option<u64>, String, Map<String, Value>) {
    let Ok(Value::Object(mut fields)) = serde_json::from_str(&line) else { return (None, line, Map::new()) };
    let mut word = |name: &str| match fields.remove(name) {
        Some(Value::String(word)) => word,
        _ => String::new(),
    };
    let (at, text) = (word("timestamp").parse().ok(), word("message"));
    drop((word("level"), word("target")));
    (at, text, fields)
}

/// Waits until this is so, with a look so often; tells whether it became so in time.
pub fn until(within: Duration, often: Duration, so: impl Fn() -> bool) -> bool {
    let end = Instant::now() + within;
    while !so() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(often);
    }
    true
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_of_the_log_is_read_with_its_own_time_and_other_words_as_they_are() {
        let line = r#"{"timestamp":"17","level":"INFO","message":"consul: a takes work","server":"a","takes_work":true,"target":"consul"}"#;
        let (at, text, fields) = told(line.to_owned());
        assert_eq!((at, text.as_str()), (Some(17), "consul: a takes work"));
        assert_eq!(fields.len(), 2);
        assert_eq!(fields["takes_work"], Value::Bool(true));
        for other in ["fatal: a panic", "[1]", "{\"timestamp\":"] {
            assert_eq!(told(other.to_owned()), (None, other.to_owned(), Map::new()));
        }
    }
}
