//! What the proofs share: the real program as a child, a receiver of calls that counts them, datagram relays that can
//! split a cluster, and tables with bounds.
//!
//! A proof starts the release build that lies beside it, prints a table and a last line `proof NAME: ...`, and ends with 1
//! where a figure is out of bounds.

pub mod receiver;
pub mod relay;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Longer than any message may take.
pub const LONG: Duration = Duration::from_secs(20);

/// The program, killed at the end.
pub struct Program {
    child: Child,
    lines: Receiver<String>,
    /// Where its processor time is told.
    stat: PathBuf,
}

/// The release build of the program beside this one.
///
/// # Panics
///
/// It is not there.
pub fn program() -> PathBuf {
    let path = std::env::current_exe().expect("a path").with_file_name("snowfield");
    assert!(path.exists(), "{} is not built", path.display());
    path
}

impl Program {
    /// Starts it with these words.
    ///
    /// # Panics
    ///
    /// It cannot be started.
    pub fn start(words: &[&str]) -> Self {
        Self::start_build(&program(), words, &[])
    }

    /// Starts another build of it, with these variables in its environment.
    ///
    /// # Panics
    ///
    /// It cannot be started.
    pub fn start_build(build: &std::path::Path, words: &[&str], variables: &[(&str, &str)]) -> Self {
        let mut child = Command::new(build)
            .args(words)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (tell, lines) = channel();
        let out = BufReader::new(child.stdout.take().expect("a pipe"));
        std::thread::spawn(move || out.lines().map_while(Result::ok).all(|line| tell.send(line).is_ok()));
        let stat = PathBuf::from(format!("/proc/{}/stat", child.id()));
        Self { child, lines, stat }
    }

    /// Waits for a log line that holds this text and brings what follows it.
    ///
    /// # Panics
    ///
    /// None comes.
    pub fn logged(&self, text: &str) -> String {
        let until = Instant::now() + LONG;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).unwrap_or_else(|_| panic!("no line holds {text:?}"));
            if let Some((_, rest)) = line.split_once(text) {
                return rest.to_owned();
            }
        }
    }

    /// The log lines since the last look.
    pub fn lines(&self) -> Vec<String> {
        self.lines.try_iter().collect()
    }

    /// Sends a signal (`-STOP`).
    ///
    /// # Panics
    ///
    /// There is no such process.
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(done.expect("kill runs").success(), "kill {name}");
    }

    /// Waits for its end; tells its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().ok().and_then(|status| status.code())
    }

    /// Seconds of processor time so far, and resident kilobytes.
    pub fn used(&self) -> (f64, u64) {
        let text = std::fs::read_to_string(&self.stat).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let number = |i: usize| fields.get(i).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        // Linux counts in hundredths of a second here, and in pages of 4 kB.
        ((number(11) + number(12)) as f64 / 100.0, number(21) * 4)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ports of loopback that are free now, for TCP or UDP.
///
/// # Panics
///
/// There are none.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    // All are held until the last is found, so that none comes twice.
    let held: Vec<_> = (0..count)
        .map(|_| {
            loop {
                let tcp = TcpListener::bind("127.0.0.1:0").expect("a free port");
                let at = tcp.local_addr().expect("an address");
                if let Ok(udp) = UdpSocket::bind(at) {
                    break (tcp, udp, at);
                }
            }
        })
        .collect();
    held.iter().map(|h| h.2).collect()
}

/// The body that a status address answers with; empty where nobody does.
pub fn status(at: SocketAddr) -> String {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(2))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(format!("GET / HTTP/1.1\r\nHost: {at}\r\n\r\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    let answer = ask().unwrap_or_default();
    answer.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned())
}

/// A folder for a proof's files, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Makes it.
    ///
    /// # Panics
    ///
    /// It cannot be made.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("snowfield-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    /// Writes a file and brings its path.
    ///
    /// # Panics
    ///
    /// It cannot be written.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file is written");
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Rows of figures, some of them with bounds.
#[derive(Default)]
pub struct Table {
    rows: Vec<(String, String, String, bool)>,
}

impl Table {
    /// A figure without a bound.
    pub fn tell(&mut self, name: &str, figure: impl std::fmt::Display) {
        self.rows.push((name.into(), figure.to_string(), String::new(), true));
    }

    /// A figure that must be at most this.
    pub fn at_most(&mut self, name: &str, figure: f64, most: f64) {
        let fine = figure <= most;
        self.rows.push((name.into(), number(figure), format!("at most {}", number(most)), fine));
    }

    /// A figure that must be at least this.
    pub fn at_least(&mut self, name: &str, figure: f64, least: f64) {
        let fine = figure >= least;
        self.rows.push((name.into(), number(figure), format!("at least {}", number(least)), fine));
    }

    /// Prints it as Markdown; tells whether all bounds hold.
    pub fn print(&self) -> bool {
        println!("| what | measured | bound | |\n| --- | --- | --- | --- |");
        for (name, figure, bound, fine) in &self.rows {
            let verdict = if bound.is_empty() {
                ""
            } else if *fine {
                "ok"
            } else {
                "OUT OF BOUNDS"
            };
            println!("| {name} | {figure} | {bound} | {verdict} |");
        }
        self.rows.iter().all(|row| row.3)
    }
}

fn number(figure: f64) -> String {
    if figure.fract() == 0.0 && figure.abs() < 1e15 { format!("{figure:.0}") } else { format!("{figure:.3}") }
}

/// The value below which this share of the sorted figures lies.
pub fn percentile(sorted: &[f64], share: f64) -> f64 {
    let at = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).copied().unwrap_or(0.0)
}

/// Numbers by name from lines like `  gossip sent 12 (3456 bytes)  taken 9`.
pub fn after(text: &str, word: &str) -> Option<u64> {
    let rest = text.split_once(word)?.1.trim_start();
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// Counts by key.
pub fn tally<K: Ord>(keys: impl IntoIterator<Item = K>) -> BTreeMap<K, u64> {
    let mut counts = BTreeMap::new();
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    counts
}
