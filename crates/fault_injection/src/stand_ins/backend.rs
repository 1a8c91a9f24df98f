//! The stand-in for a backend.

use super::{FailureSwitch, SLOW_ANSWER, listen};
use crate::history::{Observation, Recorder};
use crate::network::Network;
use crate::schedule::{FailureMode, Form};
use fault_harness::clock::ScheduleClock;
use fault_harness::stand_ins::{AnswerMode, Arrival, BackendProtocol, BackendServer, BackendSite};
use std::net::{IpAddr, SocketAddr};

/// A stand-in for a backend. It listens at a separate address for each gatekeeper, to know which one sends an attempt.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Name of the backend in the catalogue and in histories.
    pub name: String,
    /// Switches the failure mode of the backend.
    pub failure: FailureSwitch,
    form: Form,
    recorder: Recorder,
}

impl Backend {
    /// Creates a healthy backend that records the attempts that arrive.
    pub fn new(name: &str, form: Form, recorder: &Recorder) -> Self {
        let failure = FailureSwitch::default();
        Self { name: name.to_owned(), failure, form, recorder: recorder.clone() }
    }

    /// Listens at a free port for the connections of one gatekeeper.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn open(&self, network: &Network, host: IpAddr, gatekeeper: &str) -> std::io::Result<SocketAddr> {
        let protocol = match self.form {
            Form::Appliance => BackendProtocol::Http,
            Form::Platform => BackendProtocol::Resp,
        };
        let server = BackendServer { protocol, clock: ScheduleClock::start() };
        let route = Route { backend: self.clone(), gatekeeper: gatekeeper.to_owned() };
        listen(network, host, move |stream| server.serve(&stream, &route))
    }
}

/// Handles the connections from one gatekeeper to a backend.
struct Route {
    backend: Backend,
    gatekeeper: String,
}

impl BackendSite for Route {
    type Attempt = ();

    fn accepts_requests(&self) -> bool {
        self.backend.failure.mode() != Some(FailureMode::Closed)
    }

    fn answer_mode(&self, _: &mut fastrand::Rng) -> AnswerMode {
        match self.backend.failure.mode() {
            None => AnswerMode::Serve,
            Some(FailureMode::Silent | FailureMode::ResponseLost) => AnswerMode::Hang,
            Some(FailureMode::Error | FailureMode::RestartedEmpty) => AnswerMode::Fail,
            Some(FailureMode::ResponseTruncated) => AnswerMode::Truncate,
            Some(FailureMode::Slow) => AnswerMode::Slow(SLOW_ANSWER),
            Some(FailureMode::Closed) => AnswerMode::Close,
        }
    }

    fn arrived(&self, arrival: Arrival) {
        let (backend, gatekeeper) = (self.backend.name.clone(), self.gatekeeper.clone());
        if let Some(request_id) = self.parse_id(&arrival.request_id) {
            self.backend.recorder.record(Observation::AttemptArrived { request_id, backend, gatekeeper });
        }
    }
}

impl Route {
    /// Parses the id of a request, which is decimal in HTTP and hexadecimal in RESP2.
    fn parse_id(&self, text: &str) -> Option<u64> {
        match self.backend.form {
            Form::Appliance => text.parse().ok(),
            Form::Platform => u64::from_str_radix(text, 16).ok(),
        }
    }
}
