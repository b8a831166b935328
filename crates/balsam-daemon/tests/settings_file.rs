//! Validation of the settings file: every error must name its field, and all errors must be listed
//! at once.

use balsam_daemon::config::{Config, ConfigError, Limits};
use rstest::rstest;
use serde_json::{Value, json};

fn valid() -> Value {
    json!({
        "caller_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "zone": "az-1",
        "region": "east",
        "platform": "127.0.0.1:9000",
        "peer_credential": "peer-credential-0001",
        "operator_credential": "operator-credential-0001",
    })
}

fn faults_of(settings: &Value) -> Vec<(String, String)> {
    match Config::from_json(settings.to_string()) {
        Err(ConfigError::Faults { faults }) => faults
            .0
            .iter()
            .map(|fault| (fault.field().to_owned(), fault.to_string()))
            .collect(),
        other => panic!("expected faults, got {other:?}"),
    }
}

/// Optional fields must have the documented defaults.
#[test]
fn default_values() {
    let config = Config::from_json(valid().to_string()).unwrap();
    assert_eq!(config.limits, Limits::default());
    assert_eq!(config.log_level, log::LevelFilter::Info);
    assert_eq!(config.peer_advertise, None);
}

/// An invalid value must be rejected with a description of the accepted values.
#[rstest]
#[case("caller_listen", json!("localhost:80"), "an IP address and port")]
#[case("operator_listen", json!(80), "an IP address and port")]
#[case("peer_listen", json!("127.0.0.1"), "an IP address and port")]
#[case("peer_advertise", json!("10.0.0.1:0"), "port from 1 to 65535")]
#[case("peer_advertise", json!("0.0.0.0:80"), "port from 1 to 65535")]
#[case("zone", json!("a/b"), "1 to 128 letters")]
#[case("region", json!(""), "1 to 128 letters")]
#[case("platform", json!("127.0.0.1:0"), "port from 1 to 65535")]
#[case("peer_credential", json!("short"), "16 to 256 visible ASCII")]
#[case("operator_credential", json!("with space in the text"), "16 to 256 visible ASCII")]
#[case("log_level", json!("loud"), "\"warn\"")]
#[case("limits", json!(7), "a JSON object")]
fn invalid_values(#[case] field: &str, #[case] value: Value, #[case] accepted: &str) {
    let mut settings = valid();
    settings[field] = value;
    let faults = faults_of(&settings);
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert_eq!(faults[0].0, field);
    assert!(faults[0].1.contains(accepted), "{}", faults[0].1);
}

/// A limit outside its range must be rejected with the range.
#[rstest]
#[case("caller_connections", json!(0), "1 to 1000000")]
#[case("operator_connections", json!(-1), "1 to 10000")]
#[case("peer_connections", json!("many"), "1 to 100000")]
#[case("header_bytes", json!(100), "1024 to 1048576")]
#[case("keep_alive_ms", json!(0), "1 to 3600000")]
#[case("grace_ms", json!(600_001), "0 to 600000")]
#[case("drain_ms", json!(86_400_001), "0 to 86400000")]
#[case("leave_ms", json!(1.5), "0 to 60000")]
fn invalid_limits(#[case] field: &str, #[case] value: Value, #[case] accepted: &str) {
    let mut settings = valid();
    settings["limits"] = json!({ field: value });
    let faults = faults_of(&settings);
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert_eq!(faults[0].0, format!("limits.{field}"));
    assert!(faults[0].1.contains(accepted), "{}", faults[0].1);
}

/// Validation must not stop at the first error, and must report misspelled field names instead of
/// ignoring them.
#[test]
fn all_faults() {
    let mut settings = valid();
    settings["zone"] = json!(3);
    settings["zoen"] = json!("az-1");
    settings["limits"] = json!({ "header_bytes": 1, "headers": 2 });
    settings.as_object_mut().unwrap().remove("platform");
    let mut fields: Vec<_> = faults_of(&settings)
        .into_iter()
        .map(|fault| fault.0)
        .collect();
    fields.sort();
    let expected = [
        "limits.header_bytes",
        "limits.headers",
        "platform",
        "zoen",
        "zone",
    ];
    assert_eq!(fields, expected);
}

/// Credentials must not appear in validation errors or in debug output, from where they could reach
/// the log.
#[test]
fn hidden_secrets() {
    let mut settings = valid();
    settings["peer_credential"] = json!("hush");
    settings["credentials"] = json!("hush");
    for (_, text) in faults_of(&settings) {
        assert!(!text.contains("hush"), "{text}");
    }
    let config = Config::from_json(valid().to_string()).unwrap();
    assert!(!format!("{config:?}").contains("credential-0001"));
}

/// A daemon must not advertise a wildcard address to its peers, because they cannot connect to it.
#[test]
fn wildcard_listener() {
    let mut settings = valid();
    settings["peer_listen"] = json!("0.0.0.0:7000");
    assert_eq!(faults_of(&settings)[0].0, "peer_advertise");
    settings["peer_advertise"] = json!("10.0.0.1:7000");
    let config = Config::from_json(settings.to_string()).unwrap();
    assert_eq!(config.peer_advertise, "10.0.0.1:7000".parse().ok());
}

/// JSON that is not an object must be reported as such, and not as missing fields.
#[rstest]
#[case("{", "not valid JSON")]
#[case("[1]", "an array")]
#[case("null", "null")]
fn not_an_object(#[case] text: &str, #[case] expected: &str) {
    let error = Config::from_json(text).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}
