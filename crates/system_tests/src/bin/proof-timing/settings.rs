//! The settings of the gatekeeper.

use std::net::SocketAddr;

/// The description that it serves.
pub(crate) const API_DESCRIPTION: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"paths":{"/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}}}}"#;

/// Where it listens, and where Consul does.
#[derive(Clone, Copy)]
pub(crate) struct Addresses {
    pub(crate) listen: SocketAddr,
    pub(crate) status: SocketAddr,
    pub(crate) consul: SocketAddr,
}

/// The file, with these settings of its only class.
pub(crate) fn settings(addresses: Addresses, class: &str) -> String {
    let Addresses { listen, status, consul } = addresses;
    format!(
        "listen = \"{listen}\"\nstatus = \"{status}\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
         [consul]\naddress = \"{consul}\"\nservice = \"loan-server\"\n[limits]\nconnect_ms = 50\nroute_steps = 4\n\
         [[class]]\nname = \"lookup\"\n{class}\n\
         [[plan]]\nname = \"basic\"\nunits_per_second = 100000.0\nburst = 400000.0\n\
         [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n"
    )
}

/// A class whose requests are idempotent, with these time-outs and more settings.
pub(crate) fn idempotent(wanted_ms: u64, deadline_ms: u64, more: &str) -> String {
    format!("repeat = \"safe\"\nwanted_ms = {wanted_ms}\ndeadline_ms = {deadline_ms}\n{more}")
}
