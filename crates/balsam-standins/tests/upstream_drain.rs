//! Upstreams that leave and planned stops, with downloads in flight.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/observed.rs"]
mod observed;

use balsam_standins::clock::boot_time;
use balsam_standins::harness::cluster::{Cluster, ClusterPlan};
use balsam_standins::load::{LoadPlan, LoadReport, run_load};
use balsam_types::TimeMs;
use balsam_wire::operator::UpstreamBody;
use balsam_wire::platform::{InstanceStateBody, InstancesUpdate};
use deployment::{DEADLINE, load, plan, start, violations_in};
use observed::wait_upstream;
use rstest::rstest;
use std::time::Duration;

const DAEMONS: usize = 4;
/// An upstream of the download service.
const LEFT: usize = 6;
const RUN_MS: u64 = 9_000;
const BEFORE: Duration = Duration::from_secs(1);
/// The stated time after which a leaving upstream gets no new work.
const LEAVING_MS: u64 = 5_000;
/// A download takes 16 chunks, about a second in all.
const SLOW_DOWNLOADS: [&str; 4] = ["--chunk-bytes", "8192", "--chunk-ms", "60"];
/// Below what the other upstream of the service can serve alone, which is 3 in a second.
const DOWNLOADS: f64 = 1.5;

#[derive(Clone, Copy, Debug)]
enum Notice {
    List,
    Operator,
    Endpoint,
}

fn slow_downloads() -> ClusterPlan {
    let mut plan = plan(DAEMONS);
    for upstream in &mut plan.upstreams[LEFT..] {
        let arguments = SLOW_DOWNLOADS.map(str::to_owned);
        upstream.arguments.extend(arguments);
    }
    plan
}

fn downloads(cluster: &Cluster, name: &str, seed: u64) -> LoadPlan {
    let mut run = load(cluster, name, seed, 30.0, RUN_MS);
    run.streams[2].rate = DOWNLOADS;
    run.streams[2].deadline_ms = 10_000;
    run
}

async fn leave(cluster: &Cluster, notice: Notice) {
    let upstream = &cluster.upstreams[LEFT];
    match notice {
        Notice::List => {
            let update = InstancesUpdate {
                put: vec![upstream.instance(InstanceStateBody::Leaving)],
                ..InstancesUpdate::default()
            };
            let changed = cluster.platform.change_instances(&update).await;
            changed.expect("confirmed");
        }
        Notice::Operator => {
            let operator = cluster.daemons[1].operator().expect("announced");
            let drained = operator.drain(&upstream.plan.name, true).await;
            drained.expect("accepted");
        }
        Notice::Endpoint => {
            upstream.client.drain().await.expect("answered");
        }
    }
}

fn assert_all_answered(report: &LoadReport) {
    for (rank, of_rank) in &report.ranks {
        let all = &of_rank.all;
        assert_eq!(all.answered, all.scheduled, "rank {rank}: {all:?}");
    }
}

/// Guards against new work for an upstream that leaves, and against requests that its drain and
/// stop cut off.
#[rstest]
#[case::list(Notice::List)]
#[case::operator(Notice::Operator)]
#[case::endpoint(Notice::Endpoint)]
#[actix_rt::test]
async fn leaving_upstream_rests(#[case] notice: Notice) {
    let mut cluster = start(slow_downloads()).await;
    let run = downloads(&cluster, "leaving upstream", 51);
    let leaving = async {
        actix_rt::time::sleep(BEFORE).await;
        let noticed = boot_time();
        leave(&cluster, notice).await;
        actix_rt::time::sleep(Duration::from_millis(LEAVING_MS + 1_500)).await;
        let emptied = |upstream: &UpstreamBody| upstream.units_owned + upstream.units_leaving == 0;
        wait_upstream(&cluster, 2, LEFT, "the end of the moves", emptied).await;
        let journal = cluster.upstreams[LEFT].client.journal().await;
        let stopped = &mut cluster.upstreams[LEFT].child;
        stopped.terminate().expect("a running process");
        stopped.wait_exit(DEADLINE).await.expect("the process ends");
        (noticed, journal.expect("answered"))
    };
    let (result, (noticed, journal)) = tokio::join!(run_load(run), leaving);
    let result = result.expect("the load runs");
    assert_all_answered(&result.report);
    assert!(!journal.executions.is_empty(), "the upstream worked before");
    let late: Vec<TimeMs> = journal
        .executions
        .iter()
        .map(|execution| execution.started_at_ms)
        .filter(|started| *started > noticed.after(LEAVING_MS))
        .collect();
    assert_eq!(late, [], "noticed at {noticed:?}");
    let mut journals = cluster.journals().await;
    journals.push(journal);
    assert_eq!(violations_in(&cluster, &journals, &result.orders), []);
}

/// Guards against a planned stop of a daemon that cuts off downloads, of its own callers or of
/// those for whom it dispatches.
#[actix_rt::test]
async fn daemon_stop_finishes_downloads() {
    let mut cluster = start(slow_downloads()).await;
    let mut run = downloads(&cluster, "daemon stop", 52);
    let mut through_stopping = downloads(&cluster, "through the stopping daemon", 53);
    let left = observed::upstream(&cluster, 0, LEFT).await.expect("listed");
    let dispatcher = left.dispatcher.expect("a dispatcher");
    let stopped = observed::number_of(&cluster, dispatcher).await;
    through_stopping.targets = vec![run.targets.remove(stopped)];
    for stream in &mut through_stopping.streams {
        stream.until_ms = BEFORE.as_millis() as u64;
    }
    let stopping = async {
        actix_rt::time::sleep(BEFORE).await;
        let child = &mut cluster.daemons[stopped].child;
        child.terminate().expect("a running process");
        child.wait_exit(DEADLINE).await.expect("the process ends")
    };
    let (others, own, status) = tokio::join!(run_load(run), run_load(through_stopping), stopping);
    assert!(status.success(), "{status:?}");
    assert_all_answered(&others.expect("the load runs").report);
    assert_all_answered(&own.expect("the load runs").report);
}
