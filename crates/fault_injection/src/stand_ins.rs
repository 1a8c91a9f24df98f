//! Stand-ins for the services that gatekeepers connect to. Each can be made to fail. The stand-in for Consul is a package of its
//! own.
//!
//! [`QuotaCounter`], [`EndpointList`] and the handling of connections are shared by all harnesses. [`Backend`], [`Counter`] and
//! [`Discovery`] adapt them to the sites of this package, where each gatekeeper reaches them over links of its own.

mod backend;
mod counter;
mod discovery;
mod job_target;

pub use backend::Backend;
pub use counter::Counter;
pub use discovery::{Discovery, WatchRoute};
pub use fault_harness::stand_ins::{
    Addition, CounterFailure, EndpointList, HEARTBEAT_INTERVAL, ListUpdate, ListedBackend, ListedChange,
    ListedState, QuotaCounter, write_watch_head, write_watch_line,
};
pub use job_target::open_job_target;

use crate::network::Network;
use crate::schedule::FailureMode;
use fault_harness::sync::lock;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Additional time until a slow stand-in answers.
const SLOW_ANSWER: Duration = Duration::from_millis(200);

/// The current failure mode of a stand-in. Clones share the mode.
#[derive(Clone, Debug, Default)]
pub struct FailureSwitch(Arc<Mutex<Option<FailureMode>>>);

impl FailureSwitch {
    /// The current failure mode; `None` if the stand-in is healthy.
    pub fn mode(&self) -> Option<FailureMode> {
        *lock(&self.0)
    }

    /// Sets how the stand-in fails requests that arrive from now on; `None` makes the stand-in healthy.
    pub fn set_mode(&self, mode: Option<FailureMode>) {
        *lock(&self.0) = mode;
    }
}

/// Listens at a free port of this host and serves each connection in a thread, until the network is shut down.
fn listen(
    network: &Network,
    host: IpAddr,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    network.listen((host, 0).into(), move |stream| {
        let _ = stream.set_nodelay(true);
        serve(stream);
    })
}
