//! Requests and edits through a whole deployment of processes.

#[path = "common/deployment.rs"]
mod deployment;

use balsam_standins::harness::Sent;
use balsam_standins::harness::cluster::{Cluster, wait_until};
use balsam_standins::harness::{Client, HarnessError};
use balsam_standins::load::{LoadReport, run_load};
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use deployment::{DEADLINE, load, plan, start, violations};
use rstest::rstest;
use std::time::{Duration, Instant};

const DAEMONS: usize = 10;

/// The brief's bound on the time until an accepted edit is in force everywhere.
const IN_FORCE_BOUND: Duration = Duration::from_secs(6);

fn caller(cluster: &Cluster, daemon: usize) -> Client {
    let address = cluster.daemons[daemon].caller_address().expect("announced");
    Client::new(address, DEADLINE)
}

fn assert_all_answered(report: &LoadReport) {
    for (rank, of_rank) in &report.ranks {
        let all = &of_rank.all;
        assert_eq!(all.answered, all.scheduled, "rank {rank}: {all:?}");
    }
}

/// Guards against daemons that disagree on the owner of a key, and against requests that fail
/// without any fault.
#[actix_rt::test]
async fn each_key_has_one_owner() {
    let cluster = start(plan(DAEMONS)).await;
    let result = run_load(load(&cluster, "whole path", 1, 60.0, 5_000)).await;
    let result = result.expect("the load runs");
    assert_all_answered(&result.report);
    assert_eq!(violations(&cluster, &result.orders).await, []);
    println!("{}", serde_json::to_string(&result.report).expect("report"));
}

/// Guards against an accepted edit that some daemon does not follow.
#[actix_rt::test]
async fn edit_reaches_all_daemons() {
    let cluster = start(plan(DAEMONS)).await;
    let path: NodePath = "/services/catalogue/ranks/lookup".parse().expect("valid");
    let operator = cluster.daemons[3].operator().expect("announced");
    let version = current_version(&cluster, &path)
        .await
        .expect("the node exists");
    let edit = NodeEdit::new(path.clone(), version)
        .with_value(SettingKey::DeadlineMs, SettingValue::Number(777));
    let begun = Instant::now();
    let accepted = operator.edit(vec![edit], true).await.expect("accepted");
    let in_force = begun.elapsed();
    assert!(accepted.everywhere, "{accepted:?}");
    for daemon in 0..DAEMONS {
        let operator = cluster.daemons[daemon].operator().expect("announced");
        let epochs = operator.epochs().await.expect("answered");
        assert!(
            epochs.epoch >= accepted.epoch,
            "daemon {daemon}: {epochs:?}"
        );
    }
    println!("in force everywhere after {in_force:?}");
    assert!(in_force < IN_FORCE_BOUND, "in force after {in_force:?}");
}

async fn current_version(cluster: &Cluster, path: &NodePath) -> Option<balsam_types::Epoch> {
    let (version, _) = wait_until("the node", DEADLINE, || async {
        let operator = cluster.daemons[3].operator().ok()?;
        let settings = operator.settings().await.ok()?;
        let node = settings.nodes.iter().find(|node| node.path == *path)?;
        Some(node.version)
    })
    .await
    .ok()?;
    Some(version)
}

/// Guards against a planned stop of a daemon that cuts off requests.
///
/// The load generator stands for a balancer that stops sending to a daemon that is not ready.
#[actix_rt::test]
async fn stop_loses_no_request() {
    let mut cluster = start(plan(DAEMONS)).await;
    let mut run = load(&cluster, "planned stop", 2, 60.0, 6_000);
    run.targets.remove(0);
    let mut through_stopping = load(&cluster, "through the stopping daemon", 3, 10.0, 1_400);
    through_stopping.targets.truncate(1);
    let stopping = async {
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        cluster.daemons[0].child.terminate().expect("signalled");
        cluster.daemons[0].child.wait_exit(DEADLINE).await
    };
    let (others, stopped, status) =
        tokio::join!(run_load(run), run_load(through_stopping), stopping);
    assert!(status.expect("the daemon exits").success());
    assert_all_answered(&others.expect("the load runs").report);
    assert_all_answered(&stopped.expect("the load runs").report);
}

/// Guards against bad requests that are run, or refused without their reason.
#[rstest]
#[case::unknown_service(Sent::get("/nowhere/key"), 404, "unknown-service")]
#[case::unknown_rank(Sent::get("/catalogue/key").with_header("Balsam-Rank", "none"), 404, "unknown-rank")]
#[case::missing_key(Sent::get("/catalogue"), 400, "bad-request")]
#[case::missing_order_id(Sent::post("/ledger/key", "body"), 400, "missing-order-id")]
#[case::oversized_header(Sent::get("/catalogue/key").with_header("X-Large", "x".repeat(40_000)), 400, "bad-request")]
#[case::bad_deadline(Sent::get("/catalogue/key").with_header("Balsam-Deadline-Ms", "soon"), 400, "bad-request")]
#[actix_rt::test]
async fn bad_request_is_refused(
    #[case] sent: Sent,
    #[case] status: u16,
    #[case] reason: &str,
) -> Result<(), HarnessError> {
    let cluster = start(plan(1)).await;
    let answer = caller(&cluster, 0).send(sent).await?;
    assert_eq!(answer.status, status, "{}", answer.text());
    assert_eq!(answer.header("balsam-outcome"), Some("not-run"));
    assert_eq!(answer.header("balsam-reason"), Some(reason));
    let journals = cluster.journals().await;
    assert!(journals.iter().all(|journal| journal.executions.is_empty()));
    Ok(())
}
