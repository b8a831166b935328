//! Log lines of decisions.

use log::{error, info};
use serde::Serialize;

/// The log target of decisions, by which they can be filtered.
pub const DECISION_TARGET: &str = "decision";

/// Writes one decision as a log line; `decision` carries its reason as an enum.
pub fn decision(decision: &impl Serialize) {
    if !log::log_enabled!(target: DECISION_TARGET, log::Level::Info) {
        return;
    }
    match serde_json::to_string(decision) {
        Ok(json) => info!(target: DECISION_TARGET, "{json}"),
        Err(failure) => error!("decision cannot be written: {failure}"),
    }
}
