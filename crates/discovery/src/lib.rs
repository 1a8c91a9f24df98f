//! The client of the discovery agent: a watch over HTTP/1.1 that comes back at the version it last had.

mod pace;

use http::{Chunks, Framing};
use json_stream::{Item, Objects};
use link::{Incoming, Link, locked};
pub use pace::Pace;
use settings::EndpointList;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The agent writes a line in each 2 s, be it an empty one: a watch without any for this long is broken. What it misses counts
/// as told 6 s after it fell silent, and before that one more call may fail ([`Pace`] has the sum).
pub const SILENCE: Duration = Duration::from_secs(3);
const CONNECT: Duration = Duration::from_millis(500);
/// How soon a pause notices that the agent has moved.
const LOOK: Duration = Duration::from_millis(100);
/// The most bytes of one object: some thousand destinations.
const LARGEST_OBJECT: usize = 4 * 1024 * 1024;

/// The watch on the discovery agent.
pub struct Watch {
    place: Mutex<Place>,
}

/// Where the agent is, and the connection to it with the time by which it has to speak.
struct Place {
    address: SocketAddr,
    open: Option<(Arc<Link>, Instant)>,
}

/// What a watch tells.
#[derive(Debug)]
pub enum News {
    /// A list.
    List(EndpointList),
    /// A call has failed, or a watch has ended: nothing is heard for now.
    Lost,
}

impl Watch {
    /// A watch that is not yet running.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self { place: Mutex::new(Place { address, open: None }) })
    }

    /// Watches at this address from now on, from the version that was last had. Tells whether it is another one.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        let mut place = locked(&self.place);
        if std::mem::replace(&mut place.address, address) == address {
            return false;
        }
        // The old agent may stay silent instead of closing, and has nothing more to tell.
        if let Some((link, _)) = place.open.take() {
            link.close();
        }
        true
    }

    /// Closes a connection that has gone silent; call it now and then.
    pub fn sweep(&self) {
        if let Some((link, until)) = &locked(&self.place).open
            && Instant::now() > *until
        {
            link.close();
        }
    }

    /// The agent has this long from now on to say something.
    fn heard(&self, patience: Duration) {
        if let Some((_, until)) = &mut locked(&self.place).open {
            *until = Instant::now() + patience;
        }
    }

    /// Watches for ever, from this version on; runs in a coroutine with a large stack, since it parses JSON. `told`
    /// gets each list.
    pub fn run(&self, mut rev: u64, mut pace: Pace, told: impl Fn(News)) {
        let mut lost = false;
        loop {
            let from = locked(&self.place).address;
            let begun = Instant::now();
            let ended = self.follow(from, &mut rev, pace.answer(), &told, &mut lost);
            {
                let mut place = locked(&self.place);
                place.open.take();
                if place.address != from {
                    // Told to move: that is no loss, and the new agent is asked at once.
                    continue;
                }
            }
            told(News::Lost);
            if !lost {
                tracing::warn!("discovery: the watch ended ({ended}); the last list stays, version {rev}");
                lost = true;
            }
            self.rest(from, pace.pause(begun.elapsed()));
        }
    }

    /// Waits, but for no longer than the agent stays at this address.
    fn rest(&self, from: SocketAddr, pause: Duration) {
        let until = Instant::now() + pause;
        while let left = until.saturating_duration_since(Instant::now())
            && !left.is_zero()
            && locked(&self.place).address == from
        {
            link::sleep(left.min(LOOK));
        }
    }

    /// One connection's life; returns why it ended.
    fn follow(
        &self,
        from: SocketAddr,
        rev: &mut u64,
        answer: Duration,
        told: &impl Fn(News),
        lost: &mut bool,
    ) -> String {
        let link = match Link::connect(from, CONNECT) {
            Ok(link) => Arc::new(link),
            Err(error) => return error.to_string(),
        };
        {
            let mut place = locked(&self.place);
            if place.address != from {
                return "the agent has moved".into();
            }
            place.open = Some((link.clone(), Instant::now() + answer));
        }
        let mut request = String::new();
        let _ = write!(request, "GET /discovery/hosts?stream=1&index={rev} HTTP/1.1\r\nHost: {from}\r\n\r\n");
        if let Err(error) = link.send(request.as_bytes()) {
            return error.to_string();
        }
        let (mut raw, mut objects) = (Vec::new(), Objects::new(LARGEST_OBJECT));
        let mut head = None;
        let mut chunks = Chunks::default();
        loop {
            match link.receive(&mut raw, 16 * 1024) {
                Ok(Incoming::Bytes(_) | Incoming::Woken) => {}
                Ok(Incoming::End) => return "the agent closed it".into(),
                Err(error) => return error.to_string(),
            }
            if head.is_none() {
                match http::final_head(&raw, false) {
                    Ok(Some((h, from))) if h.status == 200 => {
                        raw.drain(..from + h.end);
                        head = Some(h);
                        self.heard(SILENCE);
                    }
                    Ok(Some((h, _))) => return format!("status {}", h.status),
                    Ok(None) => continue,
                    Err(error) => return error.to_string(),
                }
            }
            match head.as_ref().map(|h| h.framing) {
                Some(Framing::Chunked) => match chunks.decode(&raw, 0, objects.input()) {
                    Ok(used) => drop(raw.drain(..used)),
                    Err(error) => return error.to_string(),
                },
                _ => objects.input().append(&mut raw),
            }
            loop {
                let mut object = match objects.next_item() {
                    Ok(Some(Item::Object(object))) => object,
                    Ok(Some(Item::LineEnd)) => {
                        self.heard(SILENCE);
                        continue;
                    }
                    Ok(None) => break,
                    Err(error) => return format!("an unreadable list: {error}"),
                };
                match simd_json::serde::from_slice::<EndpointList>(&mut object) {
                    Ok(list) => {
                        if *lost {
                            tracing::info!("discovery: the watch is back at version {}", list.revision);
                            *lost = false;
                        }
                        *rev = list.revision;
                        told(News::List(list));
                        self.heard(SILENCE);
                    }
                    Err(error) => return format!("an unreadable list: {error}"),
                }
            }
            if chunks.is_done() {
                return "the answer ended".into();
            }
        }
    }
}
