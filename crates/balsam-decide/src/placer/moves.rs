//! Completion of unit moves.

use super::revocations::is_revocable;
use super::{Placer, PlacerContext};
use balsam_types::control::{Change, UnitOwner, UpstreamStatus};
use balsam_types::{Epoch, Map, ServiceName, UpstreamName, new_map};

/// Completes moves of one service: gives every moving unit its next owner once the former owner can
/// no longer run requests on it.
pub(super) fn finish(placer: &Placer, context: &PlacerContext<'_>) -> Option<Change> {
    let lapsed = context.adoption.lapsed(context.now);
    for service in &placer.summary.moving {
        let Some(placement) = context.state.services.get(service) else {
            continue;
        };
        let mut targets = Targets::new(context, service);
        let mut units = Vec::new();
        for (unit, owner) in &placement.units {
            let UnitOwner::Moving {
                from,
                to,
                since_epoch,
            } = owner
            else {
                continue;
            };
            let is_released = placer.revocations.is_acknowledged(service, *unit)
                || has_lapsed(context, from, *since_epoch, lapsed);
            if is_released && let Some(to) = targets.choose(to) {
                units.push((*unit, to));
            }
        }
        if !units.is_empty() {
            return Some(Change::UnitsOwned {
                service: service.clone(),
                units,
            });
        }
    }
    None
}

/// Returns whether all grants have expired under which `from` could run requests on the unit.
///
/// Until the status of an upstream changes to lost, grants let its running requests finish.
/// Therefore the leases of epochs before that change must have expired as well.
fn has_lapsed(
    context: &PlacerContext<'_>,
    from: &UpstreamName,
    since_epoch: Epoch,
    lapsed: Epoch,
) -> bool {
    let Some(upstream) = context.state.upstreams.get(from) else {
        return lapsed >= since_epoch;
    };
    if is_revocable(upstream) {
        return false;
    }
    let status_epoch = context.state.status_epochs.get(from).copied();
    lapsed >= since_epoch.max(status_epoch.unwrap_or_default())
}

/// The active upstreams of a service, with the number of units that each owns or is about to own.
struct Targets {
    unit_counts: Map<UpstreamName, usize>,
}

impl Targets {
    fn new(context: &PlacerContext<'_>, service: &ServiceName) -> Self {
        let mut unit_counts = new_map();
        for upstream in context.state.upstreams.values() {
            if upstream.service == *service && upstream.status == UpstreamStatus::Active {
                unit_counts.insert(upstream.name.clone(), 0);
            }
        }
        let placement = context.state.services.get(service);
        let owners = placement
            .into_iter()
            .flat_map(|placement| placement.units.values());
        for owner in owners {
            let (UnitOwner::Owned(name) | UnitOwner::Moving { to: name, .. }) = owner;
            if let Some(count) = unit_counts.get_mut(name) {
                *count += 1;
            }
        }
        Self { unit_counts }
    }

    /// Returns `planned` if it is active, otherwise the active upstream with the fewest units.
    fn choose(&mut self, planned: &UpstreamName) -> Option<UpstreamName> {
        if self.unit_counts.contains_key(planned) {
            return Some(planned.clone());
        }
        let fewest = self.unit_counts.iter_mut().min_by_key(|(name, count)| {
            let count: usize = **count;
            (count, (*name).clone())
        })?;
        *fewest.1 += 1;
        Some(fewest.0.clone())
    }
}
