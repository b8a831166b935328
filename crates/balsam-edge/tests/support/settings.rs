//! A valid settings file.

use serde_json::{Value, json};

/// Returns settings that a daemon accepts.
pub fn settings_json() -> Value {
    json!({
        "daemon": "d1", "zone": "a",
        "listen": {
            "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "peers": "127.0.0.1:3",
            "metrics": "127.0.0.1:4"
        },
        "machine": {"cpu_share": 0.2, "cpu_speed": 1, "link_mbps": 1000},
        "peer_credential": "word", "store": "127.0.0.1:5", "row_max_bytes": 65_536,
        "bounds": {
            "grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10,
            "budget_slack": 60, "hold_max_s": 10
        },
        "log_level": "info"
    })
}
