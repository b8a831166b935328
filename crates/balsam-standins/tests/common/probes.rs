//! Continuous probes of keys, which measure how long the keys had no available owner.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use balsam_standins::harness::cluster::Cluster;
use balsam_standins::harness::{Client, Sent};
use balsam_standins::load::{LoadPlan, LoadResult, run_load};
use balsam_types::ServiceName;
use futures_util::future::join_all;
use serde_json::json;
use std::time::{Duration, Instant};

/// The stated bound on the time until a key is served again after a loss, while the table answers.
pub const SERVED_AGAIN_BOUND: Duration = Duration::from_secs(3);

/// The service whose keys are probed.
pub const PROBED: &str = "catalogue";

/// Deadline of a probe; it bounds by how much a measured gap can exceed the real one.
const PROBE_MS: u64 = 200;
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(20);
const KEYS: usize = 3;

/// Returns a few keys that upstream number `upstream` of the plan owns.
pub async fn keys_of(cluster: &Cluster, upstream: usize) -> Vec<String> {
    let operator = cluster.daemons[0].operator().expect("announced");
    let service: ServiceName = PROBED.parse().expect("valid name");
    let wanted = &cluster.upstreams[upstream].plan.name;
    let mut keys = Vec::new();
    for number in 0..1_000 {
        let key = format!("probed-{number}");
        let owner = operator.owner(&service, &key).await.expect("answered");
        if owner.upstream.as_ref() == Some(wanted) {
            keys.push(key);
        }
        if keys.len() == KEYS {
            return keys;
        }
    }
    panic!("{wanted} owns none of the keys that were tried");
}

/// Returns a client of `daemon` for probes.
pub fn prober(cluster: &Cluster, daemon: usize) -> Client {
    let address = cluster.daemons[daemon].caller_address().expect("announced");
    Client::new(address, PROBE_TIMEOUT)
}

/// Probes `keys` and returns the longest time without an answer for any of them.
pub async fn longest_gap(client: &Client, keys: &[String], lasting: Duration) -> Duration {
    let probes = keys.iter().map(|key| gap_of_key(client, key, lasting));
    join_all(probes).await.into_iter().max().expect("a key")
}

async fn gap_of_key(client: &Client, key: &str, lasting: Duration) -> Duration {
    let begun = Instant::now();
    let mut answered = begun;
    let mut longest = Duration::ZERO;
    while begun.elapsed() < lasting {
        let sent = Sent::get(format!("/{PROBED}/{key}"));
        let answer = client.send(sent.with_header("Balsam-Deadline-Ms", PROBE_MS));
        if answer.await.is_ok_and(|answer| answer.status == 200) {
            longest = longest.max(answered.elapsed());
            answered = Instant::now();
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    longest.max(answered.elapsed())
}

/// Prints a measured time as one JSON line.
pub fn print_time(measure: &str, case: &str, time: Duration) {
    let time_ms = time.as_millis() as u64;
    println!(
        "{}",
        json!({ "measure": measure, "case": case, "time_ms": time_ms })
    );
}

/// Runs `run` and probes `keys` while `faults` happen; returns the longest gap with the results.
pub async fn under_load<F: Future>(
    run: LoadPlan,
    client: &Client,
    keys: &[String],
    faults: F,
) -> (LoadResult, Duration, F::Output) {
    let lasting = run.streams.iter().map(|stream| stream.until_ms).max();
    let lasting = Duration::from_millis(lasting.expect("a stream"));
    let (result, gap, faults) =
        tokio::join!(run_load(run), longest_gap(client, keys, lasting), faults);
    (result.expect("the load runs"), gap, faults)
}
