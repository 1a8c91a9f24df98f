//! Faults of gatekeepers' processes.

use super::{ActiveFault, FaultScope};
use crate::Error;
use crate::schedule::{DiskFault, FaultKind};
use crate::site::Site;
use crate::site::member::MemberState;
use fault_harness::process::Process;
use fault_harness::sync::lock;

/// Whether clients must get all their answers in spite of the fault: a graceful shutdown, a reload, a disk that cannot be
/// written, or an upgrade in which no process is killed.
fn preserves_answers(kind: &FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::ShutDown { .. }
            | FaultKind::Disk { fault: DiskFault::Full | DiskFault::Lost | DiskFault::ReadOnly, .. }
            | FaultKind::ClockOffset { running: true, .. }
            | FaultKind::JobsChanged { .. }
            | FaultKind::Upgrade { new_dies_after_us: None, old_dies_after_us: None, .. }
    )
}

impl Site {
    /// Injects a fault into the selected members on which no other fault is active. Returns false if there is no such member.
    pub(super) fn fault_members(&self, fault: &ActiveFault<'_>, target: &str) -> Result<bool, Error> {
        let selected = self.selected_members(target).into_iter();
        let members: Vec<usize> = selected
            .filter(|&i| !std::mem::replace(&mut lock(&self.members[i].state).has_fault, true))
            .collect();
        if members.is_empty() {
            return Ok(false);
        }
        let mut scope = FaultScope::default();
        if !preserves_answers(fault.kind) {
            scope.affected = members.iter().map(|&i| self.members[i].name.clone()).collect();
        }
        let result = self.record_fault(fault, &scope, || self.fault_processes(fault, &members));
        members.iter().for_each(|&i| lock(&self.members[i].state).has_fault = false);
        result
    }

    fn fault_processes(&self, fault: &ActiveFault<'_>, members: &[usize]) -> Result<(), Error> {
        let wait_for_end = fault.wait_for_end;
        match fault.kind {
            FaultKind::Killed { .. } => {
                self.for_each_process(members, Process::kill);
                wait_for_end();
                self.restart(members)
            }
            FaultKind::ShutDown { .. } => {
                self.for_each_process(members, Process::shut_down);
                wait_for_end();
                self.for_each_process(members, Process::wait_for_shutdown);
                self.restart(members)
            }
            FaultKind::Suspended { .. } => {
                self.for_each_process(members, Process::suspend);
                wait_for_end();
                self.for_each_process(members, Process::resume);
                Ok(())
            }
            FaultKind::Throttled { .. } => {
                self.for_each_process(members, Process::throttle);
                wait_for_end();
                self.for_each_process(members, Process::resume);
                Ok(())
            }
            FaultKind::ClockOffset { offset_ms, running: true, .. } => {
                self.reload(members, |state| state.clock_offset_ms = *offset_ms)?;
                wait_for_end();
                self.reload(members, |state| state.clock_offset_ms = 0)
            }
            FaultKind::ClockOffset { offset_ms, running: false, .. } => {
                self.restart_with(members, |state| state.clock_offset_ms = *offset_ms)?;
                wait_for_end();
                self.restart_with(members, |state| state.clock_offset_ms = 0)
            }
            FaultKind::NameConflict { name, .. } => {
                self.restart_with(members, |state| state.assumed_name = Some(name.clone()))?;
                wait_for_end();
                self.restart_with(members, |state| state.assumed_name = None)
            }
            FaultKind::JobsChanged { first_job, job_count, .. } => {
                self.reload(members, |state| state.jobs = Some(*first_job..*first_job + *job_count))?;
                wait_for_end();
                self.reload(members, |state| state.jobs = None)
            }
            FaultKind::Disk { fault: disk_fault, .. } => self.fault_disk(fault, *disk_fault, members),
            FaultKind::Upgrade { new_dies_after_us, old_dies_after_us, .. } => {
                self.upgrade(fault, members, *new_dies_after_us, *old_dies_after_us)
            }
            _ => Ok(()),
        }
    }

    /// Kills these members, changes their state, and starts them again.
    fn restart_with(&self, members: &[usize], change: impl Fn(&mut MemberState)) -> Result<(), Error> {
        self.for_each_process(members, Process::kill);
        members.iter().for_each(|&i| change(&mut lock(&self.members[i].state)));
        self.restart(members)
    }

    /// Starts these members again and waits until they serve.
    pub(super) fn restart(&self, members: &[usize]) -> Result<(), Error> {
        members.iter().try_for_each(|&i| self.start_member(i))?;
        let members = members.iter().map(|&i| &self.members[i]);
        match members.into_iter().find(|member| !member.wait_until_serving()) {
            Some(member) => Err(Error::NotServingAgain { gatekeeper: member.name.clone() }),
            None => Ok(()),
        }
    }
}
