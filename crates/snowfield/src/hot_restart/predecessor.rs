//! This process as the predecessor: it hands over to whoever asks for it, and takes over again if that process ends.

use super::{HotRestart, STEP_TIMEOUT};
use crate::error::Error;
use exchange::{PolicySnapshot, TenantId};
use front_resp::HandOverConnection;
use handover::{
    Admission, JOURNAL_DRAIN_TIMEOUT, JournalEnd, Message, PROTOCOL_VERSION, Peer, UpgradeSocket,
    read_journal,
};
use link::{Listener, locked, spawn_with};
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, channel};
use std::thread;

/// A client connection that is to be passed on.
struct PassedConnection {
    socket: TcpStream,
    partial_request: Vec<u8>,
}

impl HotRestart {
    /// Starts serving successors at this socket, one after the other, until the process ends.
    pub fn serve_successors(self: &Arc<Self>, socket: UpgradeSocket, listener: &Arc<Listener>) {
        let (restart, listener) = (self.clone(), listener.clone());
        thread::spawn(move || {
            loop {
                match socket.accept() {
                    Ok(peer) => restart.serve_successor(&Arc::new(peer), &listener),
                    Err(_) => thread::sleep(STEP_TIMEOUT),
                }
            }
        });
    }

    fn serve_successor(self: &Arc<Self>, peer: &Arc<Peer>, listener: &Arc<Listener>) {
        match peer.receive(Some(STEP_TIMEOUT)) {
            Ok((Message::Hello { version: PROTOCOL_VERSION }, _)) => {}
            Ok(_) => {
                return tracing::info!("successor has another protocol version, serving continues");
            }
            Err(_) => return,
        }
        self.admin.set_peer(Some(peer.clone()));
        let (mut handed_over, mut journal) = (false, None);
        while let Ok((message, descriptor)) = peer.receive((!handed_over).then_some(2 * STEP_TIMEOUT)) {
            match message {
                Message::RequestState if !handed_over => {
                    handed_over = true;
                    journal = descriptor.map(|reader| self.mirror_journal(reader));
                    if let Err(error) = self.hand_over(peer, listener) {
                        tracing::warn!(%error, "hand-over to the successor failed");
                        break;
                    }
                }
                message => self.admin.handle_message(peer, message),
            }
        }
        peer.close();
        self.admin.set_peer(None);
        if handed_over && !self.admin.is_ending() {
            self.resume(journal, listener);
        }
    }

    /// Starts mirroring the admissions of a successor, so that the token buckets here fill and empty as its do. The receiver
    /// gets how the journal ended.
    fn mirror_journal(self: &Arc<Self>, reader: OwnedFd) -> Receiver<JournalEnd> {
        let (sender, end) = channel();
        let restart = self.clone();
        thread::spawn(move || {
            let journal_end = read_journal(reader, |admission| restart.mirror(admission));
            // Nobody waits where this process ends.
            let _ = sender.send(journal_end);
        });
        end
    }

    fn mirror(&self, admission: Admission) {
        self.exchange.mirror_admission(exchange::Admission {
            tenant: TenantId(admission.tenant),
            plan: admission.plan,
            tenant_gatekeepers: admission.tenant_gatekeepers,
            units: admission.units,
        });
    }

    /// Stops admitting requests, and sends the listener, the state and, as they come, the client connections.
    fn hand_over(self: &Arc<Self>, peer: &Arc<Peer>, listener: &Arc<Listener>) -> Result<(), Error> {
        let (sender, connections) = channel();
        let restart = self.clone();
        let pass_on: Arc<HandOverConnection> = Arc::new(move |socket, partial_request| {
            restart.passing.fetch_add(1, Ordering::AcqRel);
            if sender.send(PassedConnection { socket, partial_request }).is_err() {
                restart.passing.fetch_sub(1, Ordering::AcqRel);
            }
        });
        let snapshot = self.freeze(pass_on, listener)?;
        peer.send(&self.state_message(&snapshot)?, Some(listener.descriptor()))?;
        self.pools.set_retired(true);
        tracing::info!("successor serves, draining");
        self.send_connections(connections, peer.clone());
        Ok(())
    }

    /// Stops accepting and reading, and takes the policy's snapshot.
    fn freeze(
        self: &Arc<Self>,
        pass_on: Arc<HandOverConnection>,
        listener: &Arc<Listener>,
    ) -> Result<PolicySnapshot, Error> {
        let (sender, snapshot) = channel();
        let (restart, listener) = (self.clone(), listener.clone());
        // On the worker, between two steps of any client connection: no request is admitted after the snapshot.
        spawn_with(link::LARGE_STACK, move || {
            listener.set_paused(true);
            restart.front.hand_over_connections(pass_on);
            // Nobody waits for it where the process ends.
            let _ = sender.send(restart.exchange.hand_over());
        });
        snapshot.recv_timeout(STEP_TIMEOUT).map_err(|_| Error::StateTimeout)
    }

    fn state_message(&self, snapshot: &PolicySnapshot) -> Result<Message, Error> {
        let names = self.admin.names();
        let endpoint_ids = locked(&self.endpoint_ids);
        Ok(Message::State {
            policy_snapshot: postcard::to_stdvec(snapshot).map_err(Error::Snapshot)?,
            backends: endpoint_ids.listed(),
            plans: names.plans,
            classes: names.classes,
            ejected: endpoint_ids.ejected().map(str::to_owned).collect(),
        })
    }

    /// Starts sending client connections to the successor as the front passes them on.
    fn send_connections(self: &Arc<Self>, connections: Receiver<PassedConnection>, peer: Arc<Peer>) {
        let restart = self.clone();
        thread::spawn(move || {
            for PassedConnection { socket, partial_request } in connections {
                let message = Message::ClientConnection { partial_request };
                let sent = peer.send(&message, Some(socket.as_fd()));
                restart.passing.fetch_sub(1, Ordering::AcqRel);
                if sent.is_err() {
                    return;
                }
            }
        });
    }

    /// Serves again after the successor has ended.
    fn resume(&self, journal: Option<Receiver<JournalEnd>>, listener: &Listener) {
        // All entries are there once the successor is gone; one that only hung up may still admit requests.
        let journal_end = journal.and_then(|end| end.recv_timeout(JOURNAL_DRAIN_TIMEOUT).ok());
        let knows_all = journal_end == Some(JournalEnd::Complete);
        tracing::warn!(token_buckets_kept = knows_all, "successor exited, serving resumed");
        self.exchange.resume(knows_all);
        self.pools.set_retired(false);
        self.front.resume();
        listener.set_paused(false);
    }
}
