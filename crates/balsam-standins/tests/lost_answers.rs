//! Platform faults in which the caller gets no answer.

use balsam_standins::harness::{Client, HarnessError, PlatformClient};
use balsam_standins::platform::start_platform;
use balsam_wire::platform::{OutageKind, PlatformFaults, ReadRequest, TxRequest};
use serde_json::json;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(500);

fn write_row() -> TxRequest {
    TxRequest::new()
        .with_condition("row", 0)
        .with_write("row", Some(json!("mine")))
}

fn read_row() -> ReadRequest {
    ReadRequest::of_keys(["row".to_owned()])
}

/// Guards against a lost answer whose write did not take effect, which would test nothing.
#[actix_rt::test]
async fn write_takes_effect_unanswered() {
    let server = start_platform("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let platform = PlatformClient::new(Client::new(server.address(), TIMEOUT));
    let faults = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    platform.set_faults(&faults).await.unwrap();
    let lost = platform.transact(&write_row()).await;
    assert!(matches!(lost, Err(HarnessError::NoAnswer { .. })));
    let rows = platform.read(&read_row()).await.unwrap().rows;
    assert_eq!(rows[0].value, json!("mine"));
    let repeated = platform.transact(&write_row()).await.unwrap();
    assert!(!repeated.committed, "the fault covers one answer only");
}

/// Guards against a silent outage that answers, or that lets the write take effect.
#[actix_rt::test]
async fn silent_outage_has_no_effect() {
    let server = start_platform("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let platform = PlatformClient::new(Client::new(server.address(), TIMEOUT));
    let silent = PlatformFaults {
        down: OutageKind::Silent,
        ..PlatformFaults::default()
    };
    platform.set_faults(&silent).await.unwrap();
    let unanswered = platform.transact(&write_row()).await;
    assert!(matches!(unanswered, Err(HarnessError::NoAnswer { .. })));
    platform
        .set_faults(&PlatformFaults::default())
        .await
        .unwrap();
    assert!(platform.read(&read_row()).await.unwrap().rows.is_empty());
    assert_eq!(platform.counters().await.unwrap().faulted, 1);
}
