//! The quota counter stand-in: a RESP2 server that keeps a sum under each count name. Each sum expires.

use crate::connections::{discard_input, reset_on_close};
use crate::sync::lock;
use crate::wire;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum lifetime of the sum of a count, ms.
const MAX_LIFETIME_MS: u64 = 60_000;
/// The reply to a call that is rejected.
const REJECTION: &str = "-BUSY\r\n";

/// How the counter fails to answer a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterFailure {
    /// The counter answers a call after this delay.
    Slow(Duration),
    /// The counter neither applies nor answers calls, and keeps the connection open.
    Silent,
    /// The counter closes the connection on a call, without applying the call.
    Closed,
    /// The counter rejects calls without applying them.
    Rejecting,
    /// The counter applies a call and never answers on this connection again.
    ResponseLost,
    /// The counter applies a call and closes the connection in the middle of the answer.
    ResponseTruncated,
    /// The counter applies a call and resets the connection.
    Resetting,
}

/// An amount that a call added to the sum of a count.
#[derive(Clone, Copy, Debug)]
pub struct Addition<'a> {
    /// Name of the count that the call added to.
    pub name: &'a str,
    /// The amount that was added, negative if the call subtracted from the sum.
    pub amount: f64,
    /// The sum of the count after the addition, as it is sent in the answer.
    pub total: f64,
}

/// A parsed call.
#[derive(Debug, PartialEq)]
enum Call<'a> {
    Ping,
    /// Adds an amount to the sum of a count. The lifetime of the sum begins with its first amount.
    Add {
        name: &'a str,
        amount: f64,
        lifetime: Duration,
    },
    Unknown,
}

impl<'a> Call<'a> {
    /// Parses a call; none if an argument is malformed.
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

/// What the counter does in response to a call.
enum Response {
    Send(String),
    KeepSilent,
    Close,
}

#[derive(Debug)]
struct Total {
    value: f64,
    expires: Instant,
}

/// Handle of the quota counter. Clones share its counts.
#[derive(Clone, Debug, Default)]
pub struct QuotaCounter {
    totals: Arc<Mutex<HashMap<String, Total>>>,
    additions: Arc<AtomicU64>,
}

impl QuotaCounter {
    /// Deletes all counts, like a counter that restarts without stored state.
    pub fn clear(&self) {
        lock(&self.totals).clear();
    }

    /// Number of handled calls that add to a total, whether they were applied or failed.
    pub fn calls(&self) -> u64 {
        self.additions.load(Ordering::Acquire)
    }

    /// Adds an amount to the sum of a count and returns the new sum as it is sent in the answer.
    fn add(&self, name: &str, amount: f64, lifetime: Duration) -> f64 {
        let (mut totals, now) = (lock(&self.totals), Instant::now());
        let new_total = || Total { value: 0.0, expires: now + lifetime };
        let total = totals.entry(name.to_owned()).or_insert_with(new_total);
        if total.expires <= now {
            *total = new_total();
        }
        total.value += amount;
        round_to_seven_digits(total.value)
    }

    /// Serves the calls of one connection until it ends. `failure` is called for each call and returns how the call
    /// fails, or none; `observe` is called with each addition.
    pub fn serve(
        &self,
        mut stream: TcpStream,
        failure: impl Fn() -> Option<CounterFailure>,
        observe: impl Fn(Addition<'_>),
    ) {
        let Ok(read) = stream.try_clone() else { return };
        let mut calls = BufReader::new(read);
        while let Some(arguments) = wire::read_resp_command(&mut calls) {
            let failure = failure();
            let reply = match self.respond(&arguments, failure, &observe) {
                Response::Send(reply) => reply,
                Response::KeepSilent => return discard_input(&mut stream),
                Response::Close => return,
            };
            match failure {
                // No later call can be answered either, as answers have the order of their calls.
                Some(CounterFailure::ResponseLost) => return discard_input(&mut stream),
                Some(CounterFailure::Resetting) => return reset_on_close(&stream),
                Some(CounterFailure::ResponseTruncated) => {
                    let _ = stream.write_all(&reply.as_bytes()[..reply.len() / 2]);
                    return;
                }
                Some(CounterFailure::Slow(delay)) => thread::sleep(delay),
                _ => {}
            }
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(
        &self,
        arguments: &[String],
        failure: Option<CounterFailure>,
        observe: impl Fn(Addition<'_>),
    ) -> Response {
        let (name, amount, lifetime) = match Call::parse(arguments) {
            Some(Call::Add { name, amount, lifetime }) => (name, amount, lifetime),
            Some(Call::Ping) => return Response::Send("+PONG\r\n".to_owned()),
            Some(Call::Unknown) => return Response::Send("-ERR no such call\r\n".to_owned()),
            None => return Response::Close,
        };
        let response = match failure {
            Some(CounterFailure::Silent) => Response::KeepSilent,
            Some(CounterFailure::Closed) => Response::Close,
            Some(CounterFailure::Rejecting) => Response::Send(REJECTION.to_owned()),
            _ => {
                let total = self.add(name, amount, lifetime);
                observe(Addition { name, amount, total });
                let total = total.to_string();
                Response::Send(format!("${}\r\n{total}\r\n", total.len()))
            }
        };
        // The call is counted last, so that a caller that sees the count also sees the call applied.
        self.additions.fetch_add(1, Ordering::Release);
        response
    }
}

/// Rounds the sum of a count to seven significant digits, as the protocol sends it.
fn round_to_seven_digits(total: f64) -> f64 {
    format!("{total:.6e}").parse().unwrap_or(total)
}

#[cfg(test)]
mod tests;
