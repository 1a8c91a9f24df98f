//! What operators' calls act on: the parts of the platform's gatekeeper, brought together for the door.

use crate::hosts::Hosts;
use crate::{door, held};
use destination::{BackendPools, RespProtocol};
use front_resp::RespExchange;
use handover::{Message, Peer};
use link::locked;
use operator::{ClassMetrics, Metrics, RejectionCount};
use policy::RejectReason;
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const STARTING: u8 = 0;
const READY: u8 = 1;
const ENDING: u8 = 2;

/// How long the other program may take to answer a call: the caller waits for 1 s in all.
const PEER_WITHIN: Duration = Duration::from_millis(400);

/// The parts, and what has been counted outside them.
pub struct Desk {
    exchange: Arc<RespExchange>,
    pools: Arc<BackendPools<RespProtocol>>,
    hosts: Arc<Mutex<Hosts>>,
    /// Names of the classes and of the plans by number.
    names: Mutex<(Vec<String>, Vec<String>)>,
    /// Where holds are kept for the program that comes next.
    folder: Option<PathBuf>,
    /// The program that this one takes the place of, or that takes this one's, and calls to it that wait for an answer.
    peer: Mutex<Option<Arc<Peer>>>,
    calls: Mutex<(u64, HashMap<u64, Sender<bool>>)>,
    stage: AtomicU8,
    reloads: AtomicU64,
    reload_errors: AtomicU64,
}

impl Desk {
    /// A desk that is not ready yet.
    pub fn new(
        exchange: Arc<RespExchange>,
        pools: Arc<BackendPools<RespProtocol>>,
        hosts: Arc<Mutex<Hosts>>,
        folder: Option<PathBuf>,
    ) -> Self {
        let (names, peer, calls, stage, reloads, reload_errors) = Default::default();
        Self { exchange, pools, hosts, names, folder, peer, calls, stage, reloads, reload_errors }
    }

    /// Names the classes and the plans by number.
    pub fn set_names(&self, classes: Vec<String>, plans: Vec<String>) {
        *locked(&self.names) = (classes, plans);
    }

    /// Names of the classes and of the plans by number.
    pub fn names(&self) -> (Vec<String>, Vec<String>) {
        locked(&self.names).clone()
    }

    /// Takes up the holds that an earlier program has left.
    pub fn restore(&self) {
        let Some(folder) = &self.folder else { return };
        match held::read(folder) {
            Ok(ids) => {
                for id in ids {
                    self.apply(&id, true, true);
                }
            }
            Err(why) => tracing::warn!("operators: the file of loan servers that are out is not used: {why}"),
        }
    }

    /// Names the other program of an upgrade, or that there is none any more.
    pub fn set_peer(&self, peer: Option<Arc<Peer>>) {
        *locked(&self.peer) = peer;
        // Nobody answers these any more.
        locked(&self.calls).1.clear();
    }

    /// Whether this program is to end.
    pub fn is_ending(&self) -> bool {
        self.stage.load(Ordering::Acquire) == ENDING
    }

    /// The other program has said something about holds.
    pub fn heard(&self, peer: &Peer, message: Message) {
        match message {
            Message::SetEjected { call, id, ejected, known } => {
                let applied = self.apply(&id, ejected, known);
                // Where it has gone nobody waits for this.
                let _ = peer.send(&Message::EjectionApplied { call, applied }, None);
            }
            Message::EjectionApplied { call, applied } => {
                if let Some(caller) = locked(&self.calls).1.remove(&call) {
                    // It may have given up.
                    let _ = caller.send(applied);
                }
            }
            _ => {}
        }
    }

    /// Has the other program do the same. `known`: the id is one that this program has.
    fn ask_peer(&self, peer: &Peer, id: &str, held: bool, known: bool) -> bool {
        let (tell, told) = channel();
        let call = {
            let mut calls = locked(&self.calls);
            calls.0 += 1;
            let call = calls.0;
            calls.1.insert(call, tell);
            call
        };
        let message = Message::SetEjected { call, id: id.to_owned(), ejected: held, known };
        let done = peer.send(&message, None).is_ok() && told.recv_timeout(PEER_WITHIN).unwrap_or(false);
        locked(&self.calls).1.remove(&call);
        done
    }

    /// Takes a loan server out here, or calls it back; tells whether anybody has this id.
    pub fn apply(&self, id: &str, held: bool, known: bool) -> bool {
        // Held over all three, so that two calls for one loan server do not cross.
        let mut hosts = locked(&self.hosts);
        let Some(number) = hosts.hold(id, held, known) else { return false };
        // Decisions follow the pools: what was decided before the hold is refused there, called back it finds them open.
        self.pools.set_operator_ejection(number, held);
        self.exchange.set_operator_ejection(number, held);
        if let Some(Err(why)) = self.folder.as_ref().map(|folder| held::write(folder, hosts.held())) {
            tracing::warn!("operators: which loan servers are out could not be written down: {why}");
        }
        tracing::info!("operators: {id} {}", if held { "is out" } else { "is used again" });
        true
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

    fn figures(&self) -> Metrics {
        let (ends, members) = self.exchange.outcome_counts();
        // A class that came back otherwise than it was is another number of the same name.
        let mut classes: Vec<ClassMetrics> = Vec::new();
        for (name, counts) in locked(&self.names).0.iter().zip(&ends.classes) {
            let at = classes.iter().position(|c| c.name == *name).unwrap_or_else(|| {
                classes.push(ClassMetrics { name: name.clone(), ..ClassMetrics::default() });
                classes.len() - 1
            });
            let class = &mut classes[at];
            class.completed += counts.served;
            class.rejected += counts.rejected;
            class.failed += counts.failed;
        }
        let names = RejectReason::ALL.iter().map(|why| why.name());
        let rejections = names.zip(ends.rejections).map(|(reason, count)| RejectionCount { reason, count });
        Metrics {
            classes,
            rejections: rejections.collect(),
            attempts_written: self.pools.attempts_written(),
            pending: ends.pending,
            backends: members.listed,
            backends_unavailable: members.unavailable,
            reloads: self.reloads.load(Ordering::Relaxed),
            reload_errors: self.reload_errors.load(Ordering::Relaxed),
        }
    }

    fn hold(&self, id: &str, held: bool) -> Result<(), String> {
        let known = self.apply(id, held, false);
        let peer = locked(&self.peer).clone();
        // The lists of two programs may differ for a moment: an id that one has binds both.
        if peer.is_some_and(|peer| self.ask_peer(&peer, id, held, known)) && !known {
            self.apply(id, held, true);
            return Ok(());
        }
        if known { Ok(()) } else { Err("no such loan server".into()) }
    }
}
