//! A steady load of lenders, each of whose requests is followed to its end.

use crate::history::{Observation, Outcome, Recorder};
use crate::net::Network;
use crate::schedule::Form;
use crate::wire;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A lender as a client names it.
#[derive(Clone, Copy, Debug)]
pub struct Lender {
    /// Its name, as the header gives it.
    pub name: &'static str,
    /// Its number, which the platform's clients send.
    pub number: u64,
    /// Its plan.
    pub plan: &'static str,
    /// A client waits so long between two requests, for each program: lenders with more programs ask each less often.
    pub pause: Duration,
}

/// Those who ask: three that keep to their quotas, two far beyond, one without bounds for probing whether all is well.
pub const LENDERS: [Lender; 6] = [
    Lender { name: "calm-0", number: 10, plan: "basic", pause: Duration::from_millis(120) },
    Lender { name: "calm-1", number: 11, plan: "basic", pause: Duration::from_millis(120) },
    Lender { name: "calm-2", number: 12, plan: "basic", pause: Duration::from_millis(120) },
    Lender { name: "greedy-0", number: 13, plan: "standard", pause: Duration::from_millis(12) },
    Lender { name: "greedy-1", number: 14, plan: "standard", pause: Duration::from_millis(12) },
    Lender { name: "free", number: 15, plan: "free", pause: Duration::from_millis(60) },
];
/// Of [`LENDERS`], the one whose quota is in nobody's way.
pub const FREE: Lender = LENDERS[5];

/// A client gives up after this; an answer so late has broken its rule long before.
const PATIENCE: Duration = Duration::from_secs(5);
/// A connection that does not come up within this never does: the way to the program is cut.
const COMES_UP: Duration = Duration::from_secs(1);
/// Before it calls again where nobody was there.
const NOBODY: Duration = Duration::from_millis(50);

/// What clients need to know.
#[derive(Clone, Debug)]
pub struct Manner {
    /// How they speak.
    pub form: Form,
    /// ms; how long an operation may take.
    pub deadline: u64,
    /// How many programs share the lenders.
    pub programs: usize,
    /// The next operation's number.
    pub numbers: Arc<AtomicU64>,
}

/// A client of a program, with one connection that it keeps.
pub struct Client {
    manner: Manner,
    via: String,
    at: SocketAddr,
    network: Network,
    recorder: Recorder,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    /// One that calls `via` at this address.
    pub fn new(manner: &Manner, via: &str, at: SocketAddr, network: &Network, recorder: &Recorder) -> Self {
        let (manner, via, network) = (manner.clone(), via.to_owned(), network.clone());
        Self { manner, via, at, network, recorder: recorder.clone(), connection: None }
    }

    /// Asks once and follows the operation to its end.
    pub fn ask(&mut self, lender: &Lender) -> Outcome {
        let op = self.manner.numbers.fetch_add(1, Ordering::Relaxed);
        let units = if op.is_multiple_of(5) { 4.0 } else { 1.0 };
        let asked = Observation::RequestSent {
            request_id: op,
            tenant: lender.name.to_owned(),
            units,
            gatekeeper: self.via.clone(),
        };
        self.recorder.record(asked);
        let mut end = self.attempt(op, lender, units);
        // What crosses the end of a connection that was kept is sent once more, on a new one.
        if end == Err(true) {
            end = self.attempt(op, lender, units);
        }
        let end = end.unwrap_or(Outcome::Unanswered);
        self.recorder.record(Observation::RequestEnded { request_id: op, outcome: end });
        end
    }

    /// The end, or whether a connection that was kept ended before a word of the answer.
    fn attempt(&mut self, op: u64, lender: &Lender, units: f64) -> Result<Outcome, bool> {
        let kept = self.connection.is_some();
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let Ok(stream) = TcpStream::connect_timeout(&self.at, COMES_UP) else {
                    return Ok(Outcome::NotAccepted);
                };
                let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(PATIENCE)));
                BufReader::new(stream)
            }
        };
        let here = connection.get_ref().local_addr();
        let sent = connection.get_mut().write_all(&self.request(op, lender, units));
        let answer = sent.ok().and_then(|()| self.answer(&mut connection, op));
        match answer {
            Some(end) => {
                self.connection = Some(connection);
                Ok(end)
            }
            None if here.is_ok_and(|at| self.network.was_refused(at)) => Ok(Outcome::NotAccepted),
            None => Err(kept),
        }
    }

    fn request(&self, op: u64, lender: &Lender, units: f64) -> Vec<u8> {
        match self.manner.form {
            Form::Appliance => {
                let path = if units > 1.0 { "/loans/history" } else { "/loans" };
                format!("GET {path} HTTP/1.1\r\nHost: a\r\nX-Lender: {}\r\nX-Op: {op}\r\n\r\n", lender.name)
                    .into_bytes()
            }
            Form::Platform => {
                let (deadline, programs) = (self.manner.deadline, self.manner.programs);
                let fields = format!(
                    "c=lookup,t={},d={deadline},units={units},spread={programs},first=0",
                    lender.plan
                );
                wire::words(&[
                    "SVC.QUERY",
                    &format!("{:016x}", lender.number),
                    &format!("{op:016x}"),
                    &fields,
                ])
            }
        }
    }

    fn answer(&self, from: &mut BufReader<TcpStream>, op: u64) -> Option<Outcome> {
        match self.manner.form {
            Form::Appliance => {
                let message = wire::message(from)?;
                Some(match message.second() {
                    "200" if message.body == op.to_string().as_bytes() => Outcome::Served,
                    "200" => Outcome::Foreign,
                    "429" | "503" => Outcome::Rejected,
                    _ => Outcome::Failed,
                })
            }
            Form::Platform => {
                let text = wire::reply(from)?;
                Some(match &text {
                    text if text.starts_with("-BUSY") => Outcome::Rejected,
                    text if text.starts_with('-') => Outcome::Failed,
                    text if u64::from_str_radix(text, 16) == Ok(op) => Outcome::Served,
                    _ => Outcome::Foreign,
                })
            }
        }
    }
}

/// The clients of one program: a thread for each lender, until told to stop.
pub fn start(
    client: impl Fn() -> Client,
    programs: usize,
    over: &Arc<AtomicBool>,
    seed: u64,
) -> Vec<JoinHandle<()>> {
    let begin = |(i, lender): (usize, Lender)| {
        let (mut client, over) = (client(), over.clone());
        let mut random = fastrand::Rng::with_seed(seed.wrapping_add(i as u64));
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let end = client.ask(&lender);
                let pause = lender.pause * programs as u32;
                thread::sleep(if end == Outcome::NotAccepted {
                    NOBODY
                } else {
                    pause.mul_f64(0.5 + random.f64())
                });
            }
        })
    };
    LENDERS.into_iter().enumerate().map(begin).collect()
}
