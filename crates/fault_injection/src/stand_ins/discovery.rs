//! Discovery: an agent for each gatekeeper, all with the same endpoint list.

use super::{
    EndpointList, HEARTBEAT_INTERVAL, ListUpdate, ListedChange, ListedState, listen, write_watch_head,
    write_watch_line,
};
use crate::history::{Observation, Recorder};
use crate::network::{Link, LinkQuality, Network};
use crate::wire;
use std::collections::HashMap;
use std::io::{self, BufReader};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};

/// The revision of the list at the start.
const FIRST_REVISION: u64 = 41;

/// The link over which a gatekeeper is notified.
#[derive(Clone)]
pub struct WatchRoute {
    /// The network.
    pub network: Network,
    /// From discovery to the gatekeeper.
    pub link: Link,
}

/// Discovery. Clones share the list.
#[derive(Clone, Debug)]
pub struct Discovery {
    list: EndpointList,
}

impl Discovery {
    /// Discovery that lists these backends.
    pub fn new(names: &[String]) -> Self {
        Self { list: EndpointList::new(names.iter().cloned(), FIRST_REVISION) }
    }

    /// Marks a backend as draining, or as up.
    pub fn set_draining(&self, name: &str, is_draining: bool) {
        let state = if is_draining { ListedState::Draining } else { ListedState::Up };
        self.list.change(name, ListedChange { state, has_started: false }, || ());
    }

    /// The complete list for a gatekeeper that reaches backends at these addresses.
    pub fn complete_list(&self, addresses: &HashMap<String, SocketAddr>) -> ListUpdate {
        self.list.update(None, |name| addresses.get(name).copied())
    }

    /// Opens the agent of a gatekeeper, which reaches backends at these addresses.
    ///
    /// # Errors
    ///
    /// There is no port.
    pub fn open(
        &self,
        host: IpAddr,
        gatekeeper: &str,
        addresses: HashMap<String, SocketAddr>,
        route: WatchRoute,
        recorder: &Recorder,
    ) -> std::io::Result<SocketAddr> {
        let (discovery, gatekeeper, recorder) = (self.clone(), gatekeeper.to_owned(), recorder.clone());
        let network = route.network.clone();
        listen(&network, host, move |stream| {
            let _ = discovery.serve_watch(&stream, &gatekeeper, &addresses, &route, &recorder);
            let _ = stream.shutdown(Shutdown::Both);
        })
    }

    /// Sends the complete list on each change until the connection ends.
    fn serve_watch(
        &self,
        stream: &TcpStream,
        gatekeeper: &str,
        addresses: &HashMap<String, SocketAddr>,
        route: &WatchRoute,
        recorder: &Recorder,
    ) -> io::Result<()> {
        let mut stream = stream.try_clone()?;
        if wire::read_http_message(&mut BufReader::new(stream.try_clone()?)).is_none() {
            return Ok(());
        }
        write_watch_head(&mut stream)?;
        let mut sent = 0;
        loop {
            let ListUpdate { revision, text } = self.complete_list(addresses);
            let line = if revision == sent { "" } else { &text };
            // Only what surely arrives now counts as a notification.
            if revision != sent && route.network.quality(route.link) == LinkQuality::default() {
                self.record_notifications(gatekeeper, recorder);
            }
            write_watch_line(&mut stream, line)?;
            sent = revision;
            self.list.wait_for_change(sent, HEARTBEAT_INTERVAL);
        }
    }

    fn record_notifications(&self, gatekeeper: &str, recorder: &Recorder) {
        for backend in self.list.backends() {
            recorder.record(Observation::EndpointNotified {
                gatekeeper: gatekeeper.to_owned(),
                accepts_requests: backend.state == ListedState::Up,
                backend: backend.id,
            });
        }
    }
}
