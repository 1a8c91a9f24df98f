//! What a history holds. The names in its file are older than those of the fields, and stay.

use fault_harness::outcome::Outcome;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Something that was observed.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "what")]
pub enum Observation {
    /// A client wrote a complete request.
    #[serde(rename = "asked")]
    RequestSent {
        /// The request.
        #[serde(rename = "op")]
        request_id: u64,
        /// The tenant whose quota it takes.
        #[serde(rename = "lender")]
        tenant: String,
        /// The units that it takes.
        units: f64,
        /// The gatekeeper that it went to.
        #[serde(rename = "via")]
        gatekeeper: String,
    },
    /// A request ended for its client.
    #[serde(rename = "ended")]
    RequestEnded {
        /// The request.
        #[serde(rename = "op")]
        request_id: u64,
        /// How.
        #[serde(rename = "end")]
        outcome: Outcome,
    },
    /// An attempt arrived complete at a backend.
    #[serde(rename = "arrived")]
    AttemptArrived {
        /// The request.
        #[serde(rename = "op")]
        request_id: u64,
        /// The backend.
        #[serde(rename = "server")]
        backend: String,
        /// The gatekeeper that sent it.
        #[serde(rename = "via")]
        gatekeeper: String,
    },
    /// The quota counter applied a call.
    #[serde(rename = "counted")]
    CounterAdded {
        /// The counter's name.
        #[serde(rename = "name")]
        counter: String,
        /// What was added.
        #[serde(rename = "add")]
        amount: f64,
        /// The total after that.
        total: f64,
        /// The gatekeeper that called.
        #[serde(rename = "via")]
        gatekeeper: String,
    },
    /// The target of a periodic job was called.
    #[serde(rename = "ran")]
    JobRan {
        /// The job.
        #[serde(rename = "duty")]
        job: String,
        /// The run's number, which is the fencing token.
        #[serde(rename = "round")]
        run: u64,
        /// The instance that called.
        #[serde(rename = "by")]
        instance: String,
    },
    /// A process was started.
    #[serde(rename = "started")]
    ProcessStarted {
        /// Its name.
        #[serde(rename = "who")]
        process: String,
    },
    /// A process has ended.
    #[serde(rename = "exited")]
    ProcessExited {
        /// Its name.
        #[serde(rename = "who")]
        process: String,
        /// Its exit code, or the negative number of the signal that ended it.
        #[serde(rename = "code")]
        exit_code: i32,
        /// The harness asked for it.
        #[serde(rename = "told")]
        requested: bool,
    },
    /// A fault begins or ends.
    #[serde(rename = "fault")]
    Fault {
        /// Its index in the schedule.
        #[serde(rename = "number")]
        index: usize,
        /// Its kind.
        kind: String,
        /// It begins.
        begins: bool,
        /// Gatekeepers whose clients may miss an answer meanwhile.
        #[serde(rename = "hits")]
        affected: Vec<String>,
        /// Attempts may arrive late at backends meanwhile.
        #[serde(rename = "late")]
        delays_attempts: bool,
    },
    /// A gatekeeper was notified of a backend, over a healthy link.
    #[serde(rename = "told")]
    EndpointNotified {
        /// The gatekeeper.
        #[serde(rename = "who")]
        gatekeeper: String,
        /// The backend.
        #[serde(rename = "server")]
        backend: String,
        /// It accepts new requests.
        #[serde(rename = "takes_work")]
        accepts_requests: bool,
    },
    /// An operator's proposal of a version has ended.
    #[serde(rename = "proposed")]
    VersionProposed {
        /// The gatekeeper from whose folder it was proposed.
        #[serde(rename = "who")]
        gatekeeper: String,
        /// The command's exit code: 0 where the version is in force.
        #[serde(rename = "code")]
        exit_code: i32,
        /// What the command printed.
        #[serde(rename = "said")]
        output: String,
    },
    /// A log line of a process.
    #[serde(rename = "line")]
    LogLine {
        /// The process.
        #[serde(rename = "who")]
        process: String,
        /// The message.
        text: String,
        /// Its fields.
        #[serde(default, skip_serializing_if = "Map::is_empty")]
        fields: Map<String, Value>,
    },
    /// The resources that a process uses.
    #[serde(rename = "holds")]
    ResourceUse {
        /// The process.
        #[serde(rename = "who")]
        process: String,
        /// Resident memory, kB.
        #[serde(rename = "kb")]
        memory_kb: u64,
        /// Open descriptors.
        #[serde(rename = "files")]
        descriptors: u64,
        /// Threads.
        threads: u64,
        /// Processor time since its start, ms.
        cpu_ms: u64,
    },
    /// What stand-ins and links have handled so far.
    #[serde(rename = "carried")]
    Traffic {
        /// Requests to Consul, by method and kind.
        #[serde(rename = "consul")]
        consul_requests: BTreeMap<String, u64>,
        /// Bytes of datagrams.
        #[serde(rename = "gossip")]
        gossip_bytes: u64,
    },
    /// After the last fault: what still differs from an agreed state is not what it was at the last look.
    #[serde(rename = "apart")]
    DivergenceChanged {
        /// What differs.
        #[serde(rename = "text")]
        divergence: String,
    },
    /// The wait for agreement after the last fault is over.
    #[serde(rename = "agreed")]
    Converged {
        /// ms from the end of the last fault; none where not all agreed in the time given.
        #[serde(rename = "after")]
        after_ms: Option<u64>,
        /// What differed last.
        #[serde(rename = "apart")]
        divergence: String,
    },
}

impl Observation {
    /// Whether it is a log line whose message contains one of these texts.
    pub fn is_log_line_with(&self, texts: &[&str]) -> bool {
        let Self::LogLine { text: message, .. } = self else { return false };
        texts.iter().any(|text| message.contains(text))
    }
}

/// An observation and its time.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Record {
    /// Microseconds of [`super::now_us`].
    #[serde(rename = "at")]
    pub at_us: u64,
    /// What was observed.
    #[serde(flatten)]
    pub observation: Observation,
}
