//! Exponential backoff between attempts to connect to a peer.

use std::time::Duration;
use tokio::time::Instant;

/// The delay after the first failure; short, because a restarted daemon listens again within
/// milliseconds.
const INITIAL_DELAY: Duration = Duration::from_millis(25);

/// The longest delay, one heartbeat interval, so that the next heartbeat reaches a daemon that has
/// come back.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// The state of the backoff, which doubles its delay after each failure.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    delay: Option<Duration>,
    retry_at: Option<Instant>,
}

impl Backoff {
    /// Returns whether the delay after the last failure has passed.
    pub(super) fn may_attempt(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|retry_at| retry_at <= now)
    }

    /// Records a failed attempt and starts the next delay.
    pub(super) fn record_failure(&mut self, now: Instant) {
        let delay = self
            .delay
            .map_or(INITIAL_DELAY, |delay| (delay * 2).min(MAX_DELAY));
        self.delay = Some(delay);
        self.retry_at = Some(now + delay);
    }

    /// Records a successful attempt and resets the delay.
    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }
}
