//! The quota counter.

use super::{FailureSwitch, SLOW_ANSWER, keep_silent, listen};
use crate::history::{Observation, Recorder};
use crate::network::Network;
use crate::schedule::FailureMode;
use crate::sync::lock;
use crate::wire;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest that a total is kept, ms.
const MAX_LIFETIME_MS: u64 = 60_000;

#[derive(Debug)]
struct Total {
    value: f64,
    expires: Instant,
}

/// What a call asks for.
enum Call<'a> {
    Ping,
    /// Adds to a total, which expires so long after its first amount.
    Add {
        name: &'a str,
        amount: f64,
        lifetime: Duration,
    },
    Unknown,
}

impl<'a> Call<'a> {
    /// None where an argument cannot be read.
    fn parse(arguments: &'a [String]) -> Option<Self> {
        Some(match &arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["PING"] => Self::Ping,
            ["TALLY", name, amount, lifetime_ms] => {
                let lifetime_ms: u64 = lifetime_ms.parse().ok()?;
                let lifetime = Duration::from_millis(lifetime_ms.clamp(1, MAX_LIFETIME_MS));
                Self::Add { name, amount: amount.parse().ok()?, lifetime }
            }
            _ => Self::Unknown,
        })
    }
}

/// What a failure leaves of an answer.
enum Answer {
    Send(String),
    Silence,
    Close,
}

/// The quota counter. Clones share their totals.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    totals: Arc<Mutex<HashMap<String, Total>>>,
    /// How it fails.
    pub failure: FailureSwitch,
    calls: Arc<AtomicU64>,
}

impl Counter {
    /// Listens for a gatekeeper.
    ///
    /// # Errors
    ///
    /// There is no port.
    pub fn open(
        &self,
        network: &Network,
        host: IpAddr,
        gatekeeper: &str,
        recorder: &Recorder,
    ) -> std::io::Result<SocketAddr> {
        let (counter, gatekeeper, recorder) = (self.clone(), gatekeeper.to_owned(), recorder.clone());
        listen(network, host, move |stream| counter.serve(stream, &gatekeeper, &recorder))
    }

    /// Forgets all totals, as a counter does that restarts without its state.
    pub fn clear(&self) {
        lock(&self.totals).clear();
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    fn add(&self, name: &str, amount: f64, lifetime: Duration) -> f64 {
        let (mut totals, now) = (lock(&self.totals), Instant::now());
        let fresh = || Total { value: 0.0, expires: now + lifetime };
        let total = totals.entry(name.to_owned()).or_insert_with(fresh);
        if total.expires <= now {
            *total = fresh();
        }
        total.value += amount;
        total.value
    }

    fn serve(&self, mut stream: TcpStream, gatekeeper: &str, recorder: &Recorder) {
        let Ok(read) = stream.try_clone() else { return };
        let mut calls = BufReader::new(read);
        while let Some(arguments) = wire::read_resp_command(&mut calls) {
            let mode = self.failure.mode();
            let reply = match self.answer(&arguments, mode, gatekeeper, recorder) {
                Answer::Send(reply) => reply,
                Answer::Silence => return keep_silent(&mut stream),
                Answer::Close => return,
            };
            match mode {
                Some(FailureMode::ResponseLost) => return keep_silent(&mut stream),
                Some(FailureMode::ResponseTruncated) => {
                    let _ = stream.write_all(&reply.as_bytes()[..reply.len() / 2]);
                    return;
                }
                Some(FailureMode::Slow) => thread::sleep(SLOW_ANSWER),
                _ => {}
            }
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        arguments: &[String],
        mode: Option<FailureMode>,
        gatekeeper: &str,
        recorder: &Recorder,
    ) -> Answer {
        if arguments.first().is_some_and(|verb| verb == "TALLY") && arguments.len() == 4 {
            self.calls.fetch_add(1, Ordering::Relaxed);
        }
        let (name, amount, lifetime) = match Call::parse(arguments) {
            Some(Call::Add { name, amount, lifetime }) => (name, amount, lifetime),
            Some(Call::Ping) => return Answer::Send("+PONG\r\n".to_owned()),
            Some(Call::Unknown) => return Answer::Send("-ERR no such call\r\n".to_owned()),
            None => return Answer::Close,
        };
        match mode {
            Some(FailureMode::Silent) => Answer::Silence,
            Some(FailureMode::Closed) => Answer::Close,
            Some(FailureMode::Error) => Answer::Send("-BUSY\r\n".to_owned()),
            _ => {
                let total = self.add(name, amount, lifetime);
                let (counter, gatekeeper) = (name.to_owned(), gatekeeper.to_owned());
                recorder.record(Observation::CounterAdded { counter, amount, total, gatekeeper });
                let total = total.to_string();
                Answer::Send(format!("${}\r\n{total}\r\n", total.len()))
            }
        }
    }
}
