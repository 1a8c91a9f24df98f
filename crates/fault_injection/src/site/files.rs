//! The settings files and other files of gatekeepers.

use crate::Error;
use crate::load::{TENANTS, Tenant};
use crate::schedule::SiteOptions;
use std::net::SocketAddr;
use std::path::Path;

#[cfg(test)]
mod tests;

/// The service under which Consul lists the backends.
pub(super) const SERVICE: &str = "loan-server";
/// Deadline of the requests of the load in ms.
pub const REQUEST_DEADLINE_MS: u64 = 1_000;
/// Period of the periodic jobs of an appliance in ms.
pub const JOB_PERIOD_MS: u64 = 500;

/// Placeholder in the template of an appliance's settings for the offset of the wall clock in ms.
const CLOCK_OFFSET: &str = "CLOCK";
/// Placeholder for the name of the member.
const MEMBER_NAME: &str = "NAME";
/// Placeholder for the periodic jobs.
const JOBS: &str = "DUTIES";

const HEALTH_CHECK: &str = "[probe]\npath = \"/health\"\nperiod_ms = 1000\ntimeout_ms = 300\n";

/// A plan of the tenants.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    pub(super) name: &'static str,
    units_per_second: f64,
    burst: f64,
    /// Rate of the hard ceiling in units per second; 0 means no ceiling.
    pub(super) ceiling_per_second: f64,
    pub(super) ceiling_burst: f64,
}

const fn plan(name: &'static str, units_per_second: f64, burst: f64, ceiling: [f64; 2]) -> Plan {
    Plan { name, units_per_second, burst, ceiling_per_second: ceiling[0], ceiling_burst: ceiling[1] }
}

const PLANS: [Plan; 3] =
    [plan("basic", 20.0, 40.0, [0.0, 0.0]), STANDARD_PLAN, plan("free", 400.0, 800.0, [0.0, 0.0])];
/// The plan with a hard ceiling.
pub(super) const STANDARD_PLAN: Plan = plan("standard", 10.0, 20.0, [20.0, 40.0]);

impl Plan {
    fn toml(self) -> String {
        format!(
            "[[plan]]\nname = \"{}\"\nunits_per_second = {:?}\nburst = {:?}\nceiling_per_second = {:?}\nceiling_burst = {:?}\n",
            self.name, self.units_per_second, self.burst, self.ceiling_per_second, self.ceiling_burst
        )
    }

    fn json(self) -> String {
        format!(
            r#"{{"name":"{}","per-second":{:?},"depth":{:?},"ceiling-rate":{:?},"ceiling-burst":{:?}}}"#,
            self.name, self.units_per_second, self.burst, self.ceiling_per_second, self.ceiling_burst
        )
    }
}

/// The gossip addresses of an appliance and of its peers.
#[derive(Clone, Copy)]
pub(super) struct GossipAddresses<'a> {
    pub(super) listen: SocketAddr,
    pub(super) advertise: SocketAddr,
    /// The advertised addresses of all members, as the elements of a TOML array.
    pub(super) peers: &'a str,
}

/// The addresses of the replicas of the replicated configuration, as one member reaches them.
pub(super) struct ReplicaAddresses {
    /// The address at which the member listens as a replica; absent if it is not a replica.
    pub(super) listen: Option<SocketAddr>,
    /// Inline TOML tables, one for each replica.
    pub(super) replicas: Vec<String>,
}

/// The values in an appliance's settings.
pub(super) struct ApplianceSettings<'a> {
    pub(super) number: usize,
    pub(super) gatekeepers: usize,
    pub(super) options: &'a SiteOptions,
    pub(super) listen: SocketAddr,
    pub(super) status: SocketAddr,
    pub(super) counter: SocketAddr,
    /// Addresses of the agents, in the order in which the appliance tries them.
    pub(super) consul_agents: &'a [SocketAddr],
    pub(super) gossip: GossipAddresses<'a>,
    pub(super) replicas: ReplicaAddresses,
}

impl ApplianceSettings<'_> {
    /// The settings file with placeholders for what changes while a site runs.
    pub(super) fn template(&self) -> String {
        let tenant = |t: Tenant| format!("[[lender]]\nname = \"{}\"\nplan = \"{}\"\n", t.name, t.plan);
        let (consul, agents) = (self.consul_agents[0], &self.consul_agents[1..]);
        let agents: Vec<String> = agents.iter().map(|address| format!("\"{address}\"")).collect();
        let GossipAddresses { listen: gossip, advertise, peers } = self.gossip;
        format!(
            "listen = \"{listen}\"\nstatus = \"{status}\"\ndescriptions = [\"../loans.json\"]\nlender_header = \"X-Lender\"\n\
             [consul]\naddress = \"{consul}\"\nagents = [{agents}]\nservice = \"{SERVICE}\"\nwait_ms = 2000\nlist_file = \"list/loans.list\"\n\
             [quota]\ngatekeepers = {gatekeepers}\nnumber = {number}\ncounter = \"{counter}\"\n\
             [cluster]\nname = \"{MEMBER_NAME}\"\nlisten = \"{gossip}\"\nadvertise = \"{advertise}\"\npeers = [{peers}]\n\
             key_file = \"cluster.key\"\nstandbys = {standbys}\nskew_ms = 300\nstore_timeout_ms = 150\nclock_offset_ms = {CLOCK_OFFSET}\n\
             {health_check}[[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 400\ndeadline_ms = {REQUEST_DEADLINE_MS}\n\
             {plans}{tenants}{JOBS}{replicas}",
            listen = self.listen,
            status = self.status,
            agents = agents.join(", "),
            gatekeepers = self.gatekeepers,
            number = self.number,
            counter = self.counter,
            standbys = self.options.standbys,
            health_check = if self.options.health_checks { HEALTH_CHECK } else { "" },
            plans = PLANS.map(Plan::toml).concat(),
            tenants = TENANTS.map(tenant).concat(),
            replicas = self.replicas.toml(),
        )
    }
}

impl ReplicaAddresses {
    /// The table `agreed` of the settings; empty if there are no replicas.
    fn toml(&self) -> String {
        if self.replicas.is_empty() {
            return String::new();
        }
        let listen = self.listen.map_or(String::new(), |address| format!("listen = \"{address}\"\n"));
        format!("[agreed]\n{listen}voters = [{}]\n", self.replicas.join(", "))
    }
}

/// The values in the configuration of a gatekeeper of the platform.
pub(super) struct PlatformSettings<'a> {
    pub(super) number: usize,
    pub(super) gatekeepers: usize,
    pub(super) listen: SocketAddr,
    pub(super) discovery: SocketAddr,
    pub(super) counter: SocketAddr,
    /// The endpoint list at the start, in JSON.
    pub(super) endpoint_list: &'a str,
}

impl PlatformSettings<'_> {
    /// The text of the configuration file.
    pub(super) fn text(&self) -> String {
        let Self { number, gatekeepers, listen, discovery, counter, endpoint_list } = self;
        format!(
            r#"{{"name":"m{number}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","counter":"{counter}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{endpoint_list},
        "settings":{{"balancers":{gatekeepers},"me":{number},"tick-us":4000,"zone":0,"localities":["z"],"kinds":["m"],
        "bounds":{{"cancel":true,"connect-timeout-us":250000,"keepalive-us":30000000,"max-attempts":3,
        "max-retry-after-us":1000000,"retry-after":true,"second-copies":true}},
        "classes":[{{"name":"lookup","goal-time-us":400000,"deadline-us":{deadline_us},"effect":"read_like","group":"all"}}],
        "contracts":[{plans}],
        "report":{{"columns":["active","waiting","avg_ms"],"how":"inline"}},
        "specifics":{{"may-count":true,"count-wait-us":30000,"largest":4}}}}}}"#,
            deadline_us = REQUEST_DEADLINE_MS * 1_000,
            plans = PLANS.map(Plan::json).join(","),
        )
    }
}

/// The values in an appliance's settings that change while a site runs.
pub(super) struct MemberVariables<'a> {
    pub(super) name: &'a str,
    pub(super) clock_offset_ms: i64,
    pub(super) jobs: std::ops::Range<usize>,
    pub(super) job_target: SocketAddr,
}

impl MemberVariables<'_> {
    /// Replaces the placeholders of a template.
    pub(super) fn fill(&self, template: &str) -> String {
        let target = self.job_target;
        let job = |number: usize| {
            format!(
                "[[duty]]\nname = \"duty-{number}\"\nperiod_ms = {JOB_PERIOD_MS}\ntimeout_ms = 400\nurl = \"http://{target}/\"\n"
            )
        };
        let text = template.replace(CLOCK_OFFSET, &self.clock_offset_ms.to_string());
        let text = text.replace(MEMBER_NAME, self.name);
        text.replace(JOBS, &self.jobs.clone().map(job).collect::<String>())
    }
}

/// The OpenAPI description that all appliances serve.
pub const API_DESCRIPTION: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"paths":{
  "/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}},
  "/loans/history":{"get":{"x-snowfield-units":4,"x-snowfield-class":"lookup","responses":{}}}}}"#;

/// Writes the files that the settings of all appliances refer to.
///
/// # Errors
///
/// The folder cannot be written.
pub fn write_common_files(folder: &Path) -> Result<(), Error> {
    std::fs::create_dir_all(folder).map_err(Error::file(folder))?;
    let path = folder.join("loans.json");
    std::fs::write(&path, API_DESCRIPTION).map_err(Error::file(&path))
}
