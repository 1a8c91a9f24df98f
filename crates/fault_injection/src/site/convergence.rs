//! Checks whether all gatekeepers of a site agree, and describes what still differs.

use super::Site;
use crate::history::Outcome;
use crate::load::{Tenant, UNLIMITED_TENANT};
use crate::schedule::Form;
use fault_harness::sync::lock;
use fault_harness::wire;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// The Consul node under which the stand-in for Consul lists all backends.
const CONSUL_NODE: &str = "a";
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

impl Site {
    /// Describes the remaining differences between the gatekeepers; empty if all agree and serve.
    pub fn divergence(&self) -> String {
        let parts: Vec<String> = thread::scope(|scope| {
            let checks: Vec<_> =
                (0..self.members.len()).map(|i| scope.spawn(move || self.divergence_of(i))).collect();
            checks.into_iter().map(|check| check.join().unwrap_or_default()).collect()
        });
        parts.into_iter().filter(|part| !part.is_empty()).collect::<Vec<_>>().join("; ")
    }

    fn divergence_of(&self, index: usize) -> String {
        let member = &self.members[index];
        let missing = match self.schedule.form {
            Form::Appliance => self.missing_in_status(&self.status(index)),
            Form::Platform => self.missing_in_telemetry(index),
        };
        if let Some(missing) = missing {
            return format!("{}: {missing}", member.name);
        }
        // A request on a new connection must be served too.
        let mut client = self.client(index);
        let tenant = Tenant { request_interval: Duration::ZERO, ..UNLIMITED_TENANT };
        match client.send_request(&tenant) {
            Outcome::Served => String::new(),
            outcome => format!("{}: a request was {}", member.name, outcome.name()),
        }
    }

    /// Describes why the telemetry of a gatekeeper of the platform shows no convergence, for a text that begins with the name of
    /// the gatekeeper; `None` if all backends are known and available.
    fn missing_in_telemetry(&self, index: usize) -> Option<String> {
        let text = self.admin_call(index, "telemetry").unwrap_or_default();
        let gauge =
            |name: &str| text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse::<usize>().ok());
        match (gauge("balancer_members "), gauge("balancer_members_unavailable ")) {
            (Some(total), Some(0)) if total == self.backends.len() => None,
            (Some(total), Some(unavailable)) => Some(format!("{total} backends, {unavailable} unavailable")),
            _ => Some("the admin address does not answer".into()),
        }
    }

    /// Describes why the status page of an appliance shows no convergence, for a text that begins with its name;
    /// `None` if all members, all backends and the lease store are healthy.
    fn missing_in_status(&self, status: &str) -> Option<String> {
        if status.is_empty() {
            return Some("the status page does not answer".into());
        }
        let entry = |name: &str| {
            status.lines().find_map(|line| {
                line.strip_prefix("  ")?.strip_prefix(name)?.strip_prefix("  ").map(str::to_owned)
            })
        };
        for member in &self.members {
            let shown = entry(&member.name);
            if !shown.as_deref().is_some_and(|s| s.contains("alive") || s.contains("this instance")) {
                return Some(format!("{} is {}", member.name, shown.unwrap_or("unknown".into())));
            }
        }
        for backend in &self.backends {
            let shown = entry(&format!("{CONSUL_NODE}/{}", backend.name));
            if shown.as_deref().is_none_or(|s| s.contains("no new work") || s.contains("out by its probes")) {
                return Some(format!("{} is {}", backend.name, shown.unwrap_or("unknown".into())));
            }
        }
        (!status.contains("claim store answers")).then(|| "the lease store does not answer".into())
    }

    /// Whether the process that was started last reports that it is ready.
    pub(super) fn is_ready(&self, index: usize) -> bool {
        self.admin_call(index, "readyz").is_some_and(|reply| reply == "OK\n")
    }

    /// Sends an operator's command to the process that was started last, and returns its complete reply.
    fn admin_call(&self, index: usize, command: &str) -> Option<String> {
        let start = lock(&self.members[index].state).starts;
        call(self.addresses.admin(index, start), command)
    }

    /// The status page of an appliance; empty if it does not answer.
    pub fn status(&self, index: usize) -> String {
        let body = get_status(self.addresses.status(index)).map(|message| message.body);
        body.map_or(String::new(), |body| String::from_utf8_lossy(&body).into_owned())
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    Some(stream)
}

fn get_status(address: SocketAddr) -> Option<wire::HttpMessage> {
    let mut stream = connect(address)?;
    stream.write_all(format!("GET / HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes()).ok()?;
    wire::read_http_message(&mut BufReader::new(stream))
}

fn call(address: SocketAddr, command: &str) -> Option<String> {
    let mut stream = connect(address)?;
    stream.write_all(format!("{command}\n").as_bytes()).ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    Some(reply)
}
