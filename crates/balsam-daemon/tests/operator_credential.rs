//! The operator listener: the credential check, the paths and the refusals.

mod support;

use balsam_standins::harness::Sent;
use balsam_wire::operator::{
    DAEMONS_PATH, EDIT_PATH, EPOCHS_PATH, EXPLAIN_PATH, ErrorCode, ErrorResponse, FORGET_PATH,
    METRICS_PATH, OWNER_PATH, QUARANTINE_PATH, SETTINGS_PATH, SettingsResponse, UPSTREAMS_PATH,
};
use rstest::rstest;
use serde_json::{Value, json};
use support::{CREDENTIAL, Platform, TestDaemon};

const PATHS: [&str; 11] = [
    DAEMONS_PATH,
    EDIT_PATH,
    EPOCHS_PATH,
    EXPLAIN_PATH,
    FORGET_PATH,
    METRICS_PATH,
    OWNER_PATH,
    QUARANTINE_PATH,
    SETTINGS_PATH,
    UPSTREAMS_PATH,
    "/no/such/path",
];

fn parse_refusal(body: &[u8]) -> ErrorResponse {
    serde_json::from_slice(body).expect("a typed refusal")
}

/// Guards against a path that responds without the credential, and against refusals that reveal which
/// paths exist.
#[rstest]
#[case::none(None)]
#[case::wrong(Some("Bearer operator-credential-0002".to_owned()))]
#[case::shortened(Some(format!("Bearer {}", &CREDENTIAL[1..])))]
#[case::other_scheme(Some(format!("Basic {CREDENTIAL}")))]
#[actix_rt::test]
async fn every_path_needs_the_credential(#[case] presented: Option<String>) {
    let platform = Platform::start().await;
    let daemon = TestDaemon::start(&platform).await;
    for path in PATHS {
        for sent in [Sent::get(path), Sent::post(path, "{}")] {
            let sent = match &presented {
                Some(text) => sent.with_header("authorization", text),
                None => sent,
            };
            let answer = daemon.operator.send(sent).await.unwrap();
            assert_eq!(answer.status, 401, "{path}");
            assert_eq!(parse_refusal(&answer.body).code, ErrorCode::BadCredential);
        }
    }
    daemon.stop().await;
    platform.server.stop().await;
}

/// Guards against refusals that lack the field, the accepted values or the help text.
#[rstest]
#[case(EXPLAIN_PATH, "path")]
#[case("/v1/settings/explain?path=%2Fnowhere%2Fx", "path")]
#[case("/v1/settings/explain?path=%2F&key=no_such_key", "key")]
#[case("/v1/settings/explain?path=%2F&kee=weight", "kee")]
#[case("/v1/settings?all=1", "all")]
#[case("/v1/owner?service=a%2Fb&key=k", "service")]
#[case("/v1/owner?service=s", "key")]
#[case("/v1/owner?service=%ZZ&key=k", "query")]
#[actix_rt::test]
async fn a_bad_query_names_its_field(#[case] path: &str, #[case] field: &str) {
    let platform = Platform::start().await;
    let daemon = TestDaemon::start(&platform).await;
    let answer = daemon.send(Sent::get(path)).await;
    assert_eq!(answer.status, 400, "{}", answer.text());
    let found = parse_refusal(&answer.body);
    let at = found.at.expect("a field");
    assert_eq!(at.field, field);
    assert!(!at.accepted.is_empty());
    assert!(!found.help.is_empty());
    daemon.stop().await;
    platform.server.stop().await;
}

/// Guards against an invalid edit that is partly applied, or whose refusal does not name the invalid
/// field.
#[rstest]
#[case(json!({"edits": []}), "edits")]
#[case(json!({"edits": [{"path": "/zones", "base_version": 0}]}), "path")]
#[case(json!({"edits": [{"path": "/", "base_version": 0, "values": {"weigth": 1}}]}), "key")]
#[case(json!({"edits": [{"path": "/", "base_version": 0, "values": {"weight": 0}}]}), "weight")]
#[case(json!({"edits": [{"path": "/", "base_version": 0, "values": {"weight": -1}}]}), "weight")]
#[case(json!({"edits": [{"path": "/", "base_version": 0, "values": {"orders": "yes"}}]}), "orders")]
#[case(json!({"edits": [{"path": "/", "base_version": 0, "vaules": {}}]}), "body")]
#[case(json!({"edits": [
    {"path": "/", "base_version": 0, "values": {"weight": 5}},
    {"path": "/", "base_version": 0, "values": {"weight": 100_000}},
]}), "weight")]
#[actix_rt::test]
async fn a_bad_edit_changes_nothing(#[case] body: Value, #[case] field: &str) {
    let platform = Platform::start().await;
    let daemon = TestDaemon::start(&platform).await;
    daemon.wait_until_joined().await;
    let answer = daemon.post(EDIT_PATH, &body).await;
    assert_eq!(answer.status, 400, "{}", answer.text());
    let found = parse_refusal(&answer.body);
    assert_eq!(found.at.expect("a field").field, field);
    let settings: SettingsResponse = daemon.get(SETTINGS_PATH).await;
    assert!(settings.nodes.iter().all(|node| node.values.is_empty()));
    daemon.stop().await;
    platform.server.stop().await;
}

/// Guards against request bodies that use memory without limit.
#[actix_rt::test]
async fn a_large_body_is_refused() {
    let platform = Platform::start().await;
    let daemon = TestDaemon::start(&platform).await;
    let answer = daemon
        .send(Sent::post(EDIT_PATH, vec![b' '; 300 << 10]))
        .await;
    assert_eq!(answer.status, 400);
    assert_eq!(
        parse_refusal(&answer.body).at.expect("a field").field,
        "body"
    );
    daemon.stop().await;
    platform.server.stop().await;
}

/// Guards against commands and queries that accept names that do not exist.
#[actix_rt::test]
async fn unknown_names_are_not_found() {
    let platform = Platform::start().await;
    let daemon = TestDaemon::start(&platform).await;
    daemon.wait_until_joined().await;
    let drain = json!({"drain": true});
    let forget = json!({"incarnation": "1"});
    let answers = [
        daemon.post("/v1/upstreams/nobody/drain", &drain).await,
        daemon.post(FORGET_PATH, &forget).await,
        daemon.send(Sent::get("/v1/owner?service=none&key=k")).await,
        daemon.send(Sent::get("/no/such/path")).await,
    ];
    for answer in answers {
        assert_eq!(answer.status, 404, "{}", answer.text());
        assert_eq!(parse_refusal(&answer.body).code, ErrorCode::NotFound);
    }
    daemon.stop().await;
    platform.server.stop().await;
}
