//! Grants of units to upstreams, and their revocation.

use balsam_decide::grants::{
    Grant, GrantReply, GrantUnits, GrantVerdict, GrantedUnits, Revoke, RevokeReply, UnitsDigest,
};
use balsam_types::{Epoch, Incarnation, ServiceName, TimeMs, UnitId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The units that a grant covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantUnitsBody {
    /// The units are unchanged; the upstream already holds units with this digest.
    Unchanged(u64),
    /// The complete set of units, which replaces the set that the upstream holds.
    Full {
        /// Units for which new requests may run.
        owned: BTreeSet<UnitId>,
        /// Units for which only running requests may finish.
        finishing: BTreeSet<UnitId>,
    },
}

/// The body of `POST /control/grant`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// The incarnation of the upstream; `None` only queries the incarnation and the clock.
    pub incarnation: Option<Incarnation>,
    /// The control epoch of the sender.
    pub epoch: Epoch,
    /// The minimum control epoch; the upstream rejects requests with an older one.
    pub fence_epoch: Epoch,
    /// The granted units.
    pub units: GrantUnitsBody,
    /// When the grant expires, on the clock of the upstream.
    pub expires_at_ms: TimeMs,
}

/// The result of a grant request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantVerdictBody {
    /// The grant is in force.
    Accepted,
    /// The grant specifies another incarnation, or none.
    OtherIncarnation,
    /// The epoch of the grant is older than the fence epoch of the upstream.
    Fenced,
    /// The grant had expired when it arrived.
    Expired,
    /// The upstream does not hold units with the digest and needs the complete set.
    NeedUnits,
}

/// The response to a grant request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantResponse {
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// The clock of the upstream when it responded.
    pub clock_ms: TimeMs,
    /// The result of the grant request.
    pub verdict: GrantVerdictBody,
    /// The minimum control epoch that the upstream accepts.
    pub fence_epoch: Epoch,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// The number of running requests.
    pub running: u32,
}

/// The body of `POST /control/revoke`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// The control epoch that suspended the units.
    pub epoch: Epoch,
    /// The units to revoke.
    pub units: BTreeSet<UnitId>,
}

/// The response to a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeResponse {
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// The number of requests for the units that are still running. The units can be handed over
    /// when it reaches zero.
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
