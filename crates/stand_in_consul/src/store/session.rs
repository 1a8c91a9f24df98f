//! Sessions, which hold locks on keys.

/// What happens to the keys that a session has locked when it ends (`Behavior`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeysAtEnd {
    /// The locks of the keys are released, and the keys are kept.
    Release,
    /// The keys are deleted.
    Delete,
}

/// Options of a new session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SessionOptions {
    pub(crate) name: String,
    /// Time without renewal after which the session expires, in milliseconds; `None` if it does not expire.
    pub(crate) ttl_ms: Option<u64>,
    /// Time after the end of the session during which the keys that it had locked cannot be locked, in milliseconds.
    pub(crate) lock_delay_ms: u64,
    pub(crate) keys_at_end: KeysAtEnd,
}

/// A session, with the time at which it expires unless it is renewed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Session {
    options: SessionOptions,
    create_index: u64,
    expires_at_ms: Option<u64>,
}

impl Session {
    pub(super) fn new(options: SessionOptions, create_index: u64, now_ms: u64) -> Self {
        let mut session = Self { options, create_index, expires_at_ms: None };
        session.renew(now_ms);
        session
    }

    pub(crate) fn name(&self) -> &str {
        &self.options.name
    }

    pub(crate) fn create_index(&self) -> u64 {
        self.create_index
    }

    pub(super) fn keys_at_end(&self) -> KeysAtEnd {
        self.options.keys_at_end
    }

    /// Returns the end of the lock delay if the session ends now; `None` without lock delay.
    pub(super) fn lock_delay_until(&self, now_ms: u64) -> Option<u64> {
        let delay = self.options.lock_delay_ms;
        (delay > 0).then_some(now_ms + delay)
    }

    pub(super) fn renew(&mut self, now_ms: u64) {
        self.expires_at_ms = self.options.ttl_ms.map(|ttl| now_ms + ttl);
    }

    pub(super) fn has_expired(&self, now_ms: u64) -> bool {
        self.expires_at_ms.is_some_and(|expiry| expiry <= now_ms)
    }
}
