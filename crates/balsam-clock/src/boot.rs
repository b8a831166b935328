//! The clock that leases are measured on.

use balsam_types::TimeMs;
use rustix::time::{ClockId, clock_gettime};

/// A source of the time that leases are measured on.
pub trait Clock {
    /// Returns the time.
    fn now(&self) -> TimeMs;
}

/// `CLOCK_BOOTTIME`, which includes time that the machine was suspended.
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
