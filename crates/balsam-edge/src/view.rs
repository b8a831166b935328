//! What a daemon believes, as its request tasks see it.

use balsam_decide::crashes::SuspectList;
use balsam_decide::directory::Upstreams;
use balsam_decide::pool::ClusterState;
use balsam_decide::routing::RouteTable;
use balsam_types::{
    DaemonName, FencingToken, Map, ServiceName, ServiceRanges, Set, TimeMs, new_map,
};
use std::sync::Arc;

/// The daemon's beliefs of one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// The configuration in force, if one was read.
    pub table: Option<Arc<RouteTable>>,
    /// When that version was adopted.
    pub table_adopted_at: TimeMs,
    /// The upstreams.
    pub upstreams: Arc<Upstreams>,
    /// The owners of keys.
    pub ranges: Map<ServiceName, Arc<ServiceRanges>>,
    /// The tokens of moving keys whose next owner has them already.
    pub moved: Map<ServiceName, Arc<Set<FencingToken>>>,
    /// Daemons of the deployment, this one included.
    pub daemons: u32,
    /// Whether the list of upstreams was read.
    pub has_upstreams: bool,
    /// Requests that seem to crash upstreams.
    pub suspects: Arc<SuspectList>,
}

/// What the daemon knows of its own knowledge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SyncStatus {
    /// The daemon that assigns keys, if one is known.
    pub(crate) leader: Option<DaemonName>,
    /// How old the knowledge of the store's tables was, in milliseconds.
    pub(crate) age_ms: u64,
    /// When that was so.
    pub(crate) measured_at: TimeMs,
}

impl SyncStatus {
    /// Makes the standing of a daemon that knows nothing.
    pub(crate) const fn unknown(now: TimeMs) -> Self {
        Self {
            leader: None,
            age_ms: u64::MAX,
            measured_at: now,
        }
    }

    /// Returns how old the knowledge of the store's tables is, in milliseconds.
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
        }
    }
}

impl View {
    /// Returns whether requests can be served.
    pub const fn is_ready(&self) -> bool {
        self.table.is_some() && self.has_upstreams
    }

    /// Returns what the pool needs of the view, once there is a configuration.
    pub(crate) fn routing_state(&self) -> Option<ClusterState> {
        Some(ClusterState {
            table: Arc::clone(self.table.as_ref()?),
            upstreams: Arc::clone(&self.upstreams),
            ranges: self.ranges.clone(),
            moved: self.moved.clone(),
            daemons: self.daemons,
        })
    }
}
