//! Choice of an upstream for a request.

use super::endpoint::Endpoint;
use super::notices::{Notices, Standing};
use super::permits::Permits;
use super::turns::Turns;
use super::{ClusterState, PoolSettings, Refusal, Request};
use crate::directory::DiscoveredUpstream;
use crate::evacuation::ZoneStanding;
use balsam_types::{Map, RouteKind, ServiceName, TimeMs, UpstreamName};
use std::sync::Arc;

/// Cost factor of an upstream in another availability zone for downloads, whose large responses
/// cross zones.
const OTHER_ZONE_DOWNLOAD_COST: f64 = 2.0;

/// Cost factor of an upstream in another availability zone for other requests.
const OTHER_ZONE_COST: f64 = 1.25;

/// Cost factor of an upstream that is warming up after its start.
const WARMUP_COST: f64 = 2.0;

/// The result of a choice.
#[derive(Debug)]
pub(super) enum Choice {
    /// Send the request to this upstream.
    Upstream(Arc<DiscoveredUpstream>),
    /// Queue the request, for this reason.
    Wait(Refusal),
    /// All suitable upstreams have announced that they take no request before `until`, which is
    /// `None` if they leave.
    Blocked { until: Option<TimeMs> },
    /// All suitable upstreams are in evacuated zones.
    Evacuated,
}

/// The upstreams of a service that a request may be sent to, by what they have announced.
#[derive(Debug, Default)]
struct Candidates<'a> {
    open: Vec<&'a Arc<DiscoveredUpstream>>,
    leaving: Vec<&'a Arc<DiscoveredUpstream>>,
    /// When the first pause ends.
    paused_until: Option<TimeMs>,
    /// Whether some upstream leaves and takes no more requests.
    has_left: bool,
}

impl Candidates<'_> {
    fn add_pause(&mut self, until: TimeMs) {
        let earliest = self.paused_until.map_or(until, |known| known.min(until));
        self.paused_until = Some(earliest);
    }
}

/// The state that a choice depends on.
#[derive(Debug)]
pub(super) struct Chooser<'a> {
    pub(super) now: TimeMs,
    pub(super) cluster: &'a ClusterState,
    pub(super) endpoints: &'a Map<UpstreamName, Endpoint>,
    pub(super) notices: &'a Notices,
    pub(super) settings: &'a PoolSettings,
    /// The keepers that decide how many requests their upstreams get, so that the limits of this
    /// daemon do not. `None` if its limits hold for all upstreams.
    pub(super) keepers: Option<&'a Permits>,
}

impl Chooser<'_> {
    /// Chooses an upstream of `service` for a request.
    pub(super) fn choose(&self, request: &Request, service: &ServiceName) -> Choice {
        if self.is_evacuated(service) {
            return Choice::Evacuated;
        }
        let is_keyed = self
            .cluster
            .table
            .service(service)
            .is_some_and(|policy| policy.is_keyed);
        match request.key {
            Some(key) if is_keyed => self.owner(service, key),
            _ => self.cheapest(request, service),
        }
    }

    /// Returns whether all upstreams of a service are in evacuated zones.
    fn is_evacuated(&self, service: &ServiceName) -> bool {
        let evacuated = &self.cluster.evacuated;
        let upstreams = self.cluster.upstreams.of(service);
        !evacuated.is_empty()
            && !upstreams.is_empty()
            && upstreams
                .iter()
                .all(|found| evacuated.contains(&found.entry.zone))
    }

    fn zone_standing(&self, upstream: &DiscoveredUpstream) -> ZoneStanding {
        let zone = &upstream.entry.zone;
        self.cluster.evacuated.standing(self.now, zone)
    }

    /// Chooses the owner of a key, once it holds the key and has room.
    fn owner(&self, service: &ServiceName, key: balsam_types::ShardKey) -> Choice {
        let ranges = self.cluster.ranges.get(service);
        let Some(assignment) = ranges.and_then(|ranges| ranges.find(key)) else {
            return Choice::Wait(Refusal::NoOwner);
        };
        let moved = self.cluster.moved.get(service);
        let has_keys =
            !assignment.is_moving() || moved.is_some_and(|moved| moved.contains(&assignment.fence));
        let upstream = self.cluster.upstreams.get(&assignment.owner.upstream);
        let Some(upstream) = upstream.filter(|found| {
            found.entry.born == assignment.owner.born && found.entry.is_ready() && has_keys
        }) else {
            return Choice::Wait(Refusal::NoOwner);
        };
        if self.zone_standing(upstream) == ZoneStanding::Closed {
            return Choice::Evacuated;
        }
        match self.notices.standing(self.now, upstream) {
            // Nobody else can run the request until the key has another owner.
            Standing::Open | Standing::Leaving => {}
            Standing::Paused { until } => return Choice::Blocked { until: Some(until) },
            Standing::Left => return Choice::Wait(Refusal::NoOwner),
        }
        if self.has_room(upstream) {
            Choice::Upstream(Arc::clone(upstream))
        } else {
            Choice::Wait(Refusal::Busy)
        }
    }

    /// Chooses the upstream with the least cost that has room and has not been tried. Upstreams that
    /// leave are chosen only if no other one can run the request.
    fn cheapest(&self, request: &Request, service: &ServiceName) -> Choice {
        let ready = self.cluster.upstreams.of(service).iter();
        let untried = ready.filter(|found| {
            found.entry.is_ready()
                && !request.avoid.contains(&found.entry.name)
                && self.zone_standing(found) == ZoneStanding::Open
        });
        let mut candidates = Candidates::default();
        for found in untried {
            match self.notices.standing(self.now, found) {
                Standing::Open => candidates.open.push(found),
                Standing::Leaving => candidates.leaving.push(found),
                Standing::Paused { until } => candidates.add_pause(until),
                Standing::Left => candidates.has_left = true,
            }
        }
        let suitable = if candidates.open.is_empty() {
            &candidates.leaving
        } else {
            &candidates.open
        };
        let available = suitable.iter().filter(|found| self.has_room(found));
        let cheapest =
            available.min_by(|a, b| self.cost(request, a).total_cmp(&self.cost(request, b)));
        match cheapest {
            Some(found) => Choice::Upstream(Arc::clone(found)),
            None if !suitable.is_empty() => Choice::Wait(Refusal::Busy),
            None if candidates.has_left || candidates.paused_until.is_some() => Choice::Blocked {
                until: candidates.paused_until,
            },
            None => Choice::Wait(Refusal::NoUpstream),
        }
    }

    /// Returns whether a request may be sent to an upstream that a keeper has chosen.
    pub(super) fn allows(
        &self,
        request: &Request,
        service: &ServiceName,
        upstream: &Arc<DiscoveredUpstream>,
    ) -> bool {
        let policy = self.cluster.table.service(service);
        match request
            .key
            .filter(|_| policy.is_some_and(|policy| policy.is_keyed))
        {
            Some(key) => matches!(
                self.owner(service, key),
                Choice::Upstream(owner) if owner.entry.name == upstream.entry.name
            ),
            None => {
                upstream.entry.is_ready()
                    && self.has_room(upstream)
                    && self.zone_standing(upstream) == ZoneStanding::Open
                    && matches!(
                        self.notices.standing(self.now, upstream),
                        Standing::Open | Standing::Leaving
                    )
            }
        }
    }

    /// Returns whether an upstream can take another request as far as this daemon knows.
    fn has_room(&self, upstream: &DiscoveredUpstream) -> bool {
        let endpoint = self.endpoint(upstream);
        let is_kept = |permits: &Permits| permits.is_kept(self.now, &upstream.entry);
        if self.keepers.is_some_and(is_kept) {
            return endpoint.is_none_or(|endpoint| !endpoint.is_backing_off(self.now));
        }
        let may_take = endpoint.is_none_or(|endpoint| endpoint.has_room(self.now));
        may_take && self.has_turn(upstream, endpoint)
    }

    /// Returns whether this daemon may send a request without a permit to an upstream, which gets
    /// few requests while it is cold.
    fn has_turn(&self, upstream: &DiscoveredUpstream, endpoint: Option<&Endpoint>) -> bool {
        if self.now >= upstream.warmup_ends_at {
            return true;
        }
        let policy = self.cluster.table.service(&upstream.entry.service);
        let turns = Turns {
            seed: self.settings.seed,
            daemons: self.cluster.daemons,
        };
        policy
            .and_then(|policy| policy.warmup)
            .is_none_or(|warmup| {
                let last_sent = endpoint.and_then(Endpoint::last_unpermitted);
                turns.may_send(self.now, upstream, warmup, last_sent)
            })
    }

    /// Returns the state of an upstream, unless it belongs to an earlier incarnation.
    fn endpoint(&self, upstream: &DiscoveredUpstream) -> Option<&Endpoint> {
        let endpoint = self.endpoints.get(&upstream.entry.name)?;
        (endpoint.born() == upstream.entry.born).then_some(endpoint)
    }

    /// Returns the expected cost of sending a request to an upstream.
    fn cost(&self, request: &Request, upstream: &DiscoveredUpstream) -> f64 {
        let endpoint_cost = self.endpoint(upstream).map_or(1.0, Endpoint::cost);
        let is_other_zone = upstream.entry.zone != self.settings.zone;
        let zone_cost = match (is_other_zone, request.route.kind) {
            (false, _) => 1.0,
            (true, RouteKind::Download) => OTHER_ZONE_DOWNLOAD_COST,
            (true, RouteKind::Idempotent | RouteKind::Order) => OTHER_ZONE_COST,
        };
        let warmup_cost = if self.now < upstream.warmup_ends_at {
            WARMUP_COST
        } else {
            1.0
        };
        // A hash of the request and the upstream adds up to 0.075 to the cost, so that upstreams
        // with nearly equal costs share the requests instead of the first by name getting all of
        // them.
        let tie_breaker =
            (request.id.0 ^ upstream.entry.born.0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 60;
        (endpoint_cost * zone_cost * warmup_cost).mul_add(1.0, tie_breaker as f64 * 0.005)
    }
}
