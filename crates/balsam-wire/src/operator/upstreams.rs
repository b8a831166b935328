//! The upstreams.

use super::IdText;
use balsam_decide::node::View;
use balsam_types::control::{UnitOwner, UpstreamInfo, UpstreamStatus};
use balsam_types::{Epoch, Map, ServiceName, UpstreamName, ZoneName, new_map};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The answer of `GET /v1/upstreams`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamsResponse {
    /// The epoch of the answer.
    pub epoch: Epoch,
    /// The upstreams in the order of their names.
    pub upstreams: Vec<UpstreamBody>,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamBody {
    /// The upstream's name.
    pub name: UpstreamName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it refuses requests that its grant does not cover.
    pub checks_grants: bool,
    /// Whether it takes work.
    pub status: UpstreamStatus,
    /// Whether an operator asked for the drain.
    pub drained_by_operator: bool,
    /// The daemon that the control state assigns as its dispatcher.
    pub dispatcher: Option<IdText>,
    /// The daemon that dispatches for it at this moment, as the answering daemon sees it.
    pub acting_dispatcher: Option<IdText>,
    /// The epoch that requests to it must have reached.
    pub fence_epoch: Epoch,
    /// Units that it owns.
    pub units_owned: u64,
    /// Units on their way from it.
    pub units_leaving: u64,
    /// Units on their way to it.
    pub units_coming: u64,
}

#[derive(Clone, Copy, Default)]
struct UnitCounts {
    owned: u64,
    leaving: u64,
    coming: u64,
}

impl UpstreamsResponse {
    /// Makes the answer from the view of a daemon.
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
