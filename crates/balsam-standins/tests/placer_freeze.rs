//! A placer that freezes in the middle of a move and resumes.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/observed.rs"]
mod observed;

use balsam_standins::harness::cluster::wait_until;
use balsam_standins::load::run_load;
use balsam_wire::operator::UpstreamBody;
use deployment::{DEADLINE, load, plan, start, violations_in, wait_owned};
use observed::{change_log, number_of, placer, stale_changes, wait_upstream};
use std::time::Duration;

const DAEMONS: usize = 4;
const LOST: usize = 0;
const RUN_MS: u64 = 9_000;
/// Longer than it takes to suspect the placer and to remove it from the roster.
const FROZEN: Duration = Duration::from_secs(4);

/// Guards against a resumed placer that goes on with its moves, and against moves that stop with
/// their placer.
#[actix_rt::test]
async fn placer_resumes_stale() {
    let mut cluster = start(plan(DAEMONS)).await;
    let first = placer(&cluster, 0).await.expect("a placer");
    let frozen = number_of(&cluster, first).await;
    let watcher = (frozen + 1) % DAEMONS;
    let run = load(&cluster, "placer freeze", 21, 40.0, RUN_MS);
    let moving = |upstream: &UpstreamBody| upstream.units_leaving > 0;
    let faults = async {
        let lost = &mut cluster.upstreams[LOST];
        let journal = lost.client.journal().await.expect("answered");
        lost.crash().await.expect("a running process");
        // The units stay in their moves until the rights of older epochs have expired.
        wait_upstream(&cluster, watcher, LOST, "moves", moving).await;
        let process = &cluster.daemons[frozen].child;
        process.freeze().expect("a running process");
        let taken = || async {
            let now = placer(&cluster, watcher).await?;
            (now != first).then_some(())
        };
        let taken = wait_until("another placer", FROZEN, taken).await;
        let emptied = |upstream: &UpstreamBody| upstream.units_owned + upstream.units_leaving == 0;
        let moved = wait_upstream(&cluster, watcher, LOST, "the end of the moves", emptied).await;
        actix_rt::time::sleep(FROZEN.saturating_sub(moved)).await;
        process.resume().expect("a frozen process");
        taken.expect("another daemon takes over while the placer is frozen");
        journal
    };
    let (result, journal) = tokio::join!(run_load(run), faults);
    let result = result.expect("the load runs");
    let agreed = || async {
        let now = placer(&cluster, watcher).await?;
        (placer(&cluster, frozen).await? == now).then_some(())
    };
    let agreed = wait_until("one placer", DEADLINE, agreed).await;
    agreed.expect("the resumed daemon follows the log");
    wait_owned(&cluster, frozen).await;
    assert_eq!(stale_changes(&change_log(&cluster).await), []);
    let mut journals = cluster.journals().await;
    journals.push(journal);
    assert_eq!(violations_in(&cluster, &journals, &result.orders), []);
}
