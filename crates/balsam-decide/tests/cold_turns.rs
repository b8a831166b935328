//! Requests without permits to cold upstreams, summed over all daemons.

#[allow(dead_code, reason = "this file uses a part of the module")]
mod keyed;
#[allow(dead_code, reason = "this file uses a part of the module")]
mod paced;
#[allow(dead_code, reason = "this file uses a part of the module")]
mod pool_sim;

use balsam_decide::directory::DiscoveredUpstream;
use balsam_decide::pool::{EndReport, PoolInput, Refusal, RequestId, Verdict};
use balsam_decide::room::{KeeperDaemon, KeeperList};
use balsam_types::{KeyHash, UpstreamState, ZoneName};
use keyed::upstream;
use paced::{COLD_MAX, WARMUP, WARMUP_MS, most_in_second};
use pool_sim::{Decision, Sim, decisions, sent};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;

const STEP_MS: u64 = 20;

/// Daemons that each always have a request for the only upstream, and no common clock.
struct Fleet {
    sims: Vec<Sim>,
}

impl Fleet {
    fn new(daemons: u32, keepers: &KeeperList) -> Self {
        let sims = (0..daemons).map(|number| {
            let seed = KeyHash::of(format!("daemon-{number}")).0;
            let mut sim = Sim::with_daemons(&[], false, daemons, seed);
            sim.now = sim.now.after(seed % 1_000_000);
            sim.set_warmup(WARMUP);
            sim.set_keepers(keepers.clone());
            sim
        });
        Self {
            sims: sims.collect(),
        }
    }

    /// Starts an upstream, and returns when it got requests while it was cold. Each daemon reads its
    /// row up to `skew_ms` late, and again in the course of the warm-up.
    fn start_upstream(&mut self, number: u16, skew_ms: u64) -> Vec<u64> {
        let mut starts = Vec::new();
        for at in (0..WARMUP_MS).step_by(STEP_MS as usize) {
            for (index, sim) in self.sims.iter_mut().enumerate() {
                // A row that is read late says that the upstream is cold for longer than it is.
                let late_ms = (index as u64 * 37 + at / 700 * 11) % (skew_ms + 1);
                if at.is_multiple_of(700) {
                    let ends_in_ms = WARMUP_MS - at + late_ms;
                    let mut found =
                        DiscoveredUpstream::clone(&upstream(number, UpstreamState::Ready));
                    found.warmup_ends_at = sim.now.after(ends_in_ms);
                    let outputs = sim.list_lives(vec![Arc::new(found)]);
                    count(
                        &outputs_sent(&decisions(&outputs)),
                        at,
                        number,
                        sim,
                        &mut starts,
                    );
                }
                let first = sim.request();
                count(&[first], at, number, sim, &mut starts);
                let waited = outputs_sent(&sim.wait(STEP_MS));
                count(&waited, at + STEP_MS, number, sim, &mut starts);
            }
        }
        starts.retain(|at| *at < WARMUP_MS);
        starts.sort_unstable();
        starts
    }
}

fn outputs_sent(decided: &[(RequestId, Decision)]) -> Vec<Decision> {
    decided
        .iter()
        .map(|(_, decision)| decision.clone())
        .collect()
}

/// Counts requests that were sent, which are answered at once.
fn count(decided: &[Decision], at: u64, number: u16, sim: &mut Sim, starts: &mut Vec<u64>) {
    let mut to_end = decided
        .iter()
        .filter(|found| matches!(found, Decision::Sent(_)))
        .count();
    while to_end > 0 {
        starts.push(at);
        let outputs = sim.end(number, Verdict::Served);
        let freed = decisions(&outputs);
        to_end += freed
            .iter()
            .filter(|(_, found)| matches!(found, Decision::Sent(_)))
            .count();
        to_end -= 1;
    }
}

fn silent_keeper() -> KeeperList {
    KeeperList {
        lead: 1,
        number: 1,
        keepers: vec![KeeperDaemon {
            address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
            zone: ZoneName::new("z").expect("a valid name"),
            weight: 1,
        }],
    }
}

/// Guards against a cold upstream that gets a request of each daemon in the same second, because none
/// knows of the others: with no keeper, or with one that does not answer. The turns of daemons may
/// collide, so that the told rate holds in the mean and the bound of R1 in each second.
#[rstest]
#[case::no_keeper(KeeperList::default())]
#[case::silent_keeper(silent_keeper())]
fn many_daemons(#[case] keepers: KeeperList) {
    const UPSTREAMS: u16 = 40;
    let mut fleet = Fleet::new(59, &keepers);
    let mut total = 0;
    for number in 1..=UPSTREAMS {
        let starts = fleet.start_upstream(number, 500);
        let most = most_in_second(&starts, 0, WARMUP_MS);
        assert!(most <= COLD_MAX, "{most} in a second at upstream {number}");
        total += starts.len();
    }
    let told = f64::from(UPSTREAMS) * WARMUP_MS as f64 * 1_000.0 / WARMUP.interval_us as f64;
    let share = total as f64 / told;
    assert!(share <= 1.0, "{share} of the told rate");
    assert!(
        total >= usize::from(UPSTREAMS),
        "the upstreams are left idle"
    );
}

/// Guards against turns of a few daemons that collide and exceed the bound of R1, and against a cold
/// upstream that is idle for more than a second while callers of up to three daemons wait.
#[rstest]
fn few_daemons(#[values(1, 2, 3, 8)] daemons: u32) {
    let mut fleet = Fleet::new(daemons, &KeeperList::default());
    for number in 1..=40 {
        let starts = fleet.start_upstream(number, 100);
        let most = most_in_second(&starts, 0, WARMUP_MS);
        assert!(most <= COLD_MAX, "{most} in a second at upstream {number}");
        if daemons <= 3 {
            let mut times = vec![0];
            times.extend(&starts);
            times.push(WARMUP_MS);
            let idle_ms = times.windows(2).map(|pair| pair[1] - pair[0]).max();
            assert!(
                idle_ms <= Some(1_000),
                "idle for {idle_ms:?} ms at upstream {number}"
            );
        }
    }
}

/// Guards against requests that wait for a turn at a cold upstream although another one is free.
#[test]
fn warm_upstream_first() {
    let mut sim = Sim::with_daemons(&[], false, 59, 7);
    sim.set_warmup(WARMUP);
    let mut cold = DiscoveredUpstream::clone(&upstream(1, UpstreamState::Ready));
    cold.warmup_ends_at = sim.now.after(WARMUP_MS);
    sim.list_lives(vec![Arc::new(cold), upstream(2, UpstreamState::Ready)]);
    for _ in 0..WARMUP_MS / STEP_MS {
        assert_eq!(sim.call(), sent("u2"));
        sim.wait(STEP_MS);
    }
}

/// Guards against a request that is neither sent nor refused while there is no turn for it, and
/// against turns that outlast the warm-up.
#[test]
fn no_turn() {
    let mut sim = Sim::with_daemons(&[], false, 10_000, 7);
    sim.set_warmup(WARMUP);
    let mut cold = DiscoveredUpstream::clone(&upstream(1, UpstreamState::Ready));
    cold.warmup_ends_at = sim.now.after(WARMUP_MS);
    sim.list_lives(vec![Arc::new(cold)]);
    assert_eq!(sim.request(), Decision::Queued);
    let ended: Vec<_> = (0..50).flat_map(|_| sim.wait(STEP_MS)).collect();
    let refusal = Refusal::Busy;
    assert!(matches!(
        ended.as_slice(),
        [(_, Decision::Refused { refusal: found, .. })] if *found == refusal
    ));
    sim.wait(WARMUP_MS);
    assert_eq!(sim.call(), sent("u1"));
}

/// Guards against a daemon that sends without limits while its keeper does not answer: it must go by
/// its own limit, which is one request for 59 daemons.
#[test]
fn silent_keeper_keeps_limits() {
    let mut sim = Sim::with_daemons(&[], false, 59, 7);
    sim.set_keepers(silent_keeper());
    sim.list(&[1]);
    for _ in 0..5 {
        assert_eq!(sim.request(), Decision::Queued);
    }
    let sent_alone: Vec<_> = (0..10).flat_map(|_| sim.wait(STEP_MS)).collect();
    let [(_, first)] = sent_alone.as_slice() else {
        panic!("not exactly one request: {sent_alone:?}");
    };
    assert_eq!(*first, sent("u1"));
    let done = PoolInput::Done {
        upstream: upstream(1, UpstreamState::Ready),
        route: Arc::clone(&sim.route),
        verdict: Verdict::Served,
        took_ms: 5,
        permit: None,
        report: EndReport::default(),
    };
    let outputs = sim.pool.handle(sim.now, done);
    assert!(!decisions(&outputs).is_empty(), "the others are lost");
}

/// Guards against daemons whose turns collide at every upstream, so that one unlucky set of names
/// exceeds the bound each time that an upstream starts.
#[test]
fn turns_differ() {
    let mut fleet = Fleet::new(59, &KeeperList::default());
    let first = fleet.start_upstream(1, 0);
    assert!((2..=40).any(|number| fleet.start_upstream(number, 0) != first));
}
