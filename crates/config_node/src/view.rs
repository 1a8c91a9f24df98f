//! The versions that the gatekeeper enforces, and whether its lease on them is valid.

use replicated_config::{ConfigVersion, Version, VersionNumbers, VersionTexts};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use timestamps::MonotonicTime;

/// Minimum time between two checks of the lease's expiry.
const MIN_EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum time between two checks of the lease's expiry.
const MAX_EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Called with the new [`ConfigView`] whenever the enforced versions or the validity of the lease change.
pub type ViewListener = Box<dyn Fn(&ConfigView) + Send>;

/// The versions that a gatekeeper enforces, and whether it holds a lease on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigView {
    /// The version in force; `None` before the first version is in force.
    pub in_force: Option<Version>,
    /// The proposed version, which replaces the version in force later; `None` if no version is proposed.
    pub proposed: Option<Version>,
    /// Whether the gatekeeper holds a valid lease. Without a lease there may be later versions that the
    /// gatekeeper does not know of.
    pub has_lease: bool,
}

/// The last published [`ConfigView`], the state from which it is derived, and the listener to notify.
struct ViewState {
    node_name: String,
    view: ConfigView,
    /// The versions that the node last received with their texts, kept also after the lease has expired.
    known_versions: VersionTexts,
    lease_expires_at: MonotonicTime,
    listener: ViewListener,
}

impl ViewState {
    fn new(node_name: String, listener: ViewListener) -> Self {
        let (view, known_versions) = (ConfigView::default(), VersionTexts::default());
        Self { node_name, view, known_versions, lease_expires_at: MonotonicTime::ZERO, listener }
    }

    /// Derives the [`ConfigView`] from the known versions and the lease, and calls the listener if it has changed.
    fn publish(&mut self, now: MonotonicTime) {
        let ignores_lease_expiry =
            seeded_faults::is_active("lease") && self.lease_expires_at > MonotonicTime::ZERO;
        let VersionTexts { in_force, proposed } = self.known_versions.clone();
        let has_lease = now < self.lease_expires_at || ignores_lease_expiry;
        let view = ConfigView { in_force, proposed, has_lease };
        if view != self.view {
            (self.listener)(&view);
            self.log_view(&view);
            self.view = view;
        }
    }

    /// Returns the time until the next check of the lease's expiry.
    fn time_until_expiry_check(&self, now: MonotonicTime) -> Duration {
        if self.view.has_lease {
            self.lease_expires_at
                .saturating_since(now)
                .clamp(MIN_EXPIRY_CHECK_INTERVAL, MAX_EXPIRY_CHECK_INTERVAL)
        } else {
            MAX_EXPIRY_CHECK_INTERVAL
        }
    }

    fn log_view(&self, view: &ConfigView) {
        let version = ConfigVersion::number_of(view.in_force.as_ref()).0;
        let proposed = ConfigVersion::number_of(view.proposed.as_ref()).0;
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

/// Selects the versions with the given numbers from the received and the known versions. Versions with the same number are
/// equal.
fn select_versions(numbers: VersionNumbers, received: VersionTexts, known: VersionTexts) -> VersionTexts {
    let candidates = [received.in_force, received.proposed, known.in_force, known.proposed];
    let mut candidates: Vec<Version> = candidates.into_iter().flatten().collect();
    let mut take_version = |number: ConfigVersion| {
        let position = candidates.iter().position(|version| version.number == number)?;
        Some(candidates.swap_remove(position))
    };
    VersionTexts { in_force: take_version(numbers.in_force), proposed: take_version(numbers.proposed) }
}

/// The [`ConfigView`] of the node, shared by the thread that owns the node's state and the thread that watches the lease.
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

    /// Calls the listener with the current [`ConfigView`], whether or not the view has changed.
    pub(crate) fn notify_listener(&self) {
        let state = self.lock();
        (state.listener)(&state.view);
    }

    /// Returns the numbers of the versions whose texts the node has, whether or not the lease is valid.
    pub(crate) fn known_version_numbers(&self) -> VersionNumbers {
        self.lock().known_versions.numbers()
    }

    /// Replaces the enforced versions by those with the given `numbers`. Their texts are in `received` or among the known
    /// versions.
    pub(crate) fn update_versions(
        &self,
        now: MonotonicTime,
        numbers: VersionNumbers,
        received: VersionTexts,
        lease_expires_at: MonotonicTime,
    ) {
        let mut state = self.lock();
        let known = std::mem::take(&mut state.known_versions);
        state.known_versions = select_versions(numbers, received, known);
        state.lease_expires_at = lease_expires_at;
        state.publish(now);
        self.updated.notify_all();
    }

    /// Publishes the [`ConfigView`] if it has changed, then waits until the lease may have expired or
    /// [`SharedView::update_versions`] is called.
    pub(crate) fn publish_and_wait(&self, now: MonotonicTime) {
        let mut state = self.lock();
        state.publish(now);
        let timeout = state.time_until_expiry_check(now);
        drop(self.updated.wait_timeout(state, timeout));
    }
}
