//! Stand-ins of what gatekeepers speak to, each of which can be made to fail. Consul's is a package of its own.
//!
//! [`QuotaCounter`], [`EndpointList`] and the handling of connections serve every site; [`Backend`], [`Counter`] and [`Discovery`]
//! are those of this package's sites, where each gatekeeper reaches them over links of its own.

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

/// How much later a slow stand-in answers.
const SLOW_ANSWER: Duration = Duration::from_millis(200);

/// Whether and how a stand-in fails now. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct FailureSwitch(Arc<Mutex<Option<FailureMode>>>);

impl FailureSwitch {
    /// How it fails; none where it is healthy.
    pub fn mode(&self) -> Option<FailureMode> {
        *lock(&self.0)
    }

    /// Makes it fail like this, or be healthy.
    pub fn set(&self, mode: Option<FailureMode>) {
        *lock(&self.0) = mode;
    }
}

/// Listens at a free port of this host and serves each connection in a thread, until the network ends.
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
