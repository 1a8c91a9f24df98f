//! The configuration file of the gatekeeper.

use crate::stand_ins::StandIns;
use std::net::SocketAddr;

/// Returns the configuration of a gatekeeper that listens at `listen` and forwards to the stand-ins. Its quotas are so large that
/// they are never exhausted.
pub(crate) fn config_file(listen: SocketAddr, stand_ins: &StandIns) -> String {
    let StandIns { agent, backends } = stand_ins;
    let endpoints: Vec<String> = backends.iter().enumerate().map(endpoint).collect();
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{agent}","seed":"1","limits":{{"sockets":1024}},
        "known":{{"rev":1,"all":true,"targets":[{}]}},"settings":{{"balancers":1,"me":0,"tick-us":1000,
        "bounds":{{"max-attempts":3,"second-copies":true,"connect-timeout-us":250000,"keepalive-us":30000000}},
        "classes":[{{"name":"lookup","goal-time-us":600000,"deadline-us":2500000,"effect":"read_like"}}],
        "contracts":[{{"name":"team","per-second":100000.0,"depth":1000000.0}}],
        "specifics":{{"largest":8}}}}}}"#,
        endpoints.join(",")
    )
}

fn endpoint((number, address): (usize, &SocketAddr)) -> String {
    format!(r#"{{"uid":"s-{number}","endpoint":"{address}","az":"z","model":"m","state":"up"}}"#)
}
