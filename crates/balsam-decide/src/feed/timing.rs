//! How old a daemon's tables may become, and what it does before.

use super::FEED_LEADER_LONG_POLL_MS;

/// Age of the tables from which daemons read the store in turns, in milliseconds: the time of the
/// leader's long poll, of one interval of its messages, and of their way.
const FIRST_READ_AGE_MS: u64 = FEED_LEADER_LONG_POLL_MS + 700;

/// The shortest bound on the age of the tables that can be kept, in milliseconds.
const BOUND_MIN_MS: u64 = 2_000;

/// Part of the bound that is left for the request's way to the upstream, in percent.
const RESERVE_PERCENT: u64 = 5;

/// Time for a call to the store that each daemon makes before its tables are too old, in
/// milliseconds.
const CALL_MS: u64 = 500;

/// The ages of the tables at which a daemon acts.
///
/// See [the platform page](../../../../docs/platform.md#age-of-the-tables).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedTiming {
    bound_ms: u64,
}

impl FeedTiming {
    /// Creates the timing for daemons that must act by a change within `bound_ms` milliseconds of
    /// its acknowledgement by the store.
    #[must_use]
    pub const fn new(bound_ms: u64) -> Self {
        Self {
            bound_ms: if bound_ms > BOUND_MIN_MS {
                bound_ms
            } else {
                BOUND_MIN_MS
            },
        }
    }

    /// Returns the age up to which a daemon serves from its tables, in milliseconds.
    pub const fn serve_max_age_ms(self) -> u64 {
        self.bound_ms * (100 - RESERVE_PERCENT) / 100
    }

    /// Returns the age at which a daemon reads the store whatever the other daemons do, in
    /// milliseconds.
    pub const fn last_read_age_ms(self) -> u64 {
        self.serve_max_age_ms() - CALL_MS
    }

    /// Returns the age from which daemons read the store in turns, in milliseconds.
    pub const fn first_read_age_ms(self) -> u64 {
        FIRST_READ_AGE_MS
    }
}

impl Default for FeedTiming {
    fn default() -> Self {
        Self::new(BOUND_MIN_MS)
    }
}
