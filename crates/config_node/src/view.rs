//! What the gatekeeper is to enforce, and until when. A thread of its own ends an expired lease: the thread that owns the node's
//! state may be blocked for as long as its disk is, and the lease must expire all the same.

use replicated_config::{Version, VersionNumbers, VersionTexts};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

/// How often the thread that ends leases looks while none is about to expire.
const WATCH_INTERVAL_MS: u64 = 500;

/// Called with what the gatekeeper is to enforce, whenever that changes.
pub type ViewListener = Box<dyn Fn(&ConfigView) + Send>;

/// What a gatekeeper is to enforce.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigView {
    /// The version in force, once there is one.
    pub in_force: Option<Version>,
    /// The version that is proposed to follow it.
    pub proposed: Option<Version>,
    /// Whether the gatekeeper holds a lease on this. Without one it does not know what it has missed.
    pub has_lease: bool,
}

/// The view, and what it is derived from.
pub(crate) struct ViewState {
    node_name: String,
    view: ConfigView,
    /// What is known, with or without a lease.
    texts: VersionTexts,
    lease_expires_at_ms: u64,
    listener: ViewListener,
}

impl ViewState {
    fn new(node_name: String, listener: ViewListener) -> Self {
        let (view, texts) = (ConfigView::default(), VersionTexts::default());
        Self { node_name, view, texts, lease_expires_at_ms: 0, listener }
    }

    /// Calls the listener with what to enforce, if that has changed.
    fn publish(&mut self, now_ms: u64) {
        let ignores_expiry = seeded_faults::is_active("lease") && self.lease_expires_at_ms > 0;
        let VersionTexts { in_force, proposed } = self.texts.clone();
        let has_lease = now_ms < self.lease_expires_at_ms || ignores_expiry;
        let view = ConfigView { in_force, proposed, has_lease };
        if view != self.view {
            (self.listener)(&view);
            self.log(&view);
            self.view = view;
        }
    }

    fn log(&self, view: &ConfigView) {
        let (version, proposed) = (version_number(&view.in_force), version_number(&view.proposed));
        let (leased, name) = (view.has_lease, &self.node_name);
        match (leased, proposed) {
            (false, _) => {
                tracing::warn!(name, version, proposed, leased, "no lease, enforcing the when_apart share");
            }
            (true, 0) => tracing::info!(name, version, proposed, leased, "version in force"),
            (true, _) => tracing::info!(
                name,
                version,
                proposed,
                leased,
                "version proposed, enforcing the stricter of it and the version in force"
            ),
        }
    }
}

/// A version's number; 0 for none.
pub(crate) fn version_number(version: &Option<Version>) -> u64 {
    version.as_ref().map_or(0, |version| version.number)
}

/// The view, shared with the thread that ends leases.
pub(crate) struct SharedView {
    state: Mutex<ViewState>,
    updated: Condvar,
}

impl SharedView {
    pub(crate) fn new(node_name: String, listener: ViewListener) -> Self {
        Self { state: Mutex::new(ViewState::new(node_name, listener)), updated: Condvar::new() }
    }

    fn lock(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls the listener with the present view, whether or not it has changed.
    pub(crate) fn announce(&self) {
        let state = self.lock();
        (state.listener)(&state.view);
    }

    /// The texts that are known, with or without a lease.
    pub(crate) fn texts(&self) -> VersionTexts {
        self.lock().texts.clone()
    }

    /// The numbers of the versions whose texts are known.
    pub(crate) fn known_numbers(&self) -> VersionNumbers {
        let texts = &self.lock().texts;
        VersionNumbers {
            in_force: version_number(&texts.in_force),
            proposed: version_number(&texts.proposed),
        }
    }

    /// Enforces the versions of these numbers from now on, with texts from `received` or from those that are known.
    pub(crate) fn update(
        &self,
        now_ms: u64,
        numbers: VersionNumbers,
        received: VersionTexts,
        lease_expires_at_ms: u64,
    ) {
        let mut state = self.lock();
        let known = std::mem::take(&mut state.texts);
        let candidates = [received.in_force, received.proposed, known.in_force, known.proposed];
        let mut candidates: Vec<Version> = candidates.into_iter().flatten().collect();
        let mut take = |number: u64| {
            let position = candidates.iter().position(|version| version.number == number)?;
            Some(candidates.swap_remove(position))
        };
        state.texts = VersionTexts { in_force: take(numbers.in_force), proposed: take(numbers.proposed) };
        state.lease_expires_at_ms = lease_expires_at_ms;
        state.publish(now_ms);
        self.updated.notify_all();
    }
}

/// Ends the lease when it expires, for as long as anybody can renew it. `started` is where the node's clock begins.
pub(crate) fn watch_lease(view: Weak<SharedView>, started: Instant) {
    while let Some(view) = view.upgrade() {
        let now_ms = started.elapsed().as_millis() as u64;
        let mut state = view.lock();
        state.publish(now_ms);
        let wait_ms = if state.view.has_lease {
            state.lease_expires_at_ms.saturating_sub(now_ms).clamp(1, WATCH_INTERVAL_MS)
        } else {
            WATCH_INTERVAL_MS
        };
        drop(view.updated.wait_timeout(state, Duration::from_millis(wait_ms)));
    }
}
