//! Grants and revocations.

use balsam_decide::grants::{
    Grant, GrantReply, GrantUnits, GrantVerdict, GrantedUnits, Revoke, RevokeReply, UnitsDigest,
};
use balsam_types::{Epoch, Incarnation, ServiceName, TimeMs, UnitId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The units of a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantUnitsBody {
    /// The units are those of this digest, which the upstream already holds.
    Unchanged(u64),
    /// The units, which replace those that the upstream holds.
    Full {
        /// Units on which new requests may run.
        owned: BTreeSet<UnitId>,
        /// Units on which running requests may finish.
        finishing: BTreeSet<UnitId>,
    },
}

/// Body of `POST /control/grant`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// The upstream's incarnation; `None` only asks for it and for the clock.
    pub incarnation: Option<Incarnation>,
    /// The control epoch of the sender.
    pub epoch: Epoch,
    /// Requests of older epochs are refused.
    pub fence_epoch: Epoch,
    /// The units.
    pub units: GrantUnitsBody,
    /// When the grant expires, on the upstream's own clock.
    pub expires_at_ms: TimeMs,
}

/// What the upstream made of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantVerdictBody {
    /// The grant is in force.
    Accepted,
    /// The grant names another incarnation, or none.
    OtherIncarnation,
    /// The grant is older than the upstream's fence.
    Fenced,
    /// The grant had expired when it arrived.
    Expired,
    /// The upstream does not hold the units of the digest.
    NeedUnits,
}

/// The answer to a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantResponse {
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
    /// The upstream's clock when it answered.
    pub clock_ms: TimeMs,
    /// What it made of the grant.
    pub verdict: GrantVerdictBody,
    /// The upstream's fence.
    pub fence_epoch: Epoch,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Requests that are running.
    pub running: u32,
}

/// Body of `POST /control/revoke`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// The control epoch that suspended the units.
    pub epoch: Epoch,
    /// The units.
    pub units: BTreeSet<UnitId>,
}

/// The answer to a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeResponse {
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
    /// Requests on the units that are still running; the units are free at zero.
    pub running: u32,
}

impl From<GrantUnits> for GrantUnitsBody {
    fn from(units: GrantUnits) -> Self {
        match units {
            GrantUnits::Unchanged(digest) => Self::Unchanged(digest.0),
            GrantUnits::Full(units) => {
                let GrantedUnits { owned, finishing } = Arc::unwrap_or_clone(units);
                Self::Full { owned, finishing }
            }
        }
    }
}

impl From<GrantUnitsBody> for GrantUnits {
    fn from(units: GrantUnitsBody) -> Self {
        match units {
            GrantUnitsBody::Unchanged(digest) => Self::Unchanged(UnitsDigest(digest)),
            GrantUnitsBody::Full { owned, finishing } => {
                Self::Full(Arc::new(GrantedUnits { owned, finishing }))
            }
        }
    }
}

impl From<Grant> for GrantRequest {
    fn from(grant: Grant) -> Self {
        Self {
            service: grant.service,
            incarnation: grant.incarnation,
            epoch: grant.epoch,
            fence_epoch: grant.fence_epoch,
            units: grant.units.into(),
            expires_at_ms: grant.expires_at_ms,
        }
    }
}

impl From<GrantRequest> for Grant {
    fn from(request: GrantRequest) -> Self {
        Self {
            service: request.service,
            incarnation: request.incarnation,
            epoch: request.epoch,
            fence_epoch: request.fence_epoch,
            units: request.units.into(),
            expires_at_ms: request.expires_at_ms,
        }
    }
}

impl From<GrantVerdict> for GrantVerdictBody {
    fn from(verdict: GrantVerdict) -> Self {
        match verdict {
            GrantVerdict::Accepted => Self::Accepted,
            GrantVerdict::OtherIncarnation => Self::OtherIncarnation,
            GrantVerdict::Fenced => Self::Fenced,
            GrantVerdict::Expired => Self::Expired,
            GrantVerdict::NeedUnits => Self::NeedUnits,
        }
    }
}

impl From<GrantVerdictBody> for GrantVerdict {
    fn from(verdict: GrantVerdictBody) -> Self {
        match verdict {
            GrantVerdictBody::Accepted => Self::Accepted,
            GrantVerdictBody::OtherIncarnation => Self::OtherIncarnation,
            GrantVerdictBody::Fenced => Self::Fenced,
            GrantVerdictBody::Expired => Self::Expired,
            GrantVerdictBody::NeedUnits => Self::NeedUnits,
        }
    }
}

impl From<GrantReply> for GrantResponse {
    fn from(reply: GrantReply) -> Self {
        Self {
            incarnation: reply.incarnation,
            clock_ms: reply.clock_ms,
            verdict: reply.verdict.into(),
            fence_epoch: reply.fence_epoch,
            draining: reply.draining,
            running: reply.running,
        }
    }
}

impl From<GrantResponse> for GrantReply {
    fn from(response: GrantResponse) -> Self {
        Self {
            incarnation: response.incarnation,
            clock_ms: response.clock_ms,
            verdict: response.verdict.into(),
            fence_epoch: response.fence_epoch,
            draining: response.draining,
            running: response.running,
        }
    }
}

impl From<Revoke> for RevokeRequest {
    fn from(revoke: Revoke) -> Self {
        Self {
            epoch: revoke.epoch,
            units: revoke.units,
        }
    }
}

impl From<RevokeRequest> for Revoke {
    fn from(request: RevokeRequest) -> Self {
        Self {
            epoch: request.epoch,
            units: request.units,
        }
    }
}

impl From<RevokeReply> for RevokeResponse {
    fn from(reply: RevokeReply) -> Self {
        Self {
            incarnation: reply.incarnation,
            running: reply.running,
        }
    }
}

impl From<RevokeResponse> for RevokeReply {
    fn from(response: RevokeResponse) -> Self {
        Self {
            incarnation: response.incarnation,
            running: response.running,
        }
    }
}
