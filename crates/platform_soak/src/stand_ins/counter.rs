//! The quota counter.

use super::serve;
use fault_injection::sync::lock;
use fault_injection::wire;
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest life of a name, in milliseconds.
const MAX_LIFE_MS: u64 = 60_000;
/// How long a connection is kept that nobody ends.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// How much later a slow counter answers.
const SLOW_ANSWER: Duration = Duration::from_millis(25);

/// How the counter answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CounterMode {
    /// At once.
    #[default]
    Healthy,
    /// Late.
    Slow,
    /// Not at all; what is added is added.
    Silent,
    /// It rejects every call.
    Rejecting,
    /// It resets each connection after its call, which it has added.
    Resetting,
}

struct Total {
    value: f64,
    expires: Instant,
}

#[derive(Default)]
struct Shared {
    mode: Mutex<CounterMode>,
    totals: Mutex<HashMap<String, Total>>,
}

/// The quota counter. Clones share its totals.
#[derive(Clone, Default)]
pub struct Counter(Arc<Shared>);

impl Counter {
    /// Listens here.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let counter = Self::default();
        let served = counter.clone();
        serve(address, move |stream| served.serve(stream))?;
        Ok(counter)
    }

    /// Answers like this from now on.
    pub fn set_mode(&self, mode: CounterMode) {
        *lock(&self.0.mode) = mode;
    }

    fn add(&self, name: &str, amount: f64, life: Duration) -> f64 {
        let (mut totals, now) = (lock(&self.0.totals), Instant::now());
        let fresh = || Total { value: 0.0, expires: now + life };
        let total = totals.entry(name.to_owned()).or_insert_with(fresh);
        if total.expires <= now {
            *total = fresh();
        }
        total.value += amount;
        total.value
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let mut calls = BufReader::new(read);
        while let Some(call) = wire::read_resp_command(&mut calls) {
            let mode = *lock(&self.0.mode);
            let reply = match self.answer(&call, mode) {
                Some(reply) => reply,
                None => return,
            };
            match mode {
                // No answer can follow: answers come in the order of their calls.
                CounterMode::Silent => return super::wait_for_end(&mut stream, LONGEST_WAIT),
                CounterMode::Resetting => return super::reset(&stream),
                CounterMode::Slow => thread::sleep(SLOW_ANSWER),
                CounterMode::Healthy | CounterMode::Rejecting => {}
            }
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The reply to a call; none where it is malformed.
    fn answer(&self, call: &[String], mode: CounterMode) -> Option<String> {
        match &call.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["PING"] => Some("+PONG\r\n".to_owned()),
            ["TALLY", ..] if mode == CounterMode::Rejecting => Some("-BUSY\r\n".to_owned()),
            ["TALLY", name, amount, life_ms] => {
                let life_ms: u64 = life_ms.parse().ok()?;
                let life = Duration::from_millis(life_ms.clamp(1, MAX_LIFE_MS));
                let total = seven_digits(self.add(name, amount.parse().ok()?, life));
                Some(format!("${}\r\n{total}\r\n", total.len()))
            }
            _ => Some("-ERR no such call\r\n".to_owned()),
        }
    }
}

/// A total is exact to seven digits.
fn seven_digits(total: f64) -> String {
    let rounded: f64 = format!("{total:.6e}").parse().unwrap_or(total);
    rounded.to_string()
}
