//! A site: gatekeepers, and the stand-ins and links around them.

mod addresses;
mod convergence;
mod faults;
mod files;
mod member;
mod selector;
mod setup;

pub use files::{API_DESCRIPTION, JOB_PERIOD_MS, REQUEST_DEADLINE_MS, write_common_files};

use crate::Error;
use crate::builds::Builds;
use crate::checkers::{Bounds, Ceiling, ResourceLimits};
use crate::history::{Observation, Recorder, RecordingObserver, now_us};
use crate::load::{Client, ClientSettings, TENANTS};
use crate::network::{Network, NodeId};
use crate::schedule::{Form, Schedule};
use crate::stand_ins::{Backend, Counter, Discovery};
use addresses::AddressPlan;
use fault_harness::process::{Launch, Process};
use fault_harness::sync::lock;
use files::{SERVICE, STANDARD_PLAN};
use member::{Member, MemberState};
use selector::selects;
use stand_in_consul::{Consul, Listener, Service};
use std::collections::HashMap;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Name of the node that stands for all clients.
const LOAD: &str = "load";
/// Interval of the checks whether a gatekeeper is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Units of the largest request of the load.
const LARGEST_REQUEST: f64 = 4.0;

/// Running gatekeepers with their stand-ins and links, on a network of loopback addresses of their own.
pub struct Site {
    schedule: Schedule,
    builds: Builds,
    addresses: AddressPlan,
    /// Collects the observations of all stand-ins, clients and processes of the site.
    pub recorder: Recorder,
    /// The links between all nodes of the site.
    pub network: Network,
    /// Node ids by node name. Gatekeepers come first, then backends.
    nodes: HashMap<String, NodeId>,
    members: Vec<Member>,
    backends: Vec<Backend>,
    consul: Consul,
    counter: Counter,
    discovery: Discovery,
    client_settings: ClientSettings,
    catalogue_index: AtomicU64,
    /// The entries of the backends in the catalogue while all are healthy.
    services: Vec<Service>,
    /// The number of the gossip key; locked while the key is rotated.
    gossip_key: Mutex<u64>,
    folder: PathBuf,
}

/// Result of a command that the gatekeeper's executable has run.
struct CommandResult {
    exit_code: i32,
    /// Standard output followed by standard error, trimmed.
    output: String,
}

impl Site {
    /// Sets up a site and starts its gatekeepers. All of them serve when this returns.
    ///
    /// # Errors
    ///
    /// No addresses are free, a file cannot be written, or a gatekeeper does not start or serve.
    pub fn start(schedule: &Schedule, builds: impl Into<Builds>, folder: &Path) -> Result<Arc<Self>, Error> {
        let site = setup::set_up(schedule, builds.into(), folder)?;
        for index in 0..schedule.options.replicas {
            site.create_configuration(index)?;
        }
        for index in 0..site.members.len() {
            site.start_member(index)?;
        }
        match site.members.iter().find(|member| !member.wait_until_serving()) {
            Some(member) => Err(Error::NotServing { gatekeeper: member.name.clone() }),
            None => Ok(Arc::new(site)),
        }
    }

    /// Creates the first version of the replicated configuration in the files of a replica.
    fn create_configuration(&self, index: usize) -> Result<(), Error> {
        let path = self.write_files(index, &MemberState::default())?;
        let CommandResult { exit_code, output } = self.run_command(index, &["settings", "begin", &path])?;
        if exit_code == 0 { Ok(()) } else { Err(Error::ConfigurationNotCreated { output }) }
    }

    /// The limits that the checkers apply to the histories of a site.
    pub fn bounds() -> Bounds {
        let ceiling = Ceiling {
            units_per_second: STANDARD_PLAN.ceiling_per_second,
            burst: STANDARD_PLAN.ceiling_burst,
            largest_request: LARGEST_REQUEST,
        };
        let limited = TENANTS.iter().filter(|tenant| tenant.plan == STANDARD_PLAN.name);
        Bounds {
            deadline_ms: REQUEST_DEADLINE_MS,
            tolerance_ms: 400,
            ceilings: limited.map(|tenant| (tenant.name.to_owned(), ceiling)).collect(),
            drain_ms: 1_000,
            convergence_ms: 10_000,
            convergence_after_counter_loss_ms: 32_000,
            // Leases last 3 s. With leases, a contradiction lasts no longer than it takes to wake a thread.
            contradiction_ms: 250,
            resources: ResourceLimits { memory_kb: 64 * 1024, descriptors: 1_024, threads: 96 },
        }
    }

    /// Starts the clients of all gatekeepers, unless the schedule disables the load.
    pub fn start_load(&self, is_over: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
        if !self.schedule.options.load {
            return Vec::new();
        }
        let gatekeepers = self.members.len();
        let start = |index: usize| {
            let seed = self.schedule.seed + 100 * index as u64;
            crate::load::start_clients(|| self.client(index), gatekeepers, is_over, seed)
        };
        (0..gatekeepers).flat_map(start).collect()
    }

    /// Records the resource use of each gatekeeper process, and the traffic to Consul and of gossip.
    pub fn record_resource_use(&self) {
        for member in &self.members {
            let state = lock(&member.state);
            for process in state.process.iter().chain(&state.successor) {
                if let Some(usage) = process.resource_usage() {
                    self.recorder.record(Observation::ResourceUse {
                        process: process.name().to_owned(),
                        memory_kb: usage.memory_kb,
                        descriptors: usage.descriptors,
                        threads: usage.threads,
                        cpu_ms: usage.cpu_ms,
                    });
                }
            }
        }
        let (consul_requests, gossip_bytes) = (self.consul.request_counts(), self.network.datagram_bytes());
        self.recorder.record(Observation::Traffic { consul_requests, gossip_bytes });
    }

    /// Starts a process of a gatekeeper, in addition to its current process if it has one.
    fn spawn(&self, index: usize, state: &mut MemberState) -> Result<Process, Error> {
        let member = &self.members[index];
        state.count_start();
        let path = self.write_files(index, state)?;
        let build = self.builds.for_start(index, state.starts);
        let launch = Launch::new(&member.name, build);
        let observer = RecordingObserver::new(&member.name, &self.recorder);
        let started = match self.schedule.form {
            Form::Appliance => Process::start(&Launch { arguments: &["serve", &path], ..launch }, observer),
            Form::Platform => {
                let variables = [
                    ("BALANCER_CONFIG", path),
                    ("BALANCER_OPERATOR", self.addresses.admin(index, state.starts).to_string()),
                    ("TMPDIR", member.folder.join("tmp").display().to_string()),
                ];
                Process::start(&Launch { variables: &variables, ..launch }, observer)
            }
        };
        started.map_err(Error::start(build))
    }

    fn write_files(&self, index: usize, state: &MemberState) -> Result<String, Error> {
        self.members[index].write_files(state, self.schedule.options.jobs)
    }

    /// Runs a command with the build that the gatekeeper was last started with.
    fn run_command(&self, index: usize, arguments: &[&str]) -> Result<CommandResult, Error> {
        let start = lock(&self.members[index].state).starts.max(1);
        let build = self.builds.for_start(index, start);
        let completed =
            std::process::Command::new(build).args(arguments).output().map_err(Error::start(build))?;
        let output =
            String::from_utf8_lossy(&[completed.stdout, completed.stderr].concat()).trim().to_owned();
        Ok(CommandResult { exit_code: completed.status.code().unwrap_or(-1), output })
    }

    fn start_member(&self, index: usize) -> Result<(), Error> {
        let mut state = lock(&self.members[index].state);
        let process = self.spawn(index, &mut state)?;
        state.process = Some(process);
        Ok(())
    }

    /// Creates a client of this gatekeeper.
    pub fn client(&self, index: usize) -> Client {
        let member = &self.members[index];
        let address = member.client_address;
        Client::new(&self.client_settings, &member.name, address, &self.network, &self.recorder)
    }

    /// The Consul agents of this gatekeeper.
    pub fn consul_agents(&self, index: usize) -> &[Listener] {
        &self.members[index].consul_agents
    }

    /// The entries of the backends in the catalogue while all are healthy.
    pub fn healthy_services(&self) -> Vec<Service> {
        self.services.clone()
    }

    /// Replaces the entries of the catalogue, under its next index. Returns the time of the change in us.
    pub fn set_services(&self, services: Vec<Service>) -> u64 {
        let index = self.catalogue_index.fetch_add(1, Ordering::Relaxed) + 1;
        let at_us = now_us();
        self.consul.set_service(index, SERVICE, services);
        at_us
    }

    /// Sets the index of the catalogue, which continues from there. It may be an index that the catalogue had before.
    pub fn set_catalogue_index(&self, index: u64) {
        self.catalogue_index.store(index, Ordering::Relaxed);
    }

    /// Indexes of the gatekeepers that a selector includes.
    fn selected_members(&self, selector: &str) -> Vec<usize> {
        (0..self.members.len()).filter(|&i| selects(selector, &self.members[i].name)).collect()
    }

    fn selected_backends(&self, selector: &str) -> Vec<&Backend> {
        self.backends.iter().filter(|backend| selects(selector, &backend.name)).collect()
    }

    /// Calls a function for the running process of each of these members.
    fn for_each_process(&self, members: &[usize], act: impl Fn(&Process)) {
        members.iter().for_each(|&i| lock(&self.members[i].state).process.iter().for_each(&act));
    }

    /// Shuts all gatekeepers down, waits for their exit, stops the stand-ins and links, and removes the site's folder.
    pub fn shut_down(&self) {
        let all: Vec<usize> = (0..self.members.len()).collect();
        self.for_each_process(&all, Process::shut_down);
        self.for_each_process(&all, Process::wait_for_shutdown);
        all.iter().for_each(|&i| drop(lock(&self.members[i].state).process.take()));
        self.network.shut_down();
        self.consul.stop();
        let agents = self.members.iter().flat_map(|member| &member.consul_agents);
        agents.for_each(|agent| drop(TcpStream::connect(agent.address)));
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    /// Number of calls of the quota counter since the start.
    pub fn counter_calls(&self) -> u64 {
        self.counter.calls()
    }
}
