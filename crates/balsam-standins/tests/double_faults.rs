//! Two faults at once.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/observed.rs"]
mod observed;
#[path = "common/probes.rs"]
mod probes;

use balsam_wire::operator::UpstreamBody;
use deployment::{load, plan, start, violations, violations_in};
use observed::{number_of, placer, upstream, wait_upstream};
use probes::{SERVED_AGAIN_BOUND, keys_of, print_time, prober, under_load};
use rstest::rstest;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};

const LOST: usize = 0;
const RUN_MS: u64 = 7_000;
const BEFORE: Duration = Duration::from_secs(1);

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Waits until no other test runs: each measures a time with up to thirty processes, and four at
/// once need more processor time than a machine may have.
async fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING.lock().await
}

/// Guards against detections that run one after the other when an upstream is lost together with
/// the daemon that would report it.
#[actix_rt::test]
async fn upstream_and_dispatcher_lost() {
    const DAEMONS: usize = 5;
    let _alone = run_alone().await;
    let mut cluster = start(plan(DAEMONS)).await;
    let keys = keys_of(&cluster, LOST).await;
    let lost = upstream(&cluster, 0, LOST).await.expect("listed");
    let dispatcher = number_of(&cluster, lost.dispatcher.expect("a dispatcher")).await;
    let mut run = load(&cluster, "upstream and dispatcher", 61, 40.0, RUN_MS);
    run.targets.remove(dispatcher);
    let client = prober(&cluster, (dispatcher + 1) % DAEMONS);
    let faults = async {
        actix_rt::time::sleep(BEFORE).await;
        let journal = cluster.upstreams[LOST].client.journal().await;
        cluster.upstreams[LOST]
            .kill()
            .await
            .expect("a running process");
        let daemon = &mut cluster.daemons[dispatcher].child;
        daemon.kill().expect("a running process");
        journal.expect("answered")
    };
    let (result, gap, journal) = under_load(run, &client, &keys, faults).await;
    print_time("unavailable", "upstream and dispatcher", gap);
    let mut journals = cluster.journals().await;
    journals.push(journal);
    assert_eq!(violations_in(&cluster, &journals, &result.orders), []);
    assert!(gap < SERVED_AGAIN_BOUND, "{gap:?}");
}

/// Guards against keys that stay without a dispatcher when all daemons of its zone are lost.
#[actix_rt::test]
async fn daemon_zone_lost() {
    const DAEMONS: usize = 10;
    let _alone = run_alone().await;
    let mut cluster = start(plan(DAEMONS)).await;
    let zone = cluster.plan.upstreams[LOST].zone.clone();
    let zones = cluster.plan.daemon_zones.clone();
    let lost = |daemon: &usize| zones[*daemon] == zone;
    let keys = keys_of(&cluster, LOST).await;
    let mut run = load(&cluster, "zone", 62, 40.0, RUN_MS);
    let kept: Vec<usize> = (0..DAEMONS).filter(|daemon| !lost(daemon)).collect();
    run.targets = kept.iter().map(|daemon| run.targets[*daemon]).collect();
    let client = prober(&cluster, kept[0]);
    let faults = async {
        actix_rt::time::sleep(BEFORE).await;
        for daemon in (0..DAEMONS).filter(lost) {
            let daemon = &mut cluster.daemons[daemon].child;
            daemon.kill().expect("a running process");
        }
    };
    let (result, gap, ()) = under_load(run, &client, &keys, faults).await;
    print_time("unavailable", "zone of daemons", gap);
    assert_eq!(violations(&cluster, &result.orders).await, []);
    assert!(gap < SERVED_AGAIN_BOUND, "{gap:?}");
}

/// Guards against moves that stop when a daemon is lost in the midst of them.
#[rstest]
#[case::placer(true)]
#[case::other(false)]
#[actix_rt::test]
async fn daemon_lost_during_moves(#[case] lose_placer: bool) {
    const DAEMONS: usize = 5;
    let _alone = run_alone().await;
    let mut cluster = start(plan(DAEMONS)).await;
    let keys = keys_of(&cluster, LOST).await;
    let first = placer(&cluster, 0).await.expect("a placer");
    let first = number_of(&cluster, first).await;
    let lost = if lose_placer {
        first
    } else {
        (first + 1) % DAEMONS
    };
    let watcher = (first + 2) % DAEMONS;
    let mut run = load(&cluster, "daemon during moves", 63, 40.0, RUN_MS);
    run.targets.remove(lost);
    let client = prober(&cluster, watcher);
    let moving = |upstream: &UpstreamBody| upstream.units_leaving > 0;
    let faults = async {
        actix_rt::time::sleep(BEFORE).await;
        let journal = cluster.upstreams[LOST].client.journal().await;
        cluster.upstreams[LOST]
            .kill()
            .await
            .expect("a running process");
        wait_upstream(&cluster, watcher, LOST, "moves", moving).await;
        let daemon = &mut cluster.daemons[lost].child;
        daemon.kill().expect("a running process");
        journal.expect("answered")
    };
    let (result, gap, journal) = under_load(run, &client, &keys, faults).await;
    let case = if lose_placer {
        "upstream, then placer"
    } else {
        "upstream, then daemon"
    };
    print_time("unavailable", case, gap);
    let mut journals = cluster.journals().await;
    journals.push(journal);
    assert_eq!(violations_in(&cluster, &journals, &result.orders), []);
    assert!(gap < SERVED_AGAIN_BOUND, "{gap:?}");
}
