//! The assignment of dispatchers to upstreams.

use super::PlacerContext;
use crate::node::rendezvous_weight;
use balsam_types::control::{Change, DaemonInfo, UpstreamInfo};
use balsam_types::{Incarnation, Map, UpstreamName, new_map};

/// The difference in upstreams between two dispatchers of a zone that is not worth a change.
const TOLERATED_DIFFERENCE: usize = 1;

/// An upstream with its next dispatcher.
type Assignment = (UpstreamName, Option<Incarnation>);

/// Assigns dispatchers where one is missing, suspected, stopping or in another zone.
pub(super) fn assign(context: &PlacerContext<'_>) -> Option<Change> {
    let mut counts = Counts::new(context);
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
        pairs.extend(even_out(context, &counts));
    }
    (!pairs.is_empty()).then_some(Change::DispatchersAssigned { pairs })
}

/// Returns the upstream with its next dispatcher, or `None` if it stays as it is for now.
///
/// An upstream that does not check grants has no dispatcher until all rights have lapsed under
/// which its last dispatcher may have sent to it.
fn next_dispatcher(
    context: &PlacerContext<'_>,
    counts: &mut Counts<'_>,
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
    let best = counts.take_best(upstream)?;
    Some((upstream.name.clone(), Some(best)))
}

/// Moves one upstream from the busiest dispatcher of a zone to the idlest.
fn even_out(context: &PlacerContext<'_>, counts: &Counts<'_>) -> Option<Assignment> {
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
        let Some(idlest) = peers.min_by_key(|peer| counts.of(peer)) else {
            continue;
        };
        if counts.of(from) > counts.of(idlest) + TOLERATED_DIFFERENCE {
            return Some((upstream.name.clone(), Some(idlest.incarnation)));
        }
    }
    None
}

/// The available daemons with the number of upstreams that each dispatches for.
struct Counts<'a> {
    available: Vec<&'a DaemonInfo>,
    upstreams: Map<Incarnation, usize>,
}

impl<'a> Counts<'a> {
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

    fn of(&self, daemon: &DaemonInfo) -> usize {
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

    /// Returns whether `daemon` is in the upstream's zone, or no available daemon is.
    ///
    /// An upstream that does not check grants keeps its dispatcher, because a change interrupts it.
    fn is_well_placed(&self, upstream: &UpstreamInfo, daemon: &DaemonInfo) -> bool {
        let mut available = self.available.iter();
        !upstream.checks_grants
            || daemon.zone == upstream.zone
            || !available.any(|peer| peer.zone == upstream.zone)
    }

    fn take_best(&mut self, upstream: &UpstreamInfo) -> Option<Incarnation> {
        let best = self.available.iter().min_by_key(|daemon| {
            let (same_zone, weight) = rendezvous_weight(upstream, daemon);
            (!same_zone, self.of(daemon), u64::MAX - weight)
        })?;
        *self.upstreams.entry(best.incarnation).or_insert(0) += 1;
        Some(best.incarnation)
    }
}
