//! Lookup of routes by host and path.

use balsam_types::{
    CallerLimits, ConfigVersion, Map, Route, RoutingConfig, ServiceName, ServicePolicy, new_map,
};
use std::sync::Arc;

/// One version of the configuration, indexed for lookups.
#[derive(Debug)]
pub struct RouteTable {
    version: ConfigVersion,
    limits: CallerLimits,
    services: Map<ServiceName, ServicePolicy>,
    hosts: Map<Arc<str>, Map<Arc<str>, Arc<Route>>>,
}

impl RouteTable {
    /// Builds the index of a configuration.
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

    /// Returns the version of the configuration.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits on what callers may send.
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the operator's policy for a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServicePolicy> {
        self.services.get(name)
    }

    /// Returns the names of the services in which each key has exactly one owner.
    pub fn keyed_services(&self) -> impl Iterator<Item = &ServiceName> {
        let keyed = self.services.iter().filter(|(_, policy)| policy.is_keyed);
        keyed.map(|(name, _)| name)
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// A port in `host` and a query or fragment in `path` are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host
            .split(':')
            .next()
            .unwrap_or_default()
            .to_ascii_lowercase();
        let prefixes = self.hosts.get(host.as_str())?;
        let mut rest = path.split(['?', '#']).next().unwrap_or_default();
        // Prefixes end with a slash, so the next shorter prefix ends at the slash before.
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = prefixes.get(&rest[..=slash]) {
                return Some(route);
            }
            rest = &rest[..slash];
        }
        None
    }
}
