//! A listener: one address of a stand-in, with its own fault and address translation.

use crate::fault::Fault;
use crate::state::{SharedState, State, lock};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// One address at which a stand-in listens, with its own fault. Clones share the fault and the address translation.
#[derive(Clone, Debug)]
pub struct Listener {
    /// The loopback address and port at which the listener accepts connections.
    pub address: SocketAddr,
    fault: Arc<Mutex<ListenerFault>>,
    /// Translated addresses of instances, by real address.
    translations: Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>,
    shared: Arc<SharedState>,
}

/// The fault of a listener and its remaining duration.
#[derive(Debug, Default)]
struct ListenerFault {
    fault: Fault,
    /// Number of further writes that fail, while reads succeed. `None` if all reads and writes fail.
    writes_left: Option<u32>,
}

impl Listener {
    pub(crate) fn new(address: SocketAddr, shared: Arc<SharedState>) -> Self {
        Self { address, fault: Arc::default(), translations: Arc::default(), shared }
    }

    /// Injects a fault into all further requests. Open blocking queries end.
    pub fn fail(&self, fault: Fault) {
        *lock(&self.fault) = ListenerFault { fault, writes_left: None };
        // A blocking query holds the state lock from its check of the fault until it waits. Taking the lock here ensures that it
        // either sees the new fault or is already waiting for the notification.
        drop(self.shared.lock());
        self.shared.notify_changed();
    }

    /// Injects a fault into the next `count` writes (requests other than GET). Reads and later writes succeed.
    pub fn fail_writes(&self, fault: Fault, count: u32) {
        *lock(&self.fault) = ListenerFault { fault, writes_left: Some(count) };
    }

    /// Makes queries at this listener return `translated` as the address of the instance at `address`, as Consul's agents do
    /// where networks are connected by address translation.
    pub fn translate(&self, address: SocketAddr, translated: SocketAddr) {
        lock(&self.translations).insert(address, translated);
    }

    /// Returns the address that queries return for the instance at `address`.
    pub(crate) fn translated_address(&self, address: SocketAddr) -> SocketAddr {
        lock(&self.translations).get(&address).copied().unwrap_or(address)
    }

    /// Returns the fault that applies to a read.
    pub(crate) fn read_fault(&self) -> Fault {
        let current = lock(&self.fault);
        if current.writes_left.is_none() { current.fault } else { Fault::None }
    }

    /// Returns the fault that applies to a write, and decrements the number of writes that fail.
    pub(crate) fn take_write_fault(&self) -> Fault {
        let mut current = lock(&self.fault);
        match &mut current.writes_left {
            None => current.fault,
            Some(0) => Fault::None,
            Some(left) => {
                *left -= 1;
                current.fault
            }
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.shared.lock()
    }

    /// Changes the state and wakes the blocking queries, which check whether their index has changed.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        self.shared.update(change)
    }

    /// Waits while the condition holds, up to the timeout.
    pub(crate) fn wait_while(&self, timeout: Duration, condition: impl FnMut(&mut State) -> bool) {
        self.shared.wait_while(timeout, condition);
    }
}
