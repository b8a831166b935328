//! Tests that permits keep all daemons together within the slots of each upstream.

mod room_sim;

use balsam_decide::directory::{DiscoveredUpstream, Upstreams};
use balsam_decide::room::{GroupId, GroupLayout, PermitAnswer, PermitRefusal};
use balsam_types::UpstreamState;
use room_sim::{
    Bench, DEADLINE_MS, SLOTS, answer, ask, granted, keeper_list, service, upstream, upstream_run,
    zone,
};
use rstest::rstest;
use std::sync::Arc;

/// Guards against upstreams whose permits are forgotten while they are not listed or not ready: they
/// would get their slots twice when they are back.
#[test]
fn upstream_back() {
    let mut bench = Bench::new(2);
    bench.fill(1, 2);
    let mut draining = DiscoveredUpstream::clone(&upstream(0, 0));
    draining.entry.state = UpstreamState::Draining;
    bench.list(vec![upstream(1, 0), Arc::new(draining)]);
    bench.list(vec![upstream(0, 0), upstream(1, 0)]);
    assert!(granted_asks(&mut bench, 10, 4).is_empty());
    // Each return frees one slot.
    assert_eq!(bench.finish(1).len(), 1);
}

/// Guards against a keeper that forgets the permits of a group which it has handed over and gets
/// back.
#[test]
fn group_back() {
    let mut bench = Bench::new(1);
    bench.fill(1, 1);
    bench.keepers(&keeper_list(2, &[(9, 0)]));
    bench.keepers(&keeper_list(3, &[(0, 0)]));
    assert!(granted_asks(&mut bench, 10, 4).is_empty());
}

/// Guards against permits that are counted in the wrong group after a service has grown and its
/// groups were divided.
#[test]
fn divided_groups() {
    let mut bench = Bench::new(32);
    bench.fill(1, 32);
    bench.list((0..33).map(|number| upstream(number, 0)).collect());
    let group = |part| GroupId {
        service: service(),
        zone: zone(0),
        part,
    };
    let mut count = 0;
    for id in 200..210 {
        for part in 0..2 {
            let answers = bench.ask_in(group(part), ask(id * 2 + u64::from(part), 0));
            count += answers
                .iter()
                .filter(|(_, answer)| matches!(answer, PermitAnswer::Granted { .. }))
                .count();
        }
    }
    assert_eq!(count, SLOTS as usize, "only the new upstream is free");
}

/// Guards against a cold upstream that gets its requests of one second twice (R1): from its former
/// keeper, and from this one after the groups were divided. Without a new division there is no other
/// keeper, and it is not left idle.
#[rstest]
#[case::same_groups(31, SLOTS as usize)]
#[case::divided_groups(32, 0)]
fn cold_upstream(#[case] before: u16, #[case] granted: usize) {
    let mut bench = Bench::new(before);
    bench.fill(1, u64::from(before));
    // No tick has passed, so that the others are still full.
    bench.now = bench.now.after(5_000);
    let mut cold = DiscoveredUpstream::clone(&upstream(before, 0));
    cold.warmup_ends_at = bench.now.after(3_000);
    let cold = Arc::new(cold);
    let known = (0..before).map(|number| upstream(number, 0));
    bench.list(known.chain([Arc::clone(&cold)]).collect());
    let layout = GroupLayout::new(&Upstreams::new(bench.upstreams.clone()));
    let group = layout.group_of(&cold.entry);
    let mut count = 0;
    for id in 200..200 + u64::from(SLOTS) {
        let answers = bench.ask_in(group.clone(), ask(id, 0));
        count += usize::from(matches!(answers[..], [(_, PermitAnswer::Granted { .. })]));
    }
    assert_eq!(count, granted);
}

/// Guards against slots that the permits of an upstream's former run take from its new one, or free
/// there.
#[test]
fn upstream_restarted() {
    let mut bench = Bench::new(1);
    bench.fill(1, 1);
    bench.list(vec![upstream_run(0, 0, 2)]);
    assert_eq!(granted_asks(&mut bench, 10, 4).len(), SLOTS as usize);
    assert!(bench.finish(1).is_empty());
}

/// Guards against groups that a keeper creates for requests about upstreams that do not exist, or
/// keeps after they have ended: its memory would grow with the names that it hears.
#[test]
fn unknown_groups() {
    let mut bench = Bench::new(1);
    bench.fill(1, 1);
    bench.ask(ask(10, 0));
    let unknown = GroupId {
        part: 7,
        ..bench.group()
    };
    let answers = bench.ask_in(unknown, ask(11, 0));
    let refused = PermitAnswer::Refused {
        refusal: PermitRefusal::NotKept,
        retry_after_ms: 100,
    };
    assert_eq!(answers, [(11, refused.clone())]);
    assert_eq!(bench.keeper.counts().groups, 1);
    let ended = bench.list(vec![upstream(5, 3)]);
    assert_eq!(room_sim::answers(&ended), [(10, refused)]);
    assert_eq!(bench.keeper.counts().groups, 0);
}

/// Guards against permits that never expire because messages arrive more often than the keeper's
/// ticks are due, each of which put the tick off.
#[test]
fn steady_messages() {
    let mut bench = Bench::new(1);
    bench.fill(1, 1);
    for id in 10..10 + u64::from(DEADLINE_MS) / 5 + 20 {
        bench.now = bench.now.after(5);
        if bench.keeper.next_wakeup().is_some_and(|at| at <= bench.now) {
            bench.wait(0);
        }
        bench.ask(room_sim::Ask {
            deadline_left_ms: 100,
            ..ask(id, 0)
        });
    }
    assert!(bench.keeper.counts().expired >= u64::from(SLOTS));
}

/// Guards against slots that a keeper gives to requests which ended while it was frozen.
#[test]
fn woken_keeper() {
    let mut bench = Bench::new(1);
    bench.fill(1, 1);
    for id in 10..14 {
        bench.ask(ask(id, 0));
    }
    bench.now = bench.now.after(u64::from(DEADLINE_MS));
    assert!(bench.finish(1).is_empty());
    assert!(granted(&bench.wait(0)).is_empty());
    assert_eq!(bench.keeper.counts().waiting, 0);
}

/// Asks for some permits, and returns those that are granted.
fn granted_asks(bench: &mut Bench, first: u64, count: u64) -> Vec<u64> {
    let mut granted = Vec::new();
    for id in first..first + count {
        let answers = bench.ask(ask(id, 0)).into_iter();
        let grants = answers.filter(|(_, answer)| matches!(answer, PermitAnswer::Granted { .. }));
        granted.extend(grants.map(|(id, _)| id));
    }
    granted
}
