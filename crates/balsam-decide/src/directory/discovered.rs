//! The published list of upstreams.

use balsam_types::{Map, ServiceName, TimeMs, UpstreamEntry, UpstreamName, new_map};
use std::sync::Arc;

/// An upstream as this daemon believes it to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveredUpstream {
    /// What the upstream said last.
    pub entry: UpstreamEntry,
    /// Until when it is slow after its start.
    pub warmup_ends_at: TimeMs,
}

/// All upstreams of one moment, by service and by name.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    by_name: Map<UpstreamName, Arc<DiscoveredUpstream>>,
    by_service: Map<ServiceName, Vec<Arc<DiscoveredUpstream>>>,
}

impl Upstreams {
    /// Arranges a list.
    pub fn new(list: impl IntoIterator<Item = Arc<DiscoveredUpstream>>) -> Self {
        let mut by_name = new_map();
        let mut by_service: Map<ServiceName, Vec<Arc<DiscoveredUpstream>>> = new_map();
        for believed in list {
            let service = by_service
                .entry(believed.entry.service.clone())
                .or_default();
            service.push(Arc::clone(&believed));
            by_name.insert(believed.entry.name.clone(), believed);
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
