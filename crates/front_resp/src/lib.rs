//! The front for the platform's RESP2 protocol: front sockets on which clients pipeline commands.
//!
//! It reads a command, hands an operation to the exchange and writes the final answer in the command's turn. No
//! decision is made here.

use exchange::{Exchange, FinalAnswer, Operation, OperationId};
use link::{Door, Incoming, Link, locked, spawn};
use resp::{Command, Malformed, Query};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};

/// Bytes asked of the system in one read.
const READ: usize = 8 * 1024;
/// Commands of one front socket that may wait for answers; more get the busy reply at once.
const MOST_WAITING: usize = 64;
/// Bytes of answers that a client may leave unread before it is cut off.
const MOST_UNREAD: usize = 256 * 1024;
/// us; an answer leaves this long before its client gives up, for the way back and the timers' grain.
const MARGIN: u64 = 10_000;

/// What this front passes on and gives back.
pub type RespExchange = Exchange<Query, Vec<u8>>;

/// Names whose numbers the module uses.
#[derive(Clone, Debug)]
pub struct Names {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the plans.
    pub plans: Vec<String>,
}

/// The front with all its sockets.
pub struct Front {
    exchange: Arc<RespExchange>,
    names: Names,
    most: usize,
    ready: AtomicBool,
    closing: AtomicBool,
    sockets: Mutex<Vec<Weak<FrontSocket>>>,
}

/// One client's connection.
struct FrontSocket {
    link: Link,
    turns: Mutex<Turns>,
}

impl FrontSocket {
    fn between_requests(&self) -> bool {
        let turns = locked(&self.turns);
        turns.turns.is_empty() && !turns.partial && self.link.unsent() == 0
    }
}

/// Commands in the order in which they came.
#[derive(Default)]
struct Turns {
    /// The number of the turn at the front.
    first: u64,
    turns: VecDeque<Turn>,
    /// Bytes of a command that is not whole yet.
    partial: bool,
}

enum Turn {
    Waiting(Option<OperationId>),
    Answered(Vec<u8>),
}

/// What to do with a command.
enum Ask {
    Answer(&'static [u8]),
    Submit(Operation<Query>),
}

impl Front {
    /// A front that takes at most so many sockets.
    pub fn new(exchange: Arc<RespExchange>, names: Names, most: usize) -> Arc<Self> {
        let (ready, closing) = (AtomicBool::new(false), AtomicBool::new(false));
        Arc::new(Self { exchange, names, most, ready, closing, sockets: Mutex::default() })
    }

    /// From now on `PING` is answered.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Accepts front sockets until the door is shut; runs in a coroutine.
    pub fn run(self: &Arc<Self>, door: &Door) {
        while let Some(link) = door.accept() {
            let mut sockets = locked(&self.sockets);
            sockets.retain(|s| s.strong_count() > 0);
            if sockets.len() >= self.most {
                drop(sockets);
                // Closed unread: the client sends its request again on another connection.
                link.close();
                continue;
            }
            let socket = Arc::new(FrontSocket { link, turns: Mutex::default() });
            sockets.push(Arc::downgrade(&socket));
            drop(sockets);
            let front = self.clone();
            spawn(move || front.serve(&socket));
        }
    }

    /// Closes every front socket as soon as it is between requests.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        for socket in self.open_sockets() {
            socket.link.wake();
        }
    }

    /// Front sockets that are open.
    pub fn open(&self) -> usize {
        self.open_sockets().len()
    }

    fn open_sockets(&self) -> Vec<Arc<FrontSocket>> {
        locked(&self.sockets).iter().filter_map(Weak::upgrade).filter(|s| !s.link.is_closed()).collect()
    }

    /// Reads commands until the client leaves.
    fn serve(self: &Arc<Self>, socket: &Arc<FrontSocket>) {
        let mut buffer = Vec::new();
        loop {
            match socket.link.receive(&mut buffer, READ) {
                Ok(Incoming::Bytes(_)) => {}
                // Only here, between two reads, is it sure that no request has come in unseen.
                Ok(Incoming::Woken) if self.closing.load(Ordering::Acquire) && socket.between_requests() => {
                    break;
                }
                Ok(Incoming::Woken) => continue,
                Ok(Incoming::End) | Err(_) => break,
            }
            let mut at = 0;
            let malformed = loop {
                match resp::command(&buffer, at) {
                    Ok(Some(command)) => {
                        let end = command.end;
                        self.take(socket, &buffer[at..end], at, &command);
                        at = end;
                    }
                    Ok(None) => break None,
                    Err(Malformed(text)) => break Some(text),
                }
            };
            buffer.drain(..at);
            if buffer.is_empty() && buffer.capacity() > 4 * READ {
                buffer = Vec::new();
            }
            locked(&socket.turns).partial = !buffer.is_empty();
            if let Some(text) = malformed {
                // What follows cannot be told apart any more: an error and the end.
                let _ = socket.link.send(format!("-ERR {text}\r\n").as_bytes());
                break;
            }
        }
        socket.link.close();
        let waiting: Vec<OperationId> = {
            let turns = locked(&socket.turns);
            turns.turns.iter().filter_map(|t| if let Turn::Waiting(id) = t { *id } else { None }).collect()
        };
        waiting.into_iter().for_each(|id| self.exchange.left(id));
    }

    fn take(self: &Arc<Self>, socket: &Arc<FrontSocket>, raw: &[u8], base: usize, command: &Command) {
        let turn = {
            let mut turns = locked(&socket.turns);
            turns.turns.push_back(Turn::Waiting(None));
            turns.first + turns.turns.len() as u64 - 1
        };
        let crowded = locked(&socket.turns).turns.len() > MOST_WAITING;
        match self.ask(raw, base, command) {
            Ask::Answer(bytes) => self.answer(socket, turn, bytes.to_vec()),
            Ask::Submit(_) if crowded => self.answer(socket, turn, b"-BUSY\r\n".to_vec()),
            Ask::Submit(operation) => {
                let (front, place) = (self.clone(), socket.clone());
                let reply = move |answer| front.answer(&place, turn, answer_bytes(answer));
                let id = self.exchange.submit(operation, Box::new(reply));
                let mut turns = locked(&socket.turns);
                let at = turn.checked_sub(turns.first);
                if let Some(Turn::Waiting(place)) = at.and_then(|at| turns.turns.get_mut(at as usize)) {
                    *place = Some(id);
                }
            }
        }
    }

    /// Keeps an answer for its turn, and writes those whose turn has come.
    fn answer(&self, socket: &FrontSocket, turn: u64, bytes: Vec<u8>) {
        let mut turns = locked(&socket.turns);
        let Some(at) = turn.checked_sub(turns.first) else { return };
        if let Some(place) = turns.turns.get_mut(at as usize) {
            *place = Turn::Answered(bytes);
        }
        let mut whole = Vec::new();
        while let Some(Turn::Answered(bytes)) = turns.turns.front_mut() {
            if whole.is_empty() {
                whole = std::mem::take(bytes);
            } else {
                whole.extend_from_slice(bytes);
            }
            turns.turns.pop_front();
            turns.first += 1;
        }
        if whole.is_empty() || socket.link.is_closed() {
            return;
        }
        // Sent before the turns are free, so that no later answer overtakes.
        let sent = socket.link.send(&whole);
        drop(turns);
        if sent.is_err() || socket.link.unsent() > MOST_UNREAD {
            socket.link.close();
        } else if self.closing.load(Ordering::Acquire) {
            socket.link.wake();
        }
    }

    /// What a command asks for. `raw` is the command alone; its words are numbered from `base`.
    fn ask(&self, raw: &[u8], base: usize, command: &Command) -> Ask {
        let word = |i: usize| command.words.get(i).map(|w| &raw[w.start - base..w.end - base]);
        let name = word(0).unwrap_or_default();
        if name.eq_ignore_ascii_case(b"PING") {
            let ready = self.ready.load(Ordering::Acquire);
            return Ask::Answer(if ready { b"+PONG\r\n" } else { b"-ERR not ready\r\n" });
        }
        if name.eq_ignore_ascii_case(b"CLIENT") || name.eq_ignore_ascii_case(b"SELECT") {
            return Ask::Answer(b"+OK\r\n");
        }
        if name != b"SVC.QUERY" && name != b"SVC.SUBMIT" {
            return Ask::Answer(b"-ERR unknown command\r\n");
        }
        let list = command.words.get(3).map(|w| w.start - base..w.end - base);
        match (word(1), list) {
            (Some(customer), Some(list)) => match self.operation(raw, customer, list) {
                Some(operation) => Ask::Submit(operation),
                None => Ask::Answer(b"-ERR malformed request\r\n"),
            },
            _ => Ask::Answer(b"-ERR too few words\r\n"),
        }
    }

    fn operation(
        &self,
        raw: &[u8],
        customer: &[u8],
        list: std::ops::Range<usize>,
    ) -> Option<Operation<Query>> {
        let text = |bytes| std::str::from_utf8(bytes).ok();
        let customer = u64::from_str_radix(text(customer)?, 16).ok()?;
        let (mut class, mut plan, mut wait_ms, mut units, mut set_size) = (None, None, None, None, 0.0);
        let mut repeat = false;
        for (name, value) in resp::fields(raw, list.clone()) {
            let value = text(&raw[value])?;
            match &raw[name] {
                b"c" => class = self.names.classes.iter().position(|n| n == value),
                b"t" => plan = self.names.plans.iter().position(|n| n == value),
                b"d" => wait_ms = value.parse::<u64>().ok(),
                b"units" => units = value.parse::<f64>().ok().filter(|u| u.is_finite() && *u > 0.0),
                b"spread" => set_size = value.parse::<f64>().ok().filter(|s| s.is_finite())?,
                b"r" => repeat = value == "1",
                _ => {}
            }
        }
        let time_left = wait_ms?.checked_mul(1000)?.saturating_sub(MARGIN).max(1000);
        Some(Operation {
            class: class? as u16,
            plan: plan? as u32,
            customer,
            time_left,
            set_size,
            units: units?,
            repeat,
            account: None,
            query: Query::new(raw.to_vec(), list)?,
        })
    }
}

fn answer_bytes(answer: FinalAnswer<Vec<u8>>) -> Vec<u8> {
    match answer {
        FinalAnswer::Served(value) => value,
        FinalAnswer::Busy { retry_after: 0, .. } => b"-BUSY\r\n".to_vec(),
        FinalAnswer::Busy { retry_after, .. } => {
            format!("-BUSY {}\r\n", retry_after.div_ceil(1000)).into_bytes()
        }
        FinalAnswer::Failed(_) => b"-ERR failed\r\n".to_vec(),
    }
}
