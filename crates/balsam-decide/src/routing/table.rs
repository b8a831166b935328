//! Finds routes by host and path.

use balsam_types::{
    CallerLimits, ConfigVersion, Map, Route, RoutingConfig, ServiceName, ServicePolicy, new_map,
};
use std::sync::Arc;

/// One version of the configuration, arranged for look-ups.
#[derive(Debug)]
pub struct RouteTable {
    version: ConfigVersion,
    limits: CallerLimits,
    services: Map<ServiceName, ServicePolicy>,
    hosts: Map<Arc<str>, Map<Arc<str>, Arc<Route>>>,
}

impl RouteTable {
    /// Arranges a configuration.
    pub fn new(config: RoutingConfig) -> Self {
        let mut hosts: Map<Arc<str>, Map<Arc<str>, Arc<Route>>> = new_map();
        for route in config.routes {
            let host = hosts.entry(Arc::clone(&route.host)).or_default();
            host.insert(Arc::clone(&route.prefix), route);
        }
        Self {
            version: config.version,
            limits: config.limits,
            services: config.services,
            hosts,
        }
    }

    /// Returns the version.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns what callers may send.
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns what the operator says of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServicePolicy> {
        self.services.get(name)
    }

    /// Returns the names of the services whose keys have one owner each.
    pub fn keyed_services(&self) -> impl Iterator<Item = &ServiceName> {
        let keyed = self.services.iter().filter(|(_, policy)| policy.is_keyed);
        keyed.map(|(name, _)| name)
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
    ///
    /// A port in `host` and a query behind `path` do not count.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host
            .split(':')
            .next()
            .unwrap_or_default()
            .to_ascii_lowercase();
        let prefixes = self.hosts.get(host.as_str())?;
        let mut rest = path.split(['?', '#']).next().unwrap_or_default();
        // Prefixes end with a slash, so that each shorter one ends at an earlier slash.
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = prefixes.get(&rest[..=slash]) {
                return Some(route);
            }
            rest = &rest[..slash];
        }
        None
    }
}
