//! Chooses an upstream for a request.

use super::endpoint::Lane;
use super::{ClusterState, PoolSettings, Refusal, Request};
use crate::directory::DiscoveredUpstream;
use balsam_types::{Map, RouteKind, ServiceName, TimeMs, UpstreamName};
use std::sync::Arc;

/// How much dearer an upstream in another zone is for downloads, whose many bytes cross zones.
const FAR_DOWNLOAD_COST: f64 = 2.0;

/// How much dearer an upstream in another zone is for other requests.
const FAR_COST: f64 = 1.25;

/// How much slower an upstream is shortly after its start.
const COLD_COST: f64 = 2.0;

/// Where a request can go now.
#[derive(Debug)]
pub(super) enum Choice {
    /// To this upstream.
    Upstream(Arc<DiscoveredUpstream>),
    /// Nowhere yet, for this reason.
    Wait(Refusal),
}

/// What a choice depends on.
#[derive(Debug)]
pub(super) struct Chooser<'a> {
    pub(super) now: TimeMs,
    pub(super) world: &'a ClusterState,
    pub(super) lanes: &'a Map<UpstreamName, Lane>,
    pub(super) settings: &'a PoolSettings,
}

impl Chooser<'_> {
    /// Chooses an upstream of `service` for a request.
    pub(super) fn choose(&self, ask: &Request, service: &ServiceName) -> Choice {
        let is_keyed = self
            .world
            .table
            .service(service)
            .is_some_and(|policy| policy.is_keyed);
        match ask.key {
            Some(key) if is_keyed => self.owner(service, key),
            _ => self.cheapest(ask, service),
        }
    }

    fn owner(&self, service: &ServiceName, key: balsam_types::ShardKey) -> Choice {
        let ranges = self.world.ranges.get(service);
        let Some(assignment) = ranges.and_then(|ranges| ranges.find(key)) else {
            return Choice::Wait(Refusal::NoOwner);
        };
        let moved = self.world.moved.get(service);
        let has_keys =
            !assignment.is_moving() || moved.is_some_and(|moved| moved.contains(&assignment.fence));
        let upstream = self.world.upstreams.get(&assignment.owner.upstream);
        let Some(upstream) = upstream.filter(|found| {
            found.entry.born == assignment.owner.born && found.entry.is_ready() && has_keys
        }) else {
            return Choice::Wait(Refusal::NoOwner);
        };
        if self
            .lane(upstream)
            .is_none_or(|lane| lane.has_room(self.now))
        {
            Choice::Upstream(Arc::clone(upstream))
        } else {
            Choice::Wait(Refusal::Busy)
        }
    }

    fn cheapest(&self, ask: &Request, service: &ServiceName) -> Choice {
        let ready = self.world.upstreams.of(service).iter();
        let ready = ready.filter(|found| found.entry.is_ready());
        let fresh = ready
            .clone()
            .filter(|found| !ask.avoid.contains(&found.entry.name));
        let open = |found: &&Arc<DiscoveredUpstream>| {
            self.lane(found).is_none_or(|lane| lane.has_room(self.now))
        };
        let cheapest = fresh
            .clone()
            .filter(open)
            .min_by(|a, b| self.cost(ask, a).total_cmp(&self.cost(ask, b)));
        match cheapest {
            Some(found) => Choice::Upstream(Arc::clone(found)),
            None if fresh.count() > 0 => Choice::Wait(Refusal::Busy),
            None => Choice::Wait(Refusal::NoUpstream),
        }
    }

    fn lane(&self, upstream: &DiscoveredUpstream) -> Option<&Lane> {
        let lane = self.lanes.get(&upstream.entry.name)?;
        (lane.born() == upstream.entry.born).then_some(lane)
    }

    fn cost(&self, ask: &Request, upstream: &DiscoveredUpstream) -> f64 {
        let own = self.lane(upstream).map_or(1.0, Lane::cost);
        let is_far = upstream.entry.zone != self.settings.zone;
        let far = match (is_far, ask.route.kind) {
            (false, _) => 1.0,
            (true, RouteKind::Download) => FAR_DOWNLOAD_COST,
            (true, RouteKind::Idempotent | RouteKind::Order) => FAR_COST,
        };
        let cold = if self.now < upstream.warmup_ends_at {
            COLD_COST
        } else {
            1.0
        };
        // Equal upstreams are told apart by chance of the request, not by the order of their names.
        let spread = (ask.id.0 ^ upstream.entry.born.0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 60;
        (own * far * cold).mul_add(1.0, spread as f64 * 0.005)
    }
}
