//! Upgrades: a successor is started beside a gatekeeper and takes its place.

use super::ActiveFault;
use crate::Error;
use crate::site::{POLL_INTERVAL, Site};
use fault_harness::process::Process;
use fault_harness::sync::lock;
use fault_harness::wait::{STEP_TIMEOUT, wait_until};
use std::thread;
use std::time::Duration;

impl Site {
    pub(super) fn upgrade(
        &self,
        fault: &ActiveFault<'_>,
        members: &[usize],
        new_dies_after_us: Option<u64>,
        old_dies_after_us: Option<u64>,
    ) -> Result<(), Error> {
        members.iter().try_for_each(|&i| self.start_successor(i))?;
        if let Some(delay_us) = new_dies_after_us {
            thread::sleep(Duration::from_micros(delay_us));
            members.iter().for_each(|&i| self.kill_successor(i));
            (fault.wait_for_end)();
            return Ok(());
        }
        if let Some(delay_us) = old_dies_after_us {
            thread::sleep(Duration::from_micros(delay_us));
            self.for_each_process(members, Process::kill);
        } else if !members.iter().all(|&i| self.wait_until_ready(i)) {
            return Err(Error::SuccessorNotReady);
        }
        (fault.wait_for_end)();
        self.for_each_process(members, Process::shut_down);
        self.for_each_process(members, Process::wait_for_shutdown);
        for &i in members {
            let mut state = lock(&self.members[i].state);
            state.process = state.successor.take();
        }
        let serves = |&i: &usize| self.members[i].wait_until_serving() && self.wait_until_ready(i);
        if members.iter().all(serves) { Ok(()) } else { Err(Error::SuccessorNotServing) }
    }

    fn start_successor(&self, index: usize) -> Result<(), Error> {
        let mut state = lock(&self.members[index].state);
        let successor = self.spawn(index, &mut state)?;
        state.successor = Some(successor);
        Ok(())
    }

    fn kill_successor(&self, index: usize) {
        let mut state = lock(&self.members[index].state);
        // Admin calls go to the address of the last counted start, which must be that of the old process again.
        state.starts -= 1;
        drop(state.successor.take());
    }

    fn wait_until_ready(&self, index: usize) -> bool {
        wait_until(STEP_TIMEOUT, POLL_INTERVAL, || self.is_ready(index))
    }
}
