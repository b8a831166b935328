//! The routing configuration published by an operator.
//!
//! See [the platform page](../../../docs/platform.md#configuration).

use crate::{Map, RouteName, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The version of a routing configuration; a higher version is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The retry semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests are idempotent and may run more than once.
    Idempotent,
    /// Requests are not idempotent, and each runs at most once.
    Order,
    /// Requests are idempotent and have large responses.
    Download,
}

impl RouteKind {
    /// Returns whether a request may be retried after it may already have run.
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

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service that receives the share.
    pub service: ServiceName,
    /// The share, relative to the sum of the weights of the route.
    pub weight: u32,
}

/// A route: which requests it matches, where they are sent and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: RouteName,
    /// The matched host name, in lower case.
    pub host: Arc<str>,
    /// The matched path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// The retry semantics of the requests.
    pub kind: RouteKind,
    /// The time limit for a request, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective in milliseconds; a later response is worth less to the caller.
    pub objective_ms: u64,
    /// The rank (priority class) of the requests; 0 is the most urgent.
    pub rank: u32,
    /// The maximum number of upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// The services that the requests are split between; at least one.
    pub shares: Vec<ServiceShare>,
}

/// What upstreams of a service tolerate while they are cold, right after their start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmupTerms {
    /// How long an upstream is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// The mean interval between two requests that a cold upstream tolerates, in microseconds.
    pub interval_us: u64,
}

/// The operator's configuration of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Whether each key is owned by a single upstream.
    pub is_keyed: bool,
    /// What cold upstreams tolerate, if that is limited. Not part of the encoding between daemons,
    /// which earlier builds read by position.
    #[serde(skip)]
    pub warmup: Option<WarmupTerms>,
    /// The path at which an upstream tells who it is, if the operator names one. Not part of the
    /// encoding between daemons, like `warmup`.
    #[serde(skip)]
    pub health_check: Option<Arc<str>>,
}

impl ServicePolicy {
    /// Creates the policy of a service without limits for cold upstreams.
    pub const fn new(is_keyed: bool) -> Self {
        Self {
            is_keyed,
            warmup: None,
            health_check: None,
        }
    }

    /// Sets what cold upstreams tolerate.
    #[must_use]
    pub const fn with_warmup(mut self, warmup: Option<WarmupTerms>) -> Self {
        self.warmup = warmup;
        self
    }

    /// Sets the path of health checks.
    #[must_use]
    pub fn with_health_check(mut self, health_check: Option<Arc<str>>) -> Self {
        self.health_check = health_check;
        self
    }
}

/// Size and time limits for caller connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub header_max_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_max_bytes: u64,
    /// The time limit for receiving a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// The time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits in force until a configuration arrives.
    fn default() -> Self {
        Self {
            header_max_bytes: 16 << 10,
            body_max_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A complete version of the routing configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// The version of this configuration.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services that routes refer to.
    pub services: Map<ServiceName, ServicePolicy>,
    /// The limits for caller connections.
    pub limits: CallerLimits,
}
