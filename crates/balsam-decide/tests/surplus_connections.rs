//! Tests when requests wait before they are sent on a new connection.

#[allow(dead_code, reason = "this file uses a part of the module")]
mod keyed;

use balsam_decide::budget::BudgetTerms;
use balsam_decide::directory::Upstreams;
use balsam_decide::pool::{
    ClusterState, EndReport, Pool, PoolInput, PoolOutput, PoolSettings, Request, RequestId, Verdict,
};
use balsam_decide::routing::RouteTable;
use balsam_types::{
    CallerLimits, ConfigVersion, Route, RouteKind, RouteName, RoutingConfig, ServicePolicy,
    ServiceShare, TimeMs, UpstreamState, ZoneName, new_map,
};
use keyed::{service, upstream};
use rstest::rstest;
use std::sync::Arc;

fn config() -> RoutingConfig {
    let route = Route {
        name: RouteName::new("orders").expect("a valid name"),
        host: Arc::from("h.example"),
        prefix: Arc::from("/orders/"),
        kind: RouteKind::Order,
        timeout_ms: 2_000,
        objective_ms: 1_000,
        rank: 0,
        attempts_max: 2,
        shares: vec![ServiceShare {
            service: service(),
            weight: 1,
        }],
    };
    let mut services = new_map();
    services.insert(service(), ServicePolicy::new(false));
    RoutingConfig {
        version: ConfigVersion(1),
        routes: vec![Arc::new(route)],
        services,
        limits: CallerLimits::default(),
    }
}

fn pool() -> (Pool, Arc<Route>) {
    let config = config();
    let route = Arc::clone(&config.routes[0]);
    let mut pool = Pool::new(PoolSettings {
        zone: ZoneName::new("z").expect("a valid name"),
        budget: BudgetTerms {
            ratio: 0.2,
            slack: 60.0,
            window_ms: 10_000,
            daemons: 1,
        },
        drain_ms: 2_000,
        seed: 0,
        room_daemons_per_slot: 0,
        first_permit_id: 0,
    });
    pool.handle(
        TimeMs(0),
        PoolInput::Cluster(ClusterState {
            table: Arc::new(RouteTable::new(config)),
            upstreams: Arc::new(Upstreams::new([upstream(1, UpstreamState::Ready)])),
            ranges: new_map(),
            moved: new_map(),
            daemons: 1,
            keepers: std::sync::Arc::default(),
            evacuated: std::sync::Arc::default(),
        }),
    );
    (pool, route)
}

/// Sends a request at `now` and returns whether it waits on a new connection.
fn waits(pool: &mut Pool, route: &Arc<Route>, now: TimeMs, verdict: Verdict) -> bool {
    let request = Request {
        id: RequestId(now.0),
        route: Arc::clone(route),
        service: None,
        key: None,
        received_at: TimeMs(0),
        caller_deadline: now.after(1_000),
        give_up_at: now.after(1_000),
        avoid: Vec::new(),
        is_repeat: false,
    };
    let outputs = pool.handle(now, PoolInput::Request(request));
    let [
        PoolOutput::Send {
            upstream,
            resets_connections,
            ..
        },
    ] = outputs.as_slice()
    else {
        panic!("not sent: {outputs:?}");
    };
    let done = PoolInput::Done {
        upstream: Arc::clone(upstream),
        route: Arc::clone(route),
        verdict,
        took_ms: 5,
        permit: None,
        report: EndReport::default(),
    };
    pool.handle(now.after(5), done);
    *resets_connections
}

/// Guards against orders that are lost on connections that an upstream resets: after the first one
/// requests must wait for the reset, and go on to do so while it resets others.
#[rstest]
#[case::read(Verdict::Reset)]
#[case::never_sent(Verdict::Surplus)]
fn resets_expected(#[case] verdict: Verdict) {
    let (mut pool, route) = pool();
    assert!(!waits(&mut pool, &route, TimeMs(1_000), verdict));
    assert!(waits(&mut pool, &route, TimeMs(2_000), verdict));
    assert!(waits(&mut pool, &route, TimeMs(3_500), Verdict::Served));
}

/// Guards against requests that wait at upstreams that take all connections.
#[test]
fn no_resets() {
    let (mut pool, route) = pool();
    assert!(!waits(&mut pool, &route, TimeMs(1_000), Verdict::Reset));
    assert!(!waits(&mut pool, &route, TimeMs(4_000), Verdict::Served));
    assert!(!waits(&mut pool, &route, TimeMs(5_000), Verdict::Failed));
}
