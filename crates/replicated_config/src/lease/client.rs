//! The gatekeeper's side of a lease: selects the replica to ask for the latest version, and tracks until when the lease is valid.

use crate::ids::{ReplicaId, RequestId};
use crate::message::LeaseResponse;
use crate::version::{ConfigVersion, LatestVersion};
use std::time::Duration;
use timestamps::MonotonicTime;

/// A replica counts as unreachable if it has not answered within the lease duration divided by this number.
const RESPONSE_TIMEOUT_DIVISOR: u32 = 15;

/// A gatekeeper's lease on the latest version.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    /// How long a lease is valid, counted from the time at which the client sent the lease request.
    lease_duration: Duration,
    /// Index, in the configured list, of the replica to send the next lease request to.
    target_index: usize,
    pending: Option<PendingRequest>,
    next_id: RequestId,
    latest: Option<LatestVersion>,
    expires_at: MonotonicTime,
}

/// The newest lease request, whose response has not arrived yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    id: RequestId,
    sent_at: MonotonicTime,
}

/// A new lease request's id, and the replica to which the caller must send the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressedRequest {
    /// The id of the request, which the response repeats.
    pub id: RequestId,
    /// The replica to which the caller must send the request.
    pub replica: ReplicaId,
}

impl LeaseClient {
    /// Creates a client that holds no lease.
    ///
    /// `first_request` must be larger than any request id that this client used before a restart.
    pub fn new(lease_duration: Duration, first_request: RequestId) -> Self {
        Self {
            lease_duration,
            target_index: 0,
            pending: None,
            next_id: first_request,
            latest: None,
            expires_at: MonotonicTime::ZERO,
        }
    }

    /// Starts a new request, which replaces the pending one. If the pending request has timed out, the new one goes to the next
    /// replica, so that an unreachable replica is asked again only after all others.
    pub fn start_request(&mut self, now: MonotonicTime, replica_count: usize) -> AddressedRequest {
        let timeout = self.lease_duration / RESPONSE_TIMEOUT_DIVISOR;
        let timed_out = self.pending.is_some_and(|pending| now >= pending.sent_at + timeout);
        if timed_out {
            self.target_index += 1;
        }
        self.target_index %= replica_count.max(1);
        let id = self.next_id;
        self.next_id = id.next();
        self.pending = Some(PendingRequest { id, sent_at: now });
        AddressedRequest { id, replica: ReplicaId::from_index(self.target_index) }
    }

    /// Handles a redirect from a replica that is not the leader. Returns whether the redirect names another replica as the
    /// leader. The caller should ask that replica at once.
    pub fn on_redirect(&mut self, request: RequestId, leader: Option<ReplicaId>) -> bool {
        if self.pending.take_if(|pending| pending.id == request).is_none() {
            return false;
        }
        let Some(leader_index) = leader.and_then(ReplicaId::index) else {
            // The next regular request goes to the next replica.
            self.target_index += 1;
            return false;
        };
        let names_another_replica = leader_index != self.target_index;
        self.target_index = leader_index;
        names_another_replica
    }

    /// Handles a lease response. Returns whether the response was accepted: it answers the pending request, and its version is
    /// not older than the latest known version.
    pub fn on_response(&mut self, response: LeaseResponse) -> bool {
        let Some(pending) = self.pending.take_if(|pending| pending.id == response.request) else {
            return false;
        };
        let latest = response.latest();
        // Reads are linearizable, so the version in a valid response is never older than the version in an earlier response.
        if self.latest.is_some_and(|known| known > latest) {
            return false;
        }
        self.latest = Some(latest);
        self.expires_at = self.expires_at.max(pending.sent_at + self.lease_duration);
        true
    }

    /// Returns the latest known version while the lease is valid, and `None` without a valid lease.
    pub fn leased_version(&self, now: MonotonicTime) -> Option<LatestVersion> {
        self.latest.filter(|_| now < self.expires_at)
    }

    /// Returns when the lease expires, which may be in the past; [`MonotonicTime::ZERO`] before the first lease.
    pub fn expires_at(&self) -> MonotonicTime {
        self.expires_at
    }

    /// Returns the latest known version, whether or not the lease is valid.
    pub fn latest(&self) -> Option<LatestVersion> {
        self.latest
    }

    /// Returns the number of the latest known version, which each lease request states; [`ConfigVersion::NONE`] before the first
    /// response.
    pub fn known_version(&self) -> ConfigVersion {
        self.latest.map_or(ConfigVersion::NONE, |latest| latest.number)
    }
}

#[cfg(test)]
mod tests;
