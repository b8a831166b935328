//! How daemons learn that the operator has evacuated a zone, and what they do with it.

mod support;

use balsam_edge::store::{EvacuationState, StoreChange};
use balsam_edge::{Edge, Snapshot, decode_snapshot, encode_snapshot};
use balsam_types::{RoutingConfig, ServiceName, ServiceRanges, UpstreamRow, WarmupTerms, ZoneName};
use bincode::config::standard;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::{
    Access, Behavior, Caller, Store, Upstream, config, entry, rows, start_at, upstream_row,
    wait_ready,
};
use tokio::time::{Instant, sleep};

/// Time within which every daemon acts by a change of the store.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Time for the leader election and for the heartbeats of the leader to reach the other daemon.
const ELECTION_TIME: Duration = Duration::from_millis(2_800);

const LEADER: usize = 1;
const FOLLOWER: usize = 2;

/// The encoding of snapshots of the builds before evacuations.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierSnapshot {
    Config(RoutingConfig),
    Upstreams(Vec<UpstreamRow>),
    Ranges(ServiceRanges),
    NoConfig,
}

/// The zone of the upstreams that `support` creates.
fn zone() -> ZoneName {
    ZoneName::new("a").expect("a valid name")
}

fn evacuation(state: EvacuationState) -> StoreChange {
    StoreChange::Evacuation {
        zone: zone(),
        state,
    }
}

fn service() -> ServiceName {
    ServiceName::new("files").expect("a valid name")
}

/// Returns a configuration with limits for cold upstreams.
fn config_with_warmup() -> RoutingConfig {
    let mut config = config(1);
    let policy = config.services.get_mut(&service()).expect("the service");
    policy.warmup = Some(WarmupTerms {
        duration_ms: 3_000,
        interval_us: 303_030,
    });
    config
}

/// Guards against evacuated zones and limits of cold upstreams that are lost on the way to another
/// daemon, also before there is a configuration.
#[test]
fn round_trip() {
    for config in [Some(config_with_warmup()), None] {
        let snapshot = Snapshot::Config {
            config,
            evacuated: Some(BTreeSet::from([zone()])),
        };
        let bytes = encode_snapshot(snapshot.clone()).expect("an encoding");
        assert_eq!(decode_snapshot(&bytes).expect("a snapshot"), snapshot);
    }
}

/// Guards against snapshots of daemons of an earlier build that are not understood, or that are
/// taken to say that no zone is evacuated.
#[test]
fn earlier_sender() {
    for earlier in [
        EarlierSnapshot::Config(config(1)),
        EarlierSnapshot::NoConfig,
    ] {
        let bytes = bincode::serde::encode_to_vec(&earlier, standard()).expect("an encoding");
        let config = match earlier {
            EarlierSnapshot::Config(config) => Some(config),
            _ => None,
        };
        let evacuated = None;
        let expected = Snapshot::Config { config, evacuated };
        assert_eq!(decode_snapshot(&bytes).expect("a snapshot"), expected);
    }
}

/// Guards against snapshots that daemons of an earlier build do not understand.
#[test]
fn earlier_receiver() {
    for known in [Some(config(1)), None] {
        let snapshot = Snapshot::Config {
            config: known.clone(),
            evacuated: Some(BTreeSet::from([zone()])),
        };
        let bytes = encode_snapshot(snapshot).expect("an encoding");
        let decoded = bincode::serde::decode_from_slice(&bytes, standard());
        let (decoded, _): (EarlierSnapshot, usize) = decoded.expect("an earlier snapshot");
        let expected = known.map_or(EarlierSnapshot::NoConfig, EarlierSnapshot::Config);
        assert_eq!(decoded, expected);
    }
}

/// Guards against damaged snapshots that are taken for those of an earlier build.
#[test]
fn damaged_supplement() {
    let snapshot = Snapshot::Config {
        config: Some(config(1)),
        evacuated: Some(BTreeSet::from([zone()])),
    };
    let mut bytes = encode_snapshot(snapshot).expect("an encoding");
    bytes.pop();
    decode_snapshot(&bytes).unwrap_err();
}

async fn status(edge: &Edge) -> u16 {
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    caller.response().await.0
}

/// Waits until a daemon responds with a status. Fails if that takes too long.
async fn wait_status(edge: &Edge, expected: u16) {
    let end = Instant::now() + PROPAGATION_LIMIT;
    loop {
        let actual = status(edge).await;
        if actual == expected {
            return;
        }
        assert!(Instant::now() < end, "still {actual}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an evacuation that does not reach a daemon whose calls the store refuses, because
/// the version of the configuration has not changed, and against one that does not end.
#[actix_rt::test]
async fn leader_tells() {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[&upstream]));
    let leader = start_at(&store, LEADER).await;
    wait_ready(&leader).await;
    let follower = start_at(&store, FOLLOWER).await;
    wait_ready(&follower).await;
    sleep(ELECTION_TIME).await;
    store.set_access(FOLLOWER, Access::Refused);
    wait_status(&follower, 200).await;
    store.put(evacuation(EvacuationState::Requested));
    wait_status(&follower, 503).await;
    store.put(evacuation(EvacuationState::Removed));
    wait_status(&follower, 200).await;
}

/// Guards against an evacuation that is forgotten while there is no configuration yet.
#[actix_rt::test]
async fn before_config() {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(vec![
        upstream_row(entry(&upstream)),
        evacuation(EvacuationState::Requested),
    ]);
    let edge = start_at(&store, 1).await;
    sleep(Duration::from_secs(1)).await;
    store.put(StoreChange::Config(config(1)));
    wait_ready(&edge).await;
    assert_eq!(status(&edge).await, 503);
    store.put(evacuation(EvacuationState::Removed));
    wait_status(&edge, 200).await;
}

/// Guards against a row that cannot be read and ends an evacuation or starts one.
#[actix_rt::test]
async fn unreadable_row() {
    let unreadable = || {
        evacuation(EvacuationState::Unreadable {
            key: Arc::from("evacuate/a"),
            reason: "damaged".to_owned(),
        })
    };
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[&upstream]));
    store.put(unreadable());
    let edge = start_at(&store, 1).await;
    wait_ready(&edge).await;
    assert_eq!(status(&edge).await, 200);
    store.put(evacuation(EvacuationState::Requested));
    wait_status(&edge, 503).await;
    store.put(unreadable());
    sleep(PROPAGATION_LIMIT).await;
    assert_eq!(status(&edge).await, 503);
}
