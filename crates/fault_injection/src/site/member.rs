//! One gatekeeper of a site, with its folder, settings and processes.

use super::files::MemberVariables;
use crate::Error;
use fault_harness::process::{Log, Process};
use fault_harness::sync::lock;
use stand_in_consul::Listener;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Mutex;

/// Logged when a gatekeeper begins to serve.
const SERVING: &str = "serving ";
/// Value of the gossip key with number 0; the other keys follow it.
const FIRST_GOSSIP_KEY: u64 = 0x0a11;
/// Starts are numbered from 1 up to this number, then from 1 again.
const MAX_START_NUMBER: u8 = 250;

/// The settings file of a gatekeeper.
pub(super) struct SettingsFile {
    pub(super) file_name: &'static str,
    pub(super) template: String,
}

/// One gatekeeper of a site.
pub(super) struct Member {
    pub(super) name: String,
    /// The address of the link over which clients reach the gatekeeper.
    pub(super) client_address: SocketAddr,
    pub(super) folder: PathBuf,
    pub(super) settings: SettingsFile,
    pub(super) consul_agents: Vec<Listener>,
    /// The address of the link over which the gatekeeper reaches the target of periodic jobs.
    pub(super) job_target: SocketAddr,
    pub(super) state: Mutex<MemberState>,
}

/// The state of a member that changes while a site runs.
#[derive(Default)]
pub(super) struct MemberState {
    pub(super) process: Option<Process>,
    /// The process that replaces the current one in an upgrade.
    pub(super) successor: Option<Process>,
    /// Number of the last start; 0 before the first one. Each start has an admin address of its own.
    pub(super) starts: u8,
    /// Offset of the gatekeeper's wall clock in ms.
    pub(super) clock_offset_ms: i64,
    /// The name of another member under which the gatekeeper runs; absent if it runs under its own.
    pub(super) assumed_name: Option<String>,
    /// Numbers of the gatekeeper's periodic jobs, if they differ from the usual ones.
    pub(super) jobs: Option<Range<usize>>,
    /// Numbers of the gossip keys in the gatekeeper's key file; the first one signs. Empty means key 0 alone.
    pub(super) gossip_keys: Vec<u64>,
    /// Whether a fault is active on the gatekeeper, so that other faults skip it.
    pub(super) has_fault: bool,
}

impl MemberState {
    pub(super) fn count_start(&mut self) {
        self.starts = self.starts % MAX_START_NUMBER + 1;
    }
}

impl Member {
    /// The path of the gatekeeper's settings file.
    pub(super) fn settings_path(&self) -> PathBuf {
        self.folder.join(self.settings.file_name)
    }

    /// Writes the gatekeeper's settings and key file for this state, and returns the path of the settings.
    pub(super) fn write_files(&self, state: &MemberState, usual_jobs: usize) -> Result<String, Error> {
        let variables = MemberVariables {
            name: state.assumed_name.as_ref().unwrap_or(&self.name),
            clock_offset_ms: state.clock_offset_ms,
            jobs: state.jobs.clone().unwrap_or(0..usual_jobs),
            job_target: self.job_target,
        };
        let path = self.settings_path();
        std::fs::write(&path, variables.fill(&self.settings.template)).map_err(Error::file(&path))?;
        let numbers = if state.gossip_keys.is_empty() { &[0][..] } else { &state.gossip_keys };
        let keys: String =
            numbers.iter().map(|number| format!("{:064x}\n", number + FIRST_GOSSIP_KEY)).collect();
        let key_path = self.folder.join("cluster.key");
        std::fs::write(&key_path, keys).map_err(Error::file(&key_path))?;
        Ok(path.display().to_string())
    }

    fn log(&self) -> Option<Log> {
        lock(&self.state).process.as_ref().map(Process::log)
    }

    /// Waits until the gatekeeper's process logs that it serves. Returns false after a timeout or without a process.
    pub(super) fn wait_until_serving(&self) -> bool {
        // The state is not locked during the wait, since a fault may end the process.
        self.log().is_some_and(|log| log.wait_for(SERVING))
    }
}
