//! Guards how the speed of upstreams is told from their answers, and that it decides how many keys
//! they get.

use balsam_decide::keys::{Candidate, MoveScope, ResponseTimes, plan};
use balsam_types::{
    Map, Owner, ServiceName, ServiceRanges, ShardKey, StartTime, TimeMs, UpstreamName, new_map,
};
use std::net::SocketAddr;

/// Answers of an upstream in each test, more than are needed to judge it.
const ANSWERS: u32 = 30;

fn name(at: u16) -> UpstreamName {
    UpstreamName::new(format!("u{at}")).expect("a valid name")
}

/// Adds answers of upstreams that take `took_ms` each, and longer while they have a queue.
fn add(times: &mut ResponseTimes, now: TimeMs, upstreams: &[(u16, u32)]) {
    for turn in 0..ANSWERS {
        let queue_ms = if turn % 2 == 0 { 0 } else { 400 };
        let answers = upstreams
            .iter()
            .map(|(at, took_ms)| (name(*at), took_ms + queue_ms));
        times.add(now, answers);
    }
}

fn relative_latency(times: &mut ResponseTimes, now: TimeMs) -> Map<u16, f64> {
    let told = times.relative_latency(now);
    let mut found = new_map();
    found.extend((0..10).filter_map(|at| Some((at, *told.get(&name(at))?))));
    found
}

/// Guards that a queue does not make an upstream look slow, and that speeds are told apart.
#[test]
fn speeds_differ() {
    let mut times = ResponseTimes::new();
    add(&mut times, TimeMs(0), &[(0, 120), (1, 200), (2, 280)]);
    let found = relative_latency(&mut times, TimeMs(100));
    assert!((found[&0] - 0.6).abs() < 0.01, "{found:?}");
    assert!((found[&1] - 1.0).abs() < 0.01, "{found:?}");
    assert!((found[&2] - 1.4).abs() < 0.01, "{found:?}");
}

/// Guards that an upstream that was slow is not avoided for ever, and that few answers do not
/// judge one.
#[test]
fn old_answers() {
    let mut times = ResponseTimes::new();
    add(&mut times, TimeMs(0), &[(0, 200), (1, 200), (2, 2_000)]);
    assert!(relative_latency(&mut times, TimeMs(0))[&2] > 3.9);
    times.add(TimeMs(7_000), [(name(0), 200), (name(1), 200)]);
    assert!(relative_latency(&mut times, TimeMs(7_000)).is_empty());
}

/// Guards that a slow upstream gets fewer busy keys than a fast one, so that requests for its keys
/// do not wait while others are idle.
#[test]
fn slow_owner() {
    const UPSTREAMS: u16 = 6;
    let mut times = ResponseTimes::new();
    let speeds: Vec<(u16, u32)> = (0..UPSTREAMS)
        .map(|at| (at, if at % 2 == 0 { 100 } else { 300 }))
        .collect();
    add(&mut times, TimeMs(0), &speeds);
    let told = times.relative_latency(TimeMs(0));
    let candidates: Vec<Candidate> = (0..UPSTREAMS)
        .map(|at| Candidate {
            owner: Owner {
                upstream: name(at),
                born: StartTime(1),
                address: SocketAddr::from(([127, 0, 0, 1], 9_000 + at)),
            },
            weight: 3.0 / told[&name(at)],
        })
        .collect();
    let keys: Vec<ShardKey> = (0..600).map(|at| ShardKey(at * 109)).collect();
    let mut ranges = ServiceRanges::new(ServiceName::new("keyed").expect("a valid name"));
    while let Some(mut next) = plan(&ranges, &candidates, &keys, MoveScope::All) {
        for assignment in &mut next.assignments {
            assignment.former.clear();
        }
        ranges = next;
    }
    let load = |at: u16| {
        let owner = &candidates[usize::from(at)].owner;
        let is_own = |key: &&ShardKey| ranges.find(**key).is_some_and(|it| it.owner == *owner);
        keys.iter().filter(is_own).count()
    };
    // Three shares of 3 and three of 1 make 12, of 50 requests each. An upstream is relieved above
    // 130 % of its share and 4 requests.
    for at in 0..UPSTREAMS {
        let fair = if at % 2 == 0 { 150 } else { 50 };
        assert!(
            load(at) * 10 <= fair * 13 + 40,
            "u{at}: {} of {fair}",
            load(at)
        );
    }
}
