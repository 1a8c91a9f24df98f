//! The platform's endpoint list in the types of the policy and the pools, and which backends operators have ejected.

use destination::BackendEndpoint;
use handover::BackendNumber;
use policy::{BackendEntry, BackendId, BackendState};
use settings::platform::PlatformConfig;
use settings::{Endpoint, EndpointList};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// Limit on ejected backends; each is kept until it is restored.
const MAX_EJECTED: usize = 4096;

/// A list in the types of the policy and of the connection pools.
pub struct TranslatedList {
    /// For the policy.
    pub entries: Vec<BackendEntry>,
    /// For the pools.
    pub endpoints: Vec<BackendEndpoint>,
}

/// Numbers for the ids of backends. A number is kept for good: a backend that restarts is the same.
#[derive(Debug, Default)]
pub struct EndpointIds {
    numbers: HashMap<String, BackendId>,
    zones: Vec<String>,
    machine_types: Vec<String>,
    /// The backends that are listed now.
    listed: HashSet<BackendId>,
    /// Ids of the backends that operators have ejected.
    ejected: BTreeSet<String>,
}

impl EndpointIds {
    /// Starts with the zones and machine types of the settings.
    pub fn new(config: &PlatformConfig) -> Self {
        let (zones, machine_types) = (config.zones.clone(), config.machine_types.clone());
        Self { zones, machine_types, ..Self::default() }
    }

    /// Takes in a list and translates it. An entry that cannot be used is left out and logged.
    pub fn translate(&mut self, list: EndpointList) -> TranslatedList {
        if list.complete {
            self.listed.clear();
        }
        let mut translated = TranslatedList { entries: Vec::new(), endpoints: Vec::new() };
        for endpoint in list.endpoints {
            let state = state(&endpoint);
            let Some(address) = address(&endpoint, state) else { continue };
            let id = self.number_or_new(&endpoint.id);
            if state == BackendState::Gone {
                self.listed.remove(&id);
            } else {
                self.listed.insert(id);
            }
            let started = endpoint.started_ms.saturating_mul(1000);
            translated.endpoints.push(BackendEndpoint { id, address, state, started });
            translated.entries.push(BackendEntry {
                id,
                zone: position(&mut self.zones, endpoint.zone).min(u8::MAX.into()) as u8,
                machine_type: position(&mut self.machine_types, endpoint.machine_type).min(u16::MAX.into())
                    as u16,
                cell: endpoint.cell,
                service: 0,
                state,
                size: endpoint.capacity,
                started,
            });
        }
        translated
    }

    fn number_or_new(&mut self, id: &str) -> BackendId {
        if let Some(number) = self.number(id) {
            return number;
        }
        let number = BackendId(self.numbers.len() as u32 + 1);
        self.numbers.insert(id.to_owned(), number);
        number
    }

    /// Notes that operators eject a backend, or restore it, and returns its number. The id must be listed or ejected, unless it
    /// is `known` to another process. `None` for an unknown id, or where too many are ejected.
    pub fn set_ejected(&mut self, id: &str, ejected: bool, known: bool) -> Option<BackendId> {
        let number = if known {
            self.number_or_new(id)
        } else {
            let number = self.number(id);
            number.filter(|number| self.listed.contains(number) || self.ejected.contains(id))?
        };
        if !ejected {
            self.ejected.remove(id);
        } else if self.ejected.len() < MAX_EJECTED {
            self.ejected.insert(id.to_owned());
        } else if !self.ejected.contains(id) {
            return None;
        }
        Some(number)
    }

    /// Ids of the backends that operators have ejected.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        self.ejected.iter().map(String::as_str)
    }

    /// The backends that are listed now.
    pub fn listed(&self) -> Vec<BackendNumber> {
        let listed = self.numbers.iter().filter(|(_, number)| self.listed.contains(number));
        listed.map(|(id, number)| BackendNumber { number: number.0, id: id.clone() }).collect()
    }

    /// The number of an id, if it has been listed or ejected.
    pub fn number(&self, id: &str) -> Option<BackendId> {
        self.numbers.get(id).copied()
    }
}

fn state(endpoint: &Endpoint) -> BackendState {
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

/// `None` where there is no usable address. One that is removed needs none.
fn address(endpoint: &Endpoint, state: BackendState) -> Option<SocketAddr> {
    match endpoint.address.parse() {
        Ok(address) => Some(address),
        Err(_) if state == BackendState::Gone => Some(([127, 0, 0, 1], 0).into()),
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

/// The place of a name in a list to which it is added if need be.
fn position(names: &mut Vec<String>, name: String) -> usize {
    names.iter().position(|known| *known == name).unwrap_or_else(|| {
        names.push(name);
        names.len() - 1
    })
}
