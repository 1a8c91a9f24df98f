//! A listener: one address of a stand-in, with its own fault and address translation.

use crate::fault::Fault;
use crate::state::{SharedState, State, lock};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// One address at which a stand-in listens, with its own fault. Clones share the fault.
#[derive(Clone, Debug)]
pub struct Listener {
    /// The address.
    pub address: SocketAddr,
    fault: Arc<Mutex<ListenerFault>>,
    /// Translated addresses of instances, by their real address.
    translations: Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>,
    shared: Arc<SharedState>,
}

/// The fault of a listener and its remaining duration.
#[derive(Debug, Default)]
struct ListenerFault {
    fault: Fault,
    /// Remaining number of writes that fail; reads do not fail then. `None` if all requests fail.
    writes_left: Option<u32>,
}

impl Listener {
    pub(crate) fn new(address: SocketAddr, shared: Arc<SharedState>) -> Self {
        Self { address, fault: Arc::default(), translations: Arc::default(), shared }
    }

    /// Injects a fault into all further requests. Open blocking queries end.
    pub fn fail(&self, fault: Fault) {
        *lock(&self.fault) = ListenerFault { fault, writes_left: None };
        // The state is locked once, so that a query that is about to wait does not miss the notification.
        drop(self.shared.lock());
        self.shared.notify_changed();
    }

    /// Injects a fault into this number of writes. Reads, and all later requests, do not fail.
    pub fn fail_writes(&self, fault: Fault, count: u32) {
        *lock(&self.fault) = ListenerFault { fault, writes_left: Some(count) };
    }

    /// Shows the address of an instance as another one, as agents do across translated networks.
    pub fn translate(&self, address: SocketAddr, shown: SocketAddr) {
        lock(&self.translations).insert(address, shown);
    }

    pub(crate) fn shown_address(&self, address: SocketAddr) -> SocketAddr {
        lock(&self.translations).get(&address).copied().unwrap_or(address)
    }

    /// Returns the fault that applies to a read.
    pub(crate) fn read_fault(&self) -> Fault {
        let state = lock(&self.fault);
        if state.writes_left.is_none() { state.fault } else { Fault::None }
    }

    /// Returns the fault that applies to a write, and counts the write.
    pub(crate) fn take_write_fault(&self) -> Fault {
        let mut state = lock(&self.fault);
        match &mut state.writes_left {
            None => state.fault,
            Some(0) => Fault::None,
            Some(left) => {
                *left -= 1;
                state.fault
            }
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.shared.lock()
    }

    /// Changes the state and notifies blocking queries.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        self.shared.update(change)
    }

    /// Waits while the condition holds, up to the time-out.
    pub(crate) fn wait_while(&self, timeout: Duration, condition: impl FnMut(&mut State) -> bool) {
        self.shared.wait_while(timeout, condition);
    }
}
