//! Faults of the disk on which a gatekeeper caches its endpoint list.

use super::ActiveFault;
use crate::Error;
use crate::schedule::DiskFault;
use crate::site::Site;
use fault_harness::process::Process;
use fault_harness::sync::lock;
use std::os::unix::fs::symlink;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const FILE_NAME: &str = "loans.list";
/// Interval at which the next temporary file of a gatekeeper is made unwritable.
const BLOCK_INTERVAL: Duration = Duration::from_millis(5);
const PER_MILLE: usize = 1_000;

impl Site {
    pub(super) fn fault_disk(
        &self,
        fault: &ActiveFault<'_>,
        disk_fault: DiskFault,
        members: &[usize],
    ) -> Result<(), Error> {
        match disk_fault {
            DiskFault::Torn(per_mille) => {
                self.for_each_process(members, Process::kill);
                members.iter().try_for_each(|&i| self.truncate_list(i, per_mille))?;
                self.restart(members)?;
                (fault.wait_for_end)();
                Ok(())
            }
            DiskFault::Lost => self.without_folder(fault, members, false),
            DiskFault::ReadOnly => self.without_folder(fault, members, true),
            DiskFault::Full => {
                self.with_full_disk(fault, members);
                Ok(())
            }
        }
    }

    fn list_folder(&self, member: usize) -> PathBuf {
        self.members[member].folder.join("list")
    }

    fn truncate_list(&self, member: usize, per_mille: u32) -> Result<(), Error> {
        let file = self.list_folder(member).join(FILE_NAME);
        let Ok(bytes) = std::fs::read(&file) else { return Ok(()) };
        let length = bytes.len() * (per_mille as usize).min(PER_MILLE) / PER_MILLE;
        std::fs::write(&file, &bytes[..length]).map_err(Error::file(&file))
    }

    /// Moves the folder of the list away until the fault ends. For a read-only folder, a link to `/proc` replaces it, where no
    /// user can create a file.
    fn without_folder(
        &self,
        fault: &ActiveFault<'_>,
        members: &[usize],
        is_read_only: bool,
    ) -> Result<(), Error> {
        let moved_folder = |i: usize| self.members[i].folder.join("list.aside");
        for &i in members {
            let folder = self.list_folder(i);
            std::fs::rename(&folder, moved_folder(i)).map_err(Error::file(&folder))?;
            if is_read_only {
                symlink("/proc", &folder).map_err(Error::file(&folder))?;
            }
        }
        (fault.wait_for_end)();
        for &i in members {
            let folder = self.list_folder(i);
            if is_read_only {
                std::fs::remove_file(&folder).map_err(Error::file(&folder))?;
            }
            std::fs::rename(moved_folder(i), &folder).map_err(Error::file(&folder))?;
        }
        Ok(())
    }

    /// Until the fault ends, links the temporary files of the list to `/dev/full`, so that writing them fails.
    fn with_full_disk(&self, fault: &ActiveFault<'_>, members: &[usize]) {
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    members.iter().for_each(|&i| self.block_new_list(i));
                    thread::sleep(BLOCK_INTERVAL);
                }
            });
            (fault.wait_for_end)();
            is_over.store(true, Ordering::Relaxed);
        });
    }

    fn block_new_list(&self, member: usize) {
        let pid = lock(&self.members[member].state).process.as_ref().map(Process::pid);
        if let Some(pid) = pid {
            // An error means that the link exists already, since the gatekeeper has not written its list in between.
            let _ = symlink("/dev/full", self.list_folder(member).join(format!("loans.{pid}.new")));
        }
    }
}
