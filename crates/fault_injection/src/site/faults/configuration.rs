//! Changes of settings while gatekeepers run: reloads, gossip keys, and proposed versions.

use super::{ActiveFault, FaultScope};
use crate::Error;
use crate::history::Observation;
use crate::site::member::MemberState;
use crate::site::{POLL_INTERVAL, Site};
use fault_harness::process::Log;
use fault_harness::sync::lock;
use fault_harness::wait::wait_until;
use std::time::Duration;

/// Logged after a gatekeeper has reloaded or rejected its settings. The last text is that of older builds.
const RELOADED: [&str; 3] = ["configuration reloaded", "reload failed", "reload: "];
/// Maximum wait for a reload. Only a suspended gatekeeper takes longer.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Burst of a proposed plan, as a multiple of its rate per second.
const BURST_SECONDS: f64 = 2.0;

/// A reload that was requested.
struct PendingReload {
    log: Log,
    /// Number of reloads in the log before the request.
    reloads_before: usize,
}

/// Number of reloads that a gatekeeper has logged.
fn logged_reloads(log: &Log) -> usize {
    RELOADED.iter().map(|text| log.count(text)).sum()
}

impl Site {
    /// Changes the settings of these members, requests a reload, and waits until they have reloaded or the timeout has passed.
    pub(super) fn reload(&self, members: &[usize], change: impl Fn(&mut MemberState)) -> Result<(), Error> {
        let mut pending = Vec::new();
        for &i in members {
            let mut state = lock(&self.members[i].state);
            change(&mut state);
            self.write_files(i, &state)?;
            if let Some(process) = &state.process {
                let log = process.log();
                let reloads_before = logged_reloads(&log);
                pending.push(PendingReload { log, reloads_before });
                process.reload();
            }
        }
        // A suspended gatekeeper reloads after it is resumed, and one that has exited reads the settings at its next start.
        for PendingReload { log, reloads_before } in pending {
            wait_until(RELOAD_TIMEOUT, POLL_INTERVAL, || logged_reloads(&log) > reloads_before);
        }
        Ok(())
    }

    /// Rotates the gossip key in all members without an interruption of gossip. The target signs with the new key first, the
    /// others at the fault's end.
    pub(super) fn rotate_gossip_key(&self, fault: &ActiveFault<'_>, target: &str) -> Result<bool, Error> {
        let first_members = self.selected_members(target);
        self.record_fault(fault, &FaultScope::default(), || {
            let mut key = lock(&self.gossip_key);
            let (old, new) = (*key, *key + 1);
            let all: Vec<usize> = (0..self.members.len()).collect();
            let others: Vec<usize> = all.iter().copied().filter(|i| !first_members.contains(i)).collect();
            self.reload(&all, |state| state.gossip_keys = vec![old, new])?;
            self.reload(&first_members, |state| state.gossip_keys = vec![new, old])?;
            (fault.wait_for_end)();
            self.reload(&others, |state| state.gossip_keys = vec![new, old])?;
            self.reload(&all, |state| state.gossip_keys = vec![new])?;
            *key = new;
            Ok(())
        })
    }

    pub(super) fn propose_versions(
        &self,
        fault: &ActiveFault<'_>,
        target: &str,
        units_per_second: f64,
    ) -> Result<bool, Error> {
        self.record_fault(fault, &FaultScope::default(), || {
            let members = self.selected_members(target);
            let result = members.into_iter().try_for_each(|i| self.propose_version(i, units_per_second));
            (fault.wait_for_end)();
            result
        })
    }

    /// Proposes a version with the settings of this member, as an operator does.
    fn propose_version(&self, index: usize, units_per_second: f64) -> Result<(), Error> {
        let member = &self.members[index];
        let rules = member.folder.join(format!("rules-{units_per_second}.toml"));
        let burst = BURST_SECONDS * units_per_second;
        let text = format!(
            "[[plan]]\nname = \"basic\"\nunits_per_second = {units_per_second:?}\nburst = {burst:?}\n"
        );
        std::fs::write(&rules, text).map_err(Error::file(&rules))?;
        let settings = member.settings_path().display().to_string();
        let arguments = ["settings", "propose", &settings, &rules.display().to_string()];
        let result = self.run_command(index, &arguments)?;
        self.recorder.record(Observation::VersionProposed {
            gatekeeper: member.name.clone(),
            exit_code: result.exit_code,
            output: result.output,
        });
        Ok(())
    }
}
