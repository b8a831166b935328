//! The lease clock as the filters use it.

use crate::control::edge::{BootClock, Clock};
use balsam_types::TimeMs;
use std::time::Duration;
use tokio::time::Instant;

/// Returns the time on the clock that rights and deadlines are measured on.
pub(crate) fn now() -> TimeMs {
    BootClock.now()
}

/// Returns the timer's instant at which `deadline` is reached.
pub(crate) fn instant_at(deadline: TimeMs) -> Instant {
    Instant::now() + Duration::from_millis(deadline.since(now()))
}
