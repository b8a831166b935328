//! What the request path knows of the control state.

use super::PeerEpoch;
use crate::control::ControlState;
use balsam_types::control::{DaemonInfo, UnitOwner, UpstreamInfo, UpstreamStatus};
use balsam_types::timing::SETTINGS_GRACE_MS;
use balsam_types::{Epoch, Incarnation, KeyHash, ServiceName, Set, TimeMs, UnitId, UpstreamName};
use std::sync::Arc;

/// The control state with this daemon's right and suspicions.
#[derive(Clone, Debug)]
pub struct View {
    /// The control state.
    pub state: Arc<ControlState>,
    /// This daemon.
    pub me: Incarnation,
    /// When the freshness right ends.
    pub lease_until: TimeMs,
    /// Whether this daemon is in the roster.
    pub joined: bool,
    /// Daemons that are suspected.
    pub suspected: Set<Incarnation>,
    /// Upstreams that say that they are draining, as seen by this daemon as their dispatcher.
    pub draining: Set<UpstreamName>,
    /// Upstreams that hold a grant of the state's fence from this daemon.
    pub granted: Set<UpstreamName>,
    /// The adopted epochs of the roster daemons.
    pub peers: Vec<PeerEpoch>,
    /// Whether the last table read succeeded.
    pub table_ok: bool,
}

/// Where a key is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// The service does not exist.
    UnknownService,
    /// The unit has no owner at this moment; it may get one before the deadline.
    Suspended {
        /// The unit.
        unit: UnitId,
    },
    /// The unit has an owner.
    At {
        /// The unit.
        unit: UnitId,
        /// The owner.
        upstream: UpstreamInfo,
        /// The daemon that dispatches for it; `None` while none is assigned.
        dispatcher: Option<DaemonInfo>,
        /// The epoch that the owner's fence requires.
        fence_epoch: Epoch,
    },
}

impl View {
    /// Returns whether the daemon holds its freshness right.
    pub fn has_lease(&self, now: TimeMs) -> bool {
        self.lease_until > now
    }

    /// Returns whether the daemon takes new work: it is in the roster and its right has not been
    /// lapsed for long.
    pub fn is_ready(&self, now: TimeMs) -> bool {
        self.joined && self.lease_until.after(SETTINGS_GRACE_MS) > now
    }

    /// Locates a key.
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
    /// An upstream that checks grants is taken over from a suspected dispatcher at once; for
    /// others only the assigned dispatcher may send.
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

/// Weighs a daemon for an upstream; a daemon in the upstream's zone goes before all others.
pub fn rendezvous_weight(upstream: &UpstreamInfo, daemon: &DaemonInfo) -> (bool, u64) {
    let mut bytes = upstream.name.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&daemon.incarnation.0.to_le_bytes());
    (upstream.zone == daemon.zone, KeyHash::of(bytes).0)
}
