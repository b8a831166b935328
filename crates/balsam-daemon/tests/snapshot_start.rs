//! Daemons that start from a snapshot of the control state.

mod support;

use balsam_types::Epoch;
use balsam_types::timing::SNAPSHOT_INTERVAL_EPOCHS;
use balsam_wire::operator::{CommandResponse, EDIT_PATH, SETTINGS_PATH, SettingsResponse};
use balsam_wire::platform::{ReadRequest, SNAPSHOT_ROW};
use serde_json::json;
use std::time::{Duration, Instant};
use support::{Platform, TestDaemon, WAIT_TIMEOUT};

/// Edits the root node until the log has enough entries for a snapshot to be due.
async fn fill_log(daemon: &TestDaemon) -> Epoch {
    let mut version = Epoch(0);
    for weight in 1..=SNAPSHOT_INTERVAL_EPOCHS {
        let edit = json!({"path": "/", "base_version": version, "values": {"weight": weight}});
        let answer = daemon.post(EDIT_PATH, &json!({"edits": [edit]})).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        let response: CommandResponse = serde_json::from_slice(&answer.body).expect("a result");
        version = response.epoch;
    }
    version
}

async fn wait_for_snapshot(platform: &Platform) {
    let started_at = Instant::now();
    let read = ReadRequest::of_keys([SNAPSHOT_ROW.to_owned()]);
    while platform
        .client
        .read(&read)
        .await
        .expect("rows")
        .rows
        .is_empty()
    {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "no snapshot was written within the time limit"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a snapshot that is not written, and against a daemon whose state differs from the
/// others after it started from a snapshot.
#[actix_rt::test]
async fn a_new_daemon_starts_from_the_snapshot() {
    let platform = Platform::start().await;
    let first = TestDaemon::start(&platform).await;
    first.wait_until_joined().await;
    let version = fill_log(&first).await;
    wait_for_snapshot(&platform).await;
    let second = TestDaemon::start(&platform).await;
    second.wait_for_roster(2).await;
    let counters = platform.client.counters().await.unwrap();
    assert!(counters.object_reads > 0, "{counters:?}");
    let expected: SettingsResponse = first.get(SETTINGS_PATH).await;
    let found: SettingsResponse = second.get(SETTINGS_PATH).await;
    assert_eq!(found.nodes, expected.nodes);
    assert_eq!(found.nodes[0].version, version);
    first.stop().await;
    second.stop().await;
    platform.server.stop().await;
}
