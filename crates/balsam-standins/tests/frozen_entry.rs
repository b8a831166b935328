//! A daemon that is frozen with requests about to be sent, and resumes when others own the units.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/requests.rs"]
mod requests;

use balsam_standins::boot_time;
use balsam_standins::harness::Sent;
use balsam_standins::harness::cluster::wait_until;
use balsam_types::UpstreamName;
use balsam_wire::operator::IdText;
use deployment::{DEADLINE, start};
use futures_util::future::{join, join_all};
use requests::{Told, caller, service_plan};
use rstest::rstest;
use std::time::Duration;

const WORK: &[&str] = &["--work-ms", "lookup=200"];
const REQUESTS: usize = 200;
const DEADLINE_MS: u64 = 20_000;
/// Longer than the freshness right of 1 s and the removal of the frozen daemon after 2 s.
const FROZEN: Duration = Duration::from_secs(4);

/// Guards against requests that a resumed daemon still sends to an upstream that lost the units,
/// whether or not the upstream checks grants.
#[rstest]
#[case::checks_grants(true)]
#[case::runs_all(false)]
#[actix_rt::test]
async fn resumed_daemon(#[case] checks_grants: bool) {
    let mut plan = service_plan(3, "catalogue", WORK);
    for upstream in &mut plan.upstreams {
        upstream.checks_grants = checks_grants;
    }
    let cluster = start(plan).await;
    let operator = cluster.daemons[0].operator().expect("announced");
    let me: IdText = operator.daemons().await.expect("answered").me;
    let upstreams = operator.upstreams().await.expect("answered").upstreams;
    let dispatched = upstreams
        .iter()
        .filter(|upstream| upstream.dispatcher == Some(me));
    let lost: Vec<UpstreamName> = dispatched.map(|upstream| upstream.name.clone()).collect();
    assert!(!lost.is_empty() && lost.len() < upstreams.len(), "{lost:?}");

    let client = caller(&cluster, 0);
    let send = async |number: usize| {
        let key = format!("key-{number}");
        let sent = Sent::get(format!("/catalogue/{key}"));
        let sent = sent.with_header("balsam-deadline-ms", DEADLINE_MS);
        Told::new(key, client.send(sent).await)
    };
    let freezing = async {
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        let frozen = &cluster.daemons[0].child;
        frozen.freeze().expect("frozen");
        let operator = cluster.daemons[1].operator().expect("announced");
        for upstream in &lost {
            // The wait for all daemons ends without the frozen one, and the answer is not needed.
            drop(operator.drain(upstream, true).await);
        }
        let moved = wait_until("no units at the upstreams", DEADLINE, || async {
            let upstreams = operator.upstreams().await.ok()?.upstreams;
            let empty = |upstream: &balsam_wire::operator::UpstreamBody| {
                !lost.contains(&upstream.name)
                    || (upstream.units_owned == 0 && upstream.units_leaving == 0)
            };
            upstreams.iter().all(empty).then_some(())
        });
        moved.await.expect("the units are moved");
        let moved_at = boot_time();
        actix_rt::time::sleep(FROZEN).await;
        frozen.resume().expect("resumed");
        moved_at
    };
    let (told, moved_at) = join(join_all((0..REQUESTS).map(send)), freezing).await;
    let journals = cluster.journals().await;
    let late = journals
        .iter()
        .filter(|journal| lost.contains(&journal.upstream))
        .flat_map(|journal| &journal.executions)
        .filter(|execution| execution.started_at_ms > moved_at);
    assert_eq!(late.count(), 0, "requests ran after their units were moved");
    let answered = told.iter().filter(|told| told.is("answered")).count();
    println!("checks grants: {checks_grants}; {answered} of {REQUESTS} answered");
    assert!(answered > 0);
}
