//! The upstream's side of grants.

use super::{
    Grant, GrantReply, GrantUnits, GrantVerdict, GrantedUnits, Revoke, RevokeReply, UnitsDigest,
};
use balsam_types::{Epoch, Incarnation, KeyHash, Map, TimeMs, UnitId};
use std::sync::Arc;

/// A request for work on one unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkRequest {
    /// The unit of the key, as the sender knows it.
    pub unit: UnitId,
    /// The key.
    pub key: KeyHash,
    /// The control epoch that the sender has adopted.
    pub epoch: Epoch,
    /// When the caller stops waiting, on the upstream's clock.
    pub deadline: TimeMs,
}

/// The id of a running request, as returned by [`Holder::begin`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunningRequestId(u64);

/// Why the holder refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The grant has expired.
    GrantExpired,
    /// The grant does not cover the unit.
    NotOwned,
    /// The sender's epoch is older than the fence epoch.
    OldEpoch,
    /// The deadline has passed.
    DeadlinePassed,
    /// The upstream is draining.
    Draining,
}

#[derive(Debug)]
struct Running {
    request: WorkRequest,
    /// The expiry of the last grant that has covered the request without a gap since it began.
    covered_until: TimeMs,
}

/// The grant that an upstream holds, and the requests that run under it.
#[derive(Debug)]
pub struct Holder {
    incarnation: Incarnation,
    fence_epoch: Epoch,
    units: Arc<GrantedUnits>,
    digest: UnitsDigest,
    expires_at: TimeMs,
    draining: bool,
    running: Map<RunningRequestId, Running>,
    next_id: u64,
    without: Option<HolderSafeguard>,
}

/// A safety rule of an upstream that a test disables to show that its checks detect the absence.
///
/// Upstreams in operation never disable one. See
/// [the design page, section 5.1](../../../../docs/design.md#51-grants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderSafeguard {
    /// Grants and requests that are older than the fence epoch are refused.
    FencingToken,
    /// A grant ends at its expiry on the upstream's own clock.
    Expiry,
    /// A running request that has been without a valid grant is not covered by later grants.
    CoverLapse,
}

impl Holder {
    /// Creates a holder without a grant for one incarnation of an upstream.
    pub fn new(incarnation: Incarnation) -> Self {
        let units = Arc::new(GrantedUnits::default());
        Self {
            incarnation,
            fence_epoch: Epoch(0),
            digest: UnitsDigest::of(&units),
            units,
            expires_at: TimeMs(0),
            draining: false,
            running: Map::default(),
            next_id: 0,
            without: None,
        }
    }

    /// Disables a safety rule; only for tests.
    #[must_use]
    pub const fn without(mut self, safeguard: HolderSafeguard) -> Self {
        self.without = Some(safeguard);
        self
    }

    /// Returns whether any request on `unit`, new or running, may have an effect at `now`.
    pub fn may_run(&self, now: TimeMs, unit: UnitId) -> bool {
        let new = self.units.owned.contains(&unit) && !self.is_expired(now, self.expires_at);
        let mut running = self.running.values();
        new || running.any(|running| {
            running.request.unit == unit && !self.is_expired(now, running.covered_until)
        })
    }

    fn is_expired(&self, now: TimeMs, expires_at: TimeMs) -> bool {
        expires_at <= now && self.without != Some(HolderSafeguard::Expiry)
    }

    fn is_fenced(&self, epoch: Epoch) -> bool {
        epoch < self.fence_epoch && self.without != Some(HolderSafeguard::FencingToken)
    }

    /// Applies a grant and returns the reply.
    pub fn grant(&mut self, now: TimeMs, grant: &Grant) -> GrantReply {
        let verdict = self.apply_grant(now, grant);
        GrantReply {
            incarnation: self.incarnation,
            clock_ms: now,
            verdict,
            fence_epoch: self.fence_epoch,
            draining: self.draining,
            running: self.running.len() as u32,
        }
    }

    fn apply_grant(&mut self, now: TimeMs, grant: &Grant) -> GrantVerdict {
        if grant.incarnation != Some(self.incarnation) {
            return GrantVerdict::OtherIncarnation;
        }
        if self.is_fenced(grant.fence_epoch) {
            return GrantVerdict::Fenced;
        }
        if self.is_expired(now, grant.expires_at_ms) {
            return GrantVerdict::Expired;
        }
        match &grant.units {
            GrantUnits::Unchanged(digest) if *digest != self.digest => {
                return GrantVerdict::NeedUnits;
            }
            GrantUnits::Unchanged(_) => {}
            GrantUnits::Full(units) => {
                self.digest = UnitsDigest::of(units);
                self.units = Arc::clone(units);
            }
        }
        // A grant with the same fence epoch covers the same units, so the later expiry is kept.
        self.expires_at = if grant.fence_epoch > self.fence_epoch {
            grant.expires_at_ms
        } else {
            self.expires_at.max(grant.expires_at_ms)
        };
        self.fence_epoch = self.fence_epoch.max(grant.fence_epoch);
        self.extend_running(now);
        GrantVerdict::Accepted
    }

    /// Extends the expiry of running requests that the grant covers and that have not been without
    /// one.
    ///
    /// If the expiry of a request has passed, another upstream may have owned the unit since then.
    /// A later grant must not let the request go on.
    fn extend_running(&mut self, now: TimeMs) {
        for running in self.running.values_mut() {
            let unit = &running.request.unit;
            let covers = self.units.owned.contains(unit) || self.units.finishing.contains(unit);
            let lapsed =
                running.covered_until <= now && self.without != Some(HolderSafeguard::CoverLapse);
            if covers && !lapsed {
                running.covered_until = running.covered_until.max(self.expires_at);
            }
        }
    }

    /// Removes units from the grant; the reply counts the requests on them that are still running.
    pub fn revoke(&mut self, revoke: &Revoke) -> RevokeReply {
        if revoke.epoch > self.fence_epoch {
            self.fence_epoch = revoke.epoch;
        }
        if revoke.epoch == self.fence_epoch {
            let units = Arc::make_mut(&mut self.units);
            units.owned.retain(|unit| !revoke.units.contains(unit));
            units.finishing.extend(&revoke.units);
            self.digest = UnitsDigest::of(units);
        }
        // A request on a hot key that was merged back into its slice counts for every revocation,
        // because the holder does not know which slice the key belongs to now.
        let is_affected = |running: &&Running| {
            let unit = running.request.unit;
            let unlisted =
                !self.units.owned.contains(&unit) && !self.units.finishing.contains(&unit);
            unlisted
                || revoke.units.contains(&unit)
                || revoke.units.contains(&UnitId::hot_key(running.request.key))
        };
        let running = self.running.values().filter(is_affected).count() as u32;
        RevokeReply {
            incarnation: self.incarnation,
            running,
        }
    }

    /// Checks a request and records it as running.
    ///
    /// # Errors
    ///
    /// Returns why the request must not run.
    pub fn begin(
        &mut self,
        now: TimeMs,
        request: WorkRequest,
    ) -> Result<RunningRequestId, RefusalReason> {
        if self.draining {
            return Err(RefusalReason::Draining);
        }
        self.check(now, &request)?;
        if request.deadline <= now {
            return Err(RefusalReason::DeadlinePassed);
        }
        self.next_id += 1;
        let id = RunningRequestId(self.next_id);
        self.running.insert(
            id,
            Running {
                request,
                covered_until: self.expires_at,
            },
        );
        Ok(id)
    }

    /// Checks a running request again, before each of its effects.
    ///
    /// This detects that the grant expired while the process was frozen. A unit that is being
    /// revoked stays covered while grants list it as finishing.
    ///
    /// # Errors
    ///
    /// Returns why the request must stop.
    pub fn recheck(&self, now: TimeMs, id: RunningRequestId) -> Result<(), RefusalReason> {
        match self.running.get(&id) {
            None => Err(RefusalReason::NotOwned),
            Some(running) if self.is_expired(now, running.covered_until) => {
                Err(RefusalReason::GrantExpired)
            }
            Some(_) => Ok(()),
        }
    }

    /// Removes a running request after its end.
    pub fn end(&mut self, id: RunningRequestId) {
        self.running.remove(&id);
    }

    /// Refuses new requests from now on; running ones continue.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn check(&self, now: TimeMs, request: &WorkRequest) -> Result<(), RefusalReason> {
        if self.is_expired(now, self.expires_at) {
            return Err(RefusalReason::GrantExpired);
        }
        if self.is_fenced(request.epoch) {
            return Err(RefusalReason::OldEpoch);
        }
        if !self.units.owned.contains(&request.unit) {
            return Err(RefusalReason::NotOwned);
        }
        Ok(())
    }
}
