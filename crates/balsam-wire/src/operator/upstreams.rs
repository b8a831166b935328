//! The response that lists upstreams.

use super::IdText;
use balsam_decide::node::View;
use balsam_types::control::{UnitOwner, UpstreamInfo, UpstreamStatus};
use balsam_types::{Epoch, Map, ServiceName, UpstreamName, ZoneName, new_map};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The response to `GET /v1/upstreams`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamsResponse {
    /// The control epoch that the response describes.
    pub epoch: Epoch,
    /// The upstreams, sorted by name.
    pub upstreams: Vec<UpstreamBody>,
}

/// An upstream with its unit counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamBody {
    /// The name of the upstream.
    pub name: UpstreamName,
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// The availability zone of the upstream.
    pub zone: ZoneName,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// The number of requests that the upstream can run concurrently.
    pub slots: u32,
    /// Whether the upstream rejects requests for units outside its grant.
    pub checks_grants: bool,
    /// Whether the upstream accepts work.
    pub status: UpstreamStatus,
    /// Whether an operator requested the drain.
    pub drained_by_operator: bool,
    /// The dispatcher assigned in the control state.
    pub dispatcher: Option<IdText>,
    /// The daemon that currently dispatches to the upstream, as seen by the responding daemon.
    pub acting_dispatcher: Option<IdText>,
    /// The minimum control epoch of requests that the upstream accepts.
    pub fence_epoch: Epoch,
    /// The number of units that the upstream owns.
    pub units_owned: u64,
    /// The number of units moving away from the upstream.
    pub units_leaving: u64,
    /// The number of units moving to the upstream.
    pub units_coming: u64,
}

#[derive(Clone, Copy, Default)]
struct UnitCounts {
    owned: u64,
    leaving: u64,
    coming: u64,
}

impl UpstreamsResponse {
    /// Creates the response from a daemon's view.
    pub fn new(view: &View) -> Self {
        let counts = count_units(view);
        let upstreams = view.state.upstreams.values();
        Self {
            epoch: view.state.epoch,
            upstreams: upstreams
                .map(|upstream| {
                    let counts = counts.get(&upstream.name).copied().unwrap_or_default();
                    UpstreamBody::new(view, upstream, counts)
                })
                .collect(),
        }
    }
}

impl UpstreamBody {
    fn new(view: &View, upstream: &UpstreamInfo, counts: UnitCounts) -> Self {
        let acting = view.acting_dispatcher(upstream);
        Self {
            name: upstream.name.clone(),
            service: upstream.service.clone(),
            zone: upstream.zone.clone(),
            address: upstream.address,
            slots: upstream.slots,
            checks_grants: upstream.checks_grants,
            status: upstream.status,
            drained_by_operator: upstream.drained_by_operator,
            dispatcher: upstream.dispatcher.map(Into::into),
            acting_dispatcher: acting.map(|daemon| daemon.incarnation.into()),
            fence_epoch: view.state.fence_epoch(&upstream.name),
            units_owned: counts.owned,
            units_leaving: counts.leaving,
            units_coming: counts.coming,
        }
    }
}

fn count_units(view: &View) -> Map<UpstreamName, UnitCounts> {
    let mut counts: Map<UpstreamName, UnitCounts> = new_map();
    let placements = view.state.services.values();
    for owner in placements.flat_map(|placement| placement.units.values()) {
        match owner {
            UnitOwner::Owned(name) => counts.entry(name.clone()).or_default().owned += 1,
            UnitOwner::Moving { from, to, .. } => {
                counts.entry(from.clone()).or_default().leaving += 1;
                counts.entry(to.clone()).or_default().coming += 1;
            }
        }
    }
    counts
}
