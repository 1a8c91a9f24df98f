//! What the proofs share beside the rig: the real program as a child, and tables with bounds.
//!
//! A proof starts the release build that lies beside it, prints a table and a last line `proof NAME: ...`, and ends with 1
//! where a figure is out of bounds.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
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

/// Does this with each of these, several at a time in their order, with as many descriptors as the system gives: a site of twelve
/// programs takes some thousand.
pub fn each_of<T: Sync>(all: &[T], at_a_time: usize, work: impl Fn(usize, &T) + Sync) {
    let most = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let whole = rustix::process::Rlimit { current: most.maximum, maximum: most.maximum };
    let _ = rustix::process::setrlimit(rustix::process::Resource::Nofile, whole);
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..at_a_time.min(all.len()) {
            scope.spawn(|| {
                while let Some((i, one)) = {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    all.get(i).map(|one| (i, one))
                } {
                    work(i, one);
                }
            });
        }
    });
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
