//! Additions, status changes and removals of upstreams.

use super::reports::ReportedHealth;
use super::{Placer, PlacerContext};
use balsam_types::UpstreamName;
use balsam_types::control::{
    Change, Instance, InstanceKind, InstanceState, UnitOwner, UpstreamInfo, UpstreamStatus,
};

/// The time after which a lost upstream that the platform does not list is removed, in
/// milliseconds.
const LOST_REMOVE_MS: u64 = 600_000;

/// Returns a change with the upstreams that are new or differ from the control state.
pub(super) fn change(placer: &Placer, context: &PlacerContext<'_>) -> Option<Change> {
    let known = context.state.upstreams.values();
    let mut upstreams: Vec<UpstreamInfo> = known
        .map(|upstream| updated(placer, context, upstream))
        .filter(|updated| context.state.upstreams.get(&updated.name) != Some(updated))
        .collect();
    upstreams.extend(new_upstreams(placer, context));
    (!upstreams.is_empty()).then_some(Change::UpstreamsChanged { upstreams })
}

/// Returns a change that removes the upstreams that hold no units, are not in the platform's list
/// and are draining or have been lost for [`LOST_REMOVE_MS`].
pub(super) fn remove(placer: &Placer, context: &PlacerContext<'_>) -> Option<Change> {
    placer.instances.as_ref()?;
    let is_removable = |upstream: &&UpstreamInfo| {
        let in_status_ms = placer
            .status_since
            .get(&upstream.name)
            .map_or(0, |(_, since)| context.now.since(*since));
        let is_out_of_service = match upstream.status {
            UpstreamStatus::Active => false,
            UpstreamStatus::Draining => true,
            UpstreamStatus::Lost => in_status_ms >= LOST_REMOVE_MS,
        };
        is_out_of_service
            && listed(placer, &upstream.name).is_none()
            && !holds_units(context, upstream)
    };
    let upstreams = context.state.upstreams.values();
    let names: Vec<UpstreamName> = upstreams
        .filter(is_removable)
        .map(|upstream| upstream.name.clone())
        .collect();
    (!names.is_empty()).then_some(Change::UpstreamsRemoved { names })
}

fn listed<'a>(placer: &'a Placer, name: &UpstreamName) -> Option<&'a Instance> {
    let mut instances = placer.instances.iter().flat_map(|list| list.iter());
    instances.find(|instance| instance.kind == InstanceKind::Upstream && instance.name == *name)
}

fn holds_units(context: &PlacerContext<'_>, upstream: &UpstreamInfo) -> bool {
    let name = &upstream.name;
    let Some(placement) = context.state.services.get(&upstream.service) else {
        return false;
    };
    placement.units.values().any(|owner| match owner {
        UnitOwner::Owned(owner) => owner == name,
        UnitOwner::Moving { from, to, .. } => from == name || to == name,
    })
}

fn updated(placer: &Placer, context: &PlacerContext<'_>, upstream: &UpstreamInfo) -> UpstreamInfo {
    let instance = listed(placer, &upstream.name);
    let health = placer.reports.health(context.now, &upstream.name);
    let mut next = upstream.clone();
    if let Some(instance) = instance {
        next.slots = instance.slots;
        next.connections = instance.connections;
        if is_replaceable(context, upstream) {
            next.address = instance.address;
            next.zone = instance.zone.clone();
            next.checks_grants = instance.checks_grants;
        }
    }
    next.status = next_status(upstream, health, instance.map(|instance| instance.state));
    next
}

/// Returns whether the upstream's address may be replaced: no process at the current address can
/// hold a valid grant any more.
fn is_replaceable(context: &PlacerContext<'_>, upstream: &UpstreamInfo) -> bool {
    let status_epoch = context.state.status_epochs.get(&upstream.name).copied();
    upstream.status == UpstreamStatus::Lost
        && context.adoption.lapsed(context.now) >= status_epoch.unwrap_or_default()
}

fn next_status(
    upstream: &UpstreamInfo,
    health: ReportedHealth,
    listed: Option<InstanceState>,
) -> UpstreamStatus {
    let drain_requested =
        upstream.drained_by_operator || health.draining || listed == Some(InstanceState::Leaving);
    let confirmed_live = health.answering && listed == Some(InstanceState::Live);
    match upstream.status {
        _ if health.silent => UpstreamStatus::Lost,
        UpstreamStatus::Lost if !health.answering => UpstreamStatus::Lost,
        _ if drain_requested => UpstreamStatus::Draining,
        // After a drain, the platform must list the upstream as live before it gets units again.
        UpstreamStatus::Draining if !confirmed_live => UpstreamStatus::Draining,
        UpstreamStatus::Lost | UpstreamStatus::Draining | UpstreamStatus::Active => {
            UpstreamStatus::Active
        }
    }
}

/// Returns the live upstreams of the platform's list that the control state does not contain yet.
fn new_upstreams(placer: &Placer, context: &PlacerContext<'_>) -> Vec<UpstreamInfo> {
    let instances = placer.instances.iter().flat_map(|list| list.iter());
    instances
        .filter(|instance| instance.kind == InstanceKind::Upstream)
        .filter(|instance| instance.state == InstanceState::Live)
        .filter(|instance| !context.state.upstreams.contains_key(&instance.name))
        .filter_map(|instance| {
            Some(UpstreamInfo {
                name: instance.name.clone(),
                service: instance.service.clone()?,
                zone: instance.zone.clone(),
                address: instance.address,
                slots: instance.slots,
                connections: instance.connections,
                checks_grants: instance.checks_grants,
                status: UpstreamStatus::Active,
                drained_by_operator: false,
                dispatcher: None,
            })
        })
        .collect()
}
