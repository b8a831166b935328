//! Tests that permits keep all daemons together within the slots of each upstream.

mod room_sim;

use balsam_decide::directory::{DiscoveredUpstream, Upstreams};
use balsam_decide::pool::{EndReport, Permit, PoolInput, PoolOutput, Verdict};
use balsam_decide::room::{GroupId, GroupLayout, PermitAnswer, PermitId, PermitRefusal};
use balsam_types::{TimeMs, UpstreamState};
use room_sim::fleet::{Fleet, FleetTerms};
use room_sim::{
    Bench, DEADLINE_MS, SLOTS, answer, ask, asked, cluster, daemon, grant, granted, keeper_list,
    pool, request, returned, service, upstream, upstream_run, zone,
};
use rstest::rstest;
use std::sync::Arc;

const TERMS: FleetTerms = FleetTerms {
    daemons: 59,
    zones: 2,
    upstreams: 20,
    queue: 3,
    lost_permille: 0,
    daemons_per_slot: 8,
    latency_ms: 1,
};

/// Runs 59 daemons at one and a half times the capacity, four of them keepers.
fn overload(terms: FleetTerms) -> Fleet {
    let keepers = keeper_list(1, &[(0, 0), (1, 1), (2, 0), (3, 1)]);
    let mut fleet = Fleet::new(terms, &keepers);
    fleet.run(10_000, 150);
    fleet.drain();
    assert_eq!((fleet.unanswered(), fleet.counts.wrong), (0, 0));
    fleet
}

/// Requests that an upstream gets before its first answer after it has joined a group.
const SLOW_START: usize = 1;

/// Guards against daemons whose own limits add up to a multiple of the slots, so that upstreams
/// reject requests and their queues decide who waits.
#[test]
fn slots_hold() {
    let fleet = overload(TERMS);
    assert!(fleet.in_flight_max() <= SLOTS, "{}", fleet.in_flight_max());
    assert_eq!((fleet.counts.shed, fleet.counts.alone), (0, 0));
    let alone = overload(FleetTerms {
        daemons_per_slot: 0,
        ..TERMS
    });
    assert!(alone.in_flight_max() > SLOTS);
    assert!(alone.counts.shed > 0, "the load must overrun own limits");
    assert!(
        fleet.counts.served >= alone.counts.served,
        "slots were idle"
    );
}

/// Guards against permits that are returned while their requests run: on a link slower than the
/// interval between two requests for a permit, its grant arrives twice.
#[test]
fn slow_links() {
    let fleet = overload(FleetTerms {
        latency_ms: 30,
        ..TERMS
    });
    assert!(fleet.in_flight_max() <= SLOTS, "{}", fleet.in_flight_max());
    assert_eq!(fleet.counts.shed, 0);
}

/// Guards against the return of a permit that is in use, and against a permit that is kept although
/// its request was sent elsewhere.
#[test]
fn repeated_grants() {
    let now = TimeMs(100_000);
    let known = upstream(1, 0);
    let keepers = keeper_list(1, &[(5, 0)]);
    let mut pool = pool(now, cluster(&[Arc::clone(&known)], false, 59, &keepers));
    let wait_ms = u64::from(DEADLINE_MS);
    let first = pool.handle(now, PoolInput::Request(request(now, 1, wait_ms)));
    let id = asked(&first)[0].id;
    let sent = pool.handle(now, answer(5, id, grant(&known)));
    assert!(matches!(sent[..], [PoolOutput::Send { .. }]), "{sent:?}");
    let repeated = pool.handle(now, answer(5, id, grant(&known)));
    assert!(repeated.is_empty(), "{repeated:?}");
    let done = PoolInput::Done {
        upstream: Arc::clone(&known),
        route: room_sim::route(0),
        verdict: Verdict::Served,
        took_ms: 5,
        permit: Some(Permit {
            id,
            keeper: daemon(5),
        }),
        report: EndReport::default(),
    };
    assert_eq!(returned(&pool.handle(now, done)), [id]);
    assert!(pool.handle(now, answer(5, id, grant(&known))).is_empty());

    // A permit and a place in the queue for a request that is not known are given back.
    let stale = PermitId(id.0 + 100);
    for given in [grant(&known), PermitAnswer::Queued { wait_ms: 5 }] {
        let outputs = pool.handle(now, answer(5, stale, given));
        assert!(outputs.is_empty() || returned(&outputs) == [stale]);
    }
}

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
    assert_eq!(count, SLOW_START, "only the new upstream is free");
}

/// Guards against a cold upstream that gets its requests of one second twice (R1): from its former
/// keeper, and from this one after the groups were divided. Without a new division there is no other
/// keeper, and it is not left idle.
#[rstest]
#[case::same_groups(31, SLOW_START)]
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
    assert_eq!(granted_asks(&mut bench, 10, 4).len(), SLOW_START);
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
