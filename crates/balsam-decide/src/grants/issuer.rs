//! The daemon's side of grants.

use super::{Grant, GrantReply, GrantUnits, GrantVerdict, GrantedUnits, UnitsDigest};
use crate::lease::Safeguard;
use balsam_types::timing::{LEASE_TTL_MS, SUSPECT_AFTER_MS};
use balsam_types::{Epoch, Incarnation, ServiceName, TimeMs};
use std::sync::Arc;

/// The clock of an upstream as last seen.
#[derive(Clone, Copy, Debug)]
struct SeenClock {
    incarnation: Incarnation,
    clock_ms: TimeMs,
    received_at: TimeMs,
    /// When this incarnation first answered.
    first_answer_at: TimeMs,
}

/// The age at which a seen clock is no longer used, in milliseconds.
///
/// The margin of a lapse wait covers different clock rates over the life of a right and this age.
const CLOCK_AGE_MAX_MS: u64 = LEASE_TTL_MS;

/// Whether an upstream answers grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantHealth {
    /// Too few exchanges to tell.
    Unproved,
    /// The last two exchanges succeeded.
    Answering,
    /// At least two exchanges failed in a row and none succeeded within [`SUSPECT_AFTER_MS`].
    Silent,
}

/// The exchange of grants with one upstream.
#[derive(Debug)]
pub struct Issuer {
    service: ServiceName,
    seen: Option<SeenClock>,
    held: Option<UnitsDigest>,
    last_success: TimeMs,
    successes: u32,
    failures: u32,
    granted_fence: Option<Epoch>,
    granted_until: TimeMs,
    draining: bool,
    without: Option<Safeguard>,
}

impl Issuer {
    /// Makes an issuer that has not met the upstream; `now` starts its count of silence.
    pub fn new(service: ServiceName, now: TimeMs) -> Self {
        Self {
            service,
            seen: None,
            held: None,
            last_success: now,
            successes: 0,
            failures: 0,
            granted_fence: None,
            granted_until: TimeMs(0),
            draining: false,
            without: None,
        }
    }

    /// Removes a safety rule, if one is given; only for tests.
    #[must_use]
    pub const fn without(mut self, safeguard: Option<Safeguard>) -> Self {
        self.without = safeguard;
        self
    }

    /// Makes the next grant or question, or `None` while the daemon's right has lapsed.
    ///
    /// The grant expires no later than the daemon's right, also if the upstream's answer took
    /// long: the upstream's clock is taken to have stood at its value when the answer arrived.
    /// It is a question while [`Issuer::can_grant`] is false.
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
        let Some(seen) = self.seen.filter(|_| self.can_grant(now, lease_until)) else {
            return Some(self.clock_probe(epoch, fence_epoch));
        };
        let units = if self.held == Some(digest) {
            GrantUnits::Unchanged(digest)
        } else {
            GrantUnits::Full(Arc::clone(units))
        };
        Some(Grant {
            service: self.service.clone(),
            incarnation: Some(seen.incarnation),
            epoch,
            fence_epoch,
            units,
            expires_at_ms: seen.clock_ms.after(lease_until.since(seen.received_at)),
        })
    }

    /// Makes the question for the upstream's incarnation and clock, which grants nothing.
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

    /// Returns whether the upstream's clock is known and the right is newer than its incarnation.
    ///
    /// A restarted upstream has lost its fence. A right that is dated after its first answer knows
    /// every move that an earlier incarnation acknowledged.
    pub fn can_grant(&self, now: TimeMs, lease_until: TimeMs) -> bool {
        self.seen.is_some_and(|seen| {
            now.since(seen.received_at) <= CLOCK_AGE_MAX_MS && !self.needs_newer_lease(lease_until)
        })
    }

    /// Returns whether a newer right is needed before the upstream can get a grant.
    pub fn needs_newer_lease(&self, lease_until: TimeMs) -> bool {
        if self.without == Some(Safeguard::LeaseAfterRestart) {
            return false;
        }
        self.seen
            .is_some_and(|seen| lease_until < seen.first_answer_at.after(LEASE_TTL_MS))
    }

    /// Counts the upstream's silence anew, after a pause of this daemon itself.
    pub fn resume(&mut self, now: TimeMs) {
        self.last_success = now;
        self.failures = 0;
    }

    /// Takes the upstream's answer to `grant`, which was sent at `sent_at` and under a right that
    /// ends at `lease_until`.
    pub fn record_reply(
        &mut self,
        now: TimeMs,
        sent_at: TimeMs,
        lease_until: TimeMs,
        grant: &Grant,
        reply: &GrantReply,
    ) {
        let restarted = self
            .seen
            .is_some_and(|seen| seen.incarnation != reply.incarnation);
        if restarted {
            self.held = None;
            self.granted_fence = None;
            self.granted_until = TimeMs(0);
            self.successes = 0;
        }
        let known = self
            .seen
            .filter(|seen| seen.incarnation == reply.incarnation);
        self.seen = Some(SeenClock {
            incarnation: reply.incarnation,
            clock_ms: reply.clock_ms,
            received_at: now,
            first_answer_at: known.map_or(now, |seen| seen.first_answer_at),
        });
        self.draining = reply.draining;
        self.last_success = self.last_success.max(sent_at);
        self.successes = self.successes.saturating_add(1);
        self.failures = 0;
        match reply.verdict {
            GrantVerdict::Accepted => {
                if let GrantUnits::Full(units) = &grant.units {
                    self.held = Some(UnitsDigest::of(units));
                }
                self.granted_fence = Some(grant.fence_epoch);
                self.granted_until = self.granted_until.max(lease_until);
            }
            GrantVerdict::NeedUnits | GrantVerdict::OtherIncarnation => self.held = None,
            GrantVerdict::Fenced | GrantVerdict::Expired => {}
        }
    }

    /// Takes note that an exchange failed.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
        self.successes = 0;
    }

    /// Returns whether the upstream answers.
    pub fn health(&self, now: TimeMs) -> GrantHealth {
        if self.failures >= 2 && now.since(self.last_success) >= SUSPECT_AFTER_MS {
            return GrantHealth::Silent;
        }
        if self.successes >= 2 {
            return GrantHealth::Answering;
        }
        GrantHealth::Unproved
    }

    /// Returns whether the upstream says that it is draining.
    pub const fn draining(&self) -> bool {
        self.draining
    }

    /// Returns the upstream's incarnation, if it has answered.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.seen.map(|seen| seen.incarnation)
    }

    /// Returns whether the upstream holds a grant of this fence at `now`.
    pub fn is_granted(&self, now: TimeMs, fence_epoch: Epoch) -> bool {
        self.granted_fence == Some(fence_epoch) && self.granted_until > now
    }
}
