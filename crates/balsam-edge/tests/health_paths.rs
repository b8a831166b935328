//! Paths of health checks on their way from the leader to another daemon.

use balsam_edge::{Snapshot, decode_snapshot, encode_snapshot};
use balsam_types::{
    CallerLimits, ConfigVersion, RoutingConfig, ServiceName, ServicePolicy, WarmupTerms, ZoneName,
    new_map,
};
use bincode::config::standard;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A snapshot as daemons of an earlier build encode it, which know no paths of health checks.
#[derive(Serialize)]
enum EarlierSnapshot {
    Config(RoutingConfig),
}

/// What follows it.
#[derive(Serialize)]
struct EarlierSupplement {
    evacuated: BTreeSet<ZoneName>,
    warmups: Vec<(ServiceName, WarmupTerms)>,
}

/// Returns a configuration with one service.
fn config(path: Option<&str>) -> RoutingConfig {
    let policy = ServicePolicy::new(true).with_health_check(path.map(Arc::from));
    let mut services = new_map();
    services.insert(ServiceName::new("s1").expect("a valid name"), policy);
    RoutingConfig {
        version: ConfigVersion(1),
        routes: Vec::new(),
        services,
        limits: CallerLimits::default(),
    }
}

fn snapshot(config: RoutingConfig) -> Snapshot {
    Snapshot::Config {
        config: Some(config),
        evacuated: Some(BTreeSet::new()),
    }
}

/// Guards against paths that are lost on the way, so that a daemon that becomes the leader cannot
/// learn who answers at an address.
#[test]
fn round_trip() {
    let snapshot = snapshot(config(Some("/health")));
    let bytes = encode_snapshot(snapshot.clone()).expect("an encoding");
    assert_eq!(decode_snapshot(&bytes).expect("a snapshot"), snapshot);
}

/// Guards against snapshots of daemons of an earlier build that are not understood.
#[test]
fn earlier_sender() {
    let earlier = EarlierSnapshot::Config(config(None));
    let mut bytes = bincode::serde::encode_to_vec(earlier, standard()).expect("an encoding");
    let supplement = EarlierSupplement {
        evacuated: BTreeSet::new(),
        warmups: Vec::new(),
    };
    bytes.extend(bincode::serde::encode_to_vec(supplement, standard()).expect("an encoding"));
    let decoded = decode_snapshot(&bytes).expect("a snapshot");
    assert_eq!(decoded, snapshot(config(None)));
}

/// Guards against damaged snapshots that are taken for those of an earlier build.
#[test]
fn damaged_paths() {
    let mut bytes = encode_snapshot(snapshot(config(Some("/health")))).expect("an encoding");
    bytes.pop();
    decode_snapshot(&bytes).unwrap_err();
}
