//! Ids of the platform's backends: their numbers in this process, the translation of endpoint lists into the types of the policy
//! and the pools, and the backends that operators have ejected.

use destination::BackendEndpoint;
use handover::BackendNumber;
use policy::{BackendEntry, BackendId, BackendState, Timestamp};
use settings::platform::PlatformConfig;
use settings::{Endpoint, EndpointList};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Limit on ejected backends. Each stays ejected until an operator restores it.
const MAX_EJECTED_BACKENDS: usize = 4096;
/// Number that is assigned to the first backend id.
const FIRST_BACKEND_NUMBER: u32 = 1;
/// Address that stands for the missing address of a removed backend. No attempt is sent to this address.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// What an operator changes about a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// Send no new attempt to the backend.
    Eject,
    /// Use the backend for new attempts again.
    Restore,
}

/// How an ejection or restoration is handled if its id is in no endpoint list of this process and is not ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownIdHandling {
    /// The change is rejected: the operator may have mistyped the id.
    Reject,
    /// The id gets a number and the change is applied: the other process of a hot restart knows the backend.
    Register,
}

/// The valid entries of an endpoint list, in the types of the policy and of the connection pools.
pub struct TranslatedList {
    /// The entries for the policy.
    pub entries: Vec<BackendEntry>,
    /// The entries for the connection pools, in the same order.
    pub endpoints: Vec<BackendEndpoint>,
}

/// Assigns numbers to the ids of backends. An id keeps its number for the life of the process, also if its backend restarts.
#[derive(Debug, Default)]
pub struct EndpointIds {
    numbers: HashMap<String, BackendId>,
    zones: Vec<String>,
    machine_types: Vec<String>,
    /// The backends on the current endpoint list.
    listed: HashSet<BackendId>,
    /// Ids of the backends that operators have ejected.
    ejected: BTreeSet<String>,
}

impl EndpointIds {
    /// Creates the table without any id. Zones and machine types get the numbers that they have in the configuration.
    pub fn new(config: &PlatformConfig) -> Self {
        let (zones, machine_types) = (config.zones.clone(), config.machine_types.clone());
        Self { zones, machine_types, ..Self::default() }
    }

    /// Applies a list and translates it. An invalid entry is logged and skipped.
    pub fn translate(&mut self, list: EndpointList) -> TranslatedList {
        if list.complete {
            self.listed.clear();
        }
        let mut translated = TranslatedList { entries: Vec::new(), endpoints: Vec::new() };
        for endpoint in list.endpoints {
            let state = backend_state(&endpoint);
            let Some(address) = backend_address(&endpoint, state) else { continue };
            let id = self.number_or_assign(&endpoint.id);
            if state == BackendState::Gone {
                self.listed.remove(&id);
            } else {
                self.listed.insert(id);
            }
            let started = Timestamp::from_micros(endpoint.started_ms.saturating_mul(1000));
            let zone = index_or_push(&mut self.zones, endpoint.zone);
            let machine_type = index_or_push(&mut self.machine_types, endpoint.machine_type);
            translated.endpoints.push(BackendEndpoint { id, address, state, started });
            translated.entries.push(BackendEntry {
                id,
                zone: zone.min(u8::MAX.into()) as u8,
                machine_type: machine_type.min(u16::MAX.into()) as u16,
                cell: endpoint.cell,
                service: 0,
                state,
                size: endpoint.capacity,
                started,
            });
        }
        translated
    }

    fn number_or_assign(&mut self, id: &str) -> BackendId {
        if let Some(number) = self.number(id) {
            return number;
        }
        let number = BackendId(FIRST_BACKEND_NUMBER + self.numbers.len() as u32);
        self.numbers.insert(id.to_owned(), number);
        number
    }

    /// Ejects or restores a backend, and returns its number. `None` if the change is not applied.
    pub fn change_ejection(
        &mut self,
        id: &str,
        change: EjectionChange,
        unknown_id: UnknownIdHandling,
    ) -> Option<BackendId> {
        let number = match unknown_id {
            UnknownIdHandling::Register => self.number_or_assign(id),
            UnknownIdHandling::Reject => {
                self.number(id).filter(|number| self.is_listed_or_ejected(id, *number))?
            }
        };
        match change {
            EjectionChange::Restore => {
                self.ejected.remove(id);
            }
            EjectionChange::Eject if self.ejected.contains(id) => {}
            EjectionChange::Eject if self.ejected.len() >= MAX_EJECTED_BACKENDS => return None,
            EjectionChange::Eject => {
                self.ejected.insert(id.to_owned());
            }
        }
        Some(number)
    }

    fn is_listed_or_ejected(&self, id: &str, number: BackendId) -> bool {
        self.listed.contains(&number) || self.ejected.contains(id)
    }

    /// Ids of the backends that operators have ejected.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        self.ejected.iter().map(String::as_str)
    }

    /// The backends on the current endpoint list.
    pub fn listed(&self) -> Vec<BackendNumber> {
        let listed = self.numbers.iter().filter(|(_, number)| self.listed.contains(number));
        listed.map(|(id, number)| BackendNumber { number: number.0, id: id.clone() }).collect()
    }

    /// Returns the number of the backend with this id; `None` if the id has been neither in an endpoint list nor ejected.
    pub fn number(&self, id: &str) -> Option<BackendId> {
        self.numbers.get(id).copied()
    }
}

fn backend_state(endpoint: &Endpoint) -> BackendState {
    match endpoint.state.as_str() {
        "up" => BackendState::Ready,
        "draining" if seeded_faults::is_active("drained") => BackendState::Ready,
        "draining" => BackendState::Draining,
        "removed" => BackendState::Gone,
        other => {
            tracing::warn!(
                backend = endpoint.id,
                state = other,
                "unknown endpoint state, treated as draining"
            );
            BackendState::Draining
        }
    }
}

/// Returns the address of an entry. `None` if it is invalid and the backend is not removed; a removed backend needs no address.
fn backend_address(endpoint: &Endpoint, state: BackendState) -> Option<SocketAddr> {
    match endpoint.address.parse() {
        Ok(address) => Some(address),
        Err(_) if state == BackendState::Gone => Some(NO_ADDRESS),
        Err(_) => {
            tracing::warn!(
                backend = endpoint.id,
                address = endpoint.address,
                "invalid entry, its address is not usable"
            );
            None
        }
    }
}

/// Returns the index of a name in a list. A new name is appended first.
fn index_or_push(names: &mut Vec<String>, name: String) -> usize {
    names.iter().position(|known| *known == name).unwrap_or_else(|| {
        names.push(name);
        names.len() - 1
    })
}

#[cfg(test)]
mod tests;
