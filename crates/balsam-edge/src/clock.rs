//! Access to the boot-time clock for the tasks.

use balsam_clock::{BootClock, Clock};
use balsam_types::TimeMs;
use std::time::Duration;
use tokio::time::Instant;

/// Returns the current time on the clock on which grants and deadlines are measured.
pub(crate) fn now() -> TimeMs {
    BootClock.now()
}

/// Returns the instant of the runtime's timer that corresponds to `time`.
pub(crate) fn instant_at(time: TimeMs) -> Instant {
    Instant::now() + Duration::from_millis(time.since(now()))
}
