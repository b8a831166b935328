//! The load generator's schedule, latencies and fairness figures.

mod common;

use balsam_standins::harness::{UpstreamClient, check_journals};
use balsam_standins::load::{
    KeyChoice, LoadPlan, LoadStream, WorkKind, arrivals, jain_index, run_load,
};
use common::upstream;
use std::net::SocketAddr;

const SEED: u64 = 20_261_204;

fn stream(rank: &str, kind: WorkKind, rate: f64, until_ms: u64) -> LoadStream {
    LoadStream {
        service: "lookup".parse().expect("valid name"),
        rank: rank.parse().expect("valid name"),
        member: "m1".parse().expect("valid name"),
        kind,
        keys: KeyChoice::even(100),
        rate,
        from_ms: 0,
        until_ms,
        deadline_ms: 100,
    }
}

fn plan(targets: Vec<SocketAddr>, streams: Vec<LoadStream>) -> LoadPlan {
    LoadPlan {
        name: "test".to_owned(),
        seed: SEED,
        targets,
        streams,
        connections: 1,
        in_flight: 1_000,
    }
}

fn target(upstream: &UpstreamClient) -> Vec<SocketAddr> {
    vec![upstream.client().address()]
}

/// Guards against schedules that differ between runs, or that miss the wanted rate.
#[test]
fn same_seed_same_schedule() {
    let streams = vec![stream("lookup", WorkKind::Read, 1_000.0, 10_000)];
    let first = arrivals(&plan(Vec::new(), streams.clone()));
    assert_eq!(first, arrivals(&plan(Vec::new(), streams)));
    assert!((9_000..11_000).contains(&first.len()));
    assert!(first.is_sorted_by_key(|arrival| arrival.at_us));
}

/// Guards against hot keys that do not get their share or never change.
#[test]
fn hot_keys_change() {
    let mut hot = stream("lookup", WorkKind::Read, 1_000.0, 10_000);
    hot.keys = KeyChoice {
        keys: 1_000_000,
        hot_keys: 2,
        hot_percent: 50,
        hot_change_ms: 5_000,
    };
    let all = arrivals(&plan(Vec::new(), vec![hot]));
    let count = |keys: std::ops::Range<u64>, late: bool| {
        let wanted = |arrival: &&_| {
            let balsam_standins::load::Arrival { at_us, key, .. } = arrival;
            keys.contains(key) && (*at_us >= 5_000_000) == late
        };
        all.iter().filter(wanted).count()
    };
    assert!(count(0..2, false) > 2_000);
    assert!(count(2..4, true) > 2_000);
    assert!(count(0..2, true) < 10);
}

/// Guards against coordinated omission: waiting time that a slow server hides from the latencies.
#[actix_rt::test]
async fn waiting_counts_as_latency() {
    let (_server, upstream) = upstream("--no-check-grants --work-ms lookup=20").await;
    let streams = vec![stream("lookup", WorkKind::Read, 100.0, 1_000)];
    let result = run_load(plan(target(&upstream), streams)).await.unwrap();
    let all = &result.report.ranks.values().next().unwrap().all;
    assert_eq!(all.answered, all.scheduled);
    // One connection serves 50 of the 100 requests/s, so the last of them wait for about 1 s.
    assert!(all.p99_ms > 400.0, "p99 {} ms", all.p99_ms);
    assert!(all.in_deadline < all.answered);
}

/// Guards against orders that the generator repeats or reports wrongly.
#[actix_rt::test]
async fn orders_match_journal() {
    let (_server, upstream) = upstream("--no-check-grants --slots 1 --work-ms order=10").await;
    let orders = stream("order", WorkKind::Order { body_bytes: 100 }, 100.0, 500);
    let mut plan = plan(target(&upstream), vec![orders]);
    plan.connections = 4;
    let result = run_load(plan).await.unwrap();
    let all = &result.report.ranks.values().next().unwrap().all;
    assert!(all.answered > 0 && all.not_run > 0, "some orders are shed");
    assert_eq!(all.failed, 0);
    let journal = upstream.journal().await.unwrap();
    assert_eq!(check_journals(&[journal], &result.orders), []);
    let line = serde_json::to_string(&result.report).unwrap();
    assert!(!line.contains('\n'));
}

/// Guards against a fairness index that does not tell even shares from uneven ones.
#[test]
fn jain_index_ranges() {
    assert!((jain_index(&[0.5, 0.5, 0.5]) - 1.0).abs() < 1e-9);
    assert!((jain_index(&[1.0, 0.0, 0.0, 0.0]) - 0.25).abs() < 1e-9);
    assert!((jain_index(&[0.0, 0.0]) - 1.0).abs() < 1e-9);
}
