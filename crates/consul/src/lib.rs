//! Destinations from Consul's health and catalogue API, by blocking queries.
//!
//! Two queries are kept open. `/v1/health/service/NAME?passing` says which instances take work;
//! `/v1/catalog/service/NAME` says which are registered. An instance that is registered and not passing drains; one that
//! is in neither is gone. An outage of Consul keeps the last list.

mod answers;

use answers::{CatalogEntry, HealthEntry};
use http::Framing;
use link::{Incoming, Link, locked};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The most bytes of one answer.
const LARGEST_ANSWER: usize = 8 * 1024 * 1024;
const CONNECT: Duration = Duration::from_millis(1_000);
/// Between two queries at the least, so that a list that changes all the time does not keep both sides busy.
const SPACE: Duration = Duration::from_millis(20);
/// After a failed query; grows to the second while failures go on.
const PAUSES: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(5));

/// Which service is watched, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watched {
    /// Consul's HTTP API.
    pub address: SocketAddr,
    /// The service's name.
    pub service: String,
    /// Only instances with this tag.
    pub tag: Option<String>,
    /// How long a blocking query may stay open.
    pub wait: Duration,
}

/// Where an instance stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// All its checks pass.
    Passing,
    /// It is registered, but some check does not pass.
    Critical,
}

/// One instance of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its node's name and its service id: unique within a data centre.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub health: Health,
}

/// Why a query brought no list.
#[derive(Clone, Debug, PartialEq, Eq)]
struct QueryError(String);

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The watch on one service.
pub struct Watch {
    watched: Watched,
    seen: Mutex<Seen>,
    open: [Mutex<Option<Open>>; 2],
}

/// What the two queries brought last; `None` before the first answer.
#[derive(Default)]
struct Seen {
    passing: Option<BTreeMap<String, SocketAddr>>,
    registered: Option<BTreeMap<String, SocketAddr>>,
    told: Option<Vec<Instance>>,
}

/// A query that is under way, and since when.
type Open = (Arc<Link>, Instant);

#[derive(Clone, Copy)]
enum Query {
    Health,
    Catalog,
}

impl Watch {
    /// A watch that is not running yet.
    pub fn new(watched: Watched) -> Arc<Self> {
        Arc::new(Self { watched, seen: Mutex::default(), open: Default::default() })
    }

    /// Watches which instances pass, for ever. Runs in a coroutine with a large stack, since it parses JSON. `told`
    /// gets every list that differs from the one before.
    pub fn run_health(&self, told: &dyn Fn(Vec<Instance>)) {
        self.run(Query::Health, told, |watch, entries: Vec<HealthEntry>| {
            locked(&watch.seen).passing = Some(entries.iter().filter_map(HealthEntry::instance).collect());
        });
    }

    /// Watches which instances are registered, for ever; as [`Watch::run_health`].
    pub fn run_catalog(&self, told: &dyn Fn(Vec<Instance>)) {
        self.run(Query::Catalog, told, |watch, entries: Vec<CatalogEntry>| {
            locked(&watch.seen).registered =
                Some(entries.iter().filter_map(CatalogEntry::instance).collect());
        });
    }

    /// Closes queries that have outlived their wait: a link that was cut says nothing. Call it now and then.
    pub fn sweep(&self) {
        // Consul adds up to a sixteenth of the wait.
        let longest = self.watched.wait + self.watched.wait / 16 + Duration::from_secs(5);
        for open in &self.open {
            if let Some((link, since)) = &*locked(open)
                && since.elapsed() > longest
            {
                link.close();
            }
        }
    }

    fn run<E: DeserializeOwned>(&self, query: Query, told: &dyn Fn(Vec<Instance>), take: fn(&Self, Vec<E>)) {
        let (mut index, mut pause) = (0, PAUSES.0);
        let name = query.name();
        loop {
            match self.ask::<E>(query, index) {
                Ok((entries, next)) => {
                    if pause > PAUSES.0 {
                        println!("consul: {name} answers again");
                    }
                    pause = PAUSES.0;
                    // The specification asks for a fresh start where the index went backwards or is not above 0.
                    index = if next < index || next == 0 { 0 } else { next };
                    take(self, entries);
                    if let Some(list) = self.news() {
                        told(list);
                    }
                    link::sleep(SPACE);
                }
                Err(error) => {
                    if pause == PAUSES.0 {
                        println!("consul: {name} failed ({error}); the last list stays");
                    }
                    link::sleep(pause);
                    pause = (pause * 2).min(PAUSES.1);
                    // What was missed meanwhile comes with the next answer, at once.
                    index = 0;
                }
            }
        }
    }

    /// The list that the two answers make together, where it differs from the last. Before both have come there is
    /// none: half the truth could drain instances for nothing.
    fn news(&self) -> Option<Vec<Instance>> {
        let mut seen = locked(&self.seen);
        let (passing, registered) = (seen.passing.as_ref()?, seen.registered.as_ref()?);
        let mut list: BTreeMap<&String, (SocketAddr, Health)> =
            registered.iter().map(|(id, &at)| (id, (at, Health::Critical))).collect();
        list.extend(passing.iter().map(|(id, &at)| (id, (at, Health::Passing))));
        let list: Vec<Instance> = list
            .into_iter()
            .map(|(id, (address, health))| Instance { id: id.clone(), address, health })
            .collect();
        if seen.told.as_ref() == Some(&list) {
            return None;
        }
        seen.told = Some(list.clone());
        Some(list)
    }

    fn target(&self, query: Query, index: u64) -> String {
        let service = escaped(&self.watched.service);
        let mut target = match query {
            Query::Health => format!("/v1/health/service/{service}?passing=true"),
            Query::Catalog => format!("/v1/catalog/service/{service}?"),
        };
        if let Some(tag) = &self.watched.tag {
            let _ = write!(target, "&tag={}", escaped(tag));
        }
        if index > 0 {
            let _ = write!(target, "&index={index}&wait={}ms", self.watched.wait.as_millis());
        }
        target.replace("?&", "?").trim_end_matches('?').to_owned()
    }

    /// One query on a connection of its own; brings the entries and the new index.
    fn ask<E: DeserializeOwned>(&self, query: Query, index: u64) -> Result<(Vec<E>, u64), QueryError> {
        let failed = |e: &dyn fmt::Display| QueryError(e.to_string());
        let link = Link::connect(self.watched.address, CONNECT).map_err(|e| failed(&e))?;
        let (link, place) = (Arc::new(link), &self.open[query as usize]);
        *locked(place) = Some((link.clone(), Instant::now()));
        let request = format!(
            "GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\nConnection: close\r\n\r\n",
            self.target(query, index),
            self.watched.address
        );
        link.send(request.as_bytes()).map_err(|e| failed(&e))?;
        let answer = receive(&link);
        locked(place).take();
        link.close();
        let (mut body, index) = answer?;
        let entries = simd_json::serde::from_slice(&mut body).map_err(|e| failed(&e))?;
        Ok((entries, index))
    }
}

impl Query {
    fn name(self) -> &'static str {
        match self {
            Self::Health => "the health query",
            Self::Catalog => "the catalogue query",
        }
    }
}

/// Reads an answer and brings its body and its `X-Consul-Index`.
fn receive(link: &Link) -> Result<(Vec<u8>, u64), QueryError> {
    let failed = |e: &dyn fmt::Display| QueryError(e.to_string());
    let mut raw = Vec::new();
    let (mut head, mut body, mut chunks) = (None, Vec::new(), http::Chunks::default());
    loop {
        let end = match link.receive(&mut raw, 16 * 1024).map_err(|e| failed(&e))? {
            Incoming::Bytes(_) => false,
            Incoming::End => true,
            Incoming::Woken => continue,
        };
        if head.is_none() {
            let Some((told, from)) = http::final_head(&raw, false).map_err(|e| failed(&e))? else {
                if end {
                    return Err(QueryError("it closed without an answer".into()));
                }
                continue;
            };
            if told.status != 200 {
                return Err(QueryError(format!("status {}", told.status)));
            }
            let index = http::values(&raw[from..], &told.fields, "x-consul-index").next();
            let index = index.and_then(|v| std::str::from_utf8(v).ok()).and_then(|v| v.trim().parse().ok());
            raw.drain(..from + told.end);
            head = Some((told.framing, index.unwrap_or(0)));
        }
        let Some((framing, index)) = head else { continue };
        let whole = match framing {
            Framing::Chunked => {
                let used = chunks.decode(&raw, 0, &mut body).map_err(|e| failed(&e))?;
                raw.drain(..used);
                chunks.is_done()
            }
            Framing::Length(length) => {
                body.append(&mut raw);
                body.len() as u64 >= length
            }
            Framing::UntilEnd => {
                body.append(&mut raw);
                end
            }
            Framing::Empty => true,
        };
        if whole {
            return Ok((body, index));
        }
        if end || body.len() > LARGEST_ANSWER {
            return Err(QueryError("the answer is cut short or too large".into()));
        }
    }
}

/// Percent-encodes what may not stand in a path segment or a query's value.
fn escaped(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            let _ = write!(out, "%{byte:02X}");
        }
    }
    out
}
