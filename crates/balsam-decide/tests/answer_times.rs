//! Tests how response times give the relative latency of upstreams, and that it decides how many
//! keys an upstream gets.

use balsam_decide::keys::{Candidate, MoveScope, ResponseTimes, plan};
use balsam_types::{
    Map, Owner, ServiceName, ServiceRanges, ShardKey, StartTime, TimeMs, UpstreamName, new_map,
};
use std::net::SocketAddr;

/// Responses of each upstream in a test, more than the minimum for an estimate.
const RESPONSES: u32 = 30;

fn name(index: u16) -> UpstreamName {
    UpstreamName::new(format!("u{index}")).expect("a valid name")
}

/// Adds responses of upstreams with `took_ms` each; every other response was queued for 400 ms
/// more.
fn add(times: &mut ResponseTimes, now: TimeMs, upstreams: &[(u16, u32)]) {
    for round in 0..RESPONSES {
        let queue_ms = if round % 2 == 0 { 0 } else { 400 };
        let responses = upstreams
            .iter()
            .map(|(index, took_ms)| (name(*index), took_ms + queue_ms));
        times.add(now, responses);
    }
}

fn relative_latency(times: &mut ResponseTimes, now: TimeMs) -> Map<u16, f64> {
    let measured = times.relative_latency(now);
    let mut found = new_map();
    found.extend((0..10).filter_map(|index| Some((index, *measured.get(&name(index))?))));
    found
}

/// Guards against queueing time that makes an upstream look slow, and against equal results for
/// upstreams of different speed.
#[test]
fn speeds_differ() {
    let mut times = ResponseTimes::new();
    add(&mut times, TimeMs(0), &[(0, 120), (1, 200), (2, 280)]);
    let found = relative_latency(&mut times, TimeMs(100));
    assert!((found[&0] - 0.6).abs() < 0.01, "{found:?}");
    assert!((found[&1] - 1.0).abs() < 0.01, "{found:?}");
    assert!((found[&2] - 1.4).abs() < 0.01, "{found:?}");
}

/// Guards against avoiding an upstream for ever because of old responses, and against judging one
/// by too few responses.
#[test]
fn old_answers() {
    let mut times = ResponseTimes::new();
    add(&mut times, TimeMs(0), &[(0, 200), (1, 200), (2, 2_000)]);
    assert!(relative_latency(&mut times, TimeMs(0))[&2] > 3.9);
    times.add(TimeMs(7_000), [(name(0), 200), (name(1), 200)]);
    assert!(relative_latency(&mut times, TimeMs(7_000)).is_empty());
}

/// Guards against a slow upstream that gets as many busy keys as a fast one, so that requests for
/// its keys wait while other upstreams are idle.
#[test]
fn slow_owner() {
    const UPSTREAMS: u16 = 6;
    let mut times = ResponseTimes::new();
    let response_times: Vec<(u16, u32)> = (0..UPSTREAMS)
        .map(|index| (index, if index % 2 == 0 { 100 } else { 300 }))
        .collect();
    add(&mut times, TimeMs(0), &response_times);
    let measured = times.relative_latency(TimeMs(0));
    let candidates: Vec<Candidate> = (0..UPSTREAMS)
        .map(|index| Candidate {
            owner: Owner {
                upstream: name(index),
                born: StartTime(1),
                address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
            },
            weight: 3.0 / measured[&name(index)],
        })
        .collect();
    let keys: Vec<ShardKey> = (0..600).map(|index| ShardKey(index * 109)).collect();
    let mut ranges = ServiceRanges::new(ServiceName::new("keyed").expect("a valid name"));
    while let Some(mut next) = plan(&ranges, &candidates, &keys, MoveScope::All) {
        for assignment in &mut next.assignments {
            assignment.former.clear();
        }
        ranges = next;
    }
    let load = |index: u16| {
        let owner = &candidates[usize::from(index)].owner;
        let is_own = |key: &&ShardKey| ranges.find(**key).is_some_and(|it| it.owner == *owner);
        keys.iter().filter(is_own).count()
    };
    // Three upstreams of weight 3 and three of weight 1 make 12 shares of 50 requests each. An
    // upstream is relieved above 130 % of its share and 4 requests.
    for index in 0..UPSTREAMS {
        let fair = if index % 2 == 0 { 150 } else { 50 };
        assert!(
            load(index) * 10 <= fair * 13 + 40,
            "u{index}: {} of {fair}",
            load(index)
        );
    }
}
