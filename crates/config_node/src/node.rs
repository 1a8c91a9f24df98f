//! The handle of a running node.

use crate::config::{NodeConfig, ProposalValidator};
use crate::connection;
use crate::driver::Driver;
use crate::error::Error;
use crate::event::Event;
use crate::message_io::SharedKeys;
use crate::view::{SharedView, ViewListener, watch_lease};
use membership::authentication::Keyring;
use replicated_config::Message;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Instant;

/// Events that may wait for the thread that owns the node's state.
const MAX_QUEUED_EVENTS: usize = 1_024;

/// A running node. It stops when the last handle and its connections are gone.
pub struct Node {
    events: SyncSender<Event>,
    keys: SharedKeys,
}

impl Node {
    /// Starts a node. A replica whose log cannot be used logs a warning and takes part like any other node, without voting.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] or [`Error::Thread`].
    pub fn start(
        config: NodeConfig,
        validator: ProposalValidator,
        listener: ViewListener,
    ) -> Result<Self, Error> {
        let (events, inbox) = sync_channel(MAX_QUEUED_EVENTS);
        let keys = SharedKeys::new(config.keys.clone());
        if let Some(address) = config.listen {
            let socket = TcpListener::bind(address).map_err(|source| Error::Listen { address, source })?;
            connection::listen(socket, keys.clone(), events.clone()).map_err(Error::Thread)?;
        }
        let peers = open_peers(&config, &keys, &events)?;
        let started = Instant::now();
        let view = Arc::new(SharedView::new(config.name.clone(), listener));
        let driver = Driver::new(config, started, peers, validator, view.clone());
        // Before anything is served: no version is known yet.
        view.announce();
        let watched = Arc::downgrade(&view);
        spawn("agreed-lease", move || watch_lease(watched, started))?;
        spawn("agreed", move || driver.run(&inbox))?;
        Ok(Self { events, keys })
    }

    /// Replaces the keys that authenticate messages.
    pub fn set_keys(&self, keys: Keyring) {
        self.keys.replace(keys);
    }

    /// Requests the status that the console shows. It arrives a moment later, or never.
    pub fn request_status(&self) -> Receiver<String> {
        let (reply, status) = sync_channel(1);
        let _ = self.events.try_send(Event::StatusRequested(reply));
        status
    }
}

/// The queue of messages to each replica; none for this node itself.
fn open_peers(
    config: &NodeConfig,
    keys: &SharedKeys,
    events: &SyncSender<Event>,
) -> Result<Vec<Option<SyncSender<Message>>>, Error> {
    let mut peers = Vec::new();
    for replica in &config.replicas {
        let peer = if replica.name == config.name {
            None
        } else {
            let queue = connection::open_peer(replica.address, keys.clone(), events.clone());
            Some(queue.map_err(Error::Thread)?)
        };
        peers.push(peer);
    }
    Ok(peers)
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), Error> {
    thread::Builder::new().name(name.into()).spawn(run).map(drop).map_err(Error::Thread)
}
