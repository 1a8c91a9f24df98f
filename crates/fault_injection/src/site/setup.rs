//! Sets up a site: its addresses, stand-ins, links, and the files of its members.

use super::addresses::AddressPlan;
use super::files::{
    ApplianceSettings, GossipAddresses, PlatformSettings, REQUEST_DEADLINE_MS, ReplicaAddresses, SERVICE,
};
use super::member::{Member, SettingsFile};
use super::{LOAD, Site};
use crate::Error;
use crate::builds::Builds;
use crate::history::Recorder;
use crate::load::ClientSettings;
use crate::network::{Link, Network, NodeId};
use crate::schedule::{Form, Schedule};
use crate::stand_ins::{Backend, Counter, Discovery, WatchRoute, open_job_target};
use stand_in_consul::{Consul, Listener, Service};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

const CONSUL: &str = "consul";
const COUNTER: &str = "counter";
const DISCOVERY: &str = "discovery";
const JOB_TARGET: &str = "target";
/// Index of the catalogue at the start.
const FIRST_CATALOGUE_INDEX: u64 = 11;

/// The parts of a site that exist before its first member is created.
struct Setup<'a> {
    schedule: &'a Schedule,
    folder: &'a Path,
    addresses: AddressPlan,
    recorder: Recorder,
    network: Network,
    nodes: HashMap<String, NodeId>,
    gatekeepers: Vec<String>,
    backends: Vec<Backend>,
    consul: Consul,
    services: Vec<Service>,
    counter: Counter,
    discovery: Discovery,
    job_target: SocketAddr,
    /// The advertised gossip address of each gatekeeper, which is that of the link to it.
    advertised: Vec<SocketAddr>,
}

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{prefix}{i}")).collect()
}

/// Sets up a site without starting its gatekeepers.
pub(super) fn set_up(schedule: &Schedule, builds: Builds, folder: &Path) -> Result<Site, Error> {
    let setup = Setup::new(schedule, folder)?;
    let members = (0..setup.gatekeepers.len()).map(|i| setup.member(i)).collect::<Result<Vec<_>, _>>()?;
    let client_settings = ClientSettings {
        form: schedule.form,
        deadline_ms: REQUEST_DEADLINE_MS,
        gatekeepers: members.len(),
        next_request_id: Arc::new(AtomicU64::new(1)),
    };
    Ok(Site {
        schedule: schedule.clone(),
        builds,
        addresses: setup.addresses,
        recorder: setup.recorder,
        network: setup.network,
        nodes: setup.nodes,
        members,
        backends: setup.backends,
        consul: setup.consul,
        counter: setup.counter,
        discovery: setup.discovery,
        client_settings,
        catalogue_index: AtomicU64::new(FIRST_CATALOGUE_INDEX),
        services: setup.services,
        gossip_key: Mutex::default(),
        folder: folder.to_owned(),
    })
}

impl<'a> Setup<'a> {
    fn new(schedule: &'a Schedule, folder: &'a Path) -> Result<Self, Error> {
        let addresses = AddressPlan::reserve()?;
        let recorder = Recorder::default();
        let network = Network::new(schedule.seed);
        let (gatekeepers, backends) = (names("m", schedule.gatekeepers), names("l", schedule.backends));
        let others = [CONSUL, COUNTER, DISCOVERY, JOB_TARGET, LOAD].map(str::to_owned);
        let all = gatekeepers.iter().chain(&backends).chain(&others).cloned();
        let nodes = all.enumerate().map(|(i, name)| (name, NodeId(i))).collect();
        let job_target = open_job_target(&network, addresses.stand_ins(), &recorder)?;
        let consul = Consul::start();
        let service = |(i, name): (usize, &String)| Service::new(name, addresses.catalogue_address(i));
        let services: Vec<Service> = backends.iter().enumerate().map(service).collect();
        consul.set_service(FIRST_CATALOGUE_INDEX, SERVICE, services.clone());
        let advertised = (0..gatekeepers.len())
            .map(|i| {
                network.register_sender(NodeId(i), addresses.gossip(i));
                network.datagram_link(NodeId(i), addresses.link(), addresses.gossip(i))
            })
            .collect::<std::io::Result<Vec<_>>>()?;
        Ok(Self {
            schedule,
            folder,
            discovery: Discovery::new(&backends),
            backends: backends.iter().map(|name| Backend::new(name, schedule.form, &recorder)).collect(),
            addresses,
            recorder,
            network,
            nodes,
            gatekeepers,
            consul,
            services,
            counter: Counter::default(),
            job_target,
            advertised,
        })
    }

    /// Opens a link from a gatekeeper to another node, which listens at `target`.
    fn link(&self, gatekeeper: usize, to: &str, target: SocketAddr) -> std::io::Result<SocketAddr> {
        let link = Link::new(NodeId(gatekeeper), self.nodes[to]);
        self.network.stream_link(link, self.addresses.link(), target)
    }

    fn member(&self, index: usize) -> Result<Member, Error> {
        let name = &self.gatekeepers[index];
        let folder = self.folder.join(name);
        for subfolder in ["list", "tmp"] {
            let path = folder.join(subfolder);
            std::fs::create_dir_all(&path).map_err(Error::file(&path))?;
        }
        let agents = self.schedule.options.consul_agents.max(1);
        let consul_agents: Vec<Listener> = (0..agents).map(|_| self.consul.open()).collect();
        let backends = self.backend_links(index, &consul_agents)?;
        let settings = self.settings(index, &consul_agents, backends)?;
        let from_load = Link::new(self.nodes[LOAD], NodeId(index));
        let client_address =
            self.network.stream_link(from_load, self.addresses.link(), self.addresses.client(index))?;
        let job_target = self.link(index, JOB_TARGET, self.job_target)?;
        Ok(Member {
            name: name.clone(),
            client_address,
            folder,
            settings,
            consul_agents,
            job_target,
            state: Mutex::default(),
        })
    }

    /// Opens a link from a gatekeeper to each backend. The Consul agents of the gatekeeper list the backends at the addresses of
    /// these links.
    fn backend_links(
        &self,
        index: usize,
        agents: &[Listener],
    ) -> std::io::Result<HashMap<String, SocketAddr>> {
        let mut links = HashMap::new();
        for (number, backend) in self.backends.iter().enumerate() {
            let target = backend.open(&self.network, self.addresses.stand_ins(), &self.gatekeepers[index])?;
            let link = self.link(index, &backend.name, target)?;
            let listed_address = self.addresses.catalogue_address(number);
            agents.iter().for_each(|agent| agent.translate(listed_address, link));
            links.insert(backend.name.clone(), link);
        }
        Ok(links)
    }

    fn settings(
        &self,
        index: usize,
        agents: &[Listener],
        backends: HashMap<String, SocketAddr>,
    ) -> std::io::Result<SettingsFile> {
        let host = self.addresses.stand_ins();
        let name = &self.gatekeepers[index];
        let counter = self.counter.open(&self.network, host, name, &self.recorder)?;
        let counter = self.link(index, COUNTER, counter)?;
        Ok(match self.schedule.form {
            Form::Appliance => {
                let template = self.appliance_template(index, counter, agents)?;
                SettingsFile { file_name: "gatekeeper.toml", template }
            }
            Form::Platform => {
                let template = self.platform_settings(index, counter, backends)?;
                SettingsFile { file_name: "config.json", template }
            }
        })
    }

    fn appliance_template(
        &self,
        index: usize,
        counter: SocketAddr,
        agents: &[Listener],
    ) -> std::io::Result<String> {
        let consul_agents = agents
            .iter()
            .map(|agent| self.link(index, CONSUL, agent.address))
            .collect::<std::io::Result<Vec<_>>>()?;
        let peers: Vec<String> = self.advertised.iter().map(|address| format!("\"{address}\"")).collect();
        let settings = ApplianceSettings {
            number: index,
            gatekeepers: self.gatekeepers.len(),
            options: &self.schedule.options,
            listen: self.addresses.client(index),
            status: self.addresses.status(index),
            counter,
            consul_agents: &consul_agents,
            gossip: GossipAddresses {
                listen: self.addresses.gossip(index),
                advertise: self.advertised[index],
                peers: &peers.join(", "),
            },
            replicas: self.replicas(index)?,
        };
        Ok(settings.template())
    }

    fn replicas(&self, index: usize) -> std::io::Result<ReplicaAddresses> {
        let count = self.schedule.options.replicas;
        let replica = |number: usize| -> std::io::Result<String> {
            // The replica itself uses its listen address; the other members reach it over links.
            let own = self.addresses.replica(number);
            let address = if number == index { own } else { self.link(index, &format!("m{number}"), own)? };
            Ok(format!("{{ name = \"m{number}\", address = \"{address}\" }}"))
        };
        Ok(ReplicaAddresses {
            listen: (index < count).then(|| self.addresses.replica(index)),
            replicas: (0..count).map(replica).collect::<std::io::Result<_>>()?,
        })
    }

    fn platform_settings(
        &self,
        index: usize,
        counter: SocketAddr,
        backends: HashMap<String, SocketAddr>,
    ) -> std::io::Result<String> {
        let endpoint_list = self.discovery.complete_list(&backends).text;
        let link = Link::new(self.nodes[DISCOVERY], NodeId(index));
        let route = WatchRoute { network: self.network.clone(), link };
        let (host, name) = (self.addresses.stand_ins(), &self.gatekeepers[index]);
        let agent = self.discovery.open(host, name, backends, route, &self.recorder)?;
        let settings = PlatformSettings {
            number: index,
            gatekeepers: self.gatekeepers.len(),
            listen: self.addresses.client(index),
            discovery: self.link(index, DISCOVERY, agent)?,
            counter,
            endpoint_list: &endpoint_list,
        };
        Ok(settings.text())
    }
}
