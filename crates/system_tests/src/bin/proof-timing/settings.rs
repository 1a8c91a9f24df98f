//! The configuration file of the gatekeeper.

use std::net::SocketAddr;
use std::time::Duration;

/// OpenAPI description of the API that the gatekeeper serves: one operation, in the class `lookup`.
pub(crate) const API_DESCRIPTION: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"paths":{"/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}}}}"#;

/// The addresses that the configuration file contains.
#[derive(Clone, Copy)]
pub(crate) struct Addresses {
    pub(crate) listen: SocketAddr,
    pub(crate) status: SocketAddr,
    pub(crate) consul: SocketAddr,
}

/// Returns the text of a configuration file with one class. `class_toml` has the settings of this class.
pub(crate) fn config_file(addresses: Addresses, class_toml: &str) -> String {
    let Addresses { listen, status, consul } = addresses;
    format!(
        "listen = \"{listen}\"\nstatus = \"{status}\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
         [consul]\naddress = \"{consul}\"\nservice = \"loan-server\"\n[limits]\nconnect_ms = 50\nroute_steps = 4\n\
         [[class]]\nname = \"lookup\"\n{class_toml}\n\
         [[plan]]\nname = \"basic\"\nunits_per_second = 100000.0\nburst = 400000.0\n\
         [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n"
    )
}

/// A class whose requests are idempotent.
pub(crate) struct IdempotentClass {
    pub(crate) latency_objective: Duration,
    pub(crate) deadline: Duration,
    /// Further settings of the class, as lines of TOML.
    pub(crate) further_settings: String,
}

impl IdempotentClass {
    /// Returns the settings of the class as lines of TOML.
    pub(crate) fn to_toml(&self) -> String {
        let Self { latency_objective, deadline, further_settings } = self;
        format!(
            "repeat = \"safe\"\nwanted_ms = {}\ndeadline_ms = {}\n{further_settings}",
            latency_objective.as_millis(),
            deadline.as_millis()
        )
    }
}
