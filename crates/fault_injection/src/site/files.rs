//! The files that programs are started with.

use super::*;

pub(super) fn appliance(
    i: usize,
    programs: usize,
    has: &SiteOptions,
    [listen, status, counter]: [SocketAddr; 3],
    agents: &[SocketAddr],
    (gossip, advertise, peers): (SocketAddr, SocketAddr, &str),
) -> String {
    let plan = |(name, rate, burst, ceiling, at_once): (&str, f64, f64, f64, f64)| {
        format!(
            "[[plan]]\nname = \"{name}\"\nunits_per_second = {rate:?}\nburst = {burst:?}\n\
             ceiling_per_second = {ceiling:?}\nceiling_burst = {at_once:?}\n"
        )
    };
    let lender = |l: Lender| format!("[[lender]]\nname = \"{}\"\nplan = \"{}\"\n", l.name, l.plan);
    let (consul, others) = (agents[0], &agents[1..]);
    let others: Vec<String> = others.iter().map(|a| format!("\"{a}\"")).collect();
    format!(
        "listen = \"{listen}\"\nstatus = \"{status}\"\ndescriptions = [\"../loans.json\"]\nlender_header = \"X-Lender\"\n\
         [consul]\naddress = \"{consul}\"\nagents = [{}]\nservice = \"{SERVICE}\"\nwait_ms = 2000\nlist_file = \"list/loans.list\"\n\
         [quota]\ngatekeepers = {programs}\nnumber = {i}\ncounter = \"{counter}\"\n\
         [cluster]\nname = \"NAME\"\nlisten = \"{gossip}\"\nadvertise = \"{advertise}\"\npeers = [{peers}]\n\
         key_file = \"cluster.key\"\nstandbys = {}\nskew_ms = 300\nstore_timeout_ms = 150\nclock_offset_ms = CLOCK\n\
         {}[[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 400\ndeadline_ms = {DEADLINE}\n{}{}DUTIES",
        others.join(", "),
        has.standbys,
        if has.health_checks { PROBE } else { "" },
        PLANS.map(plan).concat(),
        LENDERS.map(lender).concat(),
    )
}

/// The description that all appliances serve.
pub const LOANS: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"paths":{
  "/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}},
  "/loans/history":{"get":{"x-snowfield-units":4,"x-snowfield-class":"lookup","responses":{}}}}}"#;

/// Writes what the files of all programs name.
///
/// # Errors
///
/// The folder cannot be written.
pub fn common_files(folder: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("loans.json"), LOANS)
}

pub(super) fn platform(
    i: usize,
    programs: usize,
    [listen, agent, counter]: [SocketAddr; 3],
    known: &str,
) -> String {
    let plan = |(name, rate, burst, ceiling, at_once): (&str, f64, f64, f64, f64)| {
        format!(
            r#"{{"name":"{name}","per-second":{rate:?},"depth":{burst:?},"ceiling-rate":{ceiling:?},"ceiling-burst":{at_once:?}}}"#
        )
    };
    format!(
        r#"{{"name":"m{i}","listen":"{listen}","discovery":"{agent}","seed":"8c1f30d27a5be964","counter":"{counter}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
        "settings":{{"balancers":{programs},"me":{i},"tick-us":4000,"zone":0,"localities":["z"],"kinds":["m"],
        "bounds":{{"cancel":true,"connect-timeout-us":250000,"keepalive-us":30000000,"max-attempts":3,
        "max-retry-after-us":1000000,"retry-after":true,"second-copies":true}},
        "classes":[{{"name":"lookup","goal-time-us":400000,"deadline-us":{deadline},"effect":"read_like","group":"all"}}],
        "contracts":[{plans}],
        "report":{{"columns":["active","waiting","avg_ms"],"how":"inline"}},
        "specifics":{{"may-count":true,"count-wait-us":30000,"largest":4}}}}}}"#,
        deadline = DEADLINE * 1_000,
        plans = PLANS.map(plan).join(","),
    )
}

const PROBE: &str = "[probe]\npath = \"/health\"\nperiod_ms = 1000\ntimeout_ms = 300\n";

#[cfg(test)]
mod tests;
