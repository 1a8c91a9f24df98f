//! The leader's record of the leases that it has granted.

use crate::ids::RequestId;
use crate::version::ConfigVersion;
use std::collections::BTreeMap;

/// Lease holders that a leader remembers at most.
const MAX_LEASE_HOLDERS: usize = 4_096;

/// The leases that a leader has granted, and those that an earlier leader may have granted.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    lease_duration_ms: u64,
    /// All leases of earlier leaders have expired by then.
    earlier_leases_expire_at_ms: u64,
    /// By the holder's name.
    granted: BTreeMap<String, GrantedLease>,
}

/// A lease that a client may hold.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    /// The last request that was answered.
    request: RequestId,
    /// The lease has expired by then.
    expires_at_ms: u64,
    /// The holder knows of this version, or of a later one.
    known_version: ConfigVersion,
}

impl LeaseTable {
    /// Creates the table of a replica that has just become the leader.
    pub fn new(now_ms: u64, lease_duration_ms: u64) -> Self {
        let earlier_leases_expire_at_ms = now_ms + lease_duration_ms;
        Self { lease_duration_ms, earlier_leases_expire_at_ms, granted: BTreeMap::new() }
    }

    /// Records that a request is answered now. Returns false where it must not be answered: the table is full and cannot remember the
    /// lease, or a later request of this holder was answered.
    ///
    /// `known_version` is the latest version that the holder knew of when it sent the request. Only what the holder itself says
    /// counts: the response may get lost while an earlier lease is still valid.
    pub fn grant(
        &mut self,
        now_ms: u64,
        holder: &str,
        request: RequestId,
        known_version: ConfigVersion,
    ) -> bool {
        let overtaken = |lease: &GrantedLease| request < lease.request && now_ms < lease.expires_at_ms;
        if self.granted.get(holder).is_some_and(overtaken) {
            return false;
        }
        if !self.granted.contains_key(holder) && !self.has_capacity(now_ms) {
            return false;
        }
        // The request was sent before now, so that the holder's lease expires before this.
        let expires_at_ms = now_ms + self.lease_duration_ms;
        self.granted.insert(holder.to_owned(), GrantedLease { request, expires_at_ms, known_version });
        true
    }

    /// Whether one more holder can be remembered; forgets expired leases where the table is full.
    fn has_capacity(&mut self, now_ms: u64) -> bool {
        if self.granted.len() >= MAX_LEASE_HOLDERS {
            self.granted.retain(|_, lease| lease.expires_at_ms > now_ms);
        }
        self.granted.len() < MAX_LEASE_HOLDERS
    }

    /// Whether no client can still hold a lease on a version before this one.
    pub fn may_activate(&self, now_ms: u64, version: ConfigVersion) -> bool {
        now_ms >= self.earlier_leases_expire_at_ms
            && self
                .granted
                .values()
                .all(|lease| lease.known_version >= version || now_ms >= lease.expires_at_ms)
    }

    /// All clients that may hold a lease granted here.
    pub fn holders(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        self.granted
            .iter()
            .filter(move |(_, lease)| now_ms < lease.expires_at_ms)
            .map(|(holder, _)| holder.as_str())
    }

    /// Clients that may still hold a lease on a version before this one.
    pub fn holders_behind(&self, now_ms: u64, version: ConfigVersion) -> impl Iterator<Item = &str> {
        self.granted
            .iter()
            .filter(move |(_, lease)| lease.known_version < version && now_ms < lease.expires_at_ms)
            .map(|(holder, _)| holder.as_str())
    }
}

#[cfg(test)]
mod tests;
