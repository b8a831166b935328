//! Immutable snapshots of the routing state, published by the control task for the request tasks.

use balsam_decide::crashes::SuspectList;
use balsam_decide::directory::Upstreams;
use balsam_decide::evacuation::EvacuatedZones;
use balsam_decide::pool::ClusterState;
use balsam_decide::room::KeeperList;
use balsam_decide::routing::RouteTable;
use balsam_types::{
    DaemonName, FencingToken, Map, ServiceName, ServiceRanges, Set, TimeMs, new_map,
};
use std::sync::Arc;

/// Routing state of the daemon at one point in time.
#[derive(Clone, Debug)]
pub struct View {
    /// The configuration in force, once one has been read.
    pub table: Option<Arc<RouteTable>>,
    /// When the configuration in force was adopted.
    pub table_adopted_at: TimeMs,
    /// The known upstreams.
    pub upstreams: Arc<Upstreams>,
    /// Owners of the key ranges, by service.
    pub ranges: Map<ServiceName, Arc<ServiceRanges>>,
    /// Fencing tokens of moving ranges that the next owner already holds although the stored
    /// assignments do not say so yet.
    pub moved: Map<ServiceName, Arc<Set<FencingToken>>>,
    /// Number of daemons in the deployment, this one included.
    pub daemons: u32,
    /// Whether the list of upstreams has been read.
    pub has_upstreams: bool,
    /// Requests that are suspected of crashing upstreams.
    pub suspects: Arc<SuspectList>,
    /// The daemons that keep the room of upstreams.
    pub keepers: Arc<KeeperList>,
    /// The zones whose upstreams get no requests.
    pub evacuated: Arc<EvacuatedZones>,
}

/// The known leader, and the age of this daemon's copy of the store's tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SyncStatus {
    /// The daemon that assigns keys, if it is known.
    pub(crate) leader: Option<DaemonName>,
    /// Age of the data from the store's tables at `measured_at`, in milliseconds.
    pub(crate) age_ms: u64,
    /// When the age was measured.
    pub(crate) measured_at: TimeMs,
}

impl SyncStatus {
    /// Creates the status of a daemon that has not read the store's tables yet.
    pub(crate) const fn unknown(now: TimeMs) -> Self {
        Self {
            leader: None,
            age_ms: u64::MAX,
            measured_at: now,
        }
    }

    /// Returns the age of the data from the store's tables at `now`, in milliseconds.
    pub(crate) fn knowledge_age_ms(&self, now: TimeMs) -> u64 {
        self.age_ms.saturating_add(now.since(self.measured_at))
    }
}

impl Default for View {
    fn default() -> Self {
        Self {
            table: None,
            table_adopted_at: TimeMs(0),
            upstreams: Arc::new(Upstreams::default()),
            ranges: new_map(),
            moved: new_map(),
            daemons: 1,
            has_upstreams: false,
            suspects: Arc::new(SuspectList::default()),
            keepers: Arc::default(),
            evacuated: Arc::default(),
        }
    }
}

impl View {
    /// Returns whether the daemon has read enough to serve requests.
    pub const fn is_ready(&self) -> bool {
        self.table.is_some() && self.has_upstreams
    }

    /// Returns the part of the state that the pool needs, or `None` before the first configuration.
    pub(crate) fn cluster_state(&self) -> Option<ClusterState> {
        Some(ClusterState {
            table: Arc::clone(self.table.as_ref()?),
            upstreams: Arc::clone(&self.upstreams),
            ranges: self.ranges.clone(),
            moved: self.moved.clone(),
            daemons: self.daemons,
            keepers: Arc::clone(&self.keepers),
            evacuated: Arc::clone(&self.evacuated),
        })
    }
}
