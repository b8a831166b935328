//! The upstream's side of grants.

use super::{
    Grant, GrantReply, GrantUnits, GrantVerdict, GrantedUnits, Revoke, RevokeReply, UnitsDigest,
};
use balsam_types::{Epoch, Incarnation, KeyHash, Map, TimeMs, UnitId};
use std::sync::Arc;

/// A request as the holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkRequest {
    /// The unit that the sender located the key in.
    pub unit: UnitId,
    /// The key.
    pub key: KeyHash,
    /// The sender's control epoch.
    pub epoch: Epoch,
    /// When the caller stops waiting, on the upstream's clock.
    pub deadline: TimeMs,
}

/// A running request, as returned by [`Holder::begin`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunningRequest(u64);

/// Why the holder refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedRequest {
    /// The grant has expired.
    GrantExpired,
    /// The grant does not cover the unit.
    NotOwned,
    /// The sender's epoch is older than the fence.
    OldEpoch,
    /// The deadline has passed.
    DeadlinePassed,
    /// The upstream is draining.
    Draining,
}

#[derive(Debug)]
struct Running {
    request: WorkRequest,
    /// The expiry of the last grant that covered the request without interruption.
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
    running: Map<RunningRequest, Running>,
    next_id: u64,
}

impl Holder {
    /// Makes a holder without a grant for one life of an upstream.
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
        }
    }

    /// Takes a grant and answers it.
    pub fn grant(&mut self, now: TimeMs, grant: &Grant) -> GrantReply {
        let verdict = self.take_grant(now, grant);
        GrantReply {
            incarnation: self.incarnation,
            clock_ms: now,
            verdict,
            fence_epoch: self.fence_epoch,
            draining: self.draining,
            running: self.running.len() as u32,
        }
    }

    fn take_grant(&mut self, now: TimeMs, grant: &Grant) -> GrantVerdict {
        if grant.incarnation != Some(self.incarnation) {
            return GrantVerdict::OtherIncarnation;
        }
        if grant.fence_epoch < self.fence_epoch {
            return GrantVerdict::Fenced;
        }
        if grant.expires_at_ms <= now {
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
        // A grant at the same fence carries the same units, so the later expiry holds.
        self.expires_at = if grant.fence_epoch > self.fence_epoch {
            grant.expires_at_ms
        } else {
            self.expires_at.max(grant.expires_at_ms)
        };
        self.fence_epoch = grant.fence_epoch;
        self.extend_running(now);
        GrantVerdict::Accepted
    }

    /// Extends the cover of running requests; a request whose cover has lapsed stays without one.
    ///
    /// Another upstream may have owned the unit since the lapse, so a later grant must not revive
    /// a request that began under an earlier one.
    fn extend_running(&mut self, now: TimeMs) {
        for running in self.running.values_mut() {
            let unit = &running.request.unit;
            let covers = self.units.owned.contains(unit) || self.units.finishing.contains(unit);
            if covers && running.covered_until > now {
                running.covered_until = running.covered_until.max(self.expires_at);
            }
        }
    }

    /// Takes units away; the reply counts the requests on them that are still running.
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
        // A request on a hot key that was merged back counts for every revocation, because the
        // holder does not know the slice that the key belongs to now.
        let on_units = |running: &&Running| {
            let unit = running.request.unit;
            let unlisted =
                !self.units.owned.contains(&unit) && !self.units.finishing.contains(&unit);
            unlisted
                || revoke.units.contains(&unit)
                || revoke.units.contains(&UnitId::hot_key(running.request.key))
        };
        let running = self.running.values().filter(on_units).count() as u32;
        RevokeReply {
            incarnation: self.incarnation,
            running,
        }
    }

    /// Checks a request and counts it as running.
    ///
    /// # Errors
    ///
    /// Returns why the request must not run.
    pub fn begin(
        &mut self,
        now: TimeMs,
        request: WorkRequest,
    ) -> Result<RunningRequest, RefusedRequest> {
        if self.draining {
            return Err(RefusedRequest::Draining);
        }
        self.check(now, &request)?;
        if request.deadline <= now {
            return Err(RefusedRequest::DeadlinePassed);
        }
        self.next_id += 1;
        let id = RunningRequest(self.next_id);
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
    /// A process that was frozen finds here that its grant has expired. A unit that is being
    /// revoked stays covered while grants list it as finishing.
    ///
    /// # Errors
    ///
    /// Returns why the request must stop.
    pub fn recheck(&self, now: TimeMs, id: RunningRequest) -> Result<(), RefusedRequest> {
        match self.running.get(&id) {
            None => Err(RefusedRequest::NotOwned),
            Some(running) if running.covered_until <= now => Err(RefusedRequest::GrantExpired),
            Some(_) => Ok(()),
        }
    }

    /// Ends a running request.
    pub fn end(&mut self, id: RunningRequest) {
        self.running.remove(&id);
    }

    /// Stops taking new requests; running ones go on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn check(&self, now: TimeMs, request: &WorkRequest) -> Result<(), RefusedRequest> {
        if self.expires_at <= now {
            return Err(RefusedRequest::GrantExpired);
        }
        if request.epoch < self.fence_epoch {
            return Err(RefusedRequest::OldEpoch);
        }
        if !self.units.owned.contains(&request.unit) {
            return Err(RefusedRequest::NotOwned);
        }
        Ok(())
    }
}
