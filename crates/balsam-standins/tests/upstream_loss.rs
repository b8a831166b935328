//! Loss of an upstream under load: killed, frozen or partitioned.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/probes.rs"]
mod probes;

use balsam_standins::harness::LinkMode;
use balsam_standins::harness::cluster::Cluster;
use balsam_standins::load::run_load;
use balsam_wire::upstream::JournalResponse;
use deployment::{load, plan, start, violations_in};
use probes::{SERVED_AGAIN_BOUND, keys_of, longest_gap, print_time, prober};
use rstest::rstest;
use std::time::Duration;

const DAEMONS: usize = 4;
/// The upstreams of the plan that are lost, and one of the same service that is not.
const LOST: usize = 0;
const KEPT: usize = 1;
const RUN_MS: u64 = 8_000;
const BEFORE: Duration = Duration::from_secs(1);
/// Longer than the bound, so that a key that is served again only on the return is noticed.
const LASTING: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
enum Loss {
    Kill,
    Freeze,
    Partition,
}

async fn lose(cluster: &mut Cluster, loss: Loss) -> Option<JournalResponse> {
    let upstream = &mut cluster.upstreams[LOST];
    match loss {
        Loss::Kill => {
            let journal = upstream.client.journal().await.expect("answered");
            upstream.crash().await.expect("a running process");
            return Some(journal);
        }
        Loss::Freeze => upstream.child.freeze().expect("a running process"),
        Loss::Partition => upstream.link.set_mode(LinkMode::HalfOpen),
    }
    None
}

fn give_back(cluster: &Cluster, loss: Loss) {
    let upstream = &cluster.upstreams[LOST];
    match loss {
        Loss::Kill => {}
        Loss::Freeze => upstream.child.resume().expect("a frozen process"),
        Loss::Partition => upstream.link.set_mode(LinkMode::Open),
    }
}

/// Guards against two owners of a key, and against keys that stay without an owner, after the loss
/// of an upstream that may come back.
#[rstest]
#[case::kill(Loss::Kill)]
#[case::freeze(Loss::Freeze)]
#[case::partition(Loss::Partition)]
#[actix_rt::test]
async fn lost_keys_move(#[case] loss: Loss) {
    let mut cluster = start(plan(DAEMONS)).await;
    let (lost_keys, kept_keys) = (keys_of(&cluster, LOST).await, keys_of(&cluster, KEPT).await);
    let run = load(&cluster, "upstream loss", 11, 40.0, RUN_MS);
    let probe = prober(&cluster, 1);
    let lasting = Duration::from_millis(RUN_MS);
    let losing = async {
        actix_rt::time::sleep(BEFORE).await;
        let journal = lose(&mut cluster, loss).await;
        actix_rt::time::sleep(LASTING).await;
        give_back(&cluster, loss);
        journal
    };
    let (result, journal, gap, kept_gap) = tokio::join!(
        run_load(run),
        losing,
        longest_gap(&probe, &lost_keys, lasting),
        longest_gap(&probe, &kept_keys, lasting),
    );
    let result = result.expect("the load runs");
    print_time("unavailable", &format!("upstream {loss:?}"), gap);
    print_time(
        "unavailable",
        &format!("other upstream than {loss:?}"),
        kept_gap,
    );
    let mut journals = cluster.journals().await;
    journals.extend(journal);
    assert_eq!(violations_in(&cluster, &journals, &result.orders), []);
    assert!(
        gap < SERVED_AGAIN_BOUND,
        "{loss:?}: {gap:?}, others {kept_gap:?}"
    );
}
