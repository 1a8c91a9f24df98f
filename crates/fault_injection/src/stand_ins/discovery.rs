//! Discovery: an agent for each gatekeeper, all with the same endpoint list.

use super::listen;
use crate::history::{Observation, Recorder};
use crate::network::{Link, LinkQuality, Network};
use crate::sync::lock;
use crate::wire;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// An empty line is sent on a watch on which nothing changes for so long.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The revision of the list at the start.
const FIRST_REVISION: u64 = 41;

#[derive(Debug)]
struct Endpoint {
    name: String,
    is_draining: bool,
    /// When it started, Unix ms; 0 for long ago.
    boot_ms: u64,
}

#[derive(Debug, Default)]
struct EndpointList {
    revision: u64,
    endpoints: Vec<Endpoint>,
}

/// The link over which a gatekeeper is notified.
#[derive(Clone)]
pub struct WatchRoute {
    /// The network.
    pub network: Network,
    /// From discovery to the gatekeeper.
    pub link: Link,
}

/// Discovery. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct Discovery {
    shared: Arc<(Mutex<EndpointList>, Condvar)>,
}

impl Discovery {
    /// One that lists these backends.
    pub fn new(names: &[String]) -> Self {
        let endpoint = |name: &String| Endpoint { name: name.clone(), is_draining: false, boot_ms: 0 };
        let endpoints = names.iter().map(endpoint).collect();
        let list = EndpointList { revision: FIRST_REVISION, endpoints };
        Self { shared: Arc::new((Mutex::new(list), Condvar::new())) }
    }

    /// Marks a backend as draining, or as healthy.
    pub fn set_draining(&self, name: &str, is_draining: bool) {
        let mut list = lock(&self.shared.0);
        list.revision += 1;
        let named = list.endpoints.iter_mut().filter(|endpoint| endpoint.name == name);
        named.for_each(|endpoint| endpoint.is_draining = is_draining);
        self.shared.1.notify_all();
    }

    /// The list's revision, and its text for a gatekeeper that reaches backends at these addresses.
    pub fn list(&self, addresses: &HashMap<String, SocketAddr>) -> (u64, String) {
        let list = lock(&self.shared.0);
        let endpoint = |endpoint: &Endpoint| {
            let state = if endpoint.is_draining { "draining" } else { "up" };
            let (name, boot_ms, address) = (&endpoint.name, endpoint.boot_ms, addresses.get(&endpoint.name)?);
            Some(format!(
                r#"{{"uid":"{name}","endpoint":"{address}","az":"z","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
            ))
        };
        let endpoints: Vec<String> = list.endpoints.iter().filter_map(endpoint).collect();
        let revision = list.revision;
        (revision, format!(r#"{{"rev":{revision},"all":true,"targets":[{}]}}"#, endpoints.join(",")))
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
            discovery.serve_watch(stream, &gatekeeper, &addresses, &route, &recorder);
        })
    }

    fn serve_watch(
        &self,
        mut stream: TcpStream,
        gatekeeper: &str,
        addresses: &HashMap<String, SocketAddr>,
        route: &WatchRoute,
        recorder: &Recorder,
    ) {
        let Ok(read) = stream.try_clone() else { return };
        if wire::read_http_message(&mut BufReader::new(read)).is_none() {
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut sent = 0;
        loop {
            let (revision, list) = self.list(addresses);
            let line = if revision == sent { String::new() } else { list };
            // Only what surely arrives now counts as a notification.
            if revision != sent && route.network.quality(route.link) == LinkQuality::default() {
                self.record_notifications(gatekeeper, recorder);
            }
            if stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_err() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            sent = revision;
            let is_unchanged = |list: &mut EndpointList| list.revision == sent;
            let list = lock(&self.shared.0);
            drop(self.shared.1.wait_timeout_while(list, HEARTBEAT_INTERVAL, is_unchanged));
        }
    }

    fn record_notifications(&self, gatekeeper: &str, recorder: &Recorder) {
        for endpoint in &lock(&self.shared.0).endpoints {
            recorder.record(Observation::EndpointNotified {
                gatekeeper: gatekeeper.to_owned(),
                backend: endpoint.name.clone(),
                accepts_requests: !endpoint.is_draining,
            });
        }
    }
}
