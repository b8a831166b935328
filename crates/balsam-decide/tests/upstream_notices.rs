//! Upstreams that announce in their answers that they leave, or that they want a pause.

#[allow(dead_code, reason = "this file uses a part of the module")]
mod keyed;
#[allow(dead_code, reason = "this file uses a part of the module")]
mod pool_sim;

use balsam_decide::pool::{
    EndReport, PoolInput, PoolOutput, Refusal, RequestId, UpstreamNotice, Verdict,
};
use balsam_types::{TimeMs, UpstreamState};
use keyed::upstream;
use pool_sim::{DRAIN_MS, Decision, LEAVING, Sim, decisions, life, pause, sent};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::sync::Arc;

/// Guards against requests to an upstream that has announced its leaving, while the store's rows
/// still say that it is ready.
#[test]
fn leaving_gets_nothing() {
    let mut sim = Sim::new(&[1, 2], false);
    sim.notice(1, LEAVING);
    for _ in 0..200 {
        assert_eq!(sim.call(), sent("u2"));
        sim.wait(20);
        sim.list(&[1, 2]);
    }
}

/// Guards against queued requests that are sent to an upstream after it has announced its leaving.
#[test]
fn queue_turns_away() {
    let mut sim = Sim::new(&[1], false);
    while matches!(sim.request(), Decision::Sent(_)) {}
    sim.list(&[1, 2]);
    let outputs = sim.notice(1, LEAVING);
    assert!(decisions(&outputs).iter().all(|(_, to)| *to == sent("u2")));
    let freed = sim.end(1, Verdict::Served);
    assert!(decisions(&freed).iter().all(|(_, to)| *to == sent("u2")));
}

/// Guards against an announcement that is forgotten when the entry vanishes and comes back, and
/// against one that outlives the life of the upstream that made it.
#[test]
fn ends_with_life() {
    let mut sim = Sim::new(&[1, 2], false);
    sim.notice(1, LEAVING);
    sim.list(&[2]);
    sim.wait(60_000);
    sim.list(&[1]);
    assert!(matches!(sim.call(), Decision::Refused { .. }));
    sim.list_lives(vec![life(1, 2)]);
    assert_eq!(sim.call(), sent("u1"));
}

/// Guards against requests that nobody can run while all upstreams leave at once, and against
/// requests that wait in vain after they have left.
#[test]
fn all_leave() {
    let mut sim = Sim::new(&[1, 2], false);
    sim.notice(1, LEAVING);
    sim.notice(2, LEAVING);
    assert!(matches!(sim.call(), Decision::Sent(_)));
    sim.wait(DRAIN_MS - 1);
    assert!(matches!(sim.call(), Decision::Sent(_)));
    sim.wait(1);
    let refusal = Refusal::Announced;
    assert!(matches!(sim.call(), Decision::Refused { refusal: found, .. } if found == refusal));
    sim.list(&[1, 2, 3]);
    assert_eq!(sim.call(), sent("u3"));
}

/// Guards against requests to an upstream that wants a pause, by one daemon, until the pause has
/// ended.
#[test]
fn pause_kept() {
    let mut sim = Sim::new(&[1, 2], false);
    sim.notice(1, pause(4_000));
    for _ in 0..399 {
        assert_eq!(sim.call(), sent("u2"));
        sim.wait(10);
    }
    sim.wait(10);
    let after: Vec<Decision> = (0..20).map(|_| sim.call()).collect();
    assert!(after.contains(&sent("u1")), "{after:?}");
}

/// Guards against a later pause that shortens an earlier one, and against one that does not
/// lengthen it.
#[rstest]
#[case::shorter(500, 3_999)]
#[case::longer(6_000, 6_999)]
fn repeated_pause(#[case] second_ms: u64, #[case] lasts_ms: u64) {
    let mut sim = Sim::new(&[1], false);
    sim.notice(1, pause(4_000));
    sim.wait(1_000);
    sim.notice(1, pause(second_ms));
    sim.wait(lasts_ms - 1_000);
    assert!(!matches!(sim.request(), Decision::Sent(_)));
    sim.wait(1);
    assert_eq!(sim.request(), sent("u1"));
}

/// Guards against a pause of any length that does not end with the life of the upstream.
#[rstest]
#[case::day(86_400_000)]
#[case::endless(u64::MAX)]
fn pause_ends_with_life(#[case] pause_ms: u64) {
    let mut sim = Sim::new(&[1], false);
    sim.notice(1, pause(pause_ms));
    sim.wait(3_600_000);
    assert!(matches!(sim.call(), Decision::Refused { .. }));
    sim.list_lives(vec![life(1, 2)]);
    assert_eq!(sim.call(), sent("u1"));
}

/// Guards against callers that are told to return before the only upstream that may run their
/// request takes requests again, or all at the same moment.
#[test]
fn owner_pauses() {
    let mut sim = Sim::new(&[1, 2], true);
    sim.own_all(1);
    sim.notice(1, pause(3_000));
    let mut returns = Vec::new();
    for _ in 0..50 {
        let Decision::Refused {
            refusal: Refusal::Announced,
            retry_after_ms,
        } = sim.call()
        else {
            panic!("not refused");
        };
        assert!(
            (3_000..=3_750).contains(&retry_after_ms),
            "{retry_after_ms}"
        );
        returns.push(retry_after_ms);
    }
    returns.sort_unstable();
    returns.dedup();
    assert!(returns.len() > 25, "{returns:?}");
}

/// Guards against requests that are refused although the pause of the only upstream that may run
/// them ends while they may wait.
#[test]
fn short_pause() {
    let mut sim = Sim::new(&[1], true);
    sim.own_all(1);
    sim.notice(1, pause(200));
    assert_eq!(sim.request(), Decision::Queued);
    assert_eq!(sim.wait(199), []);
    assert_eq!(sim.wait(1), [(RequestId(1), sent("u1"))]);
}

/// Guards against keys without service while their owner, which leaves, still takes requests.
#[test]
fn owner_leaves() {
    let mut sim = Sim::new(&[1, 2], true);
    sim.own_all(1);
    sim.notice(1, LEAVING);
    assert_eq!(sim.call(), sent("u1"));
    sim.wait(DRAIN_MS);
    assert_eq!(sim.request(), Decision::Queued);
    sim.own_all(2);
    assert_eq!(sim.call(), sent("u2"));
}

/// Guards against requests that were assigned to an upstream before it announced something and are
/// still sent to it: the pool must say so once, and not again for what it knows.
#[rstest]
#[case::leaving(LEAVING)]
#[case::pause(pause(3_000))]
fn withdrawn_once(#[case] notice: UpstreamNotice) {
    let mut sim = Sim::new(&[1, 2], false);
    let withdrawn = |outputs: &[PoolOutput]| {
        outputs
            .iter()
            .any(|output| matches!(output, PoolOutput::Withdraw { .. }))
    };
    assert!(withdrawn(&sim.notice(1, notice)));
    assert!(!withdrawn(&sim.notice(1, notice)));
    assert!(!withdrawn(&sim.notice(2, UpstreamNotice::default())));
}

/// Guards against daemons that all return with full queues at the moment at which a pause ends.
///
/// Eleven daemons with a queue each send to an upstream of three slots. Requests take 100 ms.
#[test]
fn gradual_return() {
    const DAEMONS: u32 = 11;
    const TOOK_MS: u64 = 100;
    let seeds = (0..DAEMONS).map(|daemon| u64::from(daemon).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let sims = seeds.map(|seed| Sim::with_daemons(&[1], true, DAEMONS, seed));
    let mut sims: Vec<Sim> = sims.collect();
    for sim in &mut sims {
        sim.own_all(1);
        // Fast answers raise the concurrency limit of each daemon to all slots.
        for _ in 0..200 {
            assert_eq!(sim.call(), sent("u1"));
        }
        sim.notice(1, pause(300));
        for _ in 0..20 {
            assert_eq!(sim.request(), Decision::Queued);
        }
    }
    let mut arrivals = Vec::new();
    for sim in &mut sims {
        let mut running: Vec<TimeMs> = Vec::new();
        for step in 0..1_300 {
            let mut sent = sim.wait(1);
            let now = sim.now;
            let ended: Vec<_> = running
                .extract_if(.., |at| now.since(*at) >= TOOK_MS)
                .collect();
            for _ in ended {
                let done = PoolInput::Done {
                    upstream: upstream(1, UpstreamState::Ready),
                    route: Arc::clone(&sim.route),
                    verdict: Verdict::Served,
                    took_ms: TOOK_MS,
                    permit: None,
                    report: EndReport::default(),
                };
                sent.extend(decisions(&sim.pool.handle(now, done)));
            }
            for (_, decision) in sent {
                if matches!(decision, Decision::Sent(_)) {
                    running.push(now);
                    arrivals.push(step + 1);
                }
            }
        }
    }
    assert!(arrivals.iter().all(|at| *at >= 300), "{arrivals:?}");
    let within = |from: u64, to: u64| {
        let counted = arrivals.iter().filter(|at| (from..to).contains(*at));
        counted.count()
    };
    println!(
        "arrivals after the pause: {} in 10 ms, {} in 100 ms, {} in 1 s",
        within(300, 310),
        within(300, 400),
        within(300, 1_300)
    );
    assert!(within(300, 310) <= 3, "{arrivals:?}");
    assert!(within(300, 400) <= DAEMONS as usize, "{arrivals:?}");
}

/// Guards in random schedules against requests that the two rules forbid: one to an upstream whose
/// leaving was passed on `DRAIN_MS` ago, and more than two within a pause.
///
/// Upstreams announce at random, vanish, come back in the same life or in a later one; the rows say
/// that all are ready.
#[test]
fn random_notices() {
    let mut sent_count = 0;
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sim = Sim::new(&[1, 2, 3], false);
        let mut leaving_at: [Option<TimeMs>; 4] = [None; 4];
        let mut paused_until = [TimeMs(0); 4];
        let mut born = [1_u64; 4];
        let listed = |born: &[u64; 4], rng: &mut StdRng| {
            let mut found = Vec::new();
            for number in 1..=3_u16 {
                if rng.random_range(0..10) > 0 {
                    found.push(life(number, born[usize::from(number)]));
                }
            }
            found
        };
        for _ in 0..400 {
            let number = rng.random_range(1..=3_u16);
            let index = usize::from(number);
            match rng.random_range(0..20) {
                0 => {
                    let upstream = life(number, born[index]);
                    let (notice, now) = (LEAVING, sim.now);
                    leaving_at[index].get_or_insert(now);
                    sim.pool.handle(now, PoolInput::Notice { upstream, notice });
                }
                1 | 2 => {
                    let upstream = life(number, born[index]);
                    let (pause_ms, now) = (rng.random_range(1..3_000), sim.now);
                    paused_until[index] = paused_until[index].max(now.after(pause_ms));
                    let notice = pause(pause_ms);
                    sim.pool.handle(now, PoolInput::Notice { upstream, notice });
                }
                3 => {
                    if rng.random_range(0..4) == 0 {
                        born[index] += 1;
                        (leaving_at[index], paused_until[index]) = (None, TimeMs(0));
                    }
                    let found = listed(&born, &mut rng);
                    sim.list_lives(found);
                }
                _ => {
                    if let Decision::Sent(name) = sim.call() {
                        sent_count += 1;
                        let index: usize = name[1..].parse().expect("a number");
                        let now = sim.now;
                        let left = leaving_at[index].is_some_and(|at| now.since(at) >= DRAIN_MS);
                        assert!(!left, "seed {seed}: {name} has left");
                        assert!(now >= paused_until[index], "seed {seed}: {name} pauses");
                    }
                }
            }
            let ms = rng.random_range(1..120);
            sim.wait(ms);
        }
    }
    assert!(sent_count > 10_000, "only {sent_count} requests were sent");
}
