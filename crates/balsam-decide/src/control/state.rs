//! The data of the control state.

use super::ServicePlacement;
use crate::grants::GrantedUnits;
use crate::settings::SettingsTree;
use balsam_types::control::{DaemonInfo, QuarantineEntry, UnitOwner, UpstreamInfo, UpstreamStatus};
use balsam_types::{Epoch, Fingerprint, Incarnation, KeyHash, ServiceName, UnitId, UpstreamName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The daemons that made up the roster from an epoch on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The first epoch at which the roster was in force.
    pub since: Epoch,
    /// The daemons' incarnations.
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
/// Each service's placement is shared, because the state is cloned at every change and the
/// placements are its largest part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// The number of changes that the state contains.
    pub epoch: Epoch,
    /// The settings tree.
    pub settings: Arc<SettingsTree>,
    /// The daemons of the current roster.
    pub daemons: BTreeMap<Incarnation, DaemonInfo>,
    /// The open rosters from the oldest to the current one, which is always the last.
    pub open_rosters: Vec<Roster>,
    /// Daemons of open rosters that are known to have ended and make no more statements.
    pub departed: BTreeSet<Incarnation>,
    /// Daemons of open rosters that were removed as silent and may still run.
    pub silent: BTreeMap<Incarnation, DaemonInfo>,
    /// The daemon that may commit placement changes.
    pub placer: Option<Incarnation>,
    /// The upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, UpstreamInfo>,
    /// The epoch of the last change of each upstream's units, which fences older requests.
    pub fence_epochs: BTreeMap<UpstreamName, Epoch>,
    /// The epoch of the last status change of each upstream.
    pub status_epochs: BTreeMap<UpstreamName, Epoch>,
    /// The epoch at which each upstream without a dispatcher lost its last one.
    pub dispatcher_cleared: BTreeMap<UpstreamName, Epoch>,
    /// The placement of each service.
    pub services: BTreeMap<ServiceName, Arc<ServicePlacement>>,
    /// Quarantined requests.
    pub quarantine: BTreeMap<Fingerprint, QuarantineEntry>,
}

impl ControlState {
    /// Makes the empty state of epoch 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current roster.
    pub fn roster(&self) -> Option<&Roster> {
        self.open_rosters.last()
    }

    /// Returns the unit that holds `key`, or `None` if the service does not exist.
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
    /// A lost upstream gets no units, so that the cover of all its running requests lapses.
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

    /// Returns the epoch that requests to `upstream` must have reached.
    pub fn fence_epoch(&self, upstream: &UpstreamName) -> Epoch {
        self.fence_epochs.get(upstream).copied().unwrap_or_default()
    }
}
