//! Daemons during an outage of the platform's table.

mod support;

use balsam_wire::operator::{
    EDIT_PATH, EPOCHS_PATH, EpochsResponse, ErrorCode, ErrorResponse, SETTINGS_PATH,
    SettingsResponse,
};
use balsam_wire::platform::{OutageKind, PlatformFaults};
use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use support::{Platform, TestDaemon};

/// The length of an outage; longer than a lease, so that a lease that is still held afterwards must
/// have been renewed during the outage.
const OUTAGE: Duration = Duration::from_secs(3);

async fn three_daemons(platform: &Platform) -> Vec<TestDaemon> {
    let mut daemons = Vec::new();
    for _ in 0..3 {
        daemons.push(TestDaemon::start(platform).await);
    }
    for daemon in &daemons {
        daemon.wait_for_roster(3).await;
    }
    daemons
}

async fn set_outage(platform: &Platform, down: OutageKind) {
    let faults = PlatformFaults {
        down,
        ..PlatformFaults::default()
    };
    platform
        .client
        .set_faults(&faults)
        .await
        .expect("an answer");
}

/// Guards against daemons that lose their leases although a majority of the roster is connected, and
/// against edits that are reported as accepted although the table cannot be written.
#[rstest]
#[case::silent(OutageKind::Silent)]
#[case::refused(OutageKind::Refused)]
#[actix_rt::test]
async fn rights_outlast_the_table(#[case] down: OutageKind) {
    let platform = Platform::start().await;
    let daemons = three_daemons(&platform).await;
    set_outage(&platform, down).await;
    tokio::time::sleep(OUTAGE).await;
    for daemon in &daemons {
        let epochs: EpochsResponse = daemon
            .wait_for(EPOCHS_PATH, |found: &EpochsResponse| found.right_ms > 0)
            .await;
        assert!(!epochs.table_ok, "{epochs:?}");
    }
    let edit = json!({"path": "/", "base_version": 0, "values": {"weight": 2}});
    let answer = daemons[0].post(EDIT_PATH, &json!({"edits": [edit]})).await;
    assert_eq!(answer.status, 503, "{}", answer.text());
    let refusal: ErrorResponse = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(refusal.code, ErrorCode::TableUnavailable);
    set_outage(&platform, OutageKind::None).await;
    for daemon in &daemons {
        daemon
            .wait_for(EPOCHS_PATH, |found: &EpochsResponse| found.table_ok)
            .await;
        let settings: SettingsResponse = daemon.get(SETTINGS_PATH).await;
        assert!(settings.nodes.iter().all(|node| node.values.is_empty()));
    }
    for daemon in daemons {
        daemon.stop().await;
    }
    platform.server.stop().await;
}

/// Guards against a daemon that keeps its lease with neither the table nor a majority of the roster.
#[actix_rt::test]
async fn a_daemon_without_table_and_majority_loses_its_right() {
    let platform = Platform::start().await;
    let mut daemons = three_daemons(&platform).await;
    set_outage(&platform, OutageKind::Silent).await;
    for lost in daemons.drain(1..) {
        lost.kill().await;
    }
    daemons[0]
        .wait_for(EPOCHS_PATH, |found: &EpochsResponse| found.right_ms == 0)
        .await;
    tokio::time::sleep(OUTAGE).await;
    let epochs: EpochsResponse = daemons[0].get(EPOCHS_PATH).await;
    assert_eq!(epochs.right_ms, 0, "{epochs:?}");
    platform.server.stop().await;
}

/// Guards against a daemon that never joins because the table was down when it started, and against
/// table reads that accumulate during the outage.
#[actix_rt::test]
async fn a_daemon_started_in_an_outage_joins_after_it() {
    let platform = Platform::start().await;
    set_outage(&platform, OutageKind::Silent).await;
    let daemon = TestDaemon::start(&platform).await;
    tokio::time::sleep(OUTAGE).await;
    let before = platform.client.counters().await.unwrap().faulted;
    assert!(before <= 5, "{before} reads");
    set_outage(&platform, OutageKind::None).await;
    daemon.wait_until_joined().await;
    daemon.stop().await;
    platform.server.stop().await;
}
