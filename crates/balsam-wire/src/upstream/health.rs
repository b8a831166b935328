//! Health and load reports and the drain command of an upstream.

use serde::{Deserialize, Serialize};

/// The state that an upstream reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthState {
    /// The upstream is still starting up.
    Starting,
    /// The upstream accepts work.
    Ready,
    /// The upstream is draining.
    Draining,
}

/// The response to `GET /control/health`, which may be out of date or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthResponse {
    /// The reported state.
    pub state: HealthState,
}

/// The response to `GET /control/load`, which may be out of date or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadResponse {
    /// The number of requests that were running.
    pub running: u32,
    /// The number of requests that can run concurrently.
    pub slots: u32,
}

/// The response to `POST /control/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainResponse {
    /// Whether the upstream is draining.
    pub draining: bool,
    /// The number of requests that are still running.
    pub running: u32,
}
