//! This process as the predecessor: handing over to a successor, and resuming service if the successor ends.

use super::{HotRestart, MESSAGE_TIMEOUT};
use crate::error::Error;
use crate::start_retry::with_retries;
use exchange::{PolicySnapshot, TenantId};
use front_resp::HandOverConnection;
use handover::{
    Admission, JOURNAL_DRAIN_TIMEOUT, JournalEnd, Message, PROTOCOL_VERSION, Peer, UpgradeSocket,
    read_journal,
};
use link::{Listener, lock_or_abort, spawn_with};
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// Pause before the upgrade socket accepts again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Timeout from a successor's first message to its request for the state.
const STATE_REQUEST_TIMEOUT: Duration = MESSAGE_TIMEOUT.saturating_mul(2);

/// A hand-over that a successor has requested.
struct HandOver {
    /// Receives how the successor's admission journal has ended. `None` if the successor sent no journal with its request.
    journal: Option<Receiver<JournalEnd>>,
}

/// A client connection that is to be sent to the successor.
struct ConnectionTransfer {
    socket: TcpStream,
    /// The bytes of an incomplete request that this process has read; empty if the connection has no incomplete request.
    partial_request: Vec<u8>,
}

impl HotRestart {
    /// Starts accepting successors in this directory. If the socket cannot be bound at once, a thread retries.
    pub fn accept_successors(self: &Arc<Self>, directory: PathBuf, listener: &Arc<Listener>) {
        match UpgradeSocket::bind(&directory) {
            Ok(socket) => self.serve_successors(socket, listener),
            Err(error) => {
                tracing::warn!(%error, "hot restart socket not usable, retrying");
                let (restart, listener) = (self.clone(), listener.clone());
                thread::spawn(move || match with_retries(|| UpgradeSocket::bind(&directory)) {
                    Ok(socket) => restart.serve_successors(socket, &listener),
                    Err(error) => tracing::warn!(%error, "hot restart socket not usable"),
                });
            }
        }
    }

    /// Starts a thread that serves successors at this socket, one at a time, until the process ends.
    fn serve_successors(self: &Arc<Self>, socket: UpgradeSocket, listener: &Arc<Listener>) {
        let (restart, listener) = (self.clone(), listener.clone());
        thread::spawn(move || {
            loop {
                match socket.accept() {
                    Ok(peer) => restart.serve_successor(&Arc::new(peer), &listener),
                    Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
                }
            }
        });
    }

    /// Serves one successor until its connection ends. If it has taken over by then, this process resumes service.
    fn serve_successor(self: &Arc<Self>, peer: &Arc<Peer>, listener: &Arc<Listener>) {
        match peer.receive(Some(MESSAGE_TIMEOUT)) {
            Ok((Message::Hello { version: PROTOCOL_VERSION }, _)) => {}
            Ok(_) => {
                return tracing::info!("successor has another protocol version, serving continues");
            }
            Err(_) => return,
        }
        self.ejections.set_peer(Some(peer.clone()));
        let hand_over = self.handle_messages(peer, listener);
        peer.close();
        self.ejections.set_peer(None);
        if let Some(HandOver { journal }) = hand_over
            && !self.admin.is_ending()
        {
            self.resume(journal, listener);
        }
    }

    /// Handles the messages of a successor until its connection ends. Returns the hand-over, if the successor has requested it.
    fn handle_messages(self: &Arc<Self>, peer: &Arc<Peer>, listener: &Arc<Listener>) -> Option<HandOver> {
        let mut hand_over = None;
        loop {
            // After the hand-over the successor may be silent for as long as it runs.
            let timeout = hand_over.is_none().then_some(STATE_REQUEST_TIMEOUT);
            let Ok((message, descriptor)) = peer.receive(timeout) else { return hand_over };
            match message {
                Message::RequestState if hand_over.is_none() => {
                    let journal = descriptor.map(|reader| self.mirror_journal(reader));
                    hand_over = Some(HandOver { journal });
                    if let Err(error) = self.hand_over(peer, listener) {
                        tracing::warn!(%error, "hand-over to the successor failed");
                        return hand_over;
                    }
                }
                message => self.ejections.handle_message(peer, message),
            }
        }
    }

    /// Starts mirroring the admissions of a successor, so that the token buckets of this process stay equal to the
    /// successor's. The receiver gets how the journal has ended.
    fn mirror_journal(self: &Arc<Self>, reader: OwnedFd) -> Receiver<JournalEnd> {
        let (sender, end) = channel();
        let restart = self.clone();
        thread::spawn(move || {
            let journal_end = read_journal(reader, |admission| restart.mirror_admission(admission));
            // `send` fails if the receiver has timed out, or was dropped in a shutdown.
            let _ = sender.send(journal_end);
        });
        end
    }

    fn mirror_admission(&self, admission: Admission) {
        self.exchange.mirror_admission(exchange::Admission {
            tenant: TenantId(admission.tenant),
            plan: admission.plan,
            tenant_gatekeepers: admission.tenant_gatekeepers,
            units: admission.units,
        });
    }

    /// Stops admitting requests, sends the listener and the state, and starts sending client connections.
    fn hand_over(self: &Arc<Self>, peer: &Arc<Peer>, listener: &Arc<Listener>) -> Result<(), Error> {
        let (sender, connections) = channel();
        let restart = self.clone();
        let send_to_successor: Arc<HandOverConnection> = Arc::new(move |socket, partial_request| {
            restart.connections_in_transfer.fetch_add(1, Ordering::AcqRel);
            if sender.send(ConnectionTransfer { socket, partial_request }).is_err() {
                restart.connections_in_transfer.fetch_sub(1, Ordering::AcqRel);
            }
        });
        let snapshot = self.freeze(send_to_successor, listener)?;
        peer.send(&self.state_message(&snapshot)?, Some(listener.descriptor()))?;
        self.pools.set_retired(true);
        tracing::info!("successor serves, draining");
        self.send_connections(connections, peer.clone());
        Ok(())
    }

    /// Stops accepting connections and reading requests, and takes the policy's snapshot.
    fn freeze(
        self: &Arc<Self>,
        send_to_successor: Arc<HandOverConnection>,
        listener: &Arc<Listener>,
    ) -> Result<PolicySnapshot, Error> {
        let (sender, snapshot) = channel();
        let (restart, listener) = (self.clone(), listener.clone());
        // The coroutine runs on the worker thread, never in the middle of a step of a client connection, so that no request is
        // admitted after the snapshot.
        spawn_with(link::JSON_STACK_BYTES, move || {
            listener.set_paused(true);
            restart.front.hand_over_connections(send_to_successor);
            // `send` fails if the receiver has timed out.
            let _ = sender.send(restart.exchange.hand_over());
        });
        snapshot.recv_timeout(MESSAGE_TIMEOUT).map_err(|_| Error::StateTimeout)
    }

    fn state_message(&self, snapshot: &PolicySnapshot) -> Result<Message, Error> {
        let names = self.admin.names();
        let endpoint_ids = lock_or_abort(&self.endpoint_ids);
        Ok(Message::State {
            policy_snapshot: postcard::to_stdvec(snapshot).map_err(Error::Snapshot)?,
            backends: endpoint_ids.listed(),
            plans: names.plans,
            classes: names.classes,
            ejected: endpoint_ids.ejected().map(str::to_owned).collect(),
        })
    }

    /// Starts a thread that sends client connections to the successor as the front releases them.
    fn send_connections(self: &Arc<Self>, connections: Receiver<ConnectionTransfer>, peer: Arc<Peer>) {
        let restart = self.clone();
        thread::spawn(move || {
            for ConnectionTransfer { socket, partial_request } in connections {
                let message = Message::ClientConnection { partial_request };
                let sent = peer.send(&message, Some(socket.as_fd()));
                restart.connections_in_transfer.fetch_sub(1, Ordering::AcqRel);
                if sent.is_err() {
                    return;
                }
            }
        });
    }

    /// Resumes service after the successor has ended.
    fn resume(&self, journal: Option<Receiver<JournalEnd>>, listener: &Listener) {
        // Once the successor's process has ended, all entries of its journal can be read. A successor that has only closed its
        // connection may still admit requests, and its journal does not end in time.
        let journal_end = journal.and_then(|end| end.recv_timeout(JOURNAL_DRAIN_TIMEOUT).ok());
        let journal_is_complete = journal_end == Some(JournalEnd::Complete);
        tracing::warn!(token_buckets_kept = journal_is_complete, "successor exited, serving resumed");
        self.exchange.resume(journal_is_complete);
        self.pools.set_retired(false);
        self.front.resume();
        listener.set_paused(false);
    }
}
