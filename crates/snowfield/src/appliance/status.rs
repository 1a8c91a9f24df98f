//! The status server: reports the live status as plain text over HTTP.

use crate::backends::Backends;
use cluster::Cluster;
use config_node::Node;
use front_openapi::Front;
use link::{Connection, Listener, spawn};
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Interval at which the worker checks whether another thread has sent its report.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of checks after which a report counts as missing: half a second in total.
const MAX_REPORT_POLLS: usize = 100;

/// The parts that the status reports on.
pub(super) struct StatusServer {
    pub(super) front: Arc<Front>,
    pub(super) backends: Arc<Backends>,
    pub(super) cluster: Option<Arc<Cluster>>,
    pub(super) config_node: Option<Arc<Node>>,
}

impl StatusServer {
    /// Sends the status to each client until the listener is closed. Call this in a coroutine.
    pub(super) fn run(self, listener: &Listener) {
        let server = Arc::new(self);
        while let Some(client) = listener.accept() {
            let server = server.clone();
            spawn(move || server.send(&client));
        }
    }

    fn send(&self, client: &Connection) {
        let body = self.report();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n",
            body.len()
        );
        if client.send((head + &body).as_bytes()).is_ok() {
            client.close_gracefully();
        }
    }

    fn report(&self) -> String {
        let replication = self.config_node.as_ref().and_then(|node| wait_for_report(&node.request_status()));
        let cluster = self.cluster.as_ref().map(|cluster| {
            let report = wait_for_report(&cluster.request_status());
            report.unwrap_or_else(|| "cluster\n  it does not answer\n".into())
        });
        let (cluster, replication) = (cluster.unwrap_or_default(), replication.unwrap_or_default());
        self.front.report() + &self.backends.report() + &cluster + &replication
    }
}

/// Waits for a report of another thread without blocking the worker. `None` if none arrives within half a second.
fn wait_for_report(report: &Receiver<String>) -> Option<String> {
    for _ in 0..MAX_REPORT_POLLS {
        if let Ok(report) = report.try_recv() {
            return Some(report);
        }
        link::sleep(REPORT_POLL_INTERVAL);
    }
    None
}
