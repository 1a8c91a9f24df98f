//! The resources that a process uses.

use rustix::process::Pid;
use std::ffi::OsStr;
use std::path::PathBuf;

/// Linux counts processor time in ticks of this length, ms (proc(5)).
const TICK_MS: u64 = 10;
/// User and system time among the fields of `/proc/PID/stat` behind the name (fields 14 and 15 of proc(5)).
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// The resources that a process uses at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Resident memory, kB.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Threads.
    pub threads: u64,
    /// Processor time since its start, ms.
    pub cpu_ms: u64,
}

impl ResourceUsage {
    /// Reads the usage of a process; none before it has become the program with this file name.
    pub(super) fn read(pid: Pid, program: &OsStr) -> Option<Self> {
        let folder = PathBuf::from(format!("/proc/{}", pid.as_raw_nonzero()));
        // Between fork and exec it is a copy of the harness.
        if std::fs::read_link(folder.join("exe")).ok()?.file_name()? != program {
            return None;
        }
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let figure = |name: &str| -> Option<u64> {
            status.lines().find_map(|l| l.strip_prefix(name))?.split_whitespace().next()?.parse().ok()
        };
        let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count() as u64;
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
        let [user, system] = CPU_TIME_FIELDS.map(ticks);
        Some(Self {
            memory_kb: figure("VmRSS:")?,
            descriptors,
            threads: figure("Threads:")?,
            cpu_ms: TICK_MS * (user? + system?),
        })
    }
}
