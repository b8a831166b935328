//! The assignment of dispatchers to upstreams.

use super::PlacerContext;
use crate::node::rendezvous_weight;
use balsam_types::control::{Change, DaemonInfo, UpstreamInfo};
use balsam_types::{Incarnation, Map, UpstreamName, new_map};

/// The largest difference in the number of upstreams between two dispatchers of a zone that is
/// left as it is.
const MAX_DIFFERENCE: usize = 1;

/// An upstream with its next dispatcher, or with none for now.
type Assignment = (UpstreamName, Option<Incarnation>);

/// Assigns a dispatcher to each upstream whose dispatcher is missing, suspected, shutting down or
/// in another zone.
///
/// If there is no such upstream, evens out the number of upstreams of the dispatchers.
pub(super) fn assign(context: &PlacerContext<'_>) -> Option<Change> {
    let mut counts = UpstreamCounts::new(context);
    if counts.available.is_empty() {
        return None;
    }
    let mut pairs: Vec<Assignment> = Vec::new();
    for upstream in context.state.upstreams.values() {
        let assigned = counts.find(upstream.dispatcher);
        if assigned.is_some_and(|daemon| counts.is_well_placed(upstream, daemon)) {
            continue;
        }
        pairs.extend(next_dispatcher(context, &mut counts, upstream));
    }
    if pairs.is_empty() {
        pairs.extend(rebalance(context, &counts));
    }
    (!pairs.is_empty()).then_some(Change::DispatchersAssigned { pairs })
}

/// Returns the next assignment of the upstream, or `None` if nothing changes for now.
///
/// An upstream that does not check grants accepts requests from a former dispatcher. It therefore
/// has no dispatcher until all leases have expired under which the last one may have sent to it.
fn next_dispatcher(
    context: &PlacerContext<'_>,
    counts: &mut UpstreamCounts<'_>,
    upstream: &UpstreamInfo,
) -> Option<Assignment> {
    if !upstream.checks_grants {
        if upstream.dispatcher.is_some() {
            return Some((upstream.name.clone(), None));
        }
        let cleared_at = context.state.dispatcher_cleared.get(&upstream.name);
        if cleared_at.is_some_and(|epoch| context.adoption.lapsed(context.now) < *epoch) {
            return None;
        }
    }
    let best = counts.assign_best(upstream)?;
    Some((upstream.name.clone(), Some(best)))
}

/// Reassigns one upstream from an overloaded dispatcher to the least loaded one of its zone.
fn rebalance(context: &PlacerContext<'_>, counts: &UpstreamCounts<'_>) -> Option<Assignment> {
    let upstreams = context.state.upstreams.values();
    let movable = upstreams.filter(|upstream| upstream.checks_grants);
    for upstream in movable {
        let Some(from) = counts.find(upstream.dispatcher) else {
            continue;
        };
        let peers = counts
            .available
            .iter()
            .filter(|peer| peer.zone == from.zone);
        let Some(least_loaded) = peers.min_by_key(|peer| counts.upstream_count(peer)) else {
            continue;
        };
        if counts.upstream_count(from) > counts.upstream_count(least_loaded) + MAX_DIFFERENCE {
            return Some((upstream.name.clone(), Some(least_loaded.incarnation)));
        }
    }
    None
}

/// The available daemons, and the number of upstreams that each daemon dispatches for.
struct UpstreamCounts<'a> {
    available: Vec<&'a DaemonInfo>,
    upstreams: Map<Incarnation, usize>,
}

impl<'a> UpstreamCounts<'a> {
    fn new(context: &PlacerContext<'a>) -> Self {
        let daemons = context.state.daemons.values();
        let available = daemons
            .filter(|daemon| context.is_available(daemon))
            .collect();
        let mut upstreams = new_map();
        for upstream in context.state.upstreams.values() {
            if let Some(dispatcher) = upstream.dispatcher {
                *upstreams.entry(dispatcher).or_insert(0) += 1;
            }
        }
        Self {
            available,
            upstreams,
        }
    }

    fn upstream_count(&self, daemon: &DaemonInfo) -> usize {
        self.upstreams
            .get(&daemon.incarnation)
            .copied()
            .unwrap_or(0)
    }

    fn find(&self, dispatcher: Option<Incarnation>) -> Option<&'a DaemonInfo> {
        let dispatcher = dispatcher?;
        let mut available = self.available.iter();
        available
            .find(|daemon| daemon.incarnation == dispatcher)
            .copied()
    }

    /// Returns whether the upstream can keep `daemon`: it is in the upstream's zone, or no
    /// available daemon is.
    ///
    /// An upstream that does not check grants keeps a dispatcher of any zone, because a change of
    /// dispatcher interrupts its service.
    fn is_well_placed(&self, upstream: &UpstreamInfo, daemon: &DaemonInfo) -> bool {
        let mut available = self.available.iter();
        !upstream.checks_grants
            || daemon.zone == upstream.zone
            || !available.any(|peer| peer.zone == upstream.zone)
    }

    fn assign_best(&mut self, upstream: &UpstreamInfo) -> Option<Incarnation> {
        let best = self.available.iter().min_by_key(|daemon| {
            let (same_zone, weight) = rendezvous_weight(upstream, daemon);
            (!same_zone, self.upstream_count(daemon), u64::MAX - weight)
        })?;
        *self.upstreams.entry(best.incarnation).or_insert(0) += 1;
        Some(best.incarnation)
    }
}
