//! The data of the control state.

use super::ServicePlacement;
use crate::grants::GrantedUnits;
use crate::settings::SettingsTree;
use balsam_types::control::{DaemonInfo, QuarantineEntry, UnitOwner, UpstreamInfo, UpstreamStatus};
use balsam_types::{Epoch, Fingerprint, Incarnation, KeyHash, ServiceName, UnitId, UpstreamName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The daemons that are members of the cluster from an epoch on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The epoch of the change that created this roster.
    pub since: Epoch,
    /// The incarnations of the daemons.
    pub members: BTreeSet<Incarnation>,
}

impl Roster {
    /// Returns whether `count` daemons are a majority of the roster.
    pub fn is_majority(&self, count: usize) -> bool {
        count * 2 > self.members.len()
    }
}

/// The control state at one epoch.
///
/// The settings and each service's placement are behind an `Arc`: the state is cloned for every
/// change, and the placements are its largest part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// The epoch of the last applied change, which is the number of changes applied so far.
    pub epoch: Epoch,
    /// The settings tree.
    pub settings: Arc<SettingsTree>,
    /// The daemons of the current roster.
    pub daemons: BTreeMap<Incarnation, DaemonInfo>,
    /// The rosters that are not closed yet, oldest first; the current one is always last.
    ///
    /// An older roster is closed once a majority of each open roster has adopted a newer epoch and
    /// all leases of older epochs have expired.
    pub open_rosters: Vec<Roster>,
    /// Daemons of open rosters that are known to have ended, so that they confirm no more epochs.
    pub departed: BTreeSet<Incarnation>,
    /// Daemons of open rosters that were removed because they did not respond, and may still be
    /// running.
    pub silent: BTreeMap<Incarnation, DaemonInfo>,
    /// The daemon that may commit placement changes.
    pub placer: Option<Incarnation>,
    /// The upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, UpstreamInfo>,
    /// The epoch at which the units or the status of each upstream last changed. Requests of older
    /// epochs are fenced off.
    pub fence_epochs: BTreeMap<UpstreamName, Epoch>,
    /// The epoch of the last status change of each upstream.
    pub status_epochs: BTreeMap<UpstreamName, Epoch>,
    /// For each upstream without a dispatcher, the epoch at which it lost its last one.
    pub dispatcher_cleared: BTreeMap<UpstreamName, Epoch>,
    /// The placement of each service.
    pub services: BTreeMap<ServiceName, Arc<ServicePlacement>>,
    /// Quarantined requests.
    pub quarantine: BTreeMap<Fingerprint, QuarantineEntry>,
}

impl ControlState {
    /// Creates the empty state of epoch 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current roster.
    pub fn roster(&self) -> Option<&Roster> {
        self.open_rosters.last()
    }

    /// Returns the unit that contains `key`, or `None` if the service does not exist.
    pub fn unit_of(&self, service: &ServiceName, key: KeyHash) -> Option<UnitId> {
        let slices = self.settings.service_policy(service)?.slices;
        match self.services.get(service) {
            Some(placement) => Some(placement.unit_of(key, slices)),
            None => Some(UnitId::slice_of(key, slices)),
        }
    }

    /// Returns the owner of `unit`, or `None` if it is unassigned.
    pub fn owner_of(&self, service: &ServiceName, unit: UnitId) -> Option<&UnitOwner> {
        self.services.get(service)?.units.get(&unit)
    }

    /// Returns the units that a grant to `upstream` covers.
    ///
    /// A lost upstream is granted no units, so that none of the requests that it still runs stays
    /// covered by a grant.
    pub fn granted_units(&self, upstream: &UpstreamInfo) -> GrantedUnits {
        let mut granted = GrantedUnits::default();
        let Some(placement) = self.services.get(&upstream.service) else {
            return granted;
        };
        if upstream.status == UpstreamStatus::Lost {
            return granted;
        }
        for (unit, owner) in &placement.units {
            match owner {
                UnitOwner::Owned(name) if *name == upstream.name => granted.owned.insert(*unit),
                UnitOwner::Moving { from, .. } if *from == upstream.name => {
                    granted.finishing.insert(*unit)
                }
                UnitOwner::Owned(_) | UnitOwner::Moving { .. } => false,
            };
        }
        granted
    }

    /// Returns the lowest epoch at which requests may be sent to `upstream`.
    pub fn fence_epoch(&self, upstream: &UpstreamName) -> Epoch {
        self.fence_epochs.get(upstream).copied().unwrap_or_default()
    }
}
