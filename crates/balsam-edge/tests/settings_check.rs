//! Validation of the settings file: an error must name the field and the accepted values.

#[path = "support/settings.rs"]
mod settings;

use balsam_edge::settings::{Settings, SettingsError};
use rstest::rstest;
use serde_json::{Value, json};
use settings::settings_json;

fn read(settings: &Value) -> Result<Settings, SettingsError> {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), settings.to_string()).expect("a written file");
    Settings::read(file.path())
}

/// Valid settings must be accepted, and times converted to milliseconds.
#[test]
fn good_settings_json() {
    let settings = read(&settings_json()).expect("settings");
    assert_eq!(
        (settings.bounds.hold_max_ms(), settings.bounds.grace_ms()),
        (10_000, 6_000)
    );
}

/// A platform that does not set the bound of evacuations must get the default, and one that does must
/// get its own.
#[rstest]
#[case::unset(None, 5_000)]
#[case::set(Some(8.0), 8_000)]
fn evacuation_bound(#[case] evacuation_s: Option<f64>, #[case] expected_ms: u64) {
    let mut settings = settings_json();
    if let Some(evacuation_s) = evacuation_s {
        settings["bounds"]["evacuation_s"] = json!(evacuation_s);
    }
    let settings = read(&settings).expect("settings");
    assert_eq!(settings.bounds.evacuation_ms(), expected_ms);
}

/// An invalid bound of evacuations must be rejected with the name of its field.
#[rstest]
#[case::negative(json!(-1), "bounds.evacuation_s")]
#[case::long(json!(99_999), "bounds.evacuation_s")]
#[case::text(json!("5"), "invalid type")]
fn bad_evacuation_bound(#[case] value: Value, #[case] expected: &str) {
    let mut settings = settings_json();
    settings["bounds"]["evacuation_s"] = value;
    let error = read(&settings).expect_err("a refusal").to_string();
    assert!(error.contains(expected), "{error}");
}

/// An invalid value must be rejected with the name of its field.
#[rstest]
#[case::credential("/peer_credential", json!(""), "peer_credential")]
#[case::time("/bounds/grace_s", json!(-1), "bounds.grace_s")]
#[case::hold("/bounds/hold_max_s", json!(99999), "bounds.hold_max_s")]
#[case::ratio("/bounds/retry_budget_ratio", json!(-0.1), "bounds.retry_budget_ratio")]
#[case::cpu("/machine/cpu_share", json!(0), "machine.cpu_share")]
#[case::memory("/machine", json!({"cpu_share": 1, "cpu_speed": 1, "link_mbps": 1, "memory_mb": 63}),
    "machine.memory_mb")]
#[case::row("/row_max_bytes", json!(100), "row_max_bytes")]
#[case::name("/daemon", json!("a b"), "daemon")]
#[case::address("/store", json!("nowhere"), "socket address")]
fn bad_value(#[case] field: &str, #[case] value: Value, #[case] expected: &str) {
    let mut settings = settings_json();
    *settings.pointer_mut(field).expect("the field") = value;
    let error = read(&settings).expect_err("a refusal").to_string();
    assert!(error.contains(expected), "{error}");
}

/// A slow processor or a narrow link must reduce the machine's capacity for the leader's duties.
#[rstest]
#[case::strong(0.5, 1_000.0, 1.0)]
#[case::slow_processor(0.1, 1_000.0, 0.2)]
#[case::narrow_link(0.5, 10.0, 0.1)]
fn weak_machine(#[case] cpu_share: f64, #[case] link_mbps: f64, #[case] leader_capacity: f64) {
    let mut settings = settings_json();
    settings["machine"] = json!({"cpu_share": cpu_share, "cpu_speed": 1, "link_mbps": link_mbps});
    let machine = read(&settings).expect("settings").machine;
    assert!((machine.leader_capacity() - leader_capacity).abs() < 1e-9);
}

/// Settings without the memory of the machine must stay valid, and those of the deploy file too.
#[rstest]
#[case::absent(None)]
#[case::whole(Some(120))]
fn machine_memory(#[case] memory_mb: Option<u64>) {
    let mut settings = settings_json();
    if let Some(memory_mb) = memory_mb {
        settings["machine"]["memory_mb"] = json!(memory_mb);
    }
    let machine = read(&settings).expect("settings").machine;
    assert_eq!(machine.memory_whole_mb(), memory_mb);
}

/// A misspelt field must not be ignored.
#[test]
fn unknown_field() {
    let mut settings = settings_json();
    settings["lgo_level"] = json!("info");
    read(&settings).unwrap_err();
}
