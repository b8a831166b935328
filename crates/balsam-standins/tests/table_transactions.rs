//! The platform's conditional transactions and ordered reads over HTTP.

use balsam_standins::harness::{Client, HarnessError, PlatformClient};
use balsam_standins::platform::start_platform;
use balsam_standins::serve::ServerHandle;
use balsam_wire::platform::{
    InstanceBody, InstanceKindBody, InstanceStateBody, InstancesUpdate, OutageKind, PlatformFaults,
    ReadRequest, TxRequest,
};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn platform() -> (ServerHandle, PlatformClient) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = start_platform(listen).await.expect("platform listens");
    let client = PlatformClient::new(Client::new(server.address(), TIMEOUT));
    (server, client)
}

fn write(key: &str, version: u64, value: u64) -> TxRequest {
    TxRequest::new()
        .with_condition(key, version)
        .with_write(key, Some(json!(value)))
}

fn keys(keys: &[&str]) -> ReadRequest {
    ReadRequest::of_keys(keys.iter().map(ToString::to_string))
}

/// Guards against a transaction that applies some of its writes although a condition fails.
#[actix_rt::test]
async fn failed_condition_writes_nothing() {
    let (_server, platform) = platform().await;
    assert!(
        platform
            .transact(&write("a", 0, 1))
            .await
            .unwrap()
            .committed
    );
    let tx = write("b", 0, 2)
        .with_condition("a", 0)
        .with_write("a", Some(json!(9)));
    let refused = platform.transact(&tx).await.unwrap();
    assert!(!refused.committed);
    assert_eq!(refused.conflicts, ["a"]);
    let rows = platform.read(&keys(&["a", "b"])).await.unwrap().rows;
    assert_eq!(rows.len(), 1);
    assert_eq!((rows[0].version, &rows[0].value), (1, &json!(1)));
    assert_eq!(platform.counters().await.unwrap().conflicts, 1);
}

/// Guards against two concurrent writers that both commit on the same condition.
#[actix_rt::test]
async fn one_concurrent_writer_commits() {
    let (_server, platform) = platform().await;
    let attempts = (0..20).map(|value| {
        let platform = platform.clone();
        async move { platform.transact(&write("row", 0, value)).await.unwrap() }
    });
    let results = futures_util::future::join_all(attempts).await;
    assert_eq!(results.iter().filter(|result| result.committed).count(), 1);
}

/// Guards against a deleted and rewritten row that satisfies a condition on the former row.
#[actix_rt::test]
async fn rewritten_row_has_new_version() {
    let (_server, platform) = platform().await;
    platform.transact(&write("row", 0, 1)).await.unwrap();
    let delete = TxRequest::new()
        .with_condition("row", 1)
        .with_write("row", None);
    assert!(platform.transact(&delete).await.unwrap().committed);
    assert!(
        platform
            .transact(&write("row", 0, 2))
            .await
            .unwrap()
            .committed
    );
    assert!(!platform.transact(&delete).await.unwrap().committed);
    let rows = platform.read(&keys(&["row"])).await.unwrap().rows;
    assert_eq!(rows[0].version, 3);
}

/// Guards against log reads that skip rows, repeat rows or leave the prefix.
#[actix_rt::test]
async fn prefix_reads_are_ordered() {
    let (_server, platform) = platform().await;
    for number in [3, 1, 2] {
        let key = format!("log/{number:020}");
        platform.transact(&write(&key, 0, number)).await.unwrap();
    }
    platform.transact(&write("logs", 0, 0)).await.unwrap();
    let all = ReadRequest::default().with_prefix("log/", None);
    let rows = platform.read(&all).await.unwrap().rows;
    let values: Vec<_> = rows.iter().map(|row| row.value.as_u64().unwrap()).collect();
    assert_eq!(values, [1, 2, 3]);
    let mut rest = ReadRequest::default().with_prefix("log/", Some(rows[0].key.clone()));
    rest.limit = Some(1);
    let rows = platform.read(&rest).await.unwrap().rows;
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].value, json!(2));
}

/// Guards against a refused outage that lets writes through, or blocks the switch that ends it.
#[actix_rt::test]
async fn refused_outage_has_no_effect() {
    let (_server, platform) = platform().await;
    let down = PlatformFaults {
        down: OutageKind::Refused,
        ..PlatformFaults::default()
    };
    platform.set_faults(&down).await.unwrap();
    let error = platform.transact(&write("a", 0, 1)).await.unwrap_err();
    assert!(matches!(error, HarnessError::Status { status: 503, .. }));
    platform
        .set_faults(&PlatformFaults::default())
        .await
        .unwrap();
    assert!(platform.read(&keys(&["a"])).await.unwrap().rows.is_empty());
}

/// Guards against an instance list that shows changes before its lag has passed.
#[actix_rt::test]
async fn instance_list_lags() {
    let (_server, platform) = platform().await;
    let instance = |name: &str| InstanceBody {
        name: name.parse().unwrap(),
        kind: InstanceKindBody::Upstream,
        service: Some("lookup".parse().unwrap()),
        zone: "z1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 3,
        connections: 120,
        state: InstanceStateBody::Live,
        checks_grants: true,
    };
    let update = |name: &str, lag_ms| InstancesUpdate {
        put: vec![instance(name)],
        lag_ms: Some(lag_ms),
        ..InstancesUpdate::default()
    };
    platform.change_instances(&update("u1", 0)).await.unwrap();
    platform
        .change_instances(&update("u2", 60_000))
        .await
        .unwrap();
    let listed = platform.instances().await.unwrap();
    assert_eq!(listed, [instance("u1")]);
}
