//! Stand-ins of what programs speak to, each of which can be told to fail. Consul's is a package of its own.

use crate::history::{Observation, Recorder, now_us};
use crate::net::{Network, Party};
use crate::schedule::{FailureMode, Form};
use crate::wire;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How long a slow one takes.
const SLOW: Duration = Duration::from_millis(200);
/// An empty line on a watch on which nothing changes.
const EMPTY_LINE: Duration = Duration::from_secs(2);

/// Whether and how a stand-in fails now.
pub type Failing = Arc<Mutex<Option<FailureMode>>>;

fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Listens at a free port here and serves each connection in a thread, until the network ends.
///
/// # Errors
///
/// There is no port.
pub fn listen(
    network: &Network,
    host: IpAddr,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    network.listen((host, 0).into(), move |stream| {
        let _ = stream.set_nodelay(true);
        serve(stream);
    })
}

/// Takes what comes and says nothing until the other side lets go.
fn keep_silent(stream: &mut TcpStream) {
    while stream.read(&mut [0; 512]).is_ok_and(|n| n > 0) {}
}

/// The quota counter.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    totals: Arc<Mutex<HashMap<String, (f64, Instant)>>>,
    /// How it fails.
    pub failing: Failing,
    calls: Arc<AtomicU64>,
}

impl Counter {
    /// Listens for this program.
    ///
    /// # Errors
    ///
    /// There is no port.
    pub fn open(
        &self,
        network: &Network,
        host: IpAddr,
        via: &str,
        recorder: &Recorder,
    ) -> std::io::Result<SocketAddr> {
        let (counter, via, recorder) = (self.clone(), via.to_owned(), recorder.clone());
        listen(network, host, move |stream| counter.serve(stream, &via, &recorder))
    }

    /// Comes back knowing nothing.
    pub fn empty(&self) {
        held(&self.totals).clear();
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    fn add(&self, name: &str, amount: f64, life: Duration) -> f64 {
        let (mut totals, now) = (held(&self.totals), Instant::now());
        let total = totals.entry(name.to_owned()).or_insert((0.0, now + life));
        if total.1 <= now {
            *total = (0.0, now + life);
        }
        total.0 += amount;
        total.0
    }

    fn serve(&self, mut stream: TcpStream, via: &str, recorder: &Recorder) {
        let Ok(read) = stream.try_clone() else { return };
        let mut calls = BufReader::new(read);
        while let Some(call) = wire::command(&mut calls) {
            let how = *held(&self.failing);
            let answer = match &call.iter().map(String::as_str).collect::<Vec<_>>()[..] {
                ["PING"] => "+PONG\r\n".to_owned(),
                ["TALLY", name, amount, life] => {
                    self.calls.fetch_add(1, Ordering::Relaxed);
                    let (Ok(amount), Ok(life)) = (amount.parse::<f64>(), life.parse::<u64>()) else { return };
                    match how {
                        Some(FailureMode::Silent) => return keep_silent(&mut stream),
                        Some(FailureMode::Closed) => return,
                        Some(FailureMode::Error) => "-BUSY\r\n".to_owned(),
                        _ => {
                            let life = Duration::from_millis(life.clamp(1, 60_000));
                            let total = self.add(name, amount, life);
                            let (name, via) = ((*name).to_owned(), via.to_owned());
                            recorder.record(Observation::CounterAdded {
                                counter: name,
                                amount,
                                total,
                                gatekeeper: via,
                            });
                            let total = total.to_string();
                            format!("${}\r\n{total}\r\n", total.len())
                        }
                    }
                }
                _ => "-ERR no such call\r\n".to_owned(),
            };
            match how {
                Some(FailureMode::ResponseLost) => return keep_silent(&mut stream),
                Some(FailureMode::ResponseTruncated) => {
                    return drop(stream.write_all(&answer.as_bytes()[..answer.len() / 2]));
                }
                Some(FailureMode::Slow) => thread::sleep(SLOW),
                _ => {}
            }
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// A loan server, which has an address of its own for each program.
#[derive(Clone, Debug)]
pub struct Loans {
    /// Its name.
    pub name: String,
    /// How it fails.
    pub failing: Failing,
    form: Form,
    recorder: Recorder,
}

impl Loans {
    /// One that is well.
    pub fn new(name: &str, form: Form, recorder: &Recorder) -> Self {
        Self { name: name.to_owned(), failing: Failing::default(), form, recorder: recorder.clone() }
    }

    /// Listens for this program.
    ///
    /// # Errors
    ///
    /// There is no port.
    pub fn open(&self, network: &Network, host: IpAddr, via: &str) -> std::io::Result<SocketAddr> {
        let (loans, via) = (self.clone(), via.to_owned());
        listen(network, host, move |stream| loans.serve(stream, &via))
    }

    fn serve(&self, mut stream: TcpStream, via: &str) {
        let Ok(read) = stream.try_clone() else { return };
        let mut requests = BufReader::new(read);
        let mut random = fastrand::Rng::with_seed(now_us());
        loop {
            if *held(&self.failing) == Some(FailureMode::Closed) {
                return;
            }
            // What it is asked, and the good answer and the bad one.
            let asked = match self.form {
                Form::Appliance => wire::message(&mut requests).map(|m| {
                    let op = m.field("x-op").and_then(|op| op.parse::<u64>().ok());
                    let body = op.map_or(String::new(), |op| op.to_string());
                    (op, wire::http("HTTP/1.1 200 OK", &body), wire::http("HTTP/1.1 500 No", ""))
                }),
                Form::Platform => wire::command(&mut requests).and_then(|words| {
                    let id = words.get(2)?;
                    let op = u64::from_str_radix(id, 16).ok();
                    Some((op, wire::value(id), b"-ERR failed\r\n".to_vec()))
                }),
            };
            let Some((op, good, bad)) = asked else { return };
            let how = *held(&self.failing);
            if let Some(op) = op {
                // Probes are no operations.
                self.recorder.record(Observation::AttemptArrived {
                    request_id: op,
                    backend: self.name.clone(),
                    gatekeeper: via.to_owned(),
                });
            }
            // Some milliseconds of work.
            thread::sleep(Duration::from_micros(random.u64(3_000..9_000)));
            let answer = match how {
                Some(FailureMode::Silent | FailureMode::ResponseLost) => return keep_silent(&mut stream),
                Some(FailureMode::Error | FailureMode::RestartedEmpty) => bad,
                Some(FailureMode::ResponseTruncated) => {
                    let _ = stream.write_all(&good[..good.len() / 2]);
                    return;
                }
                Some(FailureMode::Slow) => {
                    thread::sleep(SLOW);
                    good
                }
                Some(FailureMode::Closed) => return,
                None => good,
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }
}

/// A target of duties: it takes every call, so that a round that runs twice is seen twice.
///
/// # Errors
///
/// There is no port.
pub fn target(network: &Network, host: IpAddr, recorder: &Recorder) -> std::io::Result<SocketAddr> {
    let recorder = recorder.clone();
    listen(network, host, move |mut stream| {
        let Ok(read) = stream.try_clone() else { return };
        let mut calls = BufReader::new(read);
        while let Some(call) = wire::message(&mut calls) {
            let field = |name: &str| call.field(name).unwrap_or_default().to_owned();
            let Ok(round) = field("snowfield-round").parse() else { return };
            recorder.record(Observation::JobRan {
                job: field("snowfield-duty"),
                run: round,
                instance: field("snowfield-by"),
            });
            if stream.write_all(&wire::http("HTTP/1.1 200 OK", "")).is_err() {
                return;
            }
        }
    })
}

#[derive(Debug, Default)]
struct Listed {
    rev: u64,
    /// By name whether it drains, and when it started (Unix ms; 0 for long ago).
    servers: Vec<(String, bool, u64)>,
}

/// Discovery: an agent for each program, all with the same list.
#[derive(Clone, Debug, Default)]
pub struct Discovery {
    listed: Arc<(Mutex<Listed>, Condvar)>,
}

impl Discovery {
    /// One that knows these.
    pub fn new(names: &[String]) -> Self {
        let discovery = Self::default();
        *held(&discovery.listed.0) =
            Listed { rev: 41, servers: names.iter().map(|n| (n.clone(), false, 0)).collect() };
        discovery
    }

    /// Marks a loan server as draining, or as well.
    pub fn drain(&self, name: &str, drains: bool) {
        let mut listed = held(&self.listed.0);
        listed.rev += 1;
        listed.servers.iter_mut().filter(|s| s.0 == name).for_each(|s| s.1 = drains);
        self.listed.1.notify_all();
    }

    /// The list as a program is told, with loan servers at these addresses, and its version.
    pub fn list(&self, at: &HashMap<String, SocketAddr>) -> (u64, String) {
        let listed = held(&self.listed.0);
        let hosts: Vec<String> = listed
            .servers
            .iter()
            .filter_map(|(name, drains, boot)| {
                let (state, at) = (if *drains { "draining" } else { "up" }, at.get(name)?);
                Some(format!(
                    r#"{{"uid":"{name}","endpoint":"{at}","az":"z","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{boot}}}"#
                ))
            })
            .collect();
        (listed.rev, format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, listed.rev, hosts.join(",")))
    }

    /// Opens the agent of a program, which is told over the link from `me` to `to`.
    ///
    /// # Errors
    ///
    /// There is no port.
    pub fn open(
        &self,
        host: IpAddr,
        who: &str,
        at: HashMap<String, SocketAddr>,
        (network, me, to): (Network, Party, Party),
        recorder: &Recorder,
    ) -> std::io::Result<SocketAddr> {
        let (discovery, who, recorder) = (self.clone(), who.to_owned(), recorder.clone());
        let listens = network.clone();
        listen(&listens, host, move |mut stream| {
            let Ok(read) = stream.try_clone() else { return };
            if wire::message(&mut BufReader::new(read)).is_none() {
                return;
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            let mut told = 0;
            loop {
                let (rev, list) = discovery.list(&at);
                let line = if rev == told { String::new() } else { list };
                // Only what surely arrives now counts as told.
                if rev != told && network.quality(me, to) == Default::default() {
                    for (server, drains, _) in &held(&discovery.listed.0).servers {
                        let (who, server) = (who.clone(), server.clone());
                        recorder.record(Observation::EndpointNotified {
                            gatekeeper: who,
                            backend: server,
                            accepts_requests: !drains,
                        });
                    }
                }
                if stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_err() {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                told = rev;
                let waits = |listed: &mut Listed| listed.rev == told;
                drop(discovery.listed.1.wait_timeout_while(held(&discovery.listed.0), EMPTY_LINE, waits));
            }
        })
    }
}
