//! A platform that is out of service, slow, or that loses its answers.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/observed.rs"]
mod observed;

use balsam_standins::harness::cluster::{Cluster, ClusterPlan};
use balsam_standins::load::{LoadReport, MemberReport, run_load};
use balsam_types::control::{Change, LogEntry, UpstreamStatus};
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use balsam_types::{Epoch, ServiceName, UpstreamName};
use balsam_wire::operator::UpstreamBody;
use balsam_wire::platform::{OutageKind, PlatformFaults};
use deployment::{load, plan, start, violations, wait_owned};
use observed::{change_log, upstream, wait_upstream};
use rstest::rstest;
use std::time::Duration;

const DAEMONS: usize = 4;
const KEYS: usize = 20;
const BEFORE: Duration = Duration::from_secs(1);
/// Slower than every deadline of the daemons' own table requests.
const SLOW_MS: u64 = 3_000;
const EDITS: u64 = 5;
/// Both a write and a repetition of it are left without an answer.
const LOST_ANSWERS: u32 = 2;

const fn faults(down: OutageKind, delay_ms: u64) -> PlatformFaults {
    PlatformFaults {
        down,
        delay_ms,
        lose_answers: 0,
    }
}

/// Returns a plan without moves for balance, since a unit whose move an outage interrupts has no
/// owner until the table returns.
fn unbalanced() -> ClusterPlan {
    let mut plan = plan(DAEMONS);
    for service in &mut plan.services {
        let no_moves = SettingValue::Number(0);
        service.values.push((SettingKey::MovesPerMinute, no_moves));
    }
    plan
}

async fn owners(cluster: &Cluster, daemon: usize) -> Vec<Option<UpstreamName>> {
    let operator = cluster.daemons[daemon].operator().expect("announced");
    let service: ServiceName = "catalogue".parse().expect("valid name");
    let mut owners = Vec::with_capacity(KEYS);
    for number in 0..KEYS {
        let owner = operator.owner(&service, &format!("k{number}")).await;
        owners.push(owner.expect("answered").upstream);
    }
    owners
}

fn rank<'a>(report: &'a LoadReport, rank: &str) -> &'a MemberReport {
    &report.ranks[&rank.parse().expect("valid name")].all
}

/// Guards against lookups that need the table, and against assignments that an outage loses or
/// changes.
#[rstest]
#[case::silent(faults(OutageKind::Silent, 0), 30)]
#[case::refused(faults(OutageKind::Refused, 0), 10)]
#[case::slow(faults(OutageKind::None, SLOW_MS), 10)]
#[actix_rt::test]
async fn outage_keeps_owners(#[case] faults: PlatformFaults, #[case] seconds: u64) {
    let cluster = start(unbalanced()).await;
    let before = owners(&cluster, 0).await;
    let lasting = Duration::from_secs(seconds);
    let run_ms = (lasting + 2 * BEFORE).as_millis() as u64;
    let run = load(&cluster, "platform outage", 41, 30.0, run_ms);
    let outage = async {
        actix_rt::time::sleep(BEFORE).await;
        cluster
            .platform
            .set_faults(&faults)
            .await
            .expect("confirmed");
        actix_rt::time::sleep(lasting).await;
        let during = owners(&cluster, 1).await;
        let healed = PlatformFaults::default();
        cluster
            .platform
            .set_faults(&healed)
            .await
            .expect("confirmed");
        during
    };
    let (result, during) = tokio::join!(run_load(run), outage);
    let result = result.expect("the load runs");
    println!("{}", serde_json::to_string(&result.report).expect("report"));
    assert_eq!(during, before, "an outage changes no owner");
    for daemon in 0..DAEMONS {
        wait_owned(&cluster, daemon).await;
        assert_eq!(owners(&cluster, daemon).await, before, "daemon {daemon}");
    }
    assert_eq!(violations(&cluster, &result.orders).await, []);
    for name in ["lookup", "download"] {
        let report = rank(&result.report, name);
        assert_eq!(report.answered, report.scheduled, "{name}: {report:?}");
    }
    let orders = rank(&result.report, "order");
    assert!(orders.not_run > 0, "{orders:?}");
    assert_eq!(orders.failed, 0, "{orders:?}");
}

fn edits_of(log: &[LogEntry], path: &NodePath) -> Vec<Epoch> {
    let edits = |entry: &&LogEntry| match &entry.change {
        Change::Settings { edits } => edits.iter().any(|edit| edit.path == *path),
        _ => false,
    };
    log.iter().filter(edits).map(|entry| entry.epoch).collect()
}

fn drains_of(log: &[LogEntry], name: &UpstreamName) -> usize {
    let drains = |entry: &&LogEntry| match &entry.change {
        Change::UpstreamsChanged { upstreams } => upstreams
            .iter()
            .any(|upstream| upstream.name == *name && upstream.status == UpstreamStatus::Draining),
        _ => false,
    };
    log.iter().filter(drains).count()
}

fn most_moves(log: &[LogEntry], name: &UpstreamName) -> usize {
    let mut counts = std::collections::BTreeMap::new();
    for entry in log {
        if let Change::UnitsMoving { moves, .. } = &entry.change {
            for unit_move in moves.iter().filter(|unit_move| unit_move.from == *name) {
                *counts.entry(unit_move.unit).or_insert(0) += 1;
            }
        }
    }
    counts.into_values().max().unwrap_or(0)
}

/// Guards against changes that are applied twice or reported as failed when the answer of their
/// write is lost.
#[actix_rt::test]
async fn lost_answers_commit_once() {
    const LEFT: usize = 0;
    let cluster = start(unbalanced()).await;
    let faults = PlatformFaults {
        lose_answers: LOST_ANSWERS,
        ..PlatformFaults::default()
    };
    let path: NodePath = "/services/catalogue/ranks/bulk".parse().expect("valid");
    let name = &cluster.plan.upstreams[LEFT].name;
    let mut version = Epoch(0);
    let mut versions = Vec::new();
    for number in 0..EDITS {
        cluster
            .platform
            .set_faults(&faults)
            .await
            .expect("confirmed");
        let operator = cluster.daemons[number as usize % DAEMONS].operator();
        let operator = operator.expect("announced");
        if number == 1 {
            operator.drain(name, true).await.expect("accepted");
        }
        let value = SettingValue::Number(1_000 + number);
        let edit = NodeEdit::new(path.clone(), version).with_value(SettingKey::DeadlineMs, value);
        let accepted = operator.edit(vec![edit], false).await;
        version = accepted.expect("the edit is committed").epoch;
        versions.push(version);
    }
    let emptied = |upstream: &UpstreamBody| upstream.units_owned + upstream.units_leaving == 0;
    wait_upstream(&cluster, 1, LEFT, "the end of the moves", emptied).await;
    let log = change_log(&cluster).await;
    assert_eq!(edits_of(&log, &path), versions);
    assert_eq!(drains_of(&log, name), 1);
    assert_eq!(most_moves(&log, name), 1);
}

/// Guards against moves for balance that begin while the table is slow, because an outage would
/// leave their units without an owner.
#[actix_rt::test]
async fn slow_table_holds_moves() {
    const REFILLED: usize = 0;
    /// Slower than a pulse period, and fast enough for commits.
    const DELAY_MS: u64 = 300;
    /// Longer than the planning period and the commit of the status together.
    const HELD: Duration = Duration::from_secs(4);
    let cluster = start(plan(DAEMONS)).await;
    let name = &cluster.plan.upstreams[REFILLED].name;
    let operator = cluster.daemons[1].operator().expect("announced");
    operator.drain(name, true).await.expect("accepted");
    let emptied = |upstream: &UpstreamBody| upstream.units_owned + upstream.units_leaving == 0;
    wait_upstream(&cluster, 1, REFILLED, "the end of the moves", emptied).await;
    let slow = faults(OutageKind::None, DELAY_MS);
    cluster.platform.set_faults(&slow).await.expect("confirmed");
    // Reads that began before the delay have ended.
    actix_rt::time::sleep(BEFORE).await;
    operator.drain(name, false).await.expect("accepted");
    let active = |upstream: &UpstreamBody| upstream.status == UpstreamStatus::Active;
    wait_upstream(&cluster, 1, REFILLED, "the end of the drain", active).await;
    actix_rt::time::sleep(HELD).await;
    let held = upstream(&cluster, 1, REFILLED).await.expect("listed");
    assert_eq!((held.units_owned, held.units_coming), (0, 0), "{held:?}");
    let healed = PlatformFaults::default();
    cluster
        .platform
        .set_faults(&healed)
        .await
        .expect("confirmed");
    let filled = |upstream: &UpstreamBody| upstream.units_owned > 0;
    wait_upstream(&cluster, 1, REFILLED, "the first unit", filled).await;
}
