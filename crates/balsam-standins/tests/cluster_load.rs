//! A cluster under load while upstreams freeze and crash, checked through their journals.

mod common;

use balsam_standins::harness::cluster::{
    Cluster, ClusterPlan, ServicePlan, UpstreamPlan, wait_until,
};
use balsam_standins::harness::{OrderReports, check_journals};
use balsam_standins::load::{
    KeyChoice, LoadPlan, LoadResult, LoadStream, MemberReport, WorkKind, run_load,
};
use balsam_types::settings::{SettingKey, SettingValue};
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(30);
const SLICES: u64 = 16;
const SEED: u64 = 42;
/// Moves a minute for balance, as by default.
const BALANCED: u64 = 64;
/// No moves for balance.
const UNBALANCED: u64 = 0;
const RUN_MS: u64 = 6_000;
/// Frozen for longer than detection, move and expiry of all rights take together.
const FROZEN: Duration = Duration::from_secs(5);

fn upstream(service: &str, number: usize) -> UpstreamPlan {
    UpstreamPlan {
        name: format!("{service}-{number}").parse().expect("valid name"),
        service: service.parse().expect("valid name"),
        zone: format!("z{number}").parse().expect("valid name"),
        slots: 3,
        connections: 120,
        checks_grants: true,
        arguments: Vec::new(),
    }
}

fn service(name: &str, orders: bool, moves_per_minute: u64) -> ServicePlan {
    let rank_values = vec![(SettingKey::Orders, SettingValue::Flag(orders))];
    ServicePlan {
        name: name.parse().expect("valid name"),
        values: vec![
            (SettingKey::Slices, SettingValue::Number(SLICES)),
            (
                SettingKey::MovesPerMinute,
                SettingValue::Number(moves_per_minute),
            ),
            (SettingKey::DefaultRank, SettingValue::Text(name.into())),
        ],
        ranks: vec![(name.parse().expect("valid name"), rank_values)],
    }
}

async fn started(moves_per_minute: u64) -> Cluster {
    let zone = |number: usize| format!("z{number}").parse().expect("valid name");
    let plan = ClusterPlan {
        daemon_zones: (0..3).map(zone).collect(),
        upstreams: (0..2)
            .flat_map(|number| [upstream("lookup", number), upstream("order", number)])
            .collect(),
        services: vec![
            service("lookup", false, moves_per_minute),
            service("order", true, moves_per_minute),
        ],
        drain_ms: 5_000,
        log_level: "warn".to_owned(),
    };
    let cluster = Cluster::start(plan).await.expect("processes start");
    cluster
        .create_services()
        .await
        .expect("the edit is accepted");
    let owned = || async {
        let operator = cluster.daemons[0].operator().ok()?;
        let upstreams = operator.upstreams().await.ok()?.upstreams;
        let owned: u64 = upstreams.iter().map(|upstream| upstream.units_owned).sum();
        (owned == 2 * SLICES).then_some(())
    };
    let owning = wait_until("an owner of each unit", DEADLINE, owned).await;
    owning.expect("all units are owned");
    cluster
}

fn stream(name: &str, kind: WorkKind, rate: f64) -> LoadStream {
    LoadStream {
        service: name.parse().expect("valid name"),
        rank: name.parse().expect("valid name"),
        member: "m1".parse().expect("valid name"),
        kind,
        keys: KeyChoice::even(50),
        rate,
        from_ms: 0,
        until_ms: RUN_MS,
        deadline_ms: 2_000,
    }
}

fn load(cluster: &Cluster) -> LoadPlan {
    let daemons = cluster.daemons.iter();
    let order = WorkKind::Order { body_bytes: 200 };
    LoadPlan {
        name: "cluster".to_owned(),
        seed: SEED,
        targets: daemons
            .map(|daemon| daemon.caller_address().expect("a caller listener"))
            .collect(),
        streams: vec![
            stream("lookup", WorkKind::Read, 100.0),
            stream("order", order, 50.0),
        ],
        connections: 300,
        in_flight: 2_000,
    }
}

async fn assert_invariants(cluster: &Cluster, result: &LoadResult) {
    let journals = cluster.journals().await;
    for name in ["lookup", "order"] {
        let of_service = |journal: &&_| {
            let balsam_wire::upstream::JournalResponse { upstream, .. } = journal;
            upstream.as_str().starts_with(name)
        };
        let journals: Vec<_> = journals.iter().filter(of_service).cloned().collect();
        let reports = match name {
            "order" => result.orders.clone(),
            _ => OrderReports::default(),
        };
        assert_eq!(check_journals(&journals, &reports), []);
    }
}

fn rank<'a>(result: &'a LoadResult, name: &str) -> &'a MemberReport {
    let rank = name.parse().expect("valid name");
    &result.report.ranks[&rank].all
}

/// Guards against two owners of one key, and against lost or repeated orders, when upstreams
/// freeze, lose their units and resume.
#[actix_rt::test]
async fn frozen_upstreams_resume() {
    let cluster = started(BALANCED).await;
    let freezing = async {
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        for upstream in &cluster.upstreams[..2] {
            upstream.child.freeze().expect("a running process");
        }
        actix_rt::time::sleep(FROZEN).await;
        for upstream in &cluster.upstreams[..2] {
            upstream.child.resume().expect("a frozen process");
        }
        // Executions that were frozen end now.
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    };
    let (result, ()) = futures_util::future::join(run_load(load(&cluster)), freezing).await;
    let result = result.unwrap();
    println!("{}", serde_json::to_string(&result.report).unwrap());
    assert_invariants(&cluster, &result).await;
    for name in ["lookup", "order"] {
        let report = rank(&result, name);
        assert!(
            report.in_deadline * 4 > report.scheduled,
            "{name}: {report:?}"
        );
    }
}

/// Guards against lost or repeated orders while the platform is out of service, and against reads
/// that stop with it.
///
/// Balancing is off, because a unit whose move an outage interrupts has no owner until the table
/// returns.
#[actix_rt::test]
async fn platform_outage_keeps_reads() {
    use balsam_wire::platform::{OutageKind, PlatformFaults};
    let cluster = started(UNBALANCED).await;
    let outage = async {
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let silent = PlatformFaults {
            down: OutageKind::Silent,
            ..PlatformFaults::default()
        };
        cluster.platform.set_faults(&silent).await.unwrap();
    };
    let (result, ()) = futures_util::future::join(run_load(load(&cluster)), outage).await;
    let result = result.unwrap();
    println!("{}", serde_json::to_string(&result.report).unwrap());
    assert_invariants(&cluster, &result).await;
    let lookups = rank(&result, "lookup");
    assert!(
        lookups.in_deadline * 10 > lookups.scheduled * 9,
        "{lookups:?}"
    );
    let orders = rank(&result, "order");
    assert!(orders.not_run > 0, "{orders:?}");
    assert_eq!(orders.failed, 0, "{orders:?}");
}
