//! The addresses of a site, which are in a network within 127.0.0.0/8 that no other site uses.

use crate::history::now_us;
use crate::schedule::MAX_NODES;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// The port at which gatekeepers serve clients.
const CLIENT_PORT: u16 = 8_080;
const STATUS_PORT: u16 = 8_081;
const GOSSIP_PORT: u16 = 7_946;
/// The port at which replicas of the replicated configuration receive messages.
const REPLICA_PORT: u16 = 7_947;
const ADMIN_PORT: u16 = 9_600;
/// Port of the backends in the catalogue of Consul.
const CATALOGUE_PORT: u16 = 6_379;
/// A site reserves its network by listening at this port.
const LOCK_PORT: u16 = 7_999;

/// Third byte of the addresses of stand-ins. Gatekeepers have 1 to [`MAX_NODES`].
const STAND_IN_GROUP: u8 = 200;
const LINK_GROUP: u8 = 201;
const CATALOGUE_GROUP: u8 = 202;

/// Assigns addresses to the nodes of a site.
pub(super) struct AddressPlan {
    /// Second byte of all addresses of the site.
    network: u8,
    /// Kept open so that no other site reserves the network.
    _lock: TcpListener,
}

impl AddressPlan {
    /// Reserves a network that no other site on this machine uses.
    pub(super) fn reserve() -> std::io::Result<Self> {
        let first = now_us() as u8;
        for i in 0..=255u8 {
            let network = first.wrapping_add(i).max(2);
            let lock_address = (Ipv4Addr::new(127, network, 0, 1), LOCK_PORT);
            let Ok(lock) = TcpListener::bind(lock_address) else { continue };
            // Gatekeepers of a killed harness may still run and share their port with new gatekeepers at the same address: their
            // answers were once mistaken for those of the new gatekeepers.
            let is_in_use = (1..=MAX_NODES as u8)
                .any(|i| TcpListener::bind((Ipv4Addr::new(127, network, i, 1), CLIENT_PORT)).is_err());
            if !is_in_use {
                return Ok(Self { network, _lock: lock });
            }
        }
        Err(std::io::Error::other("no free addresses"))
    }

    fn host(&self, group: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, group, number)
    }

    /// The host of all stand-ins.
    pub(super) fn stand_ins(&self) -> IpAddr {
        IpAddr::V4(self.host(STAND_IN_GROUP, 1))
    }

    /// Address for a link to listen at, with a free port.
    pub(super) fn link(&self) -> SocketAddr {
        SocketAddr::from((self.host(LINK_GROUP, 1), 0))
    }

    /// The address of a backend in the catalogue of Consul. The agents of each gatekeeper translate it to the address of a link.
    pub(super) fn catalogue_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.host(CATALOGUE_GROUP, index as u8 + 1), CATALOGUE_PORT))
    }

    fn gatekeeper(&self, index: usize) -> Ipv4Addr {
        self.host(index as u8 + 1, 1)
    }

    pub(super) fn client(&self, gatekeeper: usize) -> SocketAddr {
        SocketAddr::from((self.gatekeeper(gatekeeper), CLIENT_PORT))
    }

    pub(super) fn status(&self, gatekeeper: usize) -> SocketAddr {
        SocketAddr::from((self.gatekeeper(gatekeeper), STATUS_PORT))
    }

    pub(super) fn gossip(&self, gatekeeper: usize) -> SocketAddr {
        SocketAddr::from((self.gatekeeper(gatekeeper), GOSSIP_PORT))
    }

    pub(super) fn replica(&self, gatekeeper: usize) -> SocketAddr {
        SocketAddr::from((self.gatekeeper(gatekeeper), REPLICA_PORT))
    }

    /// The admin address of a gatekeeper's process, which differs for each start.
    pub(super) fn admin(&self, gatekeeper: usize, start: u8) -> SocketAddr {
        SocketAddr::from((self.host(gatekeeper as u8 + 1, start.max(1)), ADMIN_PORT))
    }
}
