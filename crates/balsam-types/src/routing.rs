//! The routing configuration that an operator publishes.
//!
//! See [the platform page](../../../docs/platform.md#configuration).

use crate::{Map, RouteName, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The version of a routing configuration; a greater one is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once.
    Order,
    /// Large answers; requests may run more than once.
    Download,
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    pub const fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent | Self::Download => true,
            Self::Order => false,
        }
    }

    /// Returns the text used in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Order => "order",
            Self::Download => "download",
        }
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the sum of the route's weights.
    pub weight: u32,
}

/// One route: which requests it takes, where they go and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: RouteName,
    /// The host that callers address, in lower case.
    pub host: Arc<str>,
    /// The start of the paths; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer is worth its full value, in milliseconds.
    pub objective_ms: u64,
    /// The rank of the work; 0 is the most urgent.
    pub rank: u32,
    /// Upstreams to which one request may be sent.
    pub attempts_max: u32,
    /// The services that share the requests; at least one.
    pub shares: Vec<ServiceShare>,
}

/// What an operator says of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Whether each key has one owning upstream.
    pub is_keyed: bool,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_max_bytes: usize,
    /// Bytes of a request's body.
    pub body_max_bytes: u64,
    /// Time for a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits that hold until a configuration arrives.
    fn default() -> Self {
        Self {
            header_max_bytes: 16 << 10,
            body_max_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the routing configuration, in full.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// The version.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: Map<ServiceName, ServicePolicy>,
    /// What callers may send.
    pub limits: CallerLimits,
}
