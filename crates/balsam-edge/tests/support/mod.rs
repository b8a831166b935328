//! Test fixtures on the loopback interface: daemons with a store, scripted upstreams and callers.

#![allow(dead_code, reason = "each test file uses a part of this module")]

mod caller;
mod store;
mod upstream;

pub use caller::Caller;
pub use store::{Access, Store};
pub use upstream::{Behavior, Upstream};

use balsam_decide::pool::UpstreamNotice;
use balsam_edge::order::OrderRequest;
use balsam_edge::request::{HeaderNames, ReadNotice};
use balsam_edge::settings::{Bounds, Listen, Machine, Settings};
use balsam_edge::store::StoreChange;
use balsam_edge::{Adapter, Edge, PlatformChannels};
use balsam_http1::Fields;
use balsam_types::{
    CallerLimits, ConfigVersion, Credential, DaemonName, Route, RouteKind, RouteName,
    RoutingConfig, ServiceName, ServicePolicy, ServiceShare, StartTime, UpstreamEntry,
    UpstreamName, UpstreamRow, UpstreamState, ZoneName, new_map,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

pub const NAMES: HeaderNames = HeaderNames {
    attempt_id: "Test-Id",
    deadline_ms: "Test-Deadline-Ms",
    signature: "Test-Signature",
    expected_upstream: "Test-Expected",
    not_run: "Test-Not-Run",
    upstream: "Test-Upstream",
    key: "Test-Key",
};

/// Reads the announcements of the scripted upstreams.
fn read_notice(status: u16, fields: &Fields) -> ReadNotice {
    let pause_ms = fields.text("Test-Pause-Ms").map(str::parse);
    ReadNotice {
        notice: UpstreamNotice {
            is_leaving: fields.get("Test-Leaving").is_some(),
            pause_ms: pause_ms.and_then(Result::ok).filter(|_| status == 503),
        },
        load: None,
        ignored: fields.get("Test-Malformed").map(|_| "Test-Malformed"),
    }
}

/// Credential of the operators.
pub const OPERATOR_CREDENTIAL: &str = "operators-of-tests";

/// Memory of a daemon's machine, that of the smallest one in use.
const MEMORY_MB: f64 = 120.0;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn settings(daemon: usize) -> Settings {
    Settings {
        daemon: DaemonName::new(format!("d{daemon}")).expect("a valid name"),
        zone: ZoneName::new("a").expect("a valid name"),
        listen: Listen {
            callers: ANY_PORT,
            readiness: ANY_PORT,
            peers: ANY_PORT,
            metrics: ANY_PORT,
        },
        machine: Machine {
            cpu_share: 0.5,
            cpu_speed: 1.0,
            link_mbps: 100.0,
            memory_mb: Some(MEMORY_MB),
        },
        peer_credential: "test".to_owned(),
        operator_credential: Credential::new(OPERATOR_CREDENTIAL),
        store: ANY_PORT,
        row_max_bytes: 65_536,
        bounds: Bounds {
            grace_s: 4.0,
            retry_budget_ratio: 0.2,
            budget_window_s: 10.0,
            budget_slack: 6_000.0,
            hold_max_s: 10.0,
            drain_s: 1.0,
            propagation_s: 2.0,
            evacuation_s: 5.0,
        },
        room_daemons_per_slot: 8,
        first_start: false,
        log_level: log::LevelFilter::Off,
    }
}

fn service() -> ServiceName {
    ServiceName::new("files").expect("a valid name")
}

/// Returns a version of the configuration, which has a route of its own in addition to the common
/// ones.
pub fn config(version: u64) -> RoutingConfig {
    let version_prefix = format!("/v{version}/");
    let kinds = [
        ("/read/", RouteKind::Idempotent),
        ("/order/", RouteKind::Order),
        (version_prefix.as_str(), RouteKind::Idempotent),
    ];
    let routes = kinds.map(|(prefix, kind)| {
        Arc::new(Route {
            name: RouteName::new(prefix.trim_matches('/')).expect("a valid name"),
            host: Arc::from("h.example"),
            prefix: Arc::from(prefix),
            kind,
            timeout_ms: 1_500,
            objective_ms: 1_000,
            rank: 0,
            attempts_max: 2,
            shares: vec![ServiceShare {
                service: service(),
                weight: 1,
            }],
        })
    });
    let mut services = new_map();
    services.insert(service(), ServicePolicy::new(false));
    // A leader is elected only if some service is keyed.
    let keyed = ServiceName::new("keys").expect("a valid name");
    services.insert(keyed, ServicePolicy::new(true));
    RoutingConfig {
        version: ConfigVersion(version),
        routes: routes.to_vec(),
        services,
        limits: CallerLimits::default(),
    }
}

/// Returns the entry of an upstream.
pub fn entry(upstream: &Upstream) -> UpstreamEntry {
    UpstreamEntry {
        name: UpstreamName::new(&upstream.name).expect("a valid name"),
        born: StartTime(1),
        service: service(),
        zone: ZoneName::new("a").expect("a valid name"),
        address: upstream.address,
        slots: 4,
        state: UpstreamState::Ready,
        warmup_left_ms: 0,
    }
}

/// Returns the change that writes an entry. The store sets its version.
pub fn upstream_row(entry: UpstreamEntry) -> StoreChange {
    StoreChange::Upstream(UpstreamRow { version: 0, entry })
}

/// Returns the rows of a configuration and of upstreams.
pub fn rows(upstreams: &[&Upstream]) -> Vec<StoreChange> {
    let entries = upstreams
        .iter()
        .map(|upstream| upstream_row(entry(upstream)));
    std::iter::once(StoreChange::Config(config(1)))
        .chain(entries)
        .collect()
}

/// Starts a daemon that is named by its number as a client of the store.
pub async fn start_at(store: &Store, client: usize) -> Edge {
    start_limited(store, client, MEMORY_MB).await
}

/// Starts a daemon on a machine with `memory_mb` megabytes.
pub async fn start_limited(store: &Store, client: usize, memory_mb: f64) -> Edge {
    let (orders, _) = mpsc::channel::<OrderRequest>(1);
    let store = store.client(client);
    let adapter = Adapter {
        names: NAMES,
        read_notice,
        connect: Box::new(|| PlatformChannels { store, orders }),
        lost_lines: balsam_log::LostLines::default(),
    };
    let mut settings = settings(client);
    settings.machine.memory_mb = Some(memory_mb);
    let started = Edge::start(&settings, adapter).await;
    started.expect("a running daemon")
}

/// Starts a daemon that knows `upstreams`, or one whose calls the store refuses.
pub async fn start(upstreams: Option<&[&Upstream]>) -> Edge {
    let store = Store::start(rows(upstreams.unwrap_or_default()));
    if upstreams.is_none() {
        store.set_access(1, Access::Refused);
    }
    let edge = start_at(&store, 1).await;
    if upstreams.is_some() {
        wait_ready(&edge).await;
    }
    edge
}

/// Waits until a daemon is ready.
pub async fn wait_ready(edge: &Edge) {
    for _ in 0..200 {
        if ready_status(edge).await == 200 {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the daemon did not become ready");
}

/// Returns the status of the daemon's readiness check.
pub async fn ready_status(edge: &Edge) -> u16 {
    let mut caller = Caller::open(edge.addresses().readiness).await;
    caller.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
    caller.response().await.0
}
