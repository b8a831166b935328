//! Durations of grants and of the lease that allows the leader to issue them.

/// The durations that the leader and its grants use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantTiming {
    /// Default duration of a grant at an upstream, counted from its arrival.
    pub hold_ms: u64,
    /// Interval at which grants of the default duration are renewed.
    pub renew_interval_ms: u64,
    /// Maximum duration of a grant.
    pub hold_max_ms: u64,
    /// Number of ranges of one service that the leader can renew with the default duration; with
    /// more ranges, grants last longer.
    pub default_hold_ranges: usize,
    /// How long a leader goes on renewing after the store last confirmed that it is the leader.
    pub leader_lease_ms: u64,
    /// Interval between two such confirmations.
    pub confirm_interval_ms: u64,
    /// How long the leader waits for the response to a grant. After that the connection is reset,
    /// so that the grant cannot arrive later.
    pub grant_timeout_ms: u64,
    /// How long the leader waits for the response to a release, which comes when the work in
    /// progress has ended.
    pub release_timeout_ms: u64,
    /// How long the leader may send no heartbeat before another daemon replaces it.
    pub leader_timeout_ms: u64,
}

/// How much slower than the leader's clock an upstream's clock may run, in thousandths. It includes
/// a small reserve.
const CLOCK_DRIFT_PERMILLE: u64 = 25;

/// Default of [`GrantTiming::default_hold_ranges`]. A leader can renew this many ranges every 1.8 s,
/// about 220 orders a second, with a small part of one core.
const DEFAULT_HOLD_RANGES: usize = 400;

/// Allowance for delays between this daemon's clock readings and its sockets, in milliseconds.
const DELAY_MARGIN_MS: u64 = 100;

impl GrantTiming {
    /// Returns the durations for grants that last at most `hold_max_ms`.
    ///
    /// A grant outlasts the loss of a leader and the election of the next one. Longer grants would
    /// leave the keys of an upstream that stopped responding without an owner for longer.
    pub const fn new(hold_max_ms: u64) -> Self {
        let hold_ms = if hold_max_ms < 4_000 {
            hold_max_ms
        } else {
            4_000
        };
        Self {
            hold_ms,
            // One lost renewal leaves time for two more.
            renew_interval_ms: hold_ms * 45 / 100,
            hold_max_ms,
            default_hold_ranges: DEFAULT_HOLD_RANGES,
            leader_lease_ms: 8_000,
            confirm_interval_ms: 1_500,
            grant_timeout_ms: 700,
            release_timeout_ms: 2_500,
            leader_timeout_ms: 1_000,
        }
    }

    /// Returns the grant duration that a service with so many ranges needs, or 0 if the default is
    /// enough.
    ///
    /// The duration grows with the number of ranges, so that the leader sends the same number of
    /// renewals per second, until it reaches the maximum.
    pub fn long_hold_ms(&self, ranges: usize) -> u64 {
        if ranges <= self.default_hold_ranges {
            return 0;
        }
        let needed_ms = self.hold_ms * ranges as u64 / self.default_hold_ranges.max(1) as u64;
        needed_ms.min(self.hold_max_ms)
    }

    /// Returns the grant duration of a service with this `long_hold_ms` in its row.
    pub fn hold_ms(&self, long_hold_ms: u64) -> u64 {
        self.hold_ms.max(long_hold_ms)
    }

    /// Returns the renewal interval for grants that last `hold_ms`; it is the same fraction of
    /// every duration.
    pub const fn renew_interval_ms(&self, hold_ms: u64) -> u64 {
        self.renew_interval_ms * hold_ms / self.hold_ms
    }

    /// Returns how long keys may still be held after the response to a grant, or after the end of
    /// the wait for it.
    pub const fn grant_expiry_ms(&self, hold_ms: u64) -> u64 {
        hold_ms + hold_ms * CLOCK_DRIFT_PERMILLE / 1_000 + DELAY_MARGIN_MS
    }

    /// Returns how long grants of a leader may remain in force after it has stopped.
    pub const fn expiry_after_stop_ms(&self, hold_ms: u64) -> u64 {
        self.grant_timeout_ms + self.grant_expiry_ms(hold_ms)
    }

    /// Returns how long grants of an earlier leader may remain in force after another daemon has
    /// become leader.
    pub const fn expiry_after_takeover_ms(&self, hold_ms: u64) -> u64 {
        self.leader_lease_ms + self.expiry_after_stop_ms(hold_ms)
    }
}
