//! Monotonic timestamps of one machine.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A point in time in milliseconds of `CLOCK_BOOTTIME`.
///
/// Boot time advances while the machine is suspended, so a process that was paused finds its
/// leases expired when it resumes. Timestamps of different machines must never be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Adds `delay_ms` milliseconds, saturating at the maximum value.
    #[must_use]
    pub const fn after(self, delay_ms: u64) -> Self {
        Self(self.0.saturating_add(delay_ms))
    }

    /// Subtracts `duration_ms` milliseconds, saturating at zero.
    #[must_use]
    pub const fn before(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_sub(duration_ms))
    }

    /// Returns the milliseconds elapsed from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for TimeMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
