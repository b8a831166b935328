//! The daemon's side of grants.

use super::{Grant, GrantReply, GrantUnits, GrantVerdict, GrantedUnits, UnitsDigest};
use crate::lease::Safeguard;
use balsam_types::timing::{LEASE_TTL_MS, SUSPECT_AFTER_MS};
use balsam_types::{Epoch, Incarnation, ServiceName, TimeMs};
use std::sync::Arc;

/// A reading of an upstream's clock, taken from its last reply.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    incarnation: Incarnation,
    clock_ms: TimeMs,
    received_at: TimeMs,
    /// When this incarnation first answered.
    first_answer_at: TimeMs,
}

/// The maximum age of a clock reading that is used for a grant, in milliseconds.
///
/// The margin in the wait for expired leases covers different clock rates over the life of a lease
/// plus this age.
const CLOCK_AGE_MAX_MS: u64 = LEASE_TTL_MS;

/// Whether an upstream answers grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantHealth {
    /// There were too few exchanges to tell.
    Unknown,
    /// The last two exchanges succeeded.
    Answering,
    /// At least two exchanges failed in a row, and none succeeded within [`SUSPECT_AFTER_MS`].
    Silent,
}

/// The exchange of grants with one upstream.
#[derive(Debug)]
pub struct Issuer {
    service: ServiceName,
    reading: Option<ClockReading>,
    /// The digest of the units that the upstream is known to hold.
    held_units: Option<UnitsDigest>,
    last_success_at: TimeMs,
    successes: u32,
    failures: u32,
    /// The fence epoch of the last accepted grant.
    granted_fence: Option<Epoch>,
    /// The latest expiry of a lease under which a grant was accepted.
    granted_until: TimeMs,
    draining: bool,
    without: Option<Safeguard>,
}

impl Issuer {
    /// Creates an issuer that has had no exchange with the upstream; its silence is measured from
    /// `now`.
    pub fn new(service: ServiceName, now: TimeMs) -> Self {
        Self {
            service,
            reading: None,
            held_units: None,
            last_success_at: now,
            successes: 0,
            failures: 0,
            granted_fence: None,
            granted_until: TimeMs(0),
            draining: false,
            without: None,
        }
    }

    /// Disables a safety rule, if one is given; only for tests.
    #[must_use]
    pub const fn without(mut self, safeguard: Option<Safeguard>) -> Self {
        self.without = safeguard;
        self
    }

    /// Creates the next grant or clock probe, or returns `None` if the daemon's lease has expired.
    ///
    /// The grant never expires later than the daemon's lease, even if the upstream's last reply was
    /// slow: the upstream's clock is assumed to show, at the arrival of the reply, the value that
    /// it had when the upstream sent it. The result is a clock probe while [`Issuer::can_grant`] is
    /// false.
    pub fn next_grant(
        &self,
        now: TimeMs,
        lease_until: TimeMs,
        epoch: Epoch,
        fence_epoch: Epoch,
        units: &Arc<GrantedUnits>,
        digest: UnitsDigest,
    ) -> Option<Grant> {
        if lease_until <= now {
            return None;
        }
        let Some(reading) = self.reading.filter(|_| self.can_grant(now, lease_until)) else {
            return Some(self.clock_probe(epoch, fence_epoch));
        };
        let units = if self.held_units == Some(digest) {
            GrantUnits::Unchanged(digest)
        } else {
            GrantUnits::Full(Arc::clone(units))
        };
        Some(Grant {
            service: self.service.clone(),
            incarnation: Some(reading.incarnation),
            epoch,
            fence_epoch,
            units,
            expires_at_ms: reading
                .clock_ms
                .after(lease_until.since(reading.received_at)),
        })
    }

    /// Creates a probe that asks for the upstream's incarnation and clock and grants nothing.
    pub fn clock_probe(&self, epoch: Epoch, fence_epoch: Epoch) -> Grant {
        Grant {
            service: self.service.clone(),
            incarnation: None,
            epoch,
            fence_epoch,
            units: GrantUnits::Unchanged(UnitsDigest::of(&GrantedUnits::default())),
            expires_at_ms: TimeMs(0),
        }
    }

    /// Returns whether the upstream's clock is known and the lease is newer than its incarnation.
    ///
    /// A restarted upstream has lost its fence epoch. A lease that is dated after its first answer
    /// reflects every move that an earlier incarnation acknowledged.
    pub fn can_grant(&self, now: TimeMs, lease_until: TimeMs) -> bool {
        self.reading.is_some_and(|reading| {
            now.since(reading.received_at) <= CLOCK_AGE_MAX_MS
                && !self.needs_newer_lease(lease_until)
        })
    }

    /// Returns whether the daemon must renew its lease before it can grant units to the upstream.
    pub fn needs_newer_lease(&self, lease_until: TimeMs) -> bool {
        if self.without == Some(Safeguard::LeaseAfterRestart) {
            return false;
        }
        self.reading
            .is_some_and(|reading| lease_until < reading.first_answer_at.after(LEASE_TTL_MS))
    }

    /// Restarts the measurement of the upstream's silence after a pause of this process.
    pub fn resume(&mut self, now: TimeMs) {
        self.last_success_at = now;
        self.failures = 0;
    }

    /// Records the upstream's reply to `grant`, which was sent at `sent_at` under a lease that
    /// expires at `lease_until`.
    pub fn record_reply(
        &mut self,
        now: TimeMs,
        sent_at: TimeMs,
        lease_until: TimeMs,
        grant: &Grant,
        reply: &GrantReply,
    ) {
        let restarted = self
            .reading
            .is_some_and(|reading| reading.incarnation != reply.incarnation);
        if restarted {
            self.held_units = None;
            self.granted_fence = None;
            self.granted_until = TimeMs(0);
            self.successes = 0;
        }
        let known = self
            .reading
            .filter(|reading| reading.incarnation == reply.incarnation);
        self.reading = Some(ClockReading {
            incarnation: reply.incarnation,
            clock_ms: reply.clock_ms,
            received_at: now,
            first_answer_at: known.map_or(now, |reading| reading.first_answer_at),
        });
        self.draining = reply.draining;
        self.last_success_at = self.last_success_at.max(sent_at);
        self.successes = self.successes.saturating_add(1);
        self.failures = 0;
        match reply.verdict {
            GrantVerdict::Accepted => {
                if let GrantUnits::Full(units) = &grant.units {
                    self.held_units = Some(UnitsDigest::of(units));
                }
                self.granted_fence = Some(grant.fence_epoch);
                self.granted_until = self.granted_until.max(lease_until);
            }
            GrantVerdict::NeedUnits | GrantVerdict::OtherIncarnation => self.held_units = None,
            GrantVerdict::Fenced | GrantVerdict::Expired => {}
        }
    }

    /// Records that an exchange failed.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
        self.successes = 0;
    }

    /// Returns whether the upstream answers grants.
    pub fn health(&self, now: TimeMs) -> GrantHealth {
        if self.failures >= 2 && now.since(self.last_success_at) >= SUSPECT_AFTER_MS {
            return GrantHealth::Silent;
        }
        if self.successes >= 2 {
            return GrantHealth::Answering;
        }
        GrantHealth::Unknown
    }

    /// Returns whether the upstream says that it is draining.
    pub const fn draining(&self) -> bool {
        self.draining
    }

    /// Returns the upstream's incarnation, if it has answered.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.reading.map(|reading| reading.incarnation)
    }

    /// Returns whether the upstream holds a grant with this fence epoch at `now`.
    pub fn is_granted(&self, now: TimeMs, fence_epoch: Epoch) -> bool {
        self.granted_fence == Some(fence_epoch) && self.granted_until > now
    }
}
