//! A summary of incomplete placement, computed once for each epoch.

use crate::control::ControlState;
use balsam_types::control::{UnitOwner, UpstreamStatus};
use balsam_types::{Epoch, ServiceName, UnitId};

/// The services whose placement is incomplete at one epoch.
///
/// Iterating over all units takes about as long as the rest of the placer's work in a tick, so the
/// summary is computed again only when the epoch has changed.
#[derive(Debug, Default)]
pub(super) struct PlacementSummary {
    epoch: Epoch,
    /// Services with moving units.
    pub moving: Vec<ServiceName>,
    /// Services with units that have no active owner and are not moving.
    pub unowned: Vec<ServiceName>,
}

impl PlacementSummary {
    /// Computes the summary of `state` if its epoch differs from that of the last one.
    pub fn follow(&mut self, state: &ControlState) {
        if self.epoch == state.epoch {
            return;
        }
        let has_moving = |service: &&ServiceName| {
            let placement = state.services.get(*service);
            let mut owners = placement
                .into_iter()
                .flat_map(|placement| placement.units.values());
            owners.any(|owner| matches!(owner, UnitOwner::Moving { .. }))
        };
        let services = state.settings.services();
        *self = Self {
            epoch: state.epoch,
            moving: state.services.keys().filter(has_moving).cloned().collect(),
            unowned: services
                .filter(|service| has_unowned(state, service))
                .cloned()
                .collect(),
        };
    }
}

fn has_unowned(state: &ControlState, service: &ServiceName) -> bool {
    let Some(policy) = state.settings.service_policy(service) else {
        return false;
    };
    let placement = state.services.get(service);
    let hot_keys = placement
        .into_iter()
        .flat_map(|placement| &placement.hot_keys);
    let mut units = (0..policy.slices)
        .map(UnitId)
        .chain(hot_keys.map(|key| UnitId::hot_key(*key)));
    units.any(|unit| is_unowned(state, service, unit))
}

fn is_unowned(state: &ControlState, service: &ServiceName, unit: UnitId) -> bool {
    match state.owner_of(service, unit) {
        None => true,
        Some(UnitOwner::Moving { .. }) => false,
        Some(UnitOwner::Owned(name)) => {
            let owner = state.upstreams.get(name);
            owner.is_none_or(|owner| owner.status != UpstreamStatus::Active)
        }
    }
}
