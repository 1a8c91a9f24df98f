//! The client of the quota counter: pipelined `TALLY` calls whose answers come in order.
//!
//! The exchange gives calls up by itself; an answer that comes later still takes its turn here, so it is never matched
//! to another call.

use dewproxy::interface::{Micros, Outcome};
use exchange::{CounterCall, Exchange, QuotaCounter};
use link::{Incoming, Link, locked, spawn};
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

/// Tells how a call ended: its number, its outcome and the total.
pub type Told = Box<dyn Fn(u64, Outcome, f64) + Send + Sync>;

/// The client of one counter.
pub struct CounterClient {
    me: Weak<Self>,
    address: SocketAddr,
    told: Told,
    lanes: [Mutex<Lane>; LANES],
}

#[derive(Default)]
struct Lane {
    connection: Option<Arc<Connection>>,
    /// Calls that wait for a connection that is being made.
    connecting: Option<Vec<CounterCall>>,
}

struct Connection {
    link: Link,
    /// Calls written and not answered, oldest first.
    out: Mutex<VecDeque<u64>>,
    heard: Mutex<Instant>,
}

impl CounterClient {
    /// A client that connects with its first call.
    pub fn new(address: SocketAddr, told: Told) -> Arc<Self> {
        Arc::new_cyclic(|me| Self { me: me.clone(), address, told, lanes: Default::default() })
    }

    /// A client whose calls belong to this exchange.
    pub fn of<Q: Send + Sync + 'static, A: Send + 'static>(
        address: SocketAddr,
        exchange: Arc<Exchange<Q, A>>,
    ) -> Arc<Self> {
        Self::new(address, Box::new(move |id, outcome, total| exchange.call_ended(id, outcome, total)))
    }

    /// Closes connections that have gone silent; call it now and then.
    pub fn sweep(&self) {
        for lane in &self.lanes {
            let Some(connection) = locked(lane).connection.clone() else { continue };
            let waits = !locked(&connection.out).is_empty();
            if waits && locked(&connection.heard).elapsed() > SILENCE {
                connection.link.close();
            }
        }
    }

    fn lane(&self, name: u64) -> &Mutex<Lane> {
        &self.lanes[(name % LANES as u64) as usize]
    }

    fn run_connection(&self, lane: &Mutex<Lane>) {
        let link = Link::connect(self.address, CONNECT);
        let Ok(link) = link else {
            let calls = locked(lane).connecting.take().unwrap_or_default();
            calls.iter().for_each(|c| (self.told)(c.id, Outcome::ConnectFailed, 0.0));
            return;
        };
        let connection =
            Arc::new(Connection { link, out: Mutex::default(), heard: Mutex::new(Instant::now()) });
        let calls = {
            let mut lane = locked(lane);
            lane.connection = Some(connection.clone());
            lane.connecting.take().unwrap_or_default()
        };
        calls.into_iter().for_each(|call| self.write(&connection, call));
        let _ = self.read(&connection);
        connection.link.close();
        locked(lane).connection.take_if(|c| Arc::ptr_eq(c, &connection));
        // What was written may have been added. With bytes still here it is not known which calls got through.
        let out = std::mem::take(&mut *locked(&connection.out));
        out.into_iter().for_each(|id| (self.told)(id, Outcome::Reset, 0.0));
    }

    fn write(&self, connection: &Connection, call: CounterCall) {
        let mut bytes = Vec::with_capacity(96);
        let (name, add) = (format!("{:016x}", call.name), call.add.to_string());
        let keep = (call.keep / 1000).clamp(1, 60_000 as Micros).to_string();
        resp::put_command(&mut bytes, &[b"TALLY", name.as_bytes(), add.as_bytes(), keep.as_bytes()]);
        let written = {
            // Held while the bytes go out: calls must be queued in the order in which they are written.
            let mut out = locked(&connection.out);
            if out.is_empty() {
                *locked(&connection.heard) = Instant::now();
            }
            let written = out.len() < MOST_OUT && connection.link.send(&bytes).is_ok();
            if written {
                out.push_back(call.id);
            }
            written
        };
        if !written {
            // Nothing of this call was written: it was not added.
            (self.told)(call.id, Outcome::ConnectFailed, 0.0);
        }
    }

    fn read(&self, connection: &Connection) -> Result<(), Malformed> {
        let mut buffer = Vec::new();
        loop {
            let Ok(Incoming::Bytes(_)) = connection.link.receive(&mut buffer, 4096) else { return Ok(()) };
            *locked(&connection.heard) = Instant::now();
            let mut at = 0;
            while let Some((element, next)) = resp::element(&buffer, at)? {
                let Some(id) = locked(&connection.out).pop_front() else {
                    return Err(Malformed("an answer to no call"));
                };
                let total = match &element {
                    Element::Bulk(text) => std::str::from_utf8(&buffer[text.clone()]).ok(),
                    _ => None,
                };
                match (element, total.and_then(|t| t.trim().parse::<f64>().ok()).filter(|t| t.is_finite())) {
                    (Element::Bulk(_), Some(total)) => (self.told)(id, Outcome::Ok, total),
                    (Element::Error(_), _) => (self.told)(id, Outcome::Full, 0.0),
                    _ => {
                        (self.told)(id, Outcome::Reset, 0.0);
                        return Err(Malformed("an answer of an unknown form"));
                    }
                }
                at = next;
            }
            buffer.drain(..at);
        }
    }
}

impl QuotaCounter for CounterClient {
    fn call(&self, call: CounterCall) {
        let place = self.lane(call.name);
        let mut lane = locked(place);
        if let Some(connection) = lane.connection.clone().filter(|c| !c.link.is_closed()) {
            drop(lane);
            return self.write(&connection, call);
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
    }
}
