//! What operators' calls act on: the parts of the platform's gatekeeper, brought together for the door.

use crate::door;
use crate::hosts::Hosts;
use destination::{Pools, RespDestination};
use front_resp::RespExchange;
use link::locked;
use operator::{ClassFigures, Figures};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

const STARTING: u8 = 0;
const READY: u8 = 1;
const ENDING: u8 = 2;

/// The parts, and what has been counted outside them.
pub struct Desk {
    exchange: Arc<RespExchange>,
    pools: Arc<Pools<RespDestination>>,
    hosts: Arc<Mutex<Hosts>>,
    classes: Vec<String>,
    stage: AtomicU8,
    reloads: AtomicU64,
    reload_errors: AtomicU64,
}

impl Desk {
    /// A desk that is not ready yet. `classes` are the names of the classes by number.
    pub fn new(
        exchange: Arc<RespExchange>,
        pools: Arc<Pools<RespDestination>>,
        hosts: Arc<Mutex<Hosts>>,
        classes: Vec<String>,
    ) -> Self {
        let (stage, reloads, reload_errors) = (AtomicU8::new(STARTING), AtomicU64::new(0), AtomicU64::new(0));
        Self { exchange, pools, hosts, classes, stage, reloads, reload_errors }
    }

    /// Clients are served from now on.
    pub fn set_ready(&self) {
        self.stage.store(READY, Ordering::Release);
    }

    /// No new clients are served any more.
    pub fn set_ending(&self) {
        self.stage.store(ENDING, Ordering::Release);
    }

    /// A file was taken at SIGHUP, or turned down.
    pub fn reloaded(&self, taken: bool) {
        let count = if taken { &self.reloads } else { &self.reload_errors };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

impl door::Desk for Desk {
    fn ready(&self) -> Result<(), String> {
        match self.stage.load(Ordering::Acquire) {
            READY => Ok(()),
            STARTING => Err("starting".into()),
            _ => Err("ending".into()),
        }
    }

    fn figures(&self) -> Figures {
        let (ends, members) = self.exchange.ends();
        let class = |(name, [completed, rejected, failed]): (&String, &[u64; 3])| ClassFigures {
            name: name.clone(),
            completed: *completed,
            rejected: *rejected,
            failed: *failed,
        };
        Figures {
            classes: self.classes.iter().zip(&ends.classes).map(class).collect(),
            upstream_requests: self.pools.written(),
            pending: ends.pending,
            members: members.listed,
            members_unavailable: members.avoided,
            reloads: self.reloads.load(Ordering::Relaxed),
            reload_errors: self.reload_errors.load(Ordering::Relaxed),
        }
    }

    fn hold(&self, id: &str, held: bool) -> Result<(), String> {
        // Held over all three, so that two calls for one loan server do not cross.
        let mut hosts = locked(&self.hosts);
        let number = hosts.hold(id, held).ok_or("no such loan server")?;
        // Decisions follow the pools: what was decided before the hold is refused there, called back it finds them open.
        self.pools.hold(number, held);
        self.exchange.hold(number, held);
        println!("operators: {id} {}", if held { "is out" } else { "is used again" });
        Ok(())
    }
}
