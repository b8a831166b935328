//! Compares the operators' page with the code that it documents.

use balsam_daemon::config::Limits;
use balsam_types::settings::{SettingKey, Unit};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns the cells of the first table row below `heading` whose first cell is `name`.
fn row(heading: &str, name: &str) -> Vec<&'static str> {
    let start = format!("| `{name}` |");
    let (_, section) = PAGE.split_once(heading).expect("the heading");
    let line = section.lines().find(|line| line.starts_with(&start));
    let line = line.unwrap_or_else(|| panic!("no row for {name}"));
    let cells = line.trim_matches('|').split('|');
    cells.map(|cell| cell.trim().trim_matches('`')).collect()
}

/// Guards against a settings reference that differs from the keys, ranges and defaults in the code.
#[test]
fn the_settings_reference_is_complete() {
    for key in SettingKey::ALL {
        let cells = row("## 3. Settings tree", key.as_str());
        let unit = match key.unit() {
            Some(Unit::Count) => "count",
            Some(Unit::Milliseconds) => "ms",
            Some(Unit::Bytes) => "bytes",
            Some(Unit::Percent) => "percent",
            None => cells[2],
        };
        let expected = [unit, &key.accepted(), &key.default_value().to_string()];
        assert_eq!(cells[2..], expected, "{}", key.as_str());
    }
}

/// Guards against documented limits that differ from the defaults in the code.
#[test]
fn the_limits_are_documented() {
    let limits = Limits::default();
    let expected = [
        ("caller_connections", limits.caller_connections as u64),
        ("operator_connections", limits.operator_connections as u64),
        ("peer_connections", limits.peer_connections as u64),
        ("header_bytes", limits.header_bytes as u64),
        ("keep_alive_ms", limits.keep_alive_ms),
        ("grace_ms", limits.grace_ms),
        ("drain_ms", limits.drain_ms),
        ("leave_ms", limits.leave_ms),
    ];
    for (name, default) in expected {
        assert_eq!(
            row("| field of `limits` |", name)[3],
            default.to_string(),
            "{name}"
        );
    }
}
