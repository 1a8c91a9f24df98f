//! Publishes a [`ConfigView`](crate::ConfigView) without a lease when the lease expires. This runs in a separate thread, because
//! the thread that owns the node's state may be blocked by a slow disk at that time.

use crate::clock::Clock;
use crate::view::SharedView;
use std::sync::Weak;

/// Publishes a [`ConfigView`](crate::ConfigView) without a lease each time the lease expires.
/// Returns once the node has stopped and dropped `view`.
pub(crate) fn watch_lease(view: Weak<SharedView>, clock: Clock) {
    while let Some(view) = view.upgrade() {
        view.publish_and_wait(clock.now());
    }
}
