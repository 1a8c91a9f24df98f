//! What was seen, as one list with one clock.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard};

/// Microseconds of the system's monotonic clock, which all processes of a machine share.
pub fn now() -> u64 {
    let at = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    at.tv_sec as u64 * 1_000_000 + at.tv_nsec as u64 / 1_000
}

/// How an operation ended for its client.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With a loan server's answer.
    Served,
    /// With a busy reply.
    Refused,
    /// With a failure.
    Failed,
    /// The answer was no answer to this operation.
    Foreign,
    /// The connection ended, or nothing came for as long as the client waits.
    Broken,
    /// Nobody took it: the connection did not come up, or was closed before it was read.
    Untaken,
}

/// Something that was seen.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// A client wrote an operation whole.
    Asked {
        /// The operation.
        op: u64,
        /// Whose quota it counts against.
        lender: String,
        /// What it counts.
        units: f64,
        /// The program asked.
        via: String,
    },
    /// What became of it.
    Ended {
        /// The operation.
        op: u64,
        /// How.
        end: End,
    },
    /// An attempt arrived whole at a loan server.
    Arrived {
        /// The operation.
        op: u64,
        /// The loan server.
        server: String,
        /// The program that sent it.
        via: String,
    },
    /// The counter took a call.
    Counted {
        /// The count's name.
        name: String,
        /// What was added.
        add: f64,
        /// The total after that.
        total: f64,
        /// The program that called.
        via: String,
    },
    /// A duty's target was called.
    Ran {
        /// The duty.
        duty: String,
        /// The round, which is the token.
        round: u64,
        /// The instance that called.
        by: String,
    },
    /// A program was started.
    Started {
        /// Its name.
        who: String,
    },
    /// A program has ended.
    Exited {
        /// Its name.
        who: String,
        /// Its exit code, or the signal's number with a minus.
        code: i32,
        /// The rig ended it.
        told: bool,
    },
    /// A fault begins or ends.
    Fault {
        /// Its number in the schedule.
        number: usize,
        /// Its kind.
        kind: String,
        /// It begins.
        begins: bool,
        /// Programs whose clients may miss an answer meanwhile.
        hits: Vec<String>,
        /// What programs send to loan servers may arrive late meanwhile.
        late: bool,
    },
    /// A program was told of a loan server, by a link that was well.
    Told {
        /// The program.
        who: String,
        /// The loan server.
        server: String,
        /// It takes new work.
        takes_work: bool,
    },
    /// What staff heard of a version that it proposed.
    Proposed {
        /// From where.
        who: String,
        /// The exit code: 0 where it was taken.
        code: i32,
        /// The words.
        said: String,
    },
    /// A log line of a program.
    Line {
        /// Its name.
        who: String,
        /// The line.
        text: String,
        /// What its fields say.
        #[serde(default, skip_serializing_if = "serde_json::Map::is_empty")]
        fields: serde_json::Map<String, serde_json::Value>,
    },
    /// What a program holds.
    Holds {
        /// Its name.
        who: String,
        /// Resident memory.
        kb: u64,
        /// Open descriptors.
        files: u64,
        /// Threads.
        threads: u64,
        /// Processor time since its start, ms.
        cpu_ms: u64,
    },
    /// What stand-ins and links have had to do so far.
    Carried {
        /// Calls of Consul, by method and kind.
        consul: BTreeMap<String, u64>,
        /// Bytes of datagrams.
        gossip: u64,
    },
    /// What is apart has changed since the last look after the last fault.
    Apart {
        /// In words.
        text: String,
    },
    /// All agree again, so long after the last fault ended; none where they did not in the time given.
    Agreed {
        /// ms
        after: Option<u64>,
        /// What was still apart.
        apart: String,
    },
}

/// One thing and its time.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Record {
    /// us of [`now`].
    pub at: u64,
    /// What was seen.
    #[serde(flatten)]
    pub what: What,
}

/// Takes down what is seen, from all threads.
#[derive(Clone, Debug, Default)]
pub struct Recorder(Arc<Mutex<Vec<Record>>>);

impl Recorder {
    fn held(&self) -> MutexGuard<'_, Vec<Record>> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Takes this down, now.
    pub fn note(&self, what: What) {
        let mut held = self.held();
        held.push(Record { at: now(), what });
    }

    /// Takes down what a program did at a time of its own telling, which is not to come.
    pub fn note_at(&self, at: u64, what: What) {
        let mut held = self.held();
        held.push(Record { at: at.min(now()), what });
    }

    /// All so far, in the order of time.
    pub fn all(&self) -> Vec<Record> {
        let mut all = self.held().clone();
        all.sort_by_key(|record| record.at);
        all
    }
}

/// Writes a history as JSON lines.
///
/// # Errors
///
/// It cannot be written.
pub fn write(records: &[Record], to: &mut impl Write) -> io::Result<()> {
    for record in records {
        serde_json::to_writer(&mut *to, record)?;
        to.write_all(b"\n")?;
    }
    Ok(())
}

/// Reads what [`write()`] has written.
///
/// # Errors
///
/// A line is none.
pub fn read(text: &str) -> Result<Vec<Record>, String> {
    let line =
        |(i, line): (usize, &str)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", i + 1));
    text.lines().enumerate().map(line).collect()
}
