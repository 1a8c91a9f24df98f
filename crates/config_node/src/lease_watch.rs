//! Ends the lease in time. This runs in a separate thread, because the thread that owns the node's state may be blocked by a slow
//! disk when the lease expires.

use crate::clock::Clock;
use crate::view::SharedView;
use std::sync::Weak;

/// Ends the lease whenever it expires. Returns once the node that could renew it is gone.
pub(crate) fn watch_lease(view: Weak<SharedView>, clock: Clock) {
    while let Some(view) = view.upgrade() {
        view.publish_and_wait(clock.now());
    }
}
