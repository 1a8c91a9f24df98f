//! Discovery's names and addresses as the numbers that the module uses.

use destination::BackendEndpoint;
use handover::BackendNumber;
use policy::{BackendEntry, BackendId, BackendState};
use settings::EndpointList;
use settings::platform::PlatformConfig;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Destinations that may be out by hand; each is kept until it is called back.
const MOST_HELD: usize = 4096;

/// Numbers for the ids of destinations, each kept for good: one that restarts is the same.
#[derive(Debug, Default)]
pub struct Hosts {
    numbers: HashMap<String, BackendId>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Numbers of those that are on the list now.
    listed: HashSet<BackendId>,
    /// Ids that operators have taken out.
    held: BTreeSet<String>,
}

impl Hosts {
    /// Starts with the zones and kinds of the settings.
    pub fn new(config: &PlatformConfig) -> Self {
        Self { zones: config.zones.clone(), kinds: config.machine_types.clone(), ..Self::default() }
    }

    /// A list as the module and the pools take it. An entry that cannot be used is left out and logged.
    pub fn translate(&mut self, list: EndpointList) -> (Vec<BackendEntry>, Vec<BackendEndpoint>) {
        let (mut entries, mut places) = (Vec::new(), Vec::new());
        if list.complete {
            self.listed.clear();
        }
        for host in list.endpoints {
            let state = match host.state.as_str() {
                "up" => BackendState::Ready,
                "draining" => BackendState::Draining,
                "removed" => BackendState::Gone,
                other => {
                    tracing::warn!(
                        "discovery: {} has the unknown state {other:?}; taken as draining",
                        host.id
                    );
                    BackendState::Draining
                }
            };
            let address = match host.address.parse() {
                Ok(address) => address,
                Err(_) if state == BackendState::Gone => ([127, 0, 0, 1], 0).into(),
                Err(_) => {
                    tracing::warn!(
                        "discovery: {} has no usable address {:?}; left out",
                        host.id,
                        host.address
                    );
                    continue;
                }
            };
            let next = BackendId(self.numbers.len() as u32 + 1);
            let id = *self.numbers.entry(host.id).or_insert(next);
            if state == BackendState::Gone {
                self.listed.remove(&id);
            } else {
                self.listed.insert(id);
            }
            let started = host.started_ms.saturating_mul(1000);
            places.push(BackendEndpoint { id, address, state, started });
            entries.push(BackendEntry {
                id,
                zone: position(&mut self.zones, host.zone).min(255) as u8,
                machine_type: position(&mut self.kinds, host.machine_type).min(65_535) as u16,
                cell: host.cell,
                service: 0,
                state,
                size: host.capacity,
                started,
            });
        }
        (entries, places)
    }

    /// Notes that operators take a destination out, or call it back, and tells its number. An id may be named that is on
    /// the list, or out by hand; nobody else has one, unless it is `known` elsewhere. `None` for such an id, or where too
    /// many are out.
    pub fn hold(&mut self, uid: &str, held: bool, known: bool) -> Option<BackendId> {
        let next = BackendId(self.numbers.len() as u32 + 1);
        let known = if known {
            *self.numbers.entry(uid.to_owned()).or_insert(next)
        } else {
            let number = self.numbers.get(uid).copied();
            number.filter(|n| self.listed.contains(n) || self.held.contains(uid))?
        };
        if !held {
            self.held.remove(uid);
        } else if self.held.len() < MOST_HELD {
            self.held.insert(uid.to_owned());
        } else if !self.held.contains(uid) {
            return None;
        }
        Some(known)
    }

    /// Ids that operators have taken out.
    pub fn held(&self) -> impl Iterator<Item = &str> {
        self.held.iter().map(String::as_str)
    }

    /// Number and id of those on the list.
    pub fn listed(&self) -> Vec<BackendNumber> {
        let here = self.numbers.iter().filter(|(_, number)| self.listed.contains(number));
        here.map(|(uid, number)| BackendNumber { number: number.0, id: uid.clone() }).collect()
    }

    /// The number of an id, if it ever was on a list.
    pub fn number(&self, uid: &str) -> Option<BackendId> {
        self.numbers.get(uid).copied()
    }
}

fn position(names: &mut Vec<String>, name: String) -> usize {
    names.iter().position(|n| *n == name).unwrap_or_else(|| {
        names.push(name);
        names.len() - 1
    })
}
