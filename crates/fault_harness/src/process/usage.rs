//! Reads the resource usage of a process from procfs.

use rustix::process::Pid;
use std::ffi::OsStr;
use std::path::PathBuf;

/// Length of the ticks in which Linux counts processor time, ms (proc(5)).
const TICK_MS: u64 = 10;
/// Indexes of user and system time among the fields of `/proc/PID/stat` after the program's name (fields 14 and 15 of proc(5)).
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// The resources that a process uses at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Resident memory, kB.
    pub memory_kb: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
    /// Number of threads of the process.
    pub threads: u64,
    /// User and system time since the start of the process, ms.
    pub cpu_ms: u64,
}

impl ResourceUsage {
    /// Reads the usage of a process; none before the process has executed the program with this file name.
    pub(super) fn read(pid: Pid, program: &OsStr) -> Option<Self> {
        let directory = PathBuf::from(format!("/proc/{}", pid.as_raw_nonzero()));
        // Between fork and exec the process is a copy of the harness.
        if std::fs::read_link(directory.join("exe")).ok()?.file_name()? != program {
            return None;
        }
        let status = std::fs::read_to_string(directory.join("status")).ok()?;
        let status_value = |name: &str| -> Option<u64> {
            status.lines().find_map(|l| l.strip_prefix(name))?.split_whitespace().next()?.parse().ok()
        };
        let descriptors = std::fs::read_dir(directory.join("fd")).ok()?.count() as u64;
        let stat = std::fs::read_to_string(directory.join("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
        let [user, system] = CPU_TIME_FIELDS.map(ticks);
        Some(Self {
            memory_kb: status_value("VmRSS:")?,
            descriptors,
            threads: status_value("Threads:")?,
            cpu_ms: TICK_MS * (user? + system?),
        })
    }
}
