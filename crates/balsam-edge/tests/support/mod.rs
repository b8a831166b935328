//! A daemon with a store of one version, order-taking upstreams and callers on the loopback
//! interface.

mod caller;
mod upstream;

pub use caller::Caller;
pub use upstream::{Act, Upstream};

use balsam_edge::order::OrderRequest;
use balsam_edge::request::HeaderNames;
use balsam_edge::settings::{Bounds, Listen, Settings};
use balsam_edge::store::{Page, StoreChange, StoreError, StoreRequest, StoreTable, Written};
use balsam_edge::{Adapter, Edge};
use balsam_types::{
    Born, CallerLimits, ConfigVersion, DaemonName, Route, RouteKind, RouteName, RoutingConfig,
    ServiceName, ServicePolicy, ServiceShare, UpstreamEntry, UpstreamName, UpstreamState, ZoneName,
    new_map,
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

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn settings() -> Settings {
    Settings {
        daemon: DaemonName::new("d1").expect("a valid name"),
        zone: ZoneName::new("a").expect("a valid name"),
        listen: Listen {
            callers: ANY,
            readiness: ANY,
            peers: ANY,
            metrics: ANY,
        },
        peer_credential: "test".to_owned(),
        store: ANY,
        bounds: Bounds {
            grace_s: 4.0,
            retry_budget_ratio: 0.2,
            budget_window_s: 10.0,
            budget_slack: 6_000.0,
            hold_max_s: 10.0,
        },
        log_level: log::LevelFilter::Off,
    }
}

fn service() -> ServiceName {
    ServiceName::new("files").expect("a valid name")
}

fn config() -> RoutingConfig {
    let kinds = [
        ("/read/", RouteKind::Idempotent),
        ("/order/", RouteKind::Order),
    ];
    let routes = kinds.map(|(prefix, kind)| {
        Arc::new(Route {
            name: RouteName::new(kind.as_str()).expect("a valid name"),
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
    services.insert(service(), ServicePolicy { is_keyed: false });
    RoutingConfig {
        version: ConfigVersion(1),
        routes: routes.to_vec(),
        services,
        limits: CallerLimits::default(),
    }
}

fn entry(upstream: &Upstream) -> UpstreamEntry {
    UpstreamEntry {
        name: UpstreamName::new(&upstream.name).expect("a valid name"),
        born: Born(1),
        service: service(),
        zone: ZoneName::new("a").expect("a valid name"),
        address: upstream.address,
        slots: 4,
        state: UpstreamState::Ready,
        warmup_left_ms: 0,
    }
}

/// Answers the calls of a daemon; without upstreams the store cannot be reached.
fn start_store(changes: Option<Vec<StoreChange>>) -> mpsc::Sender<StoreRequest> {
    let (requests, mut received) = mpsc::channel(16);
    actix_rt::spawn(async move {
        while let Some(request) = received.recv().await {
            let Some(changes) = &changes else {
                refuse(request);
                continue;
            };
            match request {
                StoreRequest::Read { table, reply } => {
                    let is_of = |change: &&StoreChange| match table {
                        StoreTable::Config => matches!(change, StoreChange::Config(_)),
                        StoreTable::Upstreams => matches!(change, StoreChange::Upstream(_)),
                        StoreTable::Own => false,
                    };
                    let changes = changes.iter().filter(is_of).cloned().collect();
                    drop(reply.send(Ok(Page {
                        changes,
                        version: 1,
                    })));
                }
                StoreRequest::ReadOwn { reply, .. } => {
                    drop(reply.send(Ok(Page {
                        changes: Vec::new(),
                        version: 1,
                    })));
                }
                StoreRequest::Follow { reply, .. } => {
                    actix_rt::spawn(async move {
                        sleep(Duration::from_secs(30)).await;
                        drop(reply.send(Ok(Page {
                            changes: Vec::new(),
                            version: 1,
                        })));
                    });
                }
                StoreRequest::Write { reply, .. } => drop(reply.send(Ok(Written::Done(2)))),
            }
        }
    });
    requests
}

fn refuse(request: StoreRequest) {
    let refused = StoreError::Refused { status: 503 };
    match request {
        StoreRequest::Read { reply, .. }
        | StoreRequest::ReadOwn { reply, .. }
        | StoreRequest::Follow { reply, .. } => drop(reply.send(Err(refused))),
        StoreRequest::Write { reply, .. } => drop(reply.send(Err(refused))),
    }
}

/// Starts a daemon that knows `upstreams`, or a daemon without a store.
pub async fn start(upstreams: Option<&[&Upstream]>) -> Edge {
    let changes = upstreams.map(|upstreams| {
        let entries = upstreams
            .iter()
            .map(|upstream| StoreChange::Upstream(entry(upstream)));
        std::iter::once(StoreChange::Config(config()))
            .chain(entries)
            .collect()
    });
    let (orders, _) = mpsc::channel::<OrderRequest>(1);
    let adapter = Adapter {
        names: NAMES,
        store: start_store(changes),
        orders,
        lost_lines: balsam_log::LostLines::default(),
    };
    let edge = Edge::start(&settings(), adapter)
        .await
        .expect("a running daemon");
    if upstreams.is_some() {
        wait_ready(&edge).await;
    }
    edge
}

async fn wait_ready(edge: &Edge) {
    for _ in 0..200 {
        if ready_status(edge).await == 200 {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the daemon does not get ready");
}

/// Asks whether the daemon is ready.
pub async fn ready_status(edge: &Edge) -> u16 {
    let mut caller = Caller::open(edge.addresses().readiness).await;
    caller.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
    caller.answer().await.0
}
