//! The wait between attempts to reach a peer.

use std::time::Duration;
use tokio::time::Instant;

/// The first wait; short, because a restarted daemon listens again within milliseconds.
const FIRST: Duration = Duration::from_millis(25);

/// The longest wait; a pulse period, so that a daemon that is back is met by the next pulse.
const LONGEST: Duration = Duration::from_millis(250);

/// Doubles the wait after each failure.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    wait: Option<Duration>,
    until: Option<Instant>,
}

impl Backoff {
    /// Returns whether an attempt may be made.
    pub(super) fn may_try(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }

    /// Takes note of a failed attempt.
    pub(super) fn failed(&mut self, now: Instant) {
        let wait = self.wait.map_or(FIRST, |wait| (wait * 2).min(LONGEST));
        self.wait = Some(wait);
        self.until = Some(now + wait);
    }

    /// Takes note of a successful attempt.
    pub(super) fn succeeded(&mut self) {
        *self = Self::default();
    }
}
