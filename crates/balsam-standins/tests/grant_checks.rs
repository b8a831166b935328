//! What an upstream runs, refuses and stops, by its grant, slots and deadlines, over HTTP.

mod common;

use balsam_decide::grants::{GrantVerdict, Revoke};
use balsam_standins::harness::{UpstreamClient, Work};
use balsam_types::{Epoch, UnitId};
use balsam_wire::upstream::{AbortCause, Execution, ExecutionEnd, headers};
use common::upstream;
use std::collections::BTreeSet;
use std::time::Duration;

const UNIT: UnitId = UnitId(1);
const OTHER_UNIT: UnitId = UnitId(2);
const EPOCH: Epoch = Epoch(5);
const LONG_MS: u64 = 60_000;

fn lookup() -> Work {
    Work::lookup("k", UNIT, EPOCH)
}

async fn not_run(upstream: &UpstreamClient, work: Work) -> Option<String> {
    let answer = upstream.work(work).await.expect("an answer");
    answer.header(headers::NOT_RUN).map(str::to_owned)
}

async fn ended_executions(upstream: &UpstreamClient) -> Vec<Execution> {
    for _ in 0..100 {
        let executions = upstream.journal().await.expect("a journal").executions;
        let running = |execution: &Execution| execution.end == ExecutionEnd::Running;
        if !executions.is_empty() && !executions.iter().any(running) {
            return executions;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("executions did not end");
}

const fn aborted(cause: AbortCause) -> ExecutionEnd {
    ExecutionEnd::Aborted {
        cause,
        after_effect: false,
    }
}

/// Guards against work that runs without a grant, outside its units or behind its fence.
#[actix_rt::test]
async fn refuses_uncovered_work() {
    let (_server, upstream) = upstream("").await;
    assert_eq!(not_run(&upstream, lookup()).await.unwrap(), "fenced");
    let granted = upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    assert_eq!(granted.verdict, GrantVerdict::Accepted);
    assert_eq!(not_run(&upstream, lookup()).await, None);
    let elsewhere = Work::lookup("k", OTHER_UNIT, EPOCH);
    assert_eq!(not_run(&upstream, elsewhere).await.unwrap(), "fenced");
    let behind = Work::lookup("k", UNIT, Epoch(4));
    assert_eq!(not_run(&upstream, behind).await.unwrap(), "fenced");
    let late = lookup().with_remaining_ms(0);
    assert_eq!(not_run(&upstream, late).await.unwrap(), "deadline");
    assert_eq!(ended_executions(&upstream).await.len(), 1);
}

/// Guards against an effect that takes place although the grant expired during the work.
#[actix_rt::test]
async fn expiry_prevents_effect() {
    let (_server, upstream) = upstream("--work-ms order=600").await;
    upstream.grant_units(EPOCH, [UNIT], 200).await.unwrap();
    let order = Work::order("k", "o1", UNIT, EPOCH);
    assert_eq!(not_run(&upstream, order).await.unwrap(), "fenced");
    let executions = ended_executions(&upstream).await;
    assert_eq!(executions[0].end, aborted(AbortCause::GrantLapsed));
}

/// Guards against a revocation that reports a unit as free while a request runs on it.
#[actix_rt::test]
async fn revocation_counts_running() {
    let (_server, upstream) = upstream("--work-ms order=300").await;
    upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    let revoke = Revoke {
        epoch: Epoch(6),
        units: BTreeSet::from([UNIT]),
    };
    let working = upstream.work(Work::order("k", "o1", UNIT, EPOCH));
    let revoking = async {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        upstream.revoke(revoke.clone()).await.unwrap().running
    };
    let (answer, running) = futures_util::future::join(working, revoking).await;
    assert_eq!(running, 1);
    assert_eq!(answer.unwrap().status, 200, "running work may finish");
    assert_eq!(upstream.revoke(revoke).await.unwrap().running, 0);
    let refused = Work::lookup("k", UNIT, Epoch(6));
    assert_eq!(not_run(&upstream, refused).await.unwrap(), "fenced");
}

/// Guards against an upstream without grant checks that refuses work, or grants that fail there.
#[actix_rt::test]
async fn unchecked_kind_runs_all() {
    let (_server, upstream) = upstream("--no-check-grants").await;
    assert_eq!(not_run(&upstream, lookup()).await, None);
    let granted = upstream.grant_units(EPOCH, [], LONG_MS).await.unwrap();
    assert_eq!(granted.verdict, GrantVerdict::Accepted);
    assert_eq!(not_run(&upstream, lookup()).await, None);
}

/// Guards against more running requests than slots.
#[actix_rt::test]
async fn sheds_beyond_slots() {
    let (_server, upstream) = upstream("--slots 2 --work-ms lookup=300").await;
    upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    let requests = (0..5).map(|_| not_run(&upstream, lookup()));
    let causes = futures_util::future::join_all(requests).await;
    let shed = causes.iter().flatten().filter(|cause| *cause == "shed");
    assert_eq!(shed.count(), 3);
}

/// Guards against work that goes on after its caller has closed the connection.
#[actix_rt::test]
async fn cancelled_work_has_no_effect() {
    let (_server, upstream) = upstream("--work-ms order=2000").await;
    upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    let order = upstream.work(Work::order("k", "o1", UNIT, EPOCH));
    let waited = actix_rt::time::timeout(Duration::from_millis(200), order).await;
    assert!(waited.is_err(), "the work takes longer than the wait");
    let executions = ended_executions(&upstream).await;
    assert_eq!(executions[0].end, aborted(AbortCause::Cancelled));
}

/// Guards against work that goes on after its deadline.
#[actix_rt::test]
async fn deadline_stops_work() {
    let (_server, upstream) = upstream("--work-ms order=2000").await;
    upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    let order = Work::order("k", "o1", UNIT, EPOCH).with_remaining_ms(100);
    assert_eq!(not_run(&upstream, order).await.unwrap(), "deadline");
    let executions = ended_executions(&upstream).await;
    assert_eq!(executions[0].end, aborted(AbortCause::Deadline));
}

/// Guards against a drain that interrupts running work or lets new work in.
#[actix_rt::test]
async fn drain_finishes_running() {
    let (_server, upstream) = upstream("--work-ms order=300").await;
    upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    let working = upstream.work(Work::order("k", "o1", UNIT, EPOCH));
    let draining = async {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let drained = upstream.drain().await.unwrap();
        assert_eq!(drained.running, 1);
        not_run(&upstream, lookup()).await.unwrap()
    };
    let (answer, refused) = futures_util::future::join(working, draining).await;
    assert_eq!(answer.unwrap().status, 200);
    assert_eq!(refused, "draining");
    let report = upstream.clock().await.unwrap();
    assert!(report.draining, "grant answers announce the drain");
}

/// Guards against work that runs during the cold start.
#[actix_rt::test]
async fn cold_start_refuses_work() {
    let (_server, upstream) = upstream("--starting-ms 60000").await;
    upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    assert_eq!(not_run(&upstream, lookup()).await.unwrap(), "starting");
}
