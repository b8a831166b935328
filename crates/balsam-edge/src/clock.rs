//! The clock as the tasks use it.

use balsam_clock::{BootClock, Clock};
use balsam_types::TimeMs;
use std::time::Duration;
use tokio::time::Instant;

/// Returns the time on the clock that leases and deadlines are measured on.
pub(crate) fn now() -> TimeMs {
    BootClock.now()
}

/// Returns the timer's instant at which `time` is reached.
pub(crate) fn instant_at(time: TimeMs) -> Instant {
    Instant::now() + Duration::from_millis(time.since(now()))
}
