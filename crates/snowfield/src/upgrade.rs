//! Upgrades: this program takes the place of one that serves, and gives way to the one that comes next. What they say to each
//! other is in `handover`; docs/design/operation.md has the order of things.

use crate::desk::Desk;
use crate::hosts::Hosts;
use destination::{BackendPools, RespProtocol};
use exchange::{BackendId, PolicySnapshot, TenantId};
use front_resp::{Front, Heir, RespExchange};
use handover::{
    Admission, AdmissionJournal, BackendNumber, JOURNAL_DRAIN_TIMEOUT, JournalEnd, Message, PROTOCOL_VERSION,
    Peer, UpgradeSocket, read_journal,
};
use link::{Connection, Listener, locked, spawn_with};
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long the other program may take for its next step. A new one must be ready within 6 s.
const STEP: Duration = Duration::from_secs(3);

/// What is handed over, and who has it.
pub struct Parts {
    pub desk: Arc<Desk>,
    pub exchange: Arc<RespExchange>,
    pub pools: Arc<BackendPools<RespProtocol>>,
    pub hosts: Arc<Mutex<Hosts>>,
    pub front: Arc<Front>,
    /// Connections that are on their way to the other program.
    pub passing: AtomicUsize,
}

/// Calls the program that serves with this folder, if there is one.
pub fn call(folder: &Path) -> Option<Arc<Peer>> {
    let peer = Peer::connect(folder).ok()?;
    peer.send(&Message::Hello { version: PROTOCOL_VERSION }, None).ok()?;
    Some(Arc::new(peer))
}

impl Parts {
    /// Takes the place of a program that serves. When this returns it lets nothing in any more, and the door is its own.
    pub fn take(&self, peer: &Arc<Peer>) -> Result<Listener, String> {
        let taken = self.take_state(peer);
        if taken.is_err() {
            peer.close();
            self.desk.set_peer(None);
        }
        taken
    }

    fn take_state(&self, peer: &Peer) -> Result<Listener, String> {
        let (ledger, reads) = AdmissionJournal::open().map_err(|e| e.to_string())?;
        peer.send(&Message::RequestState, Some(reads.as_fd())).map_err(|e| e.to_string())?;
        let (message, listener) = loop {
            match peer.receive(Some(STEP)).map_err(|e| e.to_string())? {
                (message @ (Message::SetEjected { .. } | Message::EjectionApplied { .. }), _) => {
                    self.desk.heard(peer, message)
                }
                other => break other,
            }
        };
        let Message::State { policy_snapshot, backends, plans, classes, ejected } = message else {
            return Err("it sent something else".into());
        };
        let listener = TcpListener::from(listener.ok_or("it sent no listener")?);
        let door = Listener::inherit(listener).map_err(|e| e.to_string())?;
        for id in ejected {
            self.desk.apply(&id, true, true);
        }
        let ours = self.desk.names();
        // Whatever of its state can be read: a ledger that ends without entries says that nothing was let in.
        self.enter_all(ledger, &plans, &ours.1);
        match postcard::from_bytes::<PolicySnapshot>(&policy_snapshot) {
            Ok(carried) => {
                let hosts = locked(&self.hosts);
                let number =
                    |theirs: BackendNumber| Some((BackendId(theirs.number), hosts.number(&theirs.id)?));
                let numbers: HashMap<BackendId, BackendId> =
                    backends.into_iter().filter_map(number).collect();
                let (plans, classes) = (places(&plans, &ours.1), places(&classes, &ours.0));
                self.exchange.take_over(carried.remap(&numbers, &plans, &classes));
            }
            Err(why) => {
                tracing::warn!(
                    "upgrade: what the other program knew cannot be read ({why}); starting without it"
                )
            }
        }
        Ok(door)
    }

    /// What is let in from now on is entered before it is sent on, by the other program's numbers of plans.
    fn enter_all(&self, journal: AdmissionJournal, theirs: &[String], ours: &[String]) {
        let numbers = places(ours, theirs);
        self.exchange.set_admission_listener(Some(Box::new(move |admission: exchange::Admission| {
            // A plan that the other one does not have counts for nobody there.
            if let Some(plan) = numbers.get(admission.plan as usize).copied().flatten() {
                journal.append(&Admission {
                    tenant: admission.tenant.0,
                    plan: plan as u32,
                    tenant_gatekeepers: admission.tenant_gatekeepers,
                    units: admission.units,
                });
            }
        })));
    }

    /// Takes the connections that the other program passes on, until it ends.
    pub fn follow(self: &Arc<Self>, peer: Arc<Peer>) {
        let parts = self.clone();
        thread::spawn(move || {
            let mut taken = 0;
            loop {
                match peer.receive(None) {
                    Ok((Message::ClientConnection { partial_request: begun }, Some(socket))) => {
                        if let Ok(link) = Connection::new(TcpStream::from(socket)) {
                            parts.front.adopt(link, begun);
                            taken += 1;
                        }
                    }
                    Ok((message, _)) => parts.desk.heard(&peer, message),
                    Err(_) => break,
                }
            }
            parts.desk.set_peer(None);
            parts.exchange.set_admission_listener(None);
            tracing::warn!("upgrade: the other program has ended; {taken} connections were taken over");
        });
    }

    /// Gives way to whoever calls at this place, one after the other, for as long as the process lives.
    pub fn give_way(self: &Arc<Self>, place: UpgradeSocket, door: &Arc<Listener>) {
        let (parts, door) = (self.clone(), door.clone());
        thread::spawn(move || {
            loop {
                match place.accept() {
                    Ok(peer) => parts.serve_heir(&Arc::new(peer), &door),
                    Err(_) => thread::sleep(STEP),
                }
            }
        });
    }

    /// Whether another program serves in this one's place.
    pub fn has_given(&self) -> bool {
        self.front.is_frozen()
    }

    fn serve_heir(self: &Arc<Self>, peer: &Arc<Peer>, door: &Arc<Listener>) {
        match peer.receive(Some(STEP)) {
            Ok((Message::Hello { version: PROTOCOL_VERSION }, _)) => {}
            Ok(_) => return tracing::info!("upgrade: a program of another form called; this one serves on"),
            Err(_) => return,
        }
        self.desk.set_peer(Some(peer.clone()));
        let (mut given, mut ledger) = (false, None);
        while let Ok((message, descriptor)) = peer.receive((!given).then_some(2 * STEP)) {
            match message {
                Message::RequestState if !given => {
                    given = true;
                    ledger = descriptor.map(|reads| self.follow_ledger(reads));
                    if let Err(why) = self.give(peer, door) {
                        tracing::warn!("upgrade: the other program could not be given all ({why})");
                        break;
                    }
                }
                message => self.desk.heard(peer, message),
            }
        }
        peer.close();
        self.desk.set_peer(None);
        if given && !self.desk.is_ending() {
            // All entries are there once the other one is gone; one that only hung up may still let in.
            let whole = ledger
                .is_some_and(|told| told.recv_timeout(JOURNAL_DRAIN_TIMEOUT) == Ok(JournalEnd::Complete));
            let stores = if whole { "with what the other left" } else { "with empty stores" };
            tracing::warn!("upgrade: the other program has ended; this one serves on, {stores}");
            self.exchange.resume(whole);
            self.pools.set_retired(false);
            self.front.go_on();
            door.set_paused(false);
        }
    }

    /// Keeps the stores here as the other program leaves them; tells at its end whether they are.
    fn follow_ledger(self: &Arc<Self>, reads: OwnedFd) -> Receiver<JournalEnd> {
        let (tell, told) = channel();
        let parts = self.clone();
        thread::spawn(move || {
            let end = read_journal(reads, |admission| {
                parts.exchange.mirror_admission(exchange::Admission {
                    tenant: TenantId(admission.tenant),
                    plan: admission.plan,
                    tenant_gatekeepers: admission.tenant_gatekeepers,
                    units: admission.units,
                });
            });
            let _ = tell.send(end);
        });
        told
    }

    /// Stops letting anything in, and gives all there is.
    fn give(self: &Arc<Self>, peer: &Arc<Peer>, door: &Arc<Listener>) -> Result<(), String> {
        let (pass, passed) = channel::<(TcpStream, Vec<u8>)>();
        let counted = self.clone();
        let heir: Arc<Heir> = Arc::new(move |socket, begun| {
            counted.passing.fetch_add(1, Ordering::AcqRel);
            if pass.send((socket, begun)).is_err() {
                counted.passing.fetch_sub(1, Ordering::AcqRel);
            }
        });
        let (tell, told) = channel();
        let (parts, shut) = (self.clone(), door.clone());
        // On the worker, between two steps of any client connection: no request is let in after the state was taken.
        spawn_with(link::LARGE_STACK, move || {
            shut.set_paused(true);
            parts.front.pass_on(heir);
            // Nobody waits for it where the program is ending.
            let _ = tell.send(parts.exchange.hand_over());
        });
        let carried = told.recv_timeout(STEP).map_err(|e| e.to_string())?;
        let (classes, plans) = self.desk.names();
        let message = {
            let hosts = locked(&self.hosts);
            Message::State {
                policy_snapshot: postcard::to_stdvec(&carried).map_err(|e| e.to_string())?,
                backends: hosts.listed(),
                plans,
                classes,
                ejected: hosts.held().map(str::to_owned).collect(),
            }
        };
        peer.send(&message, Some(door.descriptor())).map_err(|e| e.to_string())?;
        self.pools.set_retired(true);
        tracing::info!("upgrade: another program serves now; this one finishes what it has");
        let (parts, peer) = (self.clone(), peer.clone());
        thread::spawn(move || {
            for (socket, begun) in passed {
                let gone = peer
                    .send(&Message::ClientConnection { partial_request: begun }, Some(socket.as_fd()))
                    .is_err();
                parts.passing.fetch_sub(1, Ordering::AcqRel);
                if gone {
                    return;
                }
            }
        });
        Ok(())
    }
}

/// For each of their names its number here.
fn places(theirs: &[String], ours: &[String]) -> Vec<Option<usize>> {
    theirs.iter().map(|name| ours.iter().position(|n| n == name)).collect()
}
