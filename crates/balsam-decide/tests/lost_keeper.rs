//! Tests that every request is decided once and in time when keepers or messages are lost.

mod room_sim;

use balsam_decide::pool::{ClusterState, PoolInput, PoolOutput, RequestId};
use balsam_decide::room::{PermitAnswer, PermitRefusal};
use balsam_types::{Assignment, FencingToken, KeyRange, Owner, ServiceRanges, TimeMs};
use room_sim::fleet::{Fleet, FleetTerms};
use room_sim::{
    DEADLINE_MS, SLOTS, answer, asked, cluster, decided, grant, keeper_list, pool, request,
    returned, service, upstream, upstream_run,
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

/// Two keepers in each zone.
const KEEPERS: [(u16, u16); 4] = [(0, 0), (1, 1), (2, 0), (3, 1)];

/// Other keepers than these.
const OTHER_KEEPERS: [(u16, u16); 4] = [(10, 0), (11, 1), (12, 0), (13, 1)];

fn fleet(lost_permille: u64) -> Fleet {
    let terms = FleetTerms {
        lost_permille,
        ..TERMS
    };
    Fleet::new(terms, &keeper_list(1, &KEEPERS))
}

/// Checks that each request was decided once and in time, and that no permits are left after the
/// time of all requests is over.
fn assert_settled(fleet: &mut Fleet) {
    fleet.drain();
    assert_eq!((fleet.unanswered(), fleet.counts.wrong), (0, 0));
    let held = fleet.held();
    assert_eq!((held.permits, held.waiting, fleet.awaited()), (0, 0, 0));
    assert!(held.granted > 0, "the keepers must have been asked");
}

/// Guards against requests that wait for a frozen keeper until their time is over, and against
/// permits that it gives to nobody after it has woken.
#[test]
fn frozen_keeper() {
    let mut fleet = fleet(0);
    fleet.run(3_000, 150);
    let keeper = fleet.busiest_keeper();
    fleet.freeze(keeper);
    fleet.run(2_500, 150);
    assert!(fleet.counts.alone > 0, "daemons must go on without it");
    fleet.wake(keeper);
    fleet.run(1_000, 150);
    fleet.reset_maximum();
    fleet.run(3_000, 150);
    assert!(fleet.in_flight_max() <= SLOTS, "it is asked again");
    assert_settled(&mut fleet);
    let alone = fleet.counts.alone;
    fleet.run(2_000, 150);
    assert_eq!(fleet.counts.alone, alone, "its permits must be used again");
}

/// Guards against an overrun while a new list spreads in the middle of a burst. The page allows the
/// slots of the old and of the new keeper, and each daemon finds the new one without its own limits.
#[test]
fn replaced_list() {
    let mut fleet = fleet(0);
    fleet.run(2_000, 200);
    fleet.publish(&keeper_list(2, &OTHER_KEEPERS), 30);
    fleet.run(3_000, 200);
    assert!(
        fleet.in_flight_max() <= 2 * SLOTS,
        "{}",
        fleet.in_flight_max()
    );
    assert_eq!(fleet.counts.alone, 0);
    assert_settled(&mut fleet);
}

/// Guards against more than twice the slots while two lists are in use for long, because half of the
/// daemons have missed the new one.
#[test]
fn two_keepers() {
    let mut fleet = fleet(0);
    fleet.run(2_000, 150);
    fleet.publish(&keeper_list(2, &OTHER_KEEPERS), 5_000);
    fleet.run(5_000, 150);
    assert!(fleet.permits_max() <= 2 * i64::from(SLOTS));
    fleet.reset_maximum();
    fleet.run(3_000, 150);
    assert_settled(&mut fleet);
}

/// Guards against permits that are lost with the daemons that held them: they must expire. Old and
/// new lives of the keepers together give each slot twice at most.
#[test]
fn restarted_daemons() {
    let mut fleet = fleet(0);
    fleet.run(2_000, 150);
    fleet.restart_all();
    fleet.run(3_000, 150);
    assert!(
        fleet.in_flight_max() <= 2 * SLOTS,
        "{}",
        fleet.in_flight_max()
    );
    assert_settled(&mut fleet);
}

/// Guards against requests and permits that are lost with messages, at the loss of a bad link and
/// far beyond it.
#[rstest]
#[case::bad_link(25)]
#[case::broken_link(300)]
fn lost_messages(#[case] lost_permille: u64) {
    let mut fleet = fleet(lost_permille);
    fleet.run(8_000, 150);
    assert!(fleet.permits_max() <= i64::from(SLOTS));
    assert_settled(&mut fleet);
}

/// Guards against a daemon without any limit while its keeper is silent: its own limits hold, which
/// start at one request in flight at each upstream.
#[test]
fn own_limits() {
    let now = TimeMs(100_000);
    let keepers = keeper_list(1, &[(5, 0)]);
    let mut pool = pool(now, cluster(&[upstream(1, 0)], false, 59, &keepers));
    let mut sent = 0;
    for id in 1..=10 {
        let wait_ms = u64::from(DEADLINE_MS);
        let outputs = pool.handle(now, PoolInput::Request(request(now, id, wait_ms)));
        assert_eq!(asked(&outputs).len(), 1);
    }
    // Two requests without an answer, 40 ms apart, and the intervals of the checks.
    for ms in (20..=120).step_by(20) {
        sent += decided(&pool.handle(now.after(ms), PoolInput::Tick)).0;
    }
    assert_eq!(sent, 1);
}

/// Guards against requests that a keeper which does not know their group sends back and forth: the
/// daemon goes by its own limits within two intervals of requests and of checks.
#[test]
fn unkept_group() {
    let now = TimeMs(100_000);
    let keepers = keeper_list(1, &[(5, 0)]);
    let mut pool = pool(now, cluster(&[upstream(1, 0)], false, 59, &keepers));
    let refused = || PermitAnswer::Refused {
        refusal: PermitRefusal::NotKept,
        retry_after_ms: 100,
    };
    let mut outputs = pool.handle(now, PoolInput::Request(request(now, 1, 2_000)));
    let mut asks = 0;
    let mut sent = 0;
    for ms in (0..=120).step_by(20) {
        for ask in asked(&outputs) {
            asks += 1;
            let answered = pool.handle(now.after(ms), answer(5, ask.id, refused()));
            sent += decided(&answered).0;
        }
        outputs = pool.handle(now.after(ms + 20), PoolInput::Tick);
        sent += decided(&outputs).0;
    }
    assert_eq!(sent, 1);
    assert!(asks <= 3, "{asks}");
}

/// Guards against requests that a new list leaves with a keeper that is gone: they ask the new one at
/// once, and withdraw the old request.
#[test]
fn moved_asks() {
    let now = TimeMs(100_000);
    let known = [upstream(1, 0)];
    let old = keeper_list(1, &[(5, 0)]);
    let mut pool = pool(now, cluster(&known, false, 59, &old));
    let first = asked(&pool.handle(now, PoolInput::Request(request(now, 1, 2_000))));
    let new = cluster(&known, false, 59, &keeper_list(2, &[(6, 0)]));
    let outputs = pool.handle(now, PoolInput::Cluster(new));
    assert_eq!(returned(&outputs), [first[0].id]);
    assert_eq!(asked(&outputs).len(), 1);
}

/// Guards against a request that asks and returns without end: keeper and daemon know different runs
/// of the owner of its key.
#[test]
fn other_run() {
    let now = TimeMs(100_000);
    let keepers = keeper_list(1, &[(5, 0)]);
    let mut pool = pool(
        now,
        keyed_cluster(cluster(&[upstream(1, 0)], true, 59, &keepers)),
    );
    let mut outputs = pool.handle(now, PoolInput::Request(request(now, 1, 2_000)));
    let mut asks = 0;
    while let [ask] = asked(&outputs).as_slice() {
        asks += 1;
        assert!(asks <= 3, "the request goes on asking");
        let newer = grant(&upstream_run(1, 0, 2));
        outputs = pool.handle(now, answer(5, ask.id, newer));
        assert!(returned(&outputs).contains(&ask.id));
    }
    assert_eq!(decided(&outputs), (1, 0));
}

/// Makes upstream 1 the owner of all keys.
fn keyed_cluster(mut cluster: ClusterState) -> ClusterState {
    let entry = &upstream(1, 0).entry;
    let mut ranges = ServiceRanges::new(service());
    ranges.assignments.push(Assignment {
        range: KeyRange {
            first: 0,
            last: u16::MAX,
        },
        fence: FencingToken(1),
        owner: Owner {
            upstream: entry.name.clone(),
            born: entry.born,
            address: entry.address,
        },
        former: Vec::new(),
    });
    cluster.ranges.insert(service(), Arc::new(ranges));
    cluster
}

/// Guards against a slot that waits for a request whose caller has gone.
#[test]
fn cancelled_request() {
    let now = TimeMs(100_000);
    let known = upstream(1, 0);
    let keepers = keeper_list(1, &[(5, 0)]);
    let mut pool = pool(now, cluster(&[Arc::clone(&known)], false, 59, &keepers));
    let asked = asked(&pool.handle(now, PoolInput::Request(request(now, 1, 2_000))));
    let cancelled = pool.handle(now, PoolInput::Cancel(RequestId(1)));
    assert_eq!(returned(&cancelled), [asked[0].id]);
    let late = pool.handle(now, answer(5, asked[0].id, grant(&known)));
    assert!(
        !late
            .iter()
            .any(|output| matches!(output, PoolOutput::Send { .. }))
    );
}

/// Guards against silent keepers that are not noticed because other inputs of the pool arrive more
/// often than its ticks are due, each of which put the tick off.
#[test]
fn steady_requests() {
    let now = TimeMs(100_000);
    let keepers = keeper_list(1, &[(5, 0)]);
    let mut pool = pool(now, cluster(&[upstream(1, 0)], false, 59, &keepers));
    let mut sent = 0;
    for ms in (0..=120).step_by(10) {
        let at = now.after(ms);
        if pool.next_wakeup().is_some_and(|due| due <= at) {
            sent += decided(&pool.handle(at, PoolInput::Tick)).0;
        }
        let outputs = pool.handle(at, PoolInput::Request(request(at, ms + 1, 2_000)));
        sent += decided(&outputs).0;
    }
    assert!(sent > 0);
}
