//! Messages between the issuer and the holder of grants.

use balsam_types::{Epoch, Incarnation, KeyHash, ServiceName, TimeMs, UnitId};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A digest of a set of units, so that an unchanged set need not be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitsDigest(pub u64);

impl UnitsDigest {
    /// Computes the digest of `units`, which is the same in every process.
    pub fn of(units: &GrantedUnits) -> Self {
        let mut bytes = Vec::with_capacity((units.owned.len() + units.finishing.len() + 1) * 8);
        bytes.extend_from_slice(&(units.owned.len() as u64).to_le_bytes());
        for unit in units.owned.iter().chain(&units.finishing) {
            bytes.extend_from_slice(&unit.0.to_le_bytes());
        }
        Self(KeyHash::of(bytes).0)
    }
}

/// The units of a grant, in full or as a digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantUnits {
    /// The units are unchanged since the grant that the upstream holds.
    Unchanged(UnitsDigest),
    /// The complete units, which replace those that the upstream holds.
    Full(Arc<GrantedUnits>),
}

/// The units that a grant covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantedUnits {
    /// Units on which new requests may run.
    pub owned: BTreeSet<UnitId>,
    /// Units that are moving to another owner, on which running requests may finish.
    ///
    /// A planned move waits for these requests and interrupts none of them.
    pub finishing: BTreeSet<UnitId>,
}

/// A grant, or the clock probe that must precede the first one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// The upstream's incarnation; `None` makes this a clock probe, which asks for the incarnation
    /// and the clock and grants nothing.
    pub incarnation: Option<Incarnation>,
    /// The control epoch that the sender has adopted.
    pub epoch: Epoch,
    /// The fence epoch: the upstream refuses requests of older epochs.
    pub fence_epoch: Epoch,
    /// The units that the grant covers.
    pub units: GrantUnits,
    /// When the grant expires, on the upstream's own clock.
    pub expires_at_ms: TimeMs,
}

/// How the upstream handled a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantVerdict {
    /// The grant is in force.
    Accepted,
    /// The grant names another incarnation, or none.
    OtherIncarnation,
    /// The grant is older than the upstream's fence epoch.
    Fenced,
    /// The grant had expired when it arrived.
    Expired,
    /// The upstream does not hold the units of this digest; they must be sent in full.
    NeedUnits,
}

/// The upstream's reply to a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantReply {
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
    /// The upstream's clock when it replied.
    pub clock_ms: TimeMs,
    /// How the upstream handled the grant.
    pub verdict: GrantVerdict,
    /// The upstream's fence epoch.
    pub fence_epoch: Epoch,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// The number of running requests.
    pub running: u32,
}

/// A revocation, which takes units away from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revoke {
    /// The control epoch that suspended the units; it becomes the upstream's fence epoch.
    pub epoch: Epoch,
    /// The units to revoke.
    pub units: BTreeSet<UnitId>,
}

/// The upstream's reply to a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevokeReply {
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
    /// The number of requests on the units that are still running; at zero, the units can get
    /// another owner.
    pub running: u32,
}
