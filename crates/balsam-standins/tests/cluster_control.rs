//! A cluster of processes: control path, links and restarts.

mod common;

use balsam_standins::harness::cluster::{
    Cluster, ClusterPlan, ServicePlan, UpstreamPlan, wait_until,
};
use balsam_standins::harness::{Client, LinkFaults, LinkMode, Sent, Work};
use balsam_types::settings::{SettingKey, SettingValue};
use balsam_types::{ServiceName, UnitId, UpstreamName};
use balsam_wire::upstream::headers;
use std::time::{Duration, Instant};

/// Long against every time that the design page names, so that a busy machine does not matter.
const DEADLINE: Duration = Duration::from_secs(30);
const SLICES: u64 = 16;
const KEY: &str = "some-key";

fn plan() -> ClusterPlan {
    let zone = |number: usize| format!("z{}", number % 3).parse().expect("valid name");
    let service: ServiceName = "lookup".parse().expect("valid name");
    let upstream = |number: usize| UpstreamPlan {
        name: format!("u{number}").parse().expect("valid name"),
        service: service.clone(),
        zone: zone(number),
        slots: 3,
        connections: 120,
        checks_grants: true,
        arguments: Vec::new(),
    };
    let rank = "lookup".parse().expect("valid name");
    ClusterPlan {
        daemon_zones: (0..3).map(zone).collect(),
        upstreams: (0..2).map(upstream).collect(),
        services: vec![ServicePlan {
            name: service.clone(),
            values: vec![(SettingKey::Slices, SettingValue::Number(SLICES))],
            ranks: vec![(rank, Vec::new())],
        }],
        drain_ms: 5_000,
        log_level: "info".to_owned(),
    }
}

async fn roster_size(cluster: &Cluster, daemon: usize) -> Option<usize> {
    let operator = cluster.daemons[daemon].operator().ok()?;
    Some(operator.daemons().await.ok()?.daemons.len())
}

async fn wait_roster(cluster: &Cluster, daemon: usize, size: usize) {
    let reached = || async {
        let found = roster_size(cluster, daemon).await?;
        (found == size).then_some(())
    };
    let waited = wait_until("a complete roster", DEADLINE, reached).await;
    waited.expect("the daemons join");
}

async fn owned_units(cluster: &Cluster, daemon: usize) -> Option<u64> {
    let operator = cluster.daemons[daemon].operator().ok()?;
    let upstreams = operator.upstreams().await.ok()?.upstreams;
    Some(upstreams.iter().map(|upstream| upstream.units_owned).sum())
}

async fn wait_owned(cluster: &Cluster) {
    let reached = || async {
        let owned = owned_units(cluster, 0).await?;
        (owned == SLICES).then_some(())
    };
    let waited = wait_until("an owner for each unit", DEADLINE, reached).await;
    waited.expect("all units are owned");
}

async fn started() -> Cluster {
    let cluster = Cluster::start(plan()).await.expect("processes start");
    for daemon in 0..3 {
        wait_roster(&cluster, daemon, 3).await;
    }
    cluster
        .create_services()
        .await
        .expect("the edit is accepted");
    wait_owned(&cluster).await;
    cluster
}

/// The names of the upstreams that run the key, once the daemon knows its owner.
async fn owner_and_runners(
    cluster: &Cluster,
    daemon: usize,
) -> Option<(UpstreamName, Vec<UpstreamName>)> {
    let service = &cluster.plan.services[0].name;
    let operator = cluster.daemons[daemon].operator().ok()?;
    let owner = operator.owner(service, KEY).await.ok()?;
    let work = Work::lookup(KEY, UnitId(owner.unit.0), owner.epoch);
    let mut runners = Vec::new();
    for upstream in &cluster.upstreams {
        let answer = upstream.client.work(work.clone()).await.ok()?;
        if answer.header(headers::NOT_RUN).is_none() {
            runners.push(upstream.plan.name.clone());
        }
    }
    Some((owner.upstream?, runners))
}

/// Guards against daemons, platform and upstreams that do not understand each other.
#[actix_rt::test]
async fn owner_runs_its_keys() {
    let cluster = started().await;
    // Other daemons than the one that took the edit learn the owners later.
    let one_runs = || async {
        let (owner, runners) = owner_and_runners(&cluster, 1).await?;
        (!runners.is_empty()).then_some((owner, runners))
    };
    let waited = wait_until("the owner's grant", DEADLINE, one_runs).await;
    let ((owner, runners), _) = waited.unwrap();
    assert_eq!(runners, [owner], "only the owner runs the key");
}

/// Guards against a cut link between two daemons that also cuts their links to a third one.
#[actix_rt::test]
async fn pair_links_are_separate() {
    let cluster = started().await;
    let cut = LinkFaults {
        mode: LinkMode::HalfOpen,
        ..LinkFaults::default()
    };
    cluster.set_peer_faults(0, 1, Some(cut));
    let silent_peers = || async {
        let operator = cluster.daemons[0].operator().ok()?;
        let daemons = operator.daemons().await.ok()?.daemons;
        let silent = daemons.iter().filter(|daemon| daemon.suspected).count();
        (silent > 0).then_some(silent)
    };
    let (silent, _) = wait_until("a suspicion", DEADLINE, silent_peers)
        .await
        .unwrap();
    assert_eq!(silent, 1, "the link to the third daemon works");
}

/// Guards against a restarted daemon that keeps its former place in the roster.
#[actix_rt::test]
async fn restarted_daemon_joins_anew() {
    let mut cluster = started().await;
    let before = cluster.daemons[2].operator().unwrap();
    let before = before.daemons().await.unwrap().me;
    cluster.daemons[2].restart().await.unwrap();
    let joined_anew = || async {
        let operator = cluster.daemons[0].operator().ok()?;
        let daemons = operator.daemons().await.ok()?.daemons;
        let old = daemons.iter().any(|daemon| daemon.incarnation == before);
        (!old && daemons.len() == 3).then_some(())
    };
    let joined = wait_until("the new incarnation", DEADLINE, joined_anew).await;
    joined.expect("the roster holds the new incarnation only");
}

/// Guards against a zone delay that is missing on the way from a caller's daemon to the owner.
#[actix_rt::test]
async fn zone_delay_counts() {
    const DELAY_MS: u64 = 50;
    let cluster = started().await;
    cluster.set_zone_delay(DELAY_MS);
    // The upstreams are in zones 0 and 1, so the way from daemon 2 leads through another zone.
    let caller = cluster.daemons[2].caller_address().unwrap();
    let caller = Client::new(caller, DEADLINE);
    let served = || async {
        let begun = Instant::now();
        let answer = caller.send(Sent::get("/lookup/some-key")).await.ok()?;
        (answer.status == 200).then(|| begun.elapsed())
    };
    let both_ways = Duration::from_millis(2 * DELAY_MS);
    // Open connections take the new delay on after a moment, and one answer can also be late for
    // another reason.
    let always_delayed = || async {
        for _ in 0..5 {
            served().await.filter(|elapsed| *elapsed >= both_ways)?;
        }
        Some(())
    };
    let taken_on = wait_until("five delayed answers in a row", DEADLINE, always_delayed).await;
    taken_on.expect("the delay counts both ways");
}
