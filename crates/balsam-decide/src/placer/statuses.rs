//! Status changes, arrivals and removals of upstreams.

use super::reports::Verdict;
use super::{Placer, PlacerContext};
use balsam_types::UpstreamName;
use balsam_types::control::{
    Change, Instance, InstanceKind, InstanceState, UnitOwner, UpstreamInfo, UpstreamStatus,
};

/// The time after which a lost upstream that is not listed is removed, in milliseconds.
const LOST_REMOVE_MS: u64 = 600_000;

/// Returns the upstreams that join or change.
pub(super) fn change(placer: &Placer, context: &PlacerContext<'_>) -> Option<Change> {
    let known = context.state.upstreams.values();
    let mut upstreams: Vec<UpstreamInfo> = known
        .map(|upstream| updated(placer, context, upstream))
        .filter(|updated| context.state.upstreams.get(&updated.name) != Some(updated))
        .collect();
    upstreams.extend(arrived(placer, context));
    (!upstreams.is_empty()).then_some(Change::UpstreamsChanged { upstreams })
}

/// Returns upstreams that own nothing and are gone for good.
pub(super) fn remove(placer: &Placer, context: &PlacerContext<'_>) -> Option<Change> {
    placer.instances.as_ref()?;
    let is_gone = |upstream: &&UpstreamInfo| {
        let lost_ms = placer
            .status_since
            .get(&upstream.name)
            .map_or(0, |(_, since)| context.now.since(*since));
        let ended = match upstream.status {
            UpstreamStatus::Active => false,
            UpstreamStatus::Draining => true,
            UpstreamStatus::Lost => lost_ms >= LOST_REMOVE_MS,
        };
        ended && listed(placer, &upstream.name).is_none() && !holds_units(context, upstream)
    };
    let upstreams = context.state.upstreams.values();
    let names: Vec<UpstreamName> = upstreams
        .filter(is_gone)
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
    let verdict = placer.reports.verdict(context.now, &upstream.name);
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
    next.status = next_status(upstream, verdict, instance.map(|instance| instance.state));
    next
}

/// Returns whether no process at the upstream's present address can hold a grant any longer.
fn is_replaceable(context: &PlacerContext<'_>, upstream: &UpstreamInfo) -> bool {
    let status_epoch = context.state.status_epochs.get(&upstream.name).copied();
    upstream.status == UpstreamStatus::Lost
        && context.adoption.lapsed(context.now) >= status_epoch.unwrap_or_default()
}

fn next_status(
    upstream: &UpstreamInfo,
    verdict: Verdict,
    listed: Option<InstanceState>,
) -> UpstreamStatus {
    let told_to_drain =
        upstream.drained_by_operator || verdict.draining || listed == Some(InstanceState::Leaving);
    let confirmed_live = verdict.answering && listed == Some(InstanceState::Live);
    match upstream.status {
        _ if verdict.silent => UpstreamStatus::Lost,
        UpstreamStatus::Lost if !verdict.answering => UpstreamStatus::Lost,
        _ if told_to_drain => UpstreamStatus::Draining,
        // An upstream that has stopped draining must be listed as live before it gets units.
        UpstreamStatus::Draining if !confirmed_live => UpstreamStatus::Draining,
        UpstreamStatus::Lost | UpstreamStatus::Draining | UpstreamStatus::Active => {
            UpstreamStatus::Active
        }
    }
}

/// Returns the live upstreams of the list that are not known yet.
fn arrived(placer: &Placer, context: &PlacerContext<'_>) -> Vec<UpstreamInfo> {
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
