//! A deployment of three services in three zones, as child processes.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use balsam_standins::harness::cluster::{
    Cluster, ClusterPlan, DaemonProcess, ServicePlan, UpstreamPlan, wait_until,
};
use balsam_standins::harness::{OrderReports, Violation, check_journals};
use balsam_standins::load::{KeyChoice, LoadPlan, LoadStream, WorkKind};
use balsam_types::ServiceName;
use balsam_types::settings::{SettingKey, SettingValue};
use balsam_wire::upstream::JournalResponse;
use std::time::Duration;

/// Long against every time that the design page names, so that a busy machine does not matter.
pub const DEADLINE: Duration = Duration::from_secs(30);

/// Few enough that tests see each of them used.
pub const SLICES: u64 = 64;

/// Each service with its rank and number of upstreams.
pub const SERVICES: [(&str, &str, usize); 3] = [
    ("catalogue", "lookup", 4),
    ("ledger", "order", 2),
    ("templates", "download", 2),
];

/// Returns a plan of `daemons` daemons and the upstreams of [`SERVICES`], spread over three zones.
pub fn plan(daemons: usize) -> ClusterPlan {
    let zone = |number: usize| format!("z{}", number % 3).parse().expect("valid name");
    let mut upstreams = Vec::new();
    for (service, _, count) in SERVICES {
        upstreams.extend((0..count).map(|number| UpstreamPlan {
            name: format!("{service}-{number}").parse().expect("valid name"),
            service: service.parse().expect("valid name"),
            zone: zone(number),
            slots: 3,
            connections: 120,
            checks_grants: true,
            arguments: vec!["--body-bytes".to_owned(), "download=131072".to_owned()],
        }));
    }
    ClusterPlan {
        daemon_zones: (0..daemons).map(zone).collect(),
        upstreams,
        services: SERVICES.into_iter().map(service_plan).collect(),
        drain_ms: 5_000,
        log_level: "info".to_owned(),
    }
}

fn service_plan((service, rank, _): (&str, &str, usize)) -> ServicePlan {
    let orders = SettingValue::Flag(rank == "order");
    ServicePlan {
        name: service.parse().expect("valid name"),
        values: vec![
            (SettingKey::Slices, SettingValue::Number(SLICES)),
            (SettingKey::DefaultRank, SettingValue::Text(rank.into())),
        ],
        ranks: vec![(
            rank.parse().expect("valid name"),
            vec![(SettingKey::Orders, orders)],
        )],
    }
}

/// Starts `plan`, creates its services and waits until each unit has an owner at each daemon.
pub async fn start(plan: ClusterPlan) -> Cluster {
    let daemons = plan.daemon_zones.len();
    let cluster = Cluster::start(plan).await.expect("processes start");
    for daemon in 0..daemons {
        wait_roster(&cluster, daemon, daemons).await;
    }
    let created = cluster.create_services().await;
    created.expect("the edit is accepted");
    for daemon in 0..daemons {
        wait_owned(&cluster, daemon).await;
    }
    cluster
}

/// Waits until `daemon` sees a roster of `size` daemons.
pub async fn wait_roster(cluster: &Cluster, daemon: usize, size: usize) {
    let reached = || async {
        let operator = cluster.daemons[daemon].operator().ok()?;
        let roster = operator.daemons().await.ok()?.daemons;
        (roster.len() == size).then_some(())
    };
    let waited = wait_until("a complete roster", DEADLINE, reached).await;
    waited.expect("the daemons join");
}

/// Waits until `daemon` sees an owner for each unit of each service.
pub async fn wait_owned(cluster: &Cluster, daemon: usize) {
    let units = SLICES * cluster.plan.services.len() as u64;
    let reached = || async {
        let operator = cluster.daemons[daemon].operator().ok()?;
        let upstreams = operator.upstreams().await.ok()?.upstreams;
        let owned: u64 = upstreams.iter().map(|upstream| upstream.units_owned).sum();
        (owned >= units).then_some(())
    };
    let waited = wait_until("an owner for each unit", DEADLINE, reached).await;
    waited.expect("all units are owned");
}

/// Returns a load on all three services through all daemons.
pub fn load(cluster: &Cluster, name: &str, seed: u64, rate: f64, until_ms: u64) -> LoadPlan {
    let streams = SERVICES.into_iter().map(|(service, rank, _)| LoadStream {
        service: service.parse().expect("valid name"),
        rank: rank.parse().expect("valid name"),
        member: "kranj".parse().expect("valid name"),
        kind: if rank == "order" {
            WorkKind::Order { body_bytes: 200 }
        } else {
            WorkKind::Read
        },
        keys: KeyChoice::even(500),
        rate,
        from_ms: 0,
        until_ms,
        deadline_ms: 5_000,
    });
    let addresses = cluster.daemons.iter().map(DaemonProcess::caller_address);
    LoadPlan {
        name: name.to_owned(),
        seed,
        targets: addresses
            .map(|address| address.expect("announced"))
            .collect(),
        streams: streams.collect(),
        connections: 200,
        in_flight: 2_000,
    }
}

/// Checks the journals of each service against the invariants of ownership and orders.
pub async fn violations(cluster: &Cluster, reports: &OrderReports) -> Vec<Violation> {
    violations_in(cluster, &cluster.journals().await, reports)
}

/// Checks `journals`, which may hold those of upstreams that were killed since.
pub fn violations_in(
    cluster: &Cluster,
    journals: &[JournalResponse],
    reports: &OrderReports,
) -> Vec<Violation> {
    let mut found = Vec::new();
    for (service, _, _) in SERVICES {
        let of_service = journals_of(cluster, journals, service);
        let orders = OrderReports::default();
        let reports = if service == "ledger" {
            reports
        } else {
            &orders
        };
        found.extend(check_journals(&of_service, reports));
    }
    found
}

fn journals_of(
    cluster: &Cluster,
    journals: &[JournalResponse],
    service: &str,
) -> Vec<JournalResponse> {
    let service: ServiceName = service.parse().expect("valid name");
    let plans = &cluster.plan.upstreams;
    let serves = |journal: &&JournalResponse| {
        let plan = plans.iter().find(|plan| plan.name == journal.upstream);
        plan.is_some_and(|plan| plan.service == service)
    };
    journals.iter().filter(serves).cloned().collect()
}
