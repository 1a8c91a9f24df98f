//! The leader's record of the leases that it has granted.

use crate::ids::RequestId;
use crate::version::ConfigVersion;
use std::collections::BTreeMap;
use std::time::Duration;
use timestamps::MonotonicTime;

/// Maximum number of lease holders that a leader remembers.
const MAX_LEASE_HOLDERS: usize = 4_096;

/// The leases that a leader has granted, and the time until which leases granted by earlier leaders may be valid.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    lease_duration: Duration,
    /// Time by which all leases granted by earlier leaders have expired.
    earlier_leases_expire_at: MonotonicTime,
    /// The leases that this leader has granted, by the holder's name.
    granted: BTreeMap<String, GrantedLease>,
}

/// A lease that a client may hold.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    /// Id of the lease holder's newest request that was granted.
    request: RequestId,
    /// Time, on the leader's clock, by which the lease has expired at its holder.
    expires_at: MonotonicTime,
    /// The latest version that the lease holder knew when it sent the request.
    known_version: ConfigVersion,
}

impl GrantedLease {
    fn is_valid(&self, now: MonotonicTime) -> bool {
        now < self.expires_at
    }

    /// Returns whether the lease prevents that `version` is put in force: the lease is valid, and its holder does not know
    /// `version`, so the holder may still act on an earlier version alone.
    fn prevents_activation(&self, now: MonotonicTime, version: ConfigVersion) -> bool {
        self.known_version < version && self.is_valid(now)
    }
}

impl LeaseTable {
    /// Creates the lease table of a replica that has become the leader at `now`.
    pub fn new(now: MonotonicTime, lease_duration: Duration) -> Self {
        let earlier_leases_expire_at = now + lease_duration;
        Self { lease_duration, earlier_leases_expire_at, granted: BTreeMap::new() }
    }

    /// Grants a lease. Returns false if the table is full or holds a valid lease for a later request of this holder. In
    /// that case the leader must not answer the request.
    ///
    /// `known_version` is the latest version that the holder knew when it sent the request. The version in the response to this
    /// request does not count, because the response may get lost while an earlier lease of the holder is still valid.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        holder: &str,
        request: RequestId,
        known_version: ConfigVersion,
    ) -> bool {
        let is_for_later_request = |lease: &GrantedLease| request < lease.request && lease.is_valid(now);
        if self.granted.get(holder).is_some_and(is_for_later_request) {
            return false;
        }
        if !self.granted.contains_key(holder) && !self.has_capacity(now) {
            return false;
        }
        // This is an upper bound, because the holder counts the lease duration from the sending of its request, which is
        // earlier than `now`.
        let expires_at = now + self.lease_duration;
        self.granted.insert(holder.to_owned(), GrantedLease { request, expires_at, known_version });
        true
    }

    /// Returns whether the table has space for one more lease holder. Removes expired leases if the table is full.
    fn has_capacity(&mut self, now: MonotonicTime) -> bool {
        if self.granted.len() >= MAX_LEASE_HOLDERS {
            self.granted.retain(|_, lease| lease.is_valid(now));
        }
        self.granted.len() < MAX_LEASE_HOLDERS
    }

    /// Returns whether `version` may be put in force, which requires that every client with a valid lease knows `version`.
    pub fn may_activate(&self, now: MonotonicTime, version: ConfigVersion) -> bool {
        now >= self.earlier_leases_expire_at
            && !self.granted.values().any(|lease| lease.prevents_activation(now, version))
    }

    /// Returns the names of the clients whose leases, granted by this leader, may still be valid.
    pub fn holders(&self, now: MonotonicTime) -> impl Iterator<Item = &str> {
        self.holders_matching(move |lease| lease.is_valid(now))
    }

    /// Returns the names of the clients that do not know `version` and whose leases may still be valid.
    pub fn holders_without_version(
        &self,
        now: MonotonicTime,
        version: ConfigVersion,
    ) -> impl Iterator<Item = &str> {
        self.holders_matching(move |lease| lease.prevents_activation(now, version))
    }

    fn holders_matching(&self, condition: impl Fn(&GrantedLease) -> bool) -> impl Iterator<Item = &str> {
        self.granted.iter().filter(move |(_, lease)| condition(lease)).map(|(holder, _)| holder.as_str())
    }
}

#[cfg(test)]
mod tests;
