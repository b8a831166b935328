//! Points in time on one machine's clock.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A point in time in milliseconds of `CLOCK_BOOTTIME`.
///
/// Boot time includes time spent suspended, so a paused process sees its leases as expired when
/// it resumes. Values of different machines must never be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Returns the time `delay_ms` milliseconds later, saturating at the end of the range.
    #[must_use]
    pub const fn after(self, delay_ms: u64) -> Self {
        Self(self.0.saturating_add(delay_ms))
    }

    /// Returns the time `earlier_ms` milliseconds before, or the start of the clock.
    #[must_use]
    pub const fn before(self, earlier_ms: u64) -> Self {
        Self(self.0.saturating_sub(earlier_ms))
    }

    /// Returns the milliseconds from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for TimeMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
