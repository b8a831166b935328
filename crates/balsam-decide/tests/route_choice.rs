//! The choice of the route and the service of a request.

use balsam_decide::routing::{RouteTable, TrafficSplits};
use balsam_types::{
    CallerLimits, ConfigVersion, Route, RouteKind, RouteName, RoutingConfig, ServiceName,
    ServiceShare, new_map,
};
use rstest::rstest;
use std::sync::Arc;

fn share(service: &str, weight: u32) -> ServiceShare {
    let service = ServiceName::new(service).expect("a valid name");
    ServiceShare { service, weight }
}

fn route(name: &str, prefix: &str, shares: Vec<ServiceShare>) -> Route {
    Route {
        name: RouteName::new(name).expect("a valid name"),
        host: Arc::from("h.example"),
        prefix: Arc::from(prefix),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 400,
        rank: 0,
        attempts_max: 2,
        shares,
    }
}

fn table() -> RouteTable {
    let routes = [("short", "/a/"), ("long", "/a/b/"), ("root", "/")];
    let routes = routes.map(|(name, prefix)| Arc::new(route(name, prefix, vec![share("s", 1)])));
    RouteTable::new(RoutingConfig {
        version: ConfigVersion(1),
        routes: routes.to_vec(),
        services: new_map(),
        limits: CallerLimits::default(),
    })
}

/// Guards against a choice of another route than that of the longest matching prefix, and against
/// prefixes that match within a path segment.
#[rstest]
#[case::longest("h.example", "/a/b/c", Some("long"))]
#[case::shorter("h.example", "/a/bc", Some("short"))]
#[case::query("h.example", "/a/b?x=/y/", Some("short"))]
#[case::root("h.example", "/z", Some("root"))]
#[case::port("H.example:80", "/a/x", Some("short"))]
#[case::host("other.example", "/a/", None)]
fn longest_prefix(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let table = table();
    let found = table
        .find(host, path)
        .map(|route| route.name.as_str().to_owned());
    assert_eq!(found.as_deref(), expected);
}

/// Guards against shares that are met only over many requests, and against requests to a service
/// without weight.
#[test]
fn exact_shares() {
    let shares = vec![share("a", 90), share("b", 10), share("c", 0)];
    let route = route("split", "/", shares);
    let mut splits = TrafficSplits::new();
    let chosen: Vec<String> = (0..200)
        .filter_map(|_| splits.choose(&route))
        .map(|service| service.as_str().to_owned())
        .collect();
    let count = |name: &str| chosen.iter().filter(|service| *service == name).count();
    assert_eq!((count("a"), count("b"), count("c")), (180, 20, 0));
}
