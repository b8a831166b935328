//! Concurrent edits of the settings tree through two daemons.

mod support;

use balsam_standins::harness::Answer;
use balsam_types::Epoch;
use balsam_types::settings::{NodePath, SettingKey, SettingValue};
use balsam_wire::operator::{
    CommandResponse, CommandState, EDIT_PATH, ErrorCode, ErrorResponse, ExplainResponse,
    SETTINGS_PATH, SettingsResponse,
};
use balsam_wire::platform::PlatformFaults;
use serde_json::{Value, json};
use support::{Platform, TestDaemon};

async fn two_daemons(platform: &Platform) -> [TestDaemon; 2] {
    let daemons = [
        TestDaemon::start(platform).await,
        TestDaemon::start(platform).await,
    ];
    for daemon in &daemons {
        daemon.wait_for_roster(2).await;
    }
    daemons
}

fn edit(path: &str, base_version: Epoch, values: &Value) -> Value {
    json!({"edits": [{"path": path, "base_version": base_version, "values": values}], "wait": true})
}

fn parse_success(answer: &Answer) -> CommandResponse {
    assert_eq!(answer.status, 200, "{}", answer.text());
    serde_json::from_slice(&answer.body).expect("the documented JSON")
}

async fn stop(platform: Platform, daemons: [TestDaemon; 2]) {
    for daemon in daemons {
        daemon.stop().await;
    }
    platform.server.stop().await;
}

/// Guards against an edit that overwrites a concurrent edit of the same node.
#[actix_rt::test]
async fn edits_of_one_node_conflict() {
    let platform = Platform::start().await;
    let daemons = two_daemons(&platform).await;
    let bodies = [
        edit("/", Epoch(0), &json!({"weight": 2})),
        edit("/", Epoch(0), &json!({"weight": 3})),
    ];
    let (first, second) = tokio::join!(
        daemons[0].post(EDIT_PATH, &bodies[0]),
        daemons[1].post(EDIT_PATH, &bodies[1]),
    );
    let (accepted, rejected, value) = match first.status {
        200 => (first, second, 2),
        _ => (second, first, 3),
    };
    parse_success(&accepted);
    assert_eq!(rejected.status, 409, "{}", rejected.text());
    let refusal: ErrorResponse = serde_json::from_slice(&rejected.body).unwrap();
    assert_eq!(refusal.code, ErrorCode::Conflict);
    for daemon in &daemons {
        let found: ExplainResponse = daemon.get("/v1/settings/explain?path=%2F&key=weight").await;
        assert_eq!(found.values[0].value, SettingValue::Number(value));
        assert_eq!(found.values[0].origin, Some(NodePath::Root));
    }
    stop(platform, daemons).await;
}

/// Guards against an edit that is lost or refused because of a concurrent edit of another node.
#[actix_rt::test]
async fn edits_of_different_nodes_are_both_kept() {
    let platform = Platform::start().await;
    let daemons = two_daemons(&platform).await;
    parse_success(
        &daemons[0]
            .post(EDIT_PATH, &edit("/", Epoch(0), &json!({})))
            .await,
    );
    let bodies = [
        edit("/services/a", Epoch(0), &json!({"weight": 2})),
        edit("/services/b", Epoch(0), &json!({"weight": 3})),
    ];
    let (first, second) = tokio::join!(
        daemons[0].post(EDIT_PATH, &bodies[0]),
        daemons[1].post(EDIT_PATH, &bodies[1]),
    );
    let epochs = [parse_success(&first).epoch, parse_success(&second).epoch];
    assert_ne!(epochs[0], epochs[1]);
    for daemon in &daemons {
        let found: SettingsResponse = daemon
            .wait_for(SETTINGS_PATH, |found: &SettingsResponse| {
                found.nodes.len() == 3
            })
            .await;
        let weights: Vec<_> = found
            .nodes
            .iter()
            .filter_map(|node| node.values.get(&SettingKey::Weight))
            .collect();
        assert_eq!(
            weights,
            [&SettingValue::Number(2), &SettingValue::Number(3)]
        );
    }
    stop(platform, daemons).await;
}

/// Guards against an edit with `wait` whose result arrives before the other daemon has the value.
#[actix_rt::test]
async fn a_waiting_edit_is_in_force_everywhere() {
    let platform = Platform::start().await;
    let daemons = two_daemons(&platform).await;
    let body = edit("/", Epoch(0), &json!({"queue_max": 77}));
    let response = parse_success(&daemons[0].post(EDIT_PATH, &body).await);
    assert_eq!(response.state, CommandState::Accepted);
    assert!(response.everywhere);
    let found: SettingsResponse = daemons[1].get(SETTINGS_PATH).await;
    assert!(found.epoch >= response.epoch, "{found:?}");
    stop(platform, daemons).await;
}

/// Guards against an edit that is refused or applied twice because the table's reply was lost.
#[actix_rt::test]
async fn a_lost_commit_answer_is_not_seen_by_the_operator() {
    let platform = Platform::start().await;
    let daemons = two_daemons(&platform).await;
    let faults = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    platform.client.set_faults(&faults).await.unwrap();
    let body = edit("/", Epoch(0), &json!({"queue_max": 78}));
    parse_success(&daemons[0].post(EDIT_PATH, &body).await);
    let found: ExplainResponse = daemons[1]
        .get("/v1/settings/explain?path=%2F&key=queue_max")
        .await;
    assert_eq!(found.values[0].value, SettingValue::Number(78));
    stop(platform, daemons).await;
}
