//! Processor time and memory of a process, as the kernel reports them.

use super::MeasureError;
use super::error::{FileSnafu, NoFigureSnafu};
use snafu::{OptionExt, ResultExt};
use std::fs;

/// What a process has used up to one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Usage {
    /// Processor time of all running threads, in nanoseconds.
    pub cpu_ns: u64,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// The scheduler's figures are used because `/proc/<pid>/stat` counts in ticks of 10 ms, which
    /// is too coarse for an idle daemon.
    pub fn read(process: u32) -> Result<Self, MeasureError> {
        let folder = format!("/proc/{process}/task");
        let threads = fs::read_dir(&folder).context(FileSnafu { path: folder })?;
        let mut cpu_ns = 0;
        for thread in threads.flatten() {
            let path = thread.path().join("schedstat");
            // A thread that has just ended has no figures.
            let Ok(text) = fs::read_to_string(path) else {
                continue;
            };
            let first = text.split_whitespace().next();
            let time = first.and_then(|number| number.parse::<u64>().ok());
            cpu_ns += time.context(NoFigureSnafu {
                process,
                figure: "schedstat",
            })?;
        }
        Ok(Self {
            cpu_ns,
            resident_kib: resident_kib(process)?,
        })
    }
}

fn resident_kib(process: u32) -> Result<u64, MeasureError> {
    let path = format!("/proc/{process}/status");
    let status = fs::read_to_string(&path).context(FileSnafu { path })?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    let number = number.and_then(|number| number.parse().ok());
    number.context(NoFigureSnafu {
        process,
        figure: "VmRSS",
    })
}

/// Returns the load average of the machine, so that figures show what else ran.
pub(super) fn machine_load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let fields: Vec<&str> = text.split_whitespace().take(3).collect();
    fields.join(" ")
}
