//! The handle of a running node.

use crate::clock::Clock;
use crate::config::{NodeConfig, ProposalValidator};
use crate::connection::{self, ConnectionContext};
use crate::driver::Driver;
use crate::error::Error;
use crate::event::Event;
use crate::lease_watch::watch_lease;
use crate::message_io::SharedKeys;
use crate::peers::Peers;
use crate::view::{SharedView, ViewListener};
use membership::authentication::Keyring;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

/// Capacity of the queue of events for the driver thread, which owns the node's state.
const MAX_QUEUED_EVENTS: usize = 1_024;

/// A running node, which stops when this handle is dropped and its connections are closed.
pub struct Node {
    events: SyncSender<Event>,
    keys: SharedKeys,
}

impl Node {
    /// Starts a node. If its replica's log is unusable, the node logs a warning and runs like a node that is not a replica.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] if the node cannot listen on its address, and [`Error::Thread`] if a thread cannot be started.
    pub fn start(
        config: NodeConfig,
        validator: ProposalValidator,
        listener: ViewListener,
    ) -> Result<Self, Error> {
        let (events, event_receiver) = sync_channel(MAX_QUEUED_EVENTS);
        let keys = SharedKeys::new(config.keys.clone());
        let context = ConnectionContext { keys: keys.clone(), events: events.clone() };
        if let Some(address) = config.listen {
            listen(address, context.clone())?;
        }
        let peers = Peers::start(&config, &context)?;
        let clock = Clock::start();
        let view = Arc::new(SharedView::new(config.name.clone(), listener));
        let driver = Driver::new(config, clock, peers, validator, view.clone());
        // The initial `ConfigView` has no version. The listener gets this view before `start` returns, so the gatekeeper serves
        // no request without knowing that there is no version yet.
        view.notify_listener();
        let weak_view = Arc::downgrade(&view);
        spawn("agreed-lease", move || watch_lease(weak_view, clock))?;
        spawn("agreed", move || driver.run(&event_receiver))?;
        Ok(Self { events, keys })
    }

    /// Replaces the keys that authenticate messages. Open connections use the new keys from the next message on.
    pub fn set_keys(&self, keys: Keyring) {
        self.keys.replace_keyring(keys);
    }

    /// Requests the status that the admin console shows. The status arrives on the returned channel. If the
    /// node's event queue is full, the channel closes without a status.
    pub fn request_status(&self) -> Receiver<String> {
        let (reply, status) = sync_channel(1);
        let _ = self.events.try_send(Event::StatusRequested(reply));
        status
    }
}

fn listen(address: SocketAddr, context: ConnectionContext) -> Result<(), Error> {
    let socket = TcpListener::bind(address).map_err(|source| Error::Listen { address, source })?;
    connection::listen(socket, context).map_err(Error::Thread)
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), Error> {
    thread::Builder::new().name(name.into()).spawn(run).map(drop).map_err(Error::Thread)
}
