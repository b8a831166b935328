//! Placement, grants and drains of units, run with stand-in upstreams.

mod support;

use balsam_standins::harness::{Client, Sent, UpstreamClient, Work};
use balsam_standins::serve::ServerHandle;
use balsam_standins::upstream::{UpstreamOptions, start_upstream};
use balsam_types::control::UpstreamStatus;
use balsam_types::{ServiceName, UnitId, UpstreamName};
use balsam_wire::operator::{
    EDIT_PATH, OwnerResponse, OwnerState, UPSTREAMS_PATH, UpstreamsResponse,
};
use balsam_wire::platform::{InstanceBody, InstanceKindBody, InstanceStateBody, InstancesUpdate};
use clap::Parser;
use serde_json::json;
use support::{Platform, TestDaemon, WAIT_TIMEOUT};

const SLICE_COUNT: u64 = 32;
const OWNER_QUERY: &str = "/v1/owner?service=lookup&key=apple";

#[derive(Parser)]
struct Options {
    #[command(flatten)]
    upstream: UpstreamOptions,
}

fn service() -> ServiceName {
    ServiceName::new("lookup").expect("a name")
}

/// Starts an upstream and adds it to the platform's instance list.
async fn start_registered_upstream(platform: &Platform, name: &str) -> ServerHandle {
    let options = Options::parse_from(["test", "--name", name, "--service", "lookup"]);
    let server = start_upstream(options.upstream).await.expect("a listener");
    let instance = InstanceBody {
        name: UpstreamName::new(name).expect("a name"),
        kind: InstanceKindBody::Upstream,
        service: Some(service()),
        zone: "az-1".parse().expect("a name"),
        address: server.address(),
        slots: 3,
        connections: 120,
        state: InstanceStateBody::Live,
        checks_grants: true,
    };
    let update = InstancesUpdate {
        put: vec![instance],
        remove: Vec::new(),
        lag_ms: Some(0),
    };
    let client = &platform.client;
    client.change_instances(&update).await.expect("an answer");
    server
}

async fn create_service(daemon: &TestDaemon) {
    daemon.wait_until_joined().await;
    let edit =
        json!({"path": "/services/lookup", "base_version": 0, "values": {"slices": SLICE_COUNT}});
    let answer = daemon.post(EDIT_PATH, &json!({"edits": [edit]})).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
}

async fn wait_until_owned(daemon: &TestDaemon, owners: usize) -> UpstreamsResponse {
    daemon
        .wait_for(UPSTREAMS_PATH, |found: &UpstreamsResponse| {
            let upstreams = found.upstreams.iter();
            let owned: u64 = upstreams.map(|upstream| upstream.units_owned).sum();
            let mut upstreams = found.upstreams.iter();
            let count = upstreams
                .by_ref()
                .filter(|upstream| upstream.units_owned > 0)
                .count();
            owned == SLICE_COUNT && count == owners
        })
        .await
}

/// Guards against a key without an owner, and against an owner that refuses the key's requests
/// because it did not get a grant.
#[actix_rt::test]
async fn a_key_is_owned_and_served() {
    let platform = Platform::start().await;
    let upstream = start_registered_upstream(&platform, "u1").await;
    let daemon = TestDaemon::start(&platform).await;
    create_service(&daemon).await;
    wait_until_owned(&daemon, 1).await;
    let owner: OwnerResponse = daemon
        .wait_for(OWNER_QUERY, |found: &OwnerResponse| {
            found.dispatcher.is_some()
        })
        .await;
    assert_eq!(owner.state, OwnerState::Owned);
    assert_eq!(owner.address, Some(upstream.address()));
    let client = UpstreamClient::new(Client::new(upstream.address(), WAIT_TIMEOUT), service());
    let started_at = std::time::Instant::now();
    loop {
        let work = Work::lookup("apple", UnitId(owner.unit.0), owner.epoch);
        let answer = client.work(work).await.unwrap();
        if answer.status == 200 {
            break;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "{}", answer.text());
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    daemon.stop().await;
    upstream.stop().await;
    platform.server.stop().await;
}

/// Guards against requests that fail when they arrive at a daemon that is not the dispatcher of the
/// key's owner.
#[actix_rt::test]
async fn a_lookup_is_answered_through_every_daemon() {
    let platform = Platform::start().await;
    let upstreams = [
        start_registered_upstream(&platform, "u1").await,
        start_registered_upstream(&platform, "u2").await,
    ];
    let daemons = [
        TestDaemon::start(&platform).await,
        TestDaemon::start(&platform).await,
    ];
    create_service(&daemons[0]).await;
    let rank = json!({"path": "/services/lookup/ranks/lookup", "base_version": 0});
    let body = json!({"edits": [rank], "wait": true});
    let answer = daemons[0].post(EDIT_PATH, &body).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    for daemon in &daemons {
        wait_until_owned(daemon, 2).await;
    }
    for daemon in &daemons {
        for key in ["apple", "pear", "plum", "cherry", "fig", "quince"] {
            let sent =
                Sent::get(format!("/lookup/{key}")).with_header("balsam-deadline-ms", 20_000);
            let answer = daemon.caller.send(sent).await.unwrap();
            assert_eq!(
                answer.status,
                200,
                "{key}: {:?} {}",
                answer.headers,
                answer.text()
            );
            assert_eq!(answer.header("balsam-outcome"), Some("answered"));
            assert!(answer.complete);
        }
    }
    for daemon in daemons {
        daemon.stop().await;
    }
    for upstream in upstreams {
        upstream.stop().await;
    }
    platform.server.stop().await;
}

/// Guards against an upstream that keeps its units although an operator drains it, and against a
/// drain that cannot be cancelled.
#[actix_rt::test]
async fn a_drained_upstream_gives_its_units_up() {
    let platform = Platform::start().await;
    let upstreams = [
        start_registered_upstream(&platform, "u1").await,
        start_registered_upstream(&platform, "u2").await,
    ];
    let daemon = TestDaemon::start(&platform).await;
    create_service(&daemon).await;
    wait_until_owned(&daemon, 2).await;
    let drain = json!({"drain": true});
    let answer = daemon.post("/v1/upstreams/u1/drain", &drain).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let found = wait_until_owned(&daemon, 1).await;
    assert_eq!(found.upstreams[0].status, UpstreamStatus::Draining);
    assert!(found.upstreams[0].drained_by_operator);
    assert_eq!(found.upstreams[0].units_owned, 0);
    let cancel_drain = json!({"drain": false});
    let answer = daemon.post("/v1/upstreams/u1/drain", &cancel_drain).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let found: UpstreamsResponse = daemon.get(UPSTREAMS_PATH).await;
    assert_eq!(found.upstreams[0].status, UpstreamStatus::Active);
    daemon.stop().await;
    for upstream in upstreams {
        upstream.stop().await;
    }
    platform.server.stop().await;
}

/// Guards against keys that stay with an upstream that has stopped responding.
#[actix_rt::test]
async fn units_of_a_lost_upstream_move() {
    let platform = Platform::start().await;
    let lost = start_registered_upstream(&platform, "u1").await;
    let kept = start_registered_upstream(&platform, "u2").await;
    let daemon = TestDaemon::start(&platform).await;
    create_service(&daemon).await;
    wait_until_owned(&daemon, 2).await;
    lost.stop().await;
    let found = wait_until_owned(&daemon, 1).await;
    assert_eq!(found.upstreams[0].status, UpstreamStatus::Lost);
    assert_eq!(found.upstreams[1].units_owned, SLICE_COUNT);
    daemon.stop().await;
    kept.stop().await;
    platform.server.stop().await;
}
