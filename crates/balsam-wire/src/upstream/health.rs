//! Health, load and drain of an upstream.

use serde::{Deserialize, Serialize};

/// The state that an upstream reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthState {
    /// The upstream is still starting.
    Starting,
    /// The upstream takes work.
    Ready,
    /// The upstream is draining.
    Draining,
}

/// The answer of `GET /control/health`; lags behind and may mislead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthResponse {
    /// The reported state.
    pub state: HealthState,
}

/// The answer of `GET /control/load`; lags behind and may mislead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadResponse {
    /// Requests that were running.
    pub running: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// The answer of `POST /control/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainResponse {
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Requests that are still running.
    pub running: u32,
}
