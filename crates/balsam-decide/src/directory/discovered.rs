//! The published list of known upstreams.

use balsam_types::{Map, ServiceName, TimeMs, UpstreamEntry, UpstreamName, new_map};
use std::sync::Arc;

/// An upstream according to the newest entry that this daemon knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveredUpstream {
    /// The newest known entry of the upstream.
    pub entry: UpstreamEntry,
    /// When the warm-up after the start of the upstream ends; it is slow until then.
    pub warmup_ends_at: TimeMs,
}

/// All upstreams that are known at one moment, indexed by name and by service.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    by_name: Map<UpstreamName, Arc<DiscoveredUpstream>>,
    by_service: Map<ServiceName, Vec<Arc<DiscoveredUpstream>>>,
}

impl Upstreams {
    /// Creates a list with its indexes.
    pub fn new(list: impl IntoIterator<Item = Arc<DiscoveredUpstream>>) -> Self {
        let mut by_name = new_map();
        let mut by_service: Map<ServiceName, Vec<Arc<DiscoveredUpstream>>> = new_map();
        for upstream in list {
            let service = by_service
                .entry(upstream.entry.service.clone())
                .or_default();
            service.push(Arc::clone(&upstream));
            by_name.insert(upstream.entry.name.clone(), upstream);
        }
        for service in by_service.values_mut() {
            service.sort_by(|a, b| a.entry.name.cmp(&b.entry.name));
        }
        Self {
            by_name,
            by_service,
        }
    }

    /// Returns the upstream with this name.
    pub fn get(&self, name: &UpstreamName) -> Option<&Arc<DiscoveredUpstream>> {
        self.by_name.get(name)
    }

    /// Returns the upstreams of a service in the order of their names.
    pub fn of(&self, service: &ServiceName) -> &[Arc<DiscoveredUpstream>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<DiscoveredUpstream>> {
        self.by_name.values()
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
