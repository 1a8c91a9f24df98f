//! The watch of a discovery agent: an HTTP response that streams the endpoint list, its changes, and heartbeats.

use super::endpoint_list::{
    EndpointList, HEARTBEAT_INTERVAL, ListUpdate, write_watch_head, write_watch_line,
};
use crate::connections::discard_input;
use crate::wire;
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Interval at which a watch checks the mode of its agent.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a discovery agent answers watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchMode {
    /// The agent answers watches at once.
    #[default]
    Healthy,
    /// The agent answers a new watch after this time. Open watches are not delayed.
    Slow(Duration),
    /// The agent sends nothing on open and new watches.
    Silent,
    /// The agent closes open watches and new connections.
    Down,
}

/// What a watch is sent on a change of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeForm {
    /// All listed backends, also those that have not changed.
    CompleteList,
    /// Only the backends that have changed.
    ChangedBackends,
}

/// The part of a site that decides how the agent of one gatekeeper behaves and records its updates.
pub trait WatchSite {
    /// What the site notes of an update before it is written, to record it afterwards.
    type PendingUpdate;

    /// How the agent answers watches now.
    fn mode(&self) -> WatchMode {
        WatchMode::Healthy
    }
    /// The address at which the gatekeeper reaches a backend; none if it cannot reach it.
    fn address(&self, backend: &str) -> Option<SocketAddr>;
    /// An update is about to be written.
    fn sending(&self, update: &ListUpdate) -> Self::PendingUpdate;
    /// The update was written completely.
    fn sent(&self, update: Self::PendingUpdate);
}

/// Serves one watch until it ends.
pub fn serve_watch(mut stream: TcpStream, list: &EndpointList, form: ChangeForm, site: &impl WatchSite) {
    // An error only means that the connection has ended.
    let _ = Watch { stream: &mut stream, list, form, site }.serve();
    let _ = stream.shutdown(Shutdown::Both);
}

/// A watch that a gatekeeper has open.
struct Watch<'a, S> {
    stream: &'a mut TcpStream,
    list: &'a EndpointList,
    form: ChangeForm,
    site: &'a S,
}

impl<S: WatchSite> Watch<'_, S> {
    fn serve(&mut self) -> io::Result<()> {
        if self.site.mode() == WatchMode::Down {
            return Ok(());
        }
        let mut received = BufReader::new(self.stream.try_clone()?);
        let Some(request) = wire::read_http_message(&mut received) else { return Ok(()) };
        if let WatchMode::Slow(delay) = self.site.mode() {
            thread::sleep(delay);
        }
        if self.site.mode() == WatchMode::Silent {
            discard_input(self.stream);
            return Ok(());
        }
        write_watch_head(self.stream)?;
        // A gatekeeper without a list gets the complete list first. One that has a list gets what has changed since its revision.
        let known_revision = requested_index(request.target_or_status());
        let sent_revision = self.send((known_revision > 0).then_some(known_revision))?;
        self.follow(sent_revision)
    }

    /// Sends changes and heartbeats until the agent fails or the gatekeeper closes the connection.
    fn follow(&mut self, mut sent_revision: u64) -> io::Result<()> {
        let mut last_line = Instant::now();
        loop {
            self.list.wait_for_change(sent_revision, CHECK_INTERVAL);
            match self.site.mode() {
                WatchMode::Down => return Ok(()),
                WatchMode::Silent => {
                    discard_input(self.stream);
                    return Ok(());
                }
                WatchMode::Healthy | WatchMode::Slow(_) => {}
            }
            if self.list.revision() != sent_revision {
                sent_revision = self.send(Some(sent_revision))?;
                last_line = Instant::now();
            } else if last_line.elapsed() >= HEARTBEAT_INTERVAL {
                write_watch_line(self.stream, "")?;
                last_line = Instant::now();
            }
        }
    }

    /// Sends an update with the changes since a revision, or the complete list. Returns the revision that the gatekeeper then
    /// has.
    fn send(&mut self, since: Option<u64>) -> io::Result<u64> {
        let since = since.filter(|_| self.form == ChangeForm::ChangedBackends);
        let update = self.list.update(since, |backend| self.site.address(backend));
        let notice = self.site.sending(&update);
        write_watch_line(self.stream, &update.text)?;
        self.site.sent(notice);
        Ok(update.revision)
    }
}

/// The parameter `index` in the target of a watch request: the revision of the list that the gatekeeper has, or 0 if it has none.
fn requested_index(target: &str) -> u64 {
    target.split_once("index=").and_then(|(_, index)| index.parse().ok()).unwrap_or(0)
}
