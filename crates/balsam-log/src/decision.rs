//! Structured log lines for decisions.

use log::{error, info};
use serde::Serialize;

/// The log target of decisions, which allows filtering for them.
pub const DECISION_TARGET: &str = "decision";

/// Logs a decision as JSON. The value should include the reason for the decision as an enum.
pub fn decision(decision: &impl Serialize) {
    if !log::log_enabled!(target: DECISION_TARGET, log::Level::Info) {
        return;
    }
    match serde_json::to_string(decision) {
        Ok(json) => info!(target: DECISION_TARGET, "{json}"),
        Err(failure) => error!("failed to serialize decision: {failure}"),
    }
}
