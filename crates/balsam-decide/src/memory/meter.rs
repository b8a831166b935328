//! Detection of callers that make no progress.

use balsam_types::TimeMs;

/// Interval in which a caller must make progress. A caller that stops counts as stalled after one to
/// two intervals.
///
/// It outlasts the retransmissions of a bad link, and is well below the 10 s after which a caller
/// that reads nothing is disconnected in any case.
const INTERVAL_MS: u64 = 3_000;

/// Bytes of progress that are enough in an interval for an exchange that holds little.
const PROGRESS_MIN_BYTES: u64 = 1 << 10;

/// Part of the held bytes, as a divisor, that is enough progress in an interval. A caller cannot
/// keep bytes from others for more than 128 intervals, 6.4 minutes, by sending or reading slowly.
const PROGRESS_DIVISOR: u64 = 128;

/// Measures whether the caller of one exchange makes progress.
#[derive(Clone, Copy, Debug)]
pub struct ProgressMeter {
    check_at: TimeMs,
    moved_bytes: u64,
    is_stalled: bool,
}

impl ProgressMeter {
    /// Creates a meter whose first interval starts now.
    pub const fn new(now: TimeMs) -> Self {
        Self {
            check_at: now.after(INTERVAL_MS),
            moved_bytes: 0,
            is_stalled: false,
        }
    }

    /// Starts a new interval, because the exchange now waits for its caller.
    pub const fn restart(&mut self, now: TimeMs) {
        *self = Self::new(now);
    }

    /// Counts bytes that the caller has sent or read.
    pub const fn record(&mut self, bytes: u64) {
        self.moved_bytes += bytes;
    }

    /// Returns when to check next.
    pub const fn check_at(&self) -> TimeMs {
        self.check_at
    }

    /// Returns whether the caller stalled in the last interval and has not made enough progress
    /// since.
    pub fn is_stalled(&self, held_bytes: u64) -> bool {
        self.is_stalled && !self.has_moved_enough(held_bytes)
    }

    /// Ends the interval if its time has come. Returns whether it has ended.
    pub fn check(&mut self, now: TimeMs, held_bytes: u64) -> bool {
        if now < self.check_at {
            return false;
        }
        let is_stalled = !self.has_moved_enough(held_bytes);
        self.restart(now);
        self.is_stalled = is_stalled;
        true
    }

    fn has_moved_enough(&self, held_bytes: u64) -> bool {
        self.moved_bytes >= PROGRESS_MIN_BYTES.max(held_bytes / PROGRESS_DIVISOR)
    }
}
