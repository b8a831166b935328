//! Messages between the issuer and the holder of grants.

use balsam_types::{Epoch, Incarnation, KeyHash, ServiceName, TimeMs, UnitId};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A digest of a set of units, so that an unchanged set need not be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitsDigest(pub u64);

impl UnitsDigest {
    /// Digests `units` independently of the process.
    pub fn of(units: &GrantedUnits) -> Self {
        let mut bytes = Vec::with_capacity((units.owned.len() + units.finishing.len() + 1) * 8);
        bytes.extend_from_slice(&(units.owned.len() as u64).to_le_bytes());
        for unit in units.owned.iter().chain(&units.finishing) {
            bytes.extend_from_slice(&unit.0.to_le_bytes());
        }
        Self(KeyHash::of(bytes).0)
    }
}

/// The units of a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantUnits {
    /// The units are those that the upstream already holds.
    Unchanged(UnitsDigest),
    /// The units, which replace those that the upstream holds.
    Full(Arc<GrantedUnits>),
}

/// The units that a grant covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantedUnits {
    /// Units on which new requests may run.
    pub owned: BTreeSet<UnitId>,
    /// Units on their way to another owner, on which running requests may finish.
    ///
    /// A planned move waits for these requests, so that it cuts off none.
    pub finishing: BTreeSet<UnitId>,
}

/// A grant, or the question for the upstream's clock that must come before the first one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// The upstream's incarnation; `None` asks for it and for the clock and grants nothing.
    pub incarnation: Option<Incarnation>,
    /// The control epoch of the sender.
    pub epoch: Epoch,
    /// Requests of older epochs are refused.
    pub fence_epoch: Epoch,
    /// The units.
    pub units: GrantUnits,
    /// When the grant expires, on the upstream's own clock.
    pub expires_at_ms: TimeMs,
}

/// What the upstream made of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantVerdict {
    /// The grant is in force.
    Accepted,
    /// The grant names another incarnation, or none.
    OtherIncarnation,
    /// The grant is older than the upstream's fence.
    Fenced,
    /// The grant had expired when it arrived.
    Expired,
    /// The upstream does not hold the units of this digest; send them in full.
    NeedUnits,
}

/// The upstream's answer to a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantReply {
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
    /// The upstream's clock when it answered.
    pub clock_ms: TimeMs,
    /// What it made of the grant.
    pub verdict: GrantVerdict,
    /// The upstream's fence.
    pub fence_epoch: Epoch,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Requests that are running.
    pub running: u32,
}

/// Takes units away from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revoke {
    /// The control epoch that suspended the units; it becomes the upstream's fence.
    pub epoch: Epoch,
    /// The units.
    pub units: BTreeSet<UnitId>,
}

/// The upstream's answer to a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevokeReply {
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
    /// Requests on the units that are still running; the units are free at zero.
    pub running: u32,
}
