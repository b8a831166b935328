//! A keyed service, whose requests carry shard keys, and its upstreams, for tests of the leader.

use balsam_decide::directory::{DiscoveredUpstream, Upstreams};
use balsam_decide::keys::{AssignerInput, DaemonIdentity};
use balsam_types::{
    DaemonName, Incarnation, ServiceName, StartTime, TimeMs, UpstreamEntry, UpstreamName,
    UpstreamState, ZoneName,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// Returns the name of the service.
pub fn service() -> ServiceName {
    ServiceName::new("keyed").expect("a valid name")
}

/// Returns a daemon by its number; its incarnation is the number plus one.
pub fn daemon(number: u16) -> DaemonIdentity {
    DaemonIdentity {
        daemon: DaemonName::new(format!("d{number}")).expect("a valid name"),
        incarnation: Incarnation(u64::from(number) + 1),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
    }
}

/// Returns an upstream of the service by its number.
pub fn upstream(number: u16, state: UpstreamState) -> Arc<DiscoveredUpstream> {
    Arc::new(DiscoveredUpstream {
        entry: UpstreamEntry {
            name: UpstreamName::new(format!("u{number}")).expect("a valid name"),
            born: StartTime(1),
            service: service(),
            zone: ZoneName::new("z").expect("a valid name"),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
            slots: 3,
            state,
            warmup_left_ms: 0,
        },
        warmup_ends_at: TimeMs(0),
    })
}

/// Returns the input that gives the leader the upstreams of the service.
pub fn cluster(upstreams: impl IntoIterator<Item = Arc<DiscoveredUpstream>>) -> AssignerInput {
    AssignerInput::Cluster {
        upstreams: Arc::new(Upstreams::new(upstreams)),
        keyed: vec![service()],
    }
}
