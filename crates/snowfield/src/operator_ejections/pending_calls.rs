//! The calls to the other process of a hot restart that wait for a reply.

use std::collections::HashMap;
use std::sync::mpsc::{Receiver, Sender, channel};

/// Calls that have not been replied to, by call number.
#[derive(Default)]
pub(super) struct PendingCalls {
    last_call: u64,
    replies: HashMap<u64, Sender<bool>>,
}

/// A call to the other process that has started.
pub(super) struct PendingCall {
    /// Number of the call. The reply has the same number.
    pub(super) call: u64,
    /// Receives whether the other process has applied the change. Disconnected by [`PendingCalls::cancel_all`].
    pub(super) reply: Receiver<bool>,
}

impl PendingCalls {
    /// Starts a call with a new number.
    pub(super) fn start(&mut self) -> PendingCall {
        let (sender, reply) = channel();
        self.last_call += 1;
        self.replies.insert(self.last_call, sender);
        PendingCall { call: self.last_call, reply }
    }

    /// Completes a call with the reply of the other process. Ignores a call that has timed out.
    pub(super) fn complete(&mut self, call: u64, applied: bool) {
        if let Some(reply) = self.replies.remove(&call) {
            // `send` fails if the caller has just timed out.
            let _ = reply.send(applied);
        }
    }

    /// Removes a call that has completed or timed out.
    pub(super) fn cancel(&mut self, call: u64) {
        self.replies.remove(&call);
    }

    /// Fails all calls at once, since no reply will come.
    pub(super) fn cancel_all(&mut self) {
        self.replies.clear();
    }
}

#[cfg(test)]
mod tests;
