//! Decides when this node requests a lease and from which replica, and derives the versions to enforce from the response.

use replicated_config::{
    ConfigVersion, LatestVersion, LeaseClient, LeaseRequest, LeaseResponse, ReplicaId, RequestId,
    RolloutPhase, VersionNumbers,
};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use timestamps::MonotonicTime;

/// Number of regular lease requests that a node sends per lease duration.
const REQUESTS_PER_LEASE: u32 = 6;

/// A lease request and the replica to send it to.
pub(crate) struct OutgoingRequest {
    pub(crate) to: ReplicaId,
    pub(crate) request: LeaseRequest,
}

/// Requests and renews this node's lease.
pub(crate) struct LeaseRequester {
    /// This node's name. The leader records the lease under this name.
    node_name: String,
    replica_count: usize,
    lease_duration: Duration,
    client: LeaseClient,
    next_request_at: MonotonicTime,
}

impl LeaseRequester {
    /// Creates a requester that holds no lease. The first request is due at once.
    pub(crate) fn new(node_name: String, replica_count: usize, lease_duration: Duration) -> Self {
        let client = LeaseClient::new(lease_duration, first_request_id());
        Self { node_name, replica_count, lease_duration, client, next_request_at: MonotonicTime::ZERO }
    }

    /// Returns when the next lease request is due.
    pub(crate) fn next_request_at(&self) -> MonotonicTime {
        self.next_request_at
    }

    /// Makes the next lease request due at `now` instead of at its regular time.
    pub(crate) fn request_at_once(&mut self, now: MonotonicTime) {
        self.next_request_at = now;
    }

    /// Starts a request, and schedules the next one. `cached` names the versions whose texts this node has.
    pub(crate) fn start_request(&mut self, now: MonotonicTime, cached: VersionNumbers) -> OutgoingRequest {
        self.next_request_at = now + self.lease_duration / REQUESTS_PER_LEASE;
        let known_version = self.client.known_version();
        let addressed = self.client.start_request(now, self.replica_count);
        let request = LeaseRequest {
            client: self.node_name.clone(),
            id: addressed.id,
            wants_lease: true,
            known_version,
            cached,
        };
        OutgoingRequest { to: addressed.replica, request }
    }

    /// Handles a redirect from a replica that is not the leader. If the redirect names another replica as the leader, the next
    /// lease request is due at once.
    pub(crate) fn on_redirect(&mut self, now: MonotonicTime, request: RequestId, leader: Option<ReplicaId>) {
        if self.client.on_redirect(request, leader) {
            self.request_at_once(now);
        }
    }

    /// Handles a lease response. Returns the versions to enforce, or `None` if the lease client did not accept the response.
    pub(crate) fn on_response(
        &mut self,
        now: MonotonicTime,
        response: LeaseResponse,
    ) -> Option<VersionNumbers> {
        let latest_before = self.client.latest();
        if !self.client.on_response(response) {
            return None;
        }
        if self.client.latest() != latest_before {
            // The next lease request tells the leader that this node knows the new latest version.
            self.request_at_once(now);
        }
        Some(enforced_versions(response.latest()))
    }

    /// Returns when the lease expires, which may be in the past; [`MonotonicTime::ZERO`] before the first lease.
    pub(crate) fn expires_at(&self) -> MonotonicTime {
        self.client.expires_at()
    }
}

/// Returns the first request id of this process: the system time in microseconds. This id is larger than any id of an earlier
/// process of this node, unless the system clock was set back by more than the time since that process started.
fn first_request_id() -> RequestId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    RequestId(since_epoch.as_micros() as u64)
}

/// Returns the versions to enforce while the lease is valid: the latest version alone if it is in force, or the latest version
/// and the version before it if the latest is only proposed.
fn enforced_versions(latest: LatestVersion) -> VersionNumbers {
    let LatestVersion { number, phase } = latest;
    match phase {
        RolloutPhase::InForce => VersionNumbers { in_force: number, proposed: ConfigVersion::NONE },
        RolloutPhase::Proposed => VersionNumbers { in_force: number.previous(), proposed: number },
    }
}

#[cfg(test)]
mod tests;
