//! The clock of this machine.

use balsam_types::TimeMs;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time of `CLOCK_BOOTTIME`, on which all deadlines and grants are based.
pub fn boot_time() -> TimeMs {
    let now = clock_gettime(ClockId::Boottime);
    TimeMs(now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000)
}
