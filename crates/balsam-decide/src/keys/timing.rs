//! How long grants and the right to give them last.

/// The times of a leader; all in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantTiming {
    /// How long an upstream usually holds keys after a grant has arrived.
    pub hold_ms: u64,
    /// The time between two grants of the same keys with usual holds.
    pub renew_interval_ms: u64,
    /// How long it may hold them at most.
    pub hold_max_ms: u64,
    /// Ranges of a service that the leader can renew within usual holds; with more, holds are
    /// longer.
    pub default_hold_ranges: usize,
    /// How long a leader goes on renewing after the store last confirmed that it is the leader.
    pub leader_lease_ms: u64,
    /// The time between two such confirmations.
    pub confirm_interval_ms: u64,
    /// How long the answer to a grant is awaited; its connection is reset after that, so that the
    /// order cannot arrive later.
    pub grant_timeout_ms: u64,
    /// How long the answer to a release is awaited, which comes when running work has ended.
    pub release_timeout_ms: u64,
    /// How long a leader may be silent before another daemon takes its place.
    pub leader_timeout_ms: u64,
}

/// An upstream's clock may run this much slow, in thousandths, with a little room.
const SLOW_CLOCK_PERMILLE: u64 = 25;

/// Ranges that a leader renews every 1.8 s with a small part of a core: about 220 orders a second.
const USUAL_RANGES: usize = 400;

/// Room for delays between this daemon's clock readings and its sockets, in milliseconds.
const MARGIN_MS: u64 = 100;

impl GrantTiming {
    /// Makes the times for holds of at most `hold_max_ms`.
    ///
    /// A hold outlasts a lost leader and the election of the next one. Longer holds would keep the
    /// keys of an upstream that fell silent without an owner for longer.
    pub const fn new(hold_max_ms: u64) -> Self {
        let hold_ms = if hold_max_ms < 4_000 {
            hold_max_ms
        } else {
            4_000
        };
        Self {
            hold_ms,
            // A renewal that is lost leaves time for two more.
            renew_interval_ms: hold_ms * 45 / 100,
            hold_max_ms,
            default_hold_ranges: USUAL_RANGES,
            leader_lease_ms: 8_000,
            confirm_interval_ms: 1_500,
            grant_timeout_ms: 700,
            release_timeout_ms: 2_500,
            leader_timeout_ms: 1_000,
        }
    }

    /// Returns the hold that a service with so many ranges needs beyond the usual one, or 0.
    ///
    /// The leader sends the same number of renewals in a second, however many ranges there are, up
    /// to the longest hold.
    pub fn long_hold_ms(&self, ranges: usize) -> u64 {
        if ranges <= self.default_hold_ranges {
            return 0;
        }
        let needed_ms = self.hold_ms * ranges as u64 / self.default_hold_ranges.max(1) as u64;
        needed_ms.min(self.hold_max_ms)
    }

    /// Returns the hold of grants of a service, given its stored long hold.
    pub fn hold_ms(&self, long_hold_ms: u64) -> u64 {
        self.hold_ms.max(long_hold_ms)
    }

    /// Returns the time between two grants of the same keys, the same part of every hold.
    pub const fn renew_interval_ms(&self, hold_ms: u64) -> u64 {
        self.renew_interval_ms * hold_ms / self.hold_ms
    }

    /// Returns how long keys may be held after the answer to a grant, or the end of the wait for
    /// it.
    pub const fn grant_expiry_ms(&self, hold_ms: u64) -> u64 {
        hold_ms + hold_ms * SLOW_CLOCK_PERMILLE / 1_000 + MARGIN_MS
    }

    /// Returns how long grants of a leader may hold after it has ended.
    pub const fn expiry_after_stop_ms(&self, hold_ms: u64) -> u64 {
        self.grant_timeout_ms + self.grant_expiry_ms(hold_ms)
    }

    /// Returns how long grants of an earlier leader may hold after another daemon took its place.
    pub const fn expiry_after_takeover_ms(&self, hold_ms: u64) -> u64 {
        self.leader_lease_ms + self.expiry_after_stop_ms(hold_ms)
    }
}
