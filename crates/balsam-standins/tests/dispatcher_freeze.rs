//! A dispatcher that freezes with requests about to be sent and resumes.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/observed.rs"]
mod observed;

use balsam_standins::load::run_load;
use balsam_wire::operator::UpstreamBody;
use deployment::{load, plan, start, violations};
use observed::{number_of, upstream, wait_upstream};
use rstest::rstest;
use std::time::Duration;

const DAEMONS: usize = 4;
const LEFT: usize = 0;
const RUN_MS: u64 = 9_000;
/// More than the slots of the upstream can run, so that requests wait at the dispatcher.
const RATE: f64 = 160.0;
const WORK_MS: &str = "lookup=60,order=5,download=20";
const BEFORE: Duration = Duration::from_secs(1);
/// Longer than it takes to replace the dispatcher and to move the units.
const FROZEN: Duration = Duration::from_secs(4);

/// Guards against a resumed dispatcher whose requests run at an upstream that lost their units,
/// also where the upstream itself checks nothing.
#[rstest]
#[case::checked(true)]
#[case::unchecked(false)]
#[actix_rt::test]
async fn dispatcher_resumes_stale(#[case] checks_grants: bool) {
    let mut plan = plan(DAEMONS);
    for upstream in &mut plan.upstreams[..4] {
        upstream.checks_grants = checks_grants;
        let work = ["--work-ms".to_owned(), WORK_MS.to_owned()];
        upstream.arguments.extend(work);
    }
    let cluster = start(plan).await;
    let left = upstream(&cluster, 0, LEFT).await.expect("listed");
    let dispatcher = left.dispatcher.expect("a dispatcher");
    let frozen = number_of(&cluster, dispatcher).await;
    let watcher = (frozen + 1) % DAEMONS;
    let mut run = load(&cluster, "dispatcher freeze", 31, RATE, RUN_MS);
    run.streams.truncate(1);
    run.streams[0].keys.keys = 100;
    run.targets.remove(frozen);
    let faults = async {
        actix_rt::time::sleep(BEFORE).await;
        let process = &cluster.daemons[frozen].child;
        process.freeze().expect("a running process");
        let operator = cluster.daemons[watcher].operator().expect("announced");
        operator.drain(&left.name, true).await.expect("accepted");
        let emptied = |upstream: &UpstreamBody| upstream.units_owned + upstream.units_leaving == 0;
        let moved = wait_upstream(&cluster, watcher, LEFT, "the end of the moves", emptied).await;
        actix_rt::time::sleep(FROZEN.saturating_sub(moved)).await;
        process.resume().expect("a frozen process");
    };
    let (result, ()) = tokio::join!(run_load(run), faults);
    let result = result.expect("the load runs");
    assert_eq!(violations(&cluster, &result.orders).await, []);
}
