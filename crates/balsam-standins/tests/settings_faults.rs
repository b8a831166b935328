//! Edits of settings by two operators, at cut off daemons and across restarts.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/observed.rs"]
mod observed;
#[path = "common/probes.rs"]
mod probes;

use balsam_standins::harness::cluster::{Cluster, wait_until};
use balsam_standins::harness::{Client, HarnessError, LinkFaults, LinkMode, Sent};
use balsam_types::Epoch;
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use balsam_wire::operator::{CommandResponse, NodeBody};
use balsam_wire::platform::{OutageKind, PlatformFaults};
use deployment::{DEADLINE, plan, start};
use observed::epochs;
use probes::print_time;
use std::time::{Duration, Instant};

const DAEMONS: usize = 4;
/// The stated bound on the time until an accepted edit is in force everywhere.
const IN_FORCE_BOUND: Duration = Duration::from_secs(6);
/// The freshness right and the grace after it, in which a cut off daemon may serve an old value.
const RIGHT_AND_GRACE: Duration = Duration::from_secs(3);
const RANK: &str = "/services/catalogue/ranks/lookup";

fn edit(path: &str, base: Epoch, value: u64) -> NodeEdit {
    let path: NodePath = path.parse().expect("valid path");
    NodeEdit::new(path, base).with_value(SettingKey::DeadlineMs, SettingValue::Number(value))
}

async fn send(
    cluster: &Cluster,
    daemon: usize,
    edit: NodeEdit,
    wait: bool,
) -> Result<CommandResponse, HarnessError> {
    let operator = cluster.daemons[daemon].operator().expect("announced");
    operator.edit(vec![edit], wait).await
}

async fn node(cluster: &Cluster, daemon: usize, path: &str) -> Option<NodeBody> {
    let path: NodePath = path.parse().expect("valid path");
    let operator = cluster.daemons[daemon].operator().ok()?;
    let nodes = operator.settings().await.ok()?.nodes;
    nodes.into_iter().find(|node| node.path == path)
}

async fn value(cluster: &Cluster, daemon: usize, path: &str) -> Option<SettingValue> {
    let node = node(cluster, daemon, path).await?;
    node.values.get(&SettingKey::DeadlineMs).cloned()
}

/// Waits until `daemon` knows `expected`.
async fn wait_value(cluster: &Cluster, daemon: usize, path: &str, expected: u64) -> Duration {
    let known = || async {
        let known = value(cluster, daemon, path).await?;
        (known == SettingValue::Number(expected)).then_some(())
    };
    let waited = wait_until("the new value", DEADLINE, known).await;
    waited.expect("the daemon learns the value").1
}

/// Guards against an edit that overwrites another one, and against one that is lost or refused
/// though it touches another node.
#[actix_rt::test]
async fn edits_at_once_conflict() {
    let cluster = start(plan(DAEMONS)).await;
    let base = node(&cluster, 0, RANK)
        .await
        .expect("the node exists")
        .version;
    let begun = Instant::now();
    let (one, other) = tokio::join!(
        send(&cluster, 0, edit(RANK, base, 701), true),
        send(&cluster, 1, edit(RANK, base, 702), true),
    );
    let (kept, refused) = match (one, other) {
        (Ok(accepted), Err(refused)) => ((accepted, 701), refused),
        (Err(refused), Ok(accepted)) => ((accepted, 702), refused),
        both => panic!("exactly one edit is accepted: {both:?}"),
    };
    print_time("in force", "two edits of one node", begun.elapsed());
    let HarnessError::Status { status, body, .. } = &refused else {
        panic!("{refused}");
    };
    assert_eq!(*status, 409, "{body}");
    assert!(body.contains("\"conflict\""), "{body}");
    let paths = [
        "/services/catalogue/ranks/one",
        "/services/catalogue/ranks/two",
    ];
    let begun = Instant::now();
    let (one, other) = tokio::join!(
        send(&cluster, 2, edit(paths[0], Epoch(0), 801), true),
        send(&cluster, 3, edit(paths[1], Epoch(0), 802), true),
    );
    assert!(one.expect("accepted").everywhere && other.expect("accepted").everywhere);
    let in_force = begun.elapsed();
    for daemon in 0..DAEMONS {
        wait_value(&cluster, daemon, RANK, kept.1).await;
        wait_value(&cluster, daemon, paths[0], 801).await;
        wait_value(&cluster, daemon, paths[1], 802).await;
    }
    print_time("in force", "two edits of different nodes", in_force);
    assert!(begun.elapsed() < IN_FORCE_BOUND, "{:?}", begun.elapsed());
}

/// Returns whether the daemon reports ready, and whether it runs new work.
async fn serves(client: &Client) -> (bool, bool) {
    let ready = client.send(Sent::get("/-/ready")).await;
    let lookup = Sent::get("/catalogue/key").with_header("Balsam-Deadline-Ms", 200);
    let lookup = client.send(lookup).await;
    let is_ok = |answer: Result<balsam_standins::harness::Answer, _>| {
        answer.is_ok_and(|answer| answer.status == 200)
    };
    (is_ok(ready), is_ok(lookup))
}

/// Guards against a daemon that was cut off and goes on with an old value.
#[actix_rt::test]
async fn cut_off_daemon_stops() {
    const CUT: usize = 3;
    let cluster = start(plan(DAEMONS)).await;
    let base = node(&cluster, 0, RANK)
        .await
        .expect("the node exists")
        .version;
    let client = Client::new(
        cluster.daemons[CUT].caller_address().expect("announced"),
        DEADLINE,
    );
    let cut = |mode| {
        let faults = LinkFaults {
            mode,
            ..LinkFaults::default()
        };
        for daemon in 0..CUT {
            cluster.set_peer_faults(daemon, CUT, Some(faults));
        }
        cluster.daemons[CUT].platform_link.set_mode(mode);
    };
    cut(LinkMode::HalfOpen);
    let begun = Instant::now();
    // Messages that were on their way have arrived, and the daemon still has its right.
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    let edited = Instant::now();
    let accepted = send(&cluster, 0, edit(RANK, base, 777), true).await;
    let in_force = edited.elapsed();
    assert!(accepted.expect("accepted").everywhere);
    print_time("in force", "one daemon cut off", in_force);
    assert!(in_force < IN_FORCE_BOUND, "{in_force:?}");
    // The edit counts as in force only when the daemon that is cut off sends nothing any more.
    assert!(
        !serves(&client).await.1,
        "the old value is used after {:?}",
        begun.elapsed()
    );
    actix_rt::time::sleep(RIGHT_AND_GRACE.saturating_sub(begun.elapsed())).await;
    // Two looks, so that work that began before the end of the grace has ended.
    let unready = || async { (serves(&client).await == (false, false)).then_some(()) };
    let unready = wait_until("an unready daemon", Duration::from_secs(1), unready).await;
    unready.expect("a daemon that is cut off is not ready after right and grace");
    assert_eq!(
        value(&cluster, CUT, RANK).await,
        None,
        "it has not learnt of the edit"
    );
    cut(LinkMode::Open);
    let ready = || async { serves(&client).await.0.then_some(()) };
    let ready = wait_until("a ready daemon", DEADLINE, ready).await;
    print_time("ready again", "one daemon cut off", ready.expect("ready").1);
    assert_eq!(
        value(&cluster, CUT, RANK).await,
        Some(SettingValue::Number(777))
    );
}

/// Guards against an accepted edit that is lost, or a version that goes back, when all daemons
/// restart and the platform is out of service meanwhile.
#[actix_rt::test]
async fn restart_keeps_versions() {
    let mut cluster = start(plan(DAEMONS)).await;
    let mut base = node(&cluster, 0, RANK)
        .await
        .expect("the node exists")
        .version;
    for number in 0..3 {
        let sent = send(
            &cluster,
            number,
            edit(RANK, base, 900 + number as u64),
            true,
        )
        .await;
        base = sent.expect("accepted").epoch;
    }
    let known = epochs(&cluster, 0).await.expect("answered").epoch;
    let outage = PlatformFaults {
        down: OutageKind::Refused,
        ..PlatformFaults::default()
    };
    for daemon in &mut cluster.daemons {
        daemon.child.kill().expect("a running process");
    }
    cluster
        .platform
        .set_faults(&outage)
        .await
        .expect("confirmed");
    for daemon in &mut cluster.daemons {
        daemon.restart().await.expect("started");
    }
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    for daemon in &cluster.daemons {
        let client = Client::new(daemon.caller_address().expect("announced"), DEADLINE);
        assert!(
            !serves(&client).await.0,
            "a daemon without a state is not ready"
        );
    }
    let healed = PlatformFaults::default();
    cluster
        .platform
        .set_faults(&healed)
        .await
        .expect("confirmed");
    for daemon in 0..DAEMONS {
        let client = Client::new(
            cluster.daemons[daemon].caller_address().expect("announced"),
            DEADLINE,
        );
        let ready = || async { serves(&client).await.0.then_some(()) };
        wait_until("a ready daemon", DEADLINE, ready)
            .await
            .expect("ready");
        let epoch = epochs(&cluster, daemon).await.expect("answered").epoch;
        assert!(epoch >= known, "daemon {daemon}: {epoch:?} after {known:?}");
        let node = node(&cluster, daemon, RANK).await.expect("the node exists");
        assert_eq!(node.version, base);
        assert_eq!(
            value(&cluster, daemon, RANK).await,
            Some(SettingValue::Number(902))
        );
    }
    // An edit that is based on an older version conflicts as before.
    let refused = send(&cluster, 1, edit(RANK, Epoch(base.0 - 1), 1), true).await;
    assert!(
        matches!(refused, Err(HarnessError::Status { status: 409, .. })),
        "{refused:?}"
    );
}
