//! Access to the lease clock for the request filters.

use crate::control::edge::{BootClock, Clock};
use balsam_types::TimeMs;
use std::time::Duration;
use tokio::time::Instant;

/// Returns the current time on the clock that leases and deadlines use.
pub(crate) fn now() -> TimeMs {
    BootClock.now()
}

/// Converts a deadline on the lease clock to an instant for Tokio timers.
pub(crate) fn instant_at(deadline: TimeMs) -> Instant {
    Instant::now() + Duration::from_millis(deadline.since(now()))
}
