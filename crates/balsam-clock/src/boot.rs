//! The clock used for leases, which advances while the machine is suspended.

use balsam_types::TimeMs;
use rustix::time::{ClockId, clock_gettime};

/// A source of timestamps for leases and deadlines.
pub trait Clock {
    /// Returns the current time.
    fn now(&self) -> TimeMs;
}

/// The system's `CLOCK_BOOTTIME`, which includes the time that the machine was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> TimeMs {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
        TimeMs(seconds * 1_000 + nanoseconds / 1_000_000)
    }
}
