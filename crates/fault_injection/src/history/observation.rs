//! The records of a history. `serde(rename)` keeps the names that stored histories use, which differ from the fields' names.

use fault_harness::outcome::Outcome;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// One thing that happened in a run, or a sample of resource use or traffic.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "what")]
pub enum Observation {
    /// A client sends a request; recorded just before the request is written.
    #[serde(rename = "asked")]
    RequestSent {
        /// Id of the request, unique in its site.
        #[serde(rename = "op")]
        request_id: u64,
        /// Name of the tenant whose quota the request uses.
        #[serde(rename = "lender")]
        tenant: String,
        /// Units that the request costs.
        units: f64,
        /// Name of the gatekeeper that the request was sent to.
        #[serde(rename = "via")]
        gatekeeper: String,
    },
    /// A request ended: its client received an answer or gave up.
    #[serde(rename = "ended")]
    RequestEnded {
        /// Id under which [`Observation::RequestSent`] recorded the request.
        #[serde(rename = "op")]
        request_id: u64,
        /// How the request ended for its client.
        #[serde(rename = "end")]
        outcome: Outcome,
    },
    /// A backend received a complete attempt.
    #[serde(rename = "arrived")]
    AttemptArrived {
        /// Id of the request that the attempt belongs to.
        #[serde(rename = "op")]
        request_id: u64,
        /// Name of the backend that received the attempt.
        #[serde(rename = "server")]
        backend: String,
        /// Name of the gatekeeper that sent the attempt.
        #[serde(rename = "via")]
        gatekeeper: String,
    },
    /// The quota counter applied a call.
    #[serde(rename = "counted")]
    CounterAdded {
        /// Name of the count to which the call added.
        #[serde(rename = "name")]
        counter: String,
        /// Amount that the call added, in the unit of the count; negative if the call subtracted.
        #[serde(rename = "add")]
        amount: f64,
        /// Sum that the counter holds under the name of the count after the call.
        total: f64,
        /// Name of the gatekeeper that made the call.
        #[serde(rename = "via")]
        gatekeeper: String,
    },
    /// The target of a periodic job was called.
    #[serde(rename = "ran")]
    JobRan {
        /// Name of the periodic job.
        #[serde(rename = "duty")]
        job: String,
        /// The number of the run, which serves as its fencing token.
        #[serde(rename = "round")]
        run: u64,
        /// Name of the instance that called the target.
        #[serde(rename = "by")]
        instance: String,
    },
    /// A process was started.
    #[serde(rename = "started")]
    ProcessStarted {
        /// Name of the process; in a site, that of its gatekeeper.
        #[serde(rename = "who")]
        process: String,
    },
    /// A process exited, with or without a request of the harness.
    #[serde(rename = "exited")]
    ProcessExited {
        /// Name of the process; in a site, that of its gatekeeper.
        #[serde(rename = "who")]
        process: String,
        /// Exit code, or the negated number of the signal that terminated the process.
        #[serde(rename = "code")]
        exit_code: i32,
        /// Whether the harness requested the exit.
        #[serde(rename = "told")]
        requested: bool,
    },
    /// A fault begins or ends.
    #[serde(rename = "fault")]
    Fault {
        /// Index of the fault in the schedule, from 0.
        #[serde(rename = "number")]
        index: usize,
        /// Name of the fault's kind, as [`FaultKind::name`](crate::schedule::FaultKind::name) returns it.
        kind: String,
        /// True at the begin of the fault, false at its end.
        begins: bool,
        /// Gatekeepers whose clients may miss answers during the fault.
        #[serde(rename = "hits")]
        affected: Vec<String>,
        /// Whether attempts may arrive late at backends during the fault.
        #[serde(rename = "late")]
        delays_attempts: bool,
    },
    /// Discovery notified a gatekeeper of a backend's state over a healthy link.
    #[serde(rename = "told")]
    EndpointNotified {
        /// Name of the gatekeeper that was notified.
        #[serde(rename = "who")]
        gatekeeper: String,
        /// Name of the backend whose state was sent.
        #[serde(rename = "server")]
        backend: String,
        /// Whether the backend accepts new requests in that state.
        #[serde(rename = "takes_work")]
        accepts_requests: bool,
    },
    /// An operator's command that proposes a version of the configuration has finished.
    #[serde(rename = "proposed")]
    VersionProposed {
        /// Name of the gatekeeper whose settings the command used.
        #[serde(rename = "who")]
        gatekeeper: String,
        /// Exit code of the command: 0 if the version is in force, -1 if a signal terminated the command.
        #[serde(rename = "code")]
        exit_code: i32,
        /// Standard output and standard error of the command.
        #[serde(rename = "said")]
        output: String,
    },
    /// A log line of a process.
    #[serde(rename = "line")]
    LogLine {
        /// Name of the process that wrote the line.
        #[serde(rename = "who")]
        process: String,
        /// Message of the log event.
        text: String,
        /// The fields of the log event; empty for a plain line.
        #[serde(default, skip_serializing_if = "Map::is_empty")]
        fields: Map<String, Value>,
    },
    /// The resources that a process uses.
    #[serde(rename = "holds")]
    ResourceUse {
        /// Name of the process that was sampled.
        #[serde(rename = "who")]
        process: String,
        /// Resident memory in kB.
        #[serde(rename = "kb")]
        memory_kb: u64,
        /// Number of open file descriptors.
        #[serde(rename = "files")]
        descriptors: u64,
        /// Number of threads of the process.
        threads: u64,
        /// Processor time since the start of the process, in ms.
        cpu_ms: u64,
    },
    /// Totals since the start of the site of what stand-ins and links have handled.
    #[serde(rename = "carried")]
    Traffic {
        /// Requests to Consul, by method and kind.
        #[serde(rename = "consul")]
        consul_requests: BTreeMap<String, u64>,
        /// Bytes of datagrams that the links carried.
        #[serde(rename = "gossip")]
        gossip_bytes: u64,
    },
    /// After the last fault: a check of convergence found other differences than the check before it.
    #[serde(rename = "apart")]
    DivergenceChanged {
        /// The remaining differences, in words.
        #[serde(rename = "text")]
        divergence: String,
    },
    /// The wait for convergence after the last fault has ended.
    #[serde(rename = "agreed")]
    Converged {
        /// ms from the end of the last fault; absent if the gatekeepers did not converge before the timeout.
        #[serde(rename = "after")]
        after_ms: Option<u64>,
        /// The differences at the last check; empty if the gatekeepers converged.
        #[serde(rename = "apart")]
        divergence: String,
    },
}

impl Observation {
    /// Whether the observation is a log line whose message contains one of these texts.
    pub fn is_log_line_with(&self, texts: &[&str]) -> bool {
        let Self::LogLine { text: message, .. } = self else { return false };
        texts.iter().any(|text| message.contains(text))
    }
}

/// A line of a stored history: an observation with its time.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Record {
    /// Time of the observation, in microseconds of the clock of [`super::now_us`].
    #[serde(rename = "at")]
    pub at_us: u64,
    /// What happened at this time, or what was sampled.
    #[serde(flatten)]
    pub observation: Observation,
}
