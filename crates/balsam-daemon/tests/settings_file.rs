//! Tests of the settings file: every fault is found, named and listed at once.

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

/// Guards against a default that differs from the documented one.
#[test]
fn missing_optional_fields_have_defaults() {
    let config = Config::from_json(valid().to_string()).unwrap();
    assert_eq!(config.limits, Limits::default());
    assert_eq!(config.log_level, log::LevelFilter::Info);
    assert_eq!(config.peer_advertise, None);
}

/// Guards against a value that is taken over unchecked, or refused without naming the range.
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
fn a_bad_value_is_refused(#[case] field: &str, #[case] value: Value, #[case] accepted: &str) {
    let mut settings = valid();
    settings[field] = value;
    let faults = faults_of(&settings);
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert_eq!(faults[0].0, field);
    assert!(faults[0].1.contains(accepted), "{}", faults[0].1);
}

/// Guards against limits that leave their range.
#[rstest]
#[case("caller_connections", json!(0), "1 to 1000000")]
#[case("operator_connections", json!(-1), "1 to 10000")]
#[case("peer_connections", json!("many"), "1 to 100000")]
#[case("header_bytes", json!(100), "1024 to 1048576")]
#[case("keep_alive_ms", json!(0), "1 to 3600000")]
#[case("grace_ms", json!(600_001), "0 to 600000")]
#[case("drain_ms", json!(86_400_001), "0 to 86400000")]
#[case("leave_ms", json!(1.5), "0 to 60000")]
fn a_bad_limit_is_refused(#[case] field: &str, #[case] value: Value, #[case] accepted: &str) {
    let mut settings = valid();
    settings["limits"] = json!({ field: value });
    let faults = faults_of(&settings);
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert_eq!(faults[0].0, format!("limits.{field}"));
    assert!(faults[0].1.contains(accepted), "{}", faults[0].1);
}

/// Guards against a report that stops at the first fault, and against misspelt fields that are
/// silently ignored.
#[test]
fn all_faults_are_listed_at_once() {
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

/// Guards against a secret that reaches the log through a fault or a debug print.
#[test]
fn secrets_are_not_printed() {
    let mut settings = valid();
    settings["peer_credential"] = json!("hush");
    settings["credentials"] = json!("hush");
    for (_, text) in faults_of(&settings) {
        assert!(!text.contains("hush"), "{text}");
    }
    let config = Config::from_json(valid().to_string()).unwrap();
    assert!(!format!("{config:?}").contains("credential-0001"));
}

/// Guards against a daemon that tells its peers an address they cannot connect to.
#[test]
fn a_wildcard_listener_needs_an_advertised_address() {
    let mut settings = valid();
    settings["peer_listen"] = json!("0.0.0.0:7000");
    assert_eq!(faults_of(&settings)[0].0, "peer_advertise");
    settings["peer_advertise"] = json!("10.0.0.1:7000");
    let config = Config::from_json(settings.to_string()).unwrap();
    assert_eq!(config.peer_advertise, "10.0.0.1:7000".parse().ok());
}

/// Guards against a file that is not an object being reported as missing fields.
#[rstest]
#[case("{", "not valid JSON")]
#[case("[1]", "an array")]
#[case("null", "null")]
fn other_json_is_refused(#[case] text: &str, #[case] expected: &str) {
    let error = Config::from_json(text).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}
