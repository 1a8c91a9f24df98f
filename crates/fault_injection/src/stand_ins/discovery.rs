//! The stand-in for discovery: an agent for each gatekeeper; all agents serve the same endpoint list.

use super::{EndpointList, ListUpdate, ListedChange, ListedState, listen};
use crate::history::{Observation, Recorder, now_us};
use crate::network::{Link, LinkQuality, Network};
use fault_harness::stand_ins::{ChangeForm, WatchSite, serve_watch};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

/// Revision of the endpoint list at the start.
const FIRST_REVISION: u64 = 41;

/// The link over which a gatekeeper receives notifications.
#[derive(Clone)]
pub struct WatchRoute {
    /// The network that carries the notifications.
    pub network: Network,
    /// The link from discovery to the gatekeeper.
    pub link: Link,
}

/// Serves an endpoint list to gatekeepers of the platform. Clones share the list.
#[derive(Clone, Debug)]
pub struct Discovery {
    list: EndpointList,
}

impl Discovery {
    /// Creates an endpoint list with these backends, all of them up.
    pub fn new(names: &[String]) -> Self {
        Self { list: EndpointList::new(names.iter().cloned(), FIRST_REVISION) }
    }

    /// Marks a backend as draining, or as up.
    pub fn set_draining(&self, name: &str, is_draining: bool) {
        let state = if is_draining { ListedState::Draining } else { ListedState::Up };
        self.list.change(name, ListedChange { state, has_just_started: false }, || ());
    }

    /// The complete endpoint list for a gatekeeper that reaches the backends at these addresses.
    pub fn complete_list(&self, addresses: &HashMap<String, SocketAddr>) -> ListUpdate {
        self.list.update(None, |name| addresses.get(name).copied())
    }

    /// Opens the agent of a gatekeeper that reaches the backends at these addresses.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn open(
        &self,
        host: IpAddr,
        gatekeeper: &str,
        addresses: HashMap<String, SocketAddr>,
        route: WatchRoute,
        recorder: &Recorder,
    ) -> std::io::Result<SocketAddr> {
        let network = route.network.clone();
        let agent = Agent {
            list: self.list.clone(),
            gatekeeper_name: gatekeeper.to_owned(),
            addresses,
            route,
            recorder: recorder.clone(),
        };
        listen(&network, host, move |stream| {
            serve_watch(stream, &agent.list, ChangeForm::CompleteList, &agent);
        })
    }
}

/// The discovery agent that serves watches of one gatekeeper.
struct Agent {
    list: EndpointList,
    gatekeeper_name: String,
    /// The addresses at which the gatekeeper reaches the backends, by backend name.
    addresses: HashMap<String, SocketAddr>,
    route: WatchRoute,
    recorder: Recorder,
}

/// A notification that is about to be written.
struct Notice {
    at_us: u64,
    /// Whether the link is healthy, so that the gatekeeper is certain to receive the notification at `at_us`.
    arrives: bool,
}

impl WatchSite for Agent {
    type PendingUpdate = Notice;

    fn address(&self, backend: &str) -> Option<SocketAddr> {
        self.addresses.get(backend).copied()
    }

    fn sending(&self, _: &ListUpdate) -> Notice {
        let arrives = self.route.network.quality(self.route.link) == LinkQuality::default();
        Notice { at_us: now_us(), arrives }
    }

    fn sent(&self, notice: Notice) {
        if !notice.arrives {
            return;
        }
        for backend in self.list.backends() {
            let notified = Observation::EndpointNotified {
                gatekeeper: self.gatekeeper_name.clone(),
                accepts_requests: backend.state == ListedState::Up,
                backend: backend.id,
            };
            self.recorder.record_at(notice.at_us, notified);
        }
    }
}
