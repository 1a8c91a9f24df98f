//! The client of the quota counter: pipelined `TALLY` calls whose answers come in order.
//!
//! The exchange gives calls up by itself; an answer that comes later still takes its turn here, so it is never matched
//! to another call.

use exchange::{CounterCall, Exchange, QuotaCounter};
use link::{Incoming, Link, locked, spawn};
use policy::{Micros, Outcome};
use resp::{Element, Malformed};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// Lanes, each with a connection of its own; a name keeps to one lane, so its answers come in order. A slow part of
/// the counter holds up only the lanes that call it.
const LANES: usize = 4;
/// Calls that may be out on one connection.
const MOST_OUT: usize = 256;
/// A connection on which calls are out and nothing was heard for this long is thought dead: a link that was cut says
/// nothing.
const SILENCE: Duration = Duration::from_millis(1_000);
const CONNECT: Duration = Duration::from_millis(250);
/// An answer is a few bytes and comes in one piece: one that is not whole after this never will be.
const WHOLE_WITHIN: Duration = Duration::from_millis(100);

/// Tells how a call ended: its number, its outcome and the total.
pub type Told = Box<dyn Fn(u64, Outcome, f64) + Send + Sync>;

/// The client of one counter.
pub struct CounterClient {
    me: Weak<Self>,
    address: Mutex<SocketAddr>,
    told: Told,
    lanes: [Mutex<Lane>; LANES],
    /// Connections to addresses from before, with calls out.
    retired: Mutex<Vec<Weak<Connection>>>,
}

#[derive(Default)]
struct Lane {
    connection: Option<Arc<Connection>>,
    /// Calls that wait for a connection that is being made.
    connecting: Option<Vec<CounterCall>>,
}

struct Connection {
    link: Link,
    out: Mutex<CallsOut>,
    heard: Mutex<Instant>,
}

#[derive(Default)]
struct CallsOut {
    /// Calls written and not answered, oldest first.
    calls: VecDeque<u64>,
    /// Since when an answer is here that is not whole.
    partial: Option<Instant>,
    /// The counter has moved: no more calls go out here, and the connection ends with the last answer.
    retired: bool,
}

/// What became of a call that was to be written.
enum Write {
    Written,
    /// Nothing of it was written: it was not added.
    Failed,
    /// Nothing of it was written, and another connection will carry it.
    Retired,
}

impl CounterClient {
    /// A client that connects with its first call.
    pub fn new(address: SocketAddr, told: Told) -> Arc<Self> {
        let address = Mutex::new(address);
        Arc::new_cyclic(|me| Self {
            me: me.clone(),
            address,
            told,
            lanes: Default::default(),
            retired: Mutex::default(),
        })
    }

    /// Makes all further calls at this address. Calls that are out keep their connections until they are answered.
    /// Tells whether it is another one.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        if std::mem::replace(&mut *locked(&self.address), address) == address {
            return false;
        }
        for lane in &self.lanes {
            // Out of its lane first, so that a call that meets a retired connection finds the lane free.
            let Some(connection) = locked(lane).connection.take() else { continue };
            locked(&connection.out).retired = true;
            locked(&self.retired).push(Arc::downgrade(&connection));
            connection.link.wake();
        }
        true
    }

    /// A client whose calls belong to this exchange.
    pub fn of<Q: Send + Sync + 'static, A: Send + 'static>(
        address: SocketAddr,
        exchange: Arc<Exchange<Q, A>>,
    ) -> Arc<Self> {
        Self::new(
            address,
            Box::new(move |id, outcome, total| exchange.counter_call_ended(id, outcome, total)),
        )
    }

    /// Closes connections that have gone silent; call it now and then.
    pub fn sweep(&self) {
        let mut connections: Vec<_> = {
            let mut retired = locked(&self.retired);
            retired.retain(|c| c.strong_count() > 0);
            retired.iter().filter_map(Weak::upgrade).collect()
        };
        connections.extend(self.lanes.iter().filter_map(|lane| locked(lane).connection.clone()));
        for connection in connections {
            let waits = !locked(&connection.out).calls.is_empty();
            if waits && locked(&connection.heard).elapsed() > SILENCE {
                connection.link.close();
            }
        }
    }

    fn lane(&self, name: u64) -> &Mutex<Lane> {
        &self.lanes[(name % LANES as u64) as usize]
    }

    /// Connects a lane and reads there until the connection ends.
    fn run_connection(&self, place: &Mutex<Lane>) {
        let (connection, calls) = loop {
            let to = *locked(&self.address);
            let link = Link::connect(to, CONNECT);
            let mut lane = locked(place);
            // Compared under the lane's lock: a move looks at the lanes after it has changed the address.
            if to != *locked(&self.address) {
                continue;
            }
            let calls = lane.connecting.take().unwrap_or_default();
            let Ok(link) = link else {
                drop(lane);
                calls.iter().for_each(|c| (self.told)(c.id, Outcome::ConnectFailed, 0.0));
                return;
            };
            let (out, heard) = (Mutex::default(), Mutex::new(Instant::now()));
            let connection = Arc::new(Connection { link, out, heard });
            lane.connection = Some(connection.clone());
            break (connection, calls);
        };
        for call in calls {
            match self.write(&connection, call) {
                Write::Written => {}
                Write::Failed => (self.told)(call.id, Outcome::ConnectFailed, 0.0),
                Write::Retired => self.call(call),
            }
        }
        let _ = self.read(&connection);
        connection.link.close();
        locked(place).connection.take_if(|c| Arc::ptr_eq(c, &connection));
        // What was written may have been added. With bytes still here it is not known which calls got through.
        let out = std::mem::take(&mut locked(&connection.out).calls);
        out.into_iter().for_each(|id| (self.told)(id, Outcome::Reset, 0.0));
    }

    fn write(&self, connection: &Connection, call: CounterCall) -> Write {
        let mut bytes = Vec::with_capacity(96);
        let (name, add) = (format!("{:016x}", call.name), call.units.to_string());
        let keep = (call.ttl / 1000).clamp(1, 60_000 as Micros).to_string();
        resp::put_command(&mut bytes, &[b"TALLY", name.as_bytes(), add.as_bytes(), keep.as_bytes()]);
        // Held while the bytes go out: calls must be queued in the order in which they are written.
        let mut out = locked(&connection.out);
        if out.partial.is_some_and(|since| since.elapsed() > WHOLE_WITHIN) {
            connection.link.close();
            return Write::Retired;
        }
        if out.retired {
            return Write::Retired;
        }
        if out.calls.is_empty() {
            *locked(&connection.heard) = Instant::now();
        }
        if out.calls.len() >= MOST_OUT || connection.link.send(&bytes).is_err() {
            return Write::Failed;
        }
        out.calls.push_back(call.id);
        Write::Written
    }

    /// Bytes that are no answer stand where the oldest call's answer should: that one was added.
    fn spoilt(&self, connection: &Connection) {
        let id = locked(&connection.out).calls.pop_front();
        if let Some(id) = id {
            (self.told)(id, Outcome::Error, 0.0);
        }
    }

    /// Reads answers until the connection ends or one cannot be read: then it is of no further use, and what became of the
    /// calls behind is not known.
    fn read(&self, connection: &Connection) -> Result<(), Malformed> {
        let mut buffer = Vec::new();
        loop {
            match connection.link.receive(&mut buffer, 4096) {
                Ok(Incoming::Bytes(_)) => *locked(&connection.heard) = Instant::now(),
                Ok(Incoming::Woken) => {}
                Ok(Incoming::End) | Err(_) => return Ok(()),
            }
            let mut at = 0;
            while let Some((element, next)) =
                resp::element(&buffer, at).inspect_err(|_| self.spoilt(connection))?
            {
                let Some(id) = locked(&connection.out).calls.pop_front() else {
                    return Err(Malformed("an answer to no call"));
                };
                let total = match &element {
                    Element::Bulk(text) => std::str::from_utf8(&buffer[text.clone()]).ok(),
                    _ => None,
                };
                let refused = match &element {
                    Element::Error(text) => refuses(&buffer[text.clone()]),
                    _ => false,
                };
                match total.and_then(|t| t.trim().parse::<f64>().ok()).filter(|t| t.is_finite()) {
                    Some(total) => (self.told)(id, Outcome::Ok, total),
                    None if refused => (self.told)(id, Outcome::Rejected, 0.0),
                    None => {
                        // The counter has had the call, and has added its amount, but the total is not to be read.
                        (self.told)(id, Outcome::Error, 0.0);
                        return Err(Malformed("an answer of an unknown form"));
                    }
                }
                at = next;
            }
            buffer.drain(..at);
            let mut out = locked(&connection.out);
            out.partial =
                (!buffer.is_empty()).then(|| out.partial.filter(|_| at == 0).unwrap_or_else(Instant::now));
            if out.retired && out.calls.is_empty() {
                return Ok(());
            }
        }
    }
}

/// Whether an error line says that nothing was added. Any other is no answer of the counter's.
fn refuses(line: &[u8]) -> bool {
    matches!(line.split(|&b| b == b' ').next(), Some(b"BUSY" | b"ERR"))
}

impl QuotaCounter for CounterClient {
    fn call(&self, call: CounterCall) {
        let place = self.lane(call.name);
        loop {
            let mut lane = locked(place);
            if let Some(connection) = lane.connection.clone().filter(|c| !c.link.is_closed()) {
                drop(lane);
                match self.write(&connection, call) {
                    Write::Written => return,
                    Write::Failed => return (self.told)(call.id, Outcome::ConnectFailed, 0.0),
                    Write::Retired => continue,
                }
            }
            match &mut lane.connecting {
                Some(calls) if calls.len() < MOST_OUT => calls.push(call),
                Some(_) => {
                    drop(lane);
                    (self.told)(call.id, Outcome::ConnectFailed, 0.0);
                }
                None => {
                    lane.connecting = Some(vec![call]);
                    drop(lane);
                    if let Some(me) = self.me.upgrade() {
                        spawn(move || me.run_connection(me.lane(call.name)));
                    }
                }
            }
            return;
        }
    }
}
