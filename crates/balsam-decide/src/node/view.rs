//! The snapshot of the control state that the request path uses.

use super::PeerEpoch;
use crate::control::ControlState;
use balsam_types::control::{DaemonInfo, UnitOwner, UpstreamInfo, UpstreamStatus};
use balsam_types::timing::SETTINGS_GRACE_MS;
use balsam_types::{Epoch, Incarnation, KeyHash, ServiceName, Set, TimeMs, UnitId, UpstreamName};
use std::sync::Arc;

/// The control state with this daemon's lease, its suspicions and its knowledge of upstreams.
#[derive(Clone, Debug)]
pub struct View {
    /// The control state.
    pub state: Arc<ControlState>,
    /// This daemon.
    pub me: Incarnation,
    /// When the freshness lease expires.
    pub lease_until: TimeMs,
    /// Whether this daemon is in the roster and has not begun to leave it.
    pub joined: bool,
    /// The roster daemons that are suspected to have failed.
    pub suspected: Set<Incarnation>,
    /// Upstreams that say that they are draining, among those that this daemon exchanges grants
    /// with.
    pub draining: Set<UpstreamName>,
    /// Upstreams that hold a grant from this daemon at their current fence epoch.
    pub granted: Set<UpstreamName>,
    /// The adopted epochs of the roster daemons.
    pub peers: Vec<PeerEpoch>,
    /// Whether the last table read succeeded.
    pub table_ok: bool,
}

/// Where requests for a key are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// The service does not exist.
    UnknownService,
    /// The unit has no owner at this moment; it may get one before the deadline of the request.
    Suspended {
        /// The unit of the key.
        unit: UnitId,
    },
    /// The unit has an owner.
    At {
        /// The unit of the key.
        unit: UnitId,
        /// The owner.
        upstream: UpstreamInfo,
        /// The daemon that dispatches for the owner; `None` while none is assigned.
        dispatcher: Option<DaemonInfo>,
        /// The lowest epoch that the owner accepts requests from.
        fence_epoch: Epoch,
    },
}

impl View {
    /// Returns whether the daemon holds its freshness lease at `now`.
    pub fn has_lease(&self, now: TimeMs) -> bool {
        self.lease_until > now
    }

    /// Returns whether the daemon takes new work: it is in the roster, and its lease is valid or
    /// has expired less than [`SETTINGS_GRACE_MS`] ago.
    pub fn is_ready(&self, now: TimeMs) -> bool {
        self.joined && self.lease_until.after(SETTINGS_GRACE_MS) > now
    }

    /// Returns where requests for `key` are served.
    pub fn locate(&self, service: &ServiceName, key: KeyHash) -> Location {
        let Some(unit) = self.state.unit_of(service, key) else {
            return Location::UnknownService;
        };
        let owner = match self.state.owner_of(service, unit) {
            Some(UnitOwner::Owned(name)) => self.state.upstreams.get(name),
            Some(UnitOwner::Moving { .. }) | None => None,
        };
        let Some(upstream) = owner.filter(|upstream| upstream.status != UpstreamStatus::Lost)
        else {
            return Location::Suspended { unit };
        };
        Location::At {
            unit,
            dispatcher: self.acting_dispatcher(upstream).cloned(),
            fence_epoch: self.state.fence_epoch(&upstream.name),
            upstream: upstream.clone(),
        }
    }

    /// Returns the daemon that dispatches for `upstream`.
    ///
    /// If the upstream checks grants, another daemon takes over from a suspected dispatcher at
    /// once. Otherwise only the assigned dispatcher may send, because nothing would stop the two
    /// from sending at the same time.
    pub fn acting_dispatcher(&self, upstream: &UpstreamInfo) -> Option<&DaemonInfo> {
        acting_dispatcher(&self.state, &self.suspected, upstream)
    }
}

/// Returns the daemon that dispatches for `upstream`, given the suspected daemons.
pub fn acting_dispatcher<'a>(
    state: &'a ControlState,
    suspected: &Set<Incarnation>,
    upstream: &UpstreamInfo,
) -> Option<&'a DaemonInfo> {
    let assigned = upstream
        .dispatcher
        .and_then(|incarnation| state.daemons.get(&incarnation));
    if !upstream.checks_grants {
        return assigned;
    }
    if let Some(daemon) = assigned.filter(|daemon| !suspected.contains(&daemon.incarnation)) {
        return Some(daemon);
    }
    let candidates = state
        .daemons
        .values()
        .filter(|d| !suspected.contains(&d.incarnation));
    candidates
        .max_by_key(|daemon| rendezvous_weight(upstream, daemon))
        .or(assigned)
}

/// Returns the weight of a daemon for rendezvous hashing; daemons in the upstream's availability
/// zone rank before all others.
pub fn rendezvous_weight(upstream: &UpstreamInfo, daemon: &DaemonInfo) -> (bool, u64) {
    let mut bytes = upstream.name.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&daemon.incarnation.0.to_le_bytes());
    (upstream.zone == daemon.zone, KeyHash::of(bytes).0)
}
